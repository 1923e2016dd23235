// The bytes that an execute node answers with, the spoilt ones included, and what a client makes of them.
#ifndef BITTERNMUX_LAB_STANDS_ANSWER_H_
#define BITTERNMUX_LAB_STANDS_ANSWER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "lab/model/execute_node.h"

namespace bitternmux::lab {

// A body tells who made it for which request, so that one that is passed on to another shows.
struct Made {
  model::ClaimId claim = 0;
  std::string request;
};
std::string BodyOf(const Made& made, const std::string& server);
// Claim 0 for a body that no stand-in has made.
Made ReadMade(std::string_view body);

// What is written for a kAnswer; `body` is of a served claim.
std::string WriteAnswer(const model::NodeAction& answer, const std::string& body);
// For a kProbeAnswer.
std::string WriteProbeAnswer(const model::NodeAction& answer);

}  // namespace bitternmux::lab

#endif  // BITTERNMUX_LAB_STANDS_ANSWER_H_
