// The chain in one process and in virtual time: of each sidecar the program's own job table, facade, decision
// module and machine list. In place of its pool stands a network on which every connection is up, none rests
// and each way takes the same time. The same seed gives the same run.
#ifndef BITTERNMUX_LAB_DEPTH_VIRTUAL_CHAIN_H_
#define BITTERNMUX_LAB_DEPTH_VIRTUAL_CHAIN_H_

#include <cstdint>
#include <vector>

#include "lab/depth/chain.h"

namespace bitternmux::lab::depth {

struct VirtualTimes {
  double way_ms = 0.1;    // between a sidecar and a server of its tier, one way
  double near_ms = 0.03;  // between a server or client and its own sidecar, one way
  double work_ms = 50;    // of an attempt at the last hop that does not fail
};

struct VirtualResult {
  struct Call {
    int last_attempts = 0;        // begun at the last hop
    int after_gone = 0;           // of these, more than a way's time down the chain after the client had left
    int long_after_gone = 0;      // of these, more than 100 ms after it
    int finished_for_nobody = 0;  // attempts at the last hop that came to their end after it had left
    bool gone = false;
    bool answered = false, served = false, refused = false;  // answered and neither: failed
    double took_ms = 0;                                      // to its final answer
  };
  std::vector<Call> calls;
  std::vector<std::uint64_t> attempts;  // begun at each hop, the first hop's first
  std::vector<std::uint64_t> further;   // of these, those that were not the first of their request
};

VirtualResult PlayVirtual(const Chain& chain, const Calls& calls, const VirtualTimes& times,
                          std::uint64_t seed);

// As the JSON of a run has them; docs/operators/lab-depth.md explains each.
nlohmann::json FiguresOf(const Chain& chain, const VirtualResult& result);

}  // namespace bitternmux::lab::depth

#endif  // BITTERNMUX_LAB_DEPTH_VIRTUAL_CHAIN_H_
