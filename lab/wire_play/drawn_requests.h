// Many requests at once through one router in this process, with servers that break off and clients that
// leave as a seed draws.
#ifndef BITTERNMUX_LAB_WIRE_PLAY_DRAWN_REQUESTS_H_
#define BITTERNMUX_LAB_WIRE_PLAY_DRAWN_REQUESTS_H_

#include <cstdint>
#include <vector>

#include "lab/wire/history_checker.h"

namespace bitternmux::lab::wire {

constexpr std::size_t kDrawnRequests = 60;  // of a seed

struct DrawnResult {
  std::vector<Finding> findings;
  std::size_t runs = 0, served = 0;
  // Streams that a server did not continue where it should, as the router saw it: none, as these servers do.
  std::uint64_t not_continued = 0;

  bool Clean() const { return findings.empty() && not_continued == 0; }
};

// Throws std::runtime_error if the requests have no end.
DrawnResult PlayDrawnRequests(std::uint64_t seed);

}  // namespace bitternmux::lab::wire

#endif  // BITTERNMUX_LAB_WIRE_PLAY_DRAWN_REQUESTS_H_
