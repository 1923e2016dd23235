// Judges a history by the users' rules of requests, answers and streams: MIXED, UNASKED, TWICE, REFUSED,
// BUDGET, LOST and ORDER. A function of the history alone; it knows nothing of the router.
#ifndef BITTERNMUX_LAB_WIRE_HISTORY_CHECKER_H_
#define BITTERNMUX_LAB_WIRE_HISTORY_CHECKER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "lab/wire/history.h"

namespace bitternmux::lab::wire {

enum class Rule : std::uint8_t { kMixed, kUnasked, kTwice, kRefused, kBudget, kOrder, kLost };

std::string_view NameOf(Rule rule);

// A broken rule.
struct Finding {
  Rule rule;
  std::string request_id;
  std::string what;  // with the runs and the bytes around the first difference
};

std::vector<Finding> Check(const History& history);

// The text with control characters escaped.
std::string Escaped(std::string_view text);

}  // namespace bitternmux::lab::wire

#endif  // BITTERNMUX_LAB_WIRE_HISTORY_CHECKER_H_
