// Which plays `bitternmux-lab depth` makes, what it makes of them, and the page and file that come of that.
#ifndef BITTERNMUX_LAB_DEPTH_PLAYS_H_
#define BITTERNMUX_LAB_DEPTH_PLAYS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "lab/depth/chain.h"
#include "lab/depth/virtual_chain.h"

namespace bitternmux::lab::depth {

struct Wanted {
  std::vector<int> hops = {1, 2, 5, 10, 25};
  std::vector<double> failing = {0, 0.01, 0.1, 0.5, 1};
  int failing_hop = 0;  // from 1; 0: the last; at most the fewest of `hops`
  int servers = 3;
  double rate = 59;
  double seconds = 10;
  int cold_chains = 30;  // fresh chains that get a single call each
  std::uint64_t seed = 1;
};

struct VirtualPlay {
  nlohmann::json at;  // what sets it apart from the others, as the file of a run has it
  Chain chain;
  Calls calls;
  VirtualTimes times;
  int chains = 1;  // played one after another, each fresh and with a seed of its own
  std::uint64_t seed = 1;
};

struct SocketPlay {
  nlohmann::json at;
  Chain chain;
  Calls calls;
  std::uint64_t seed = 1;
};

// The same for the same wishes.
std::vector<VirtualPlay> VirtualPlays(const Wanted& wanted);
// Nothing fails, for the time that a chain adds; and, of short chains, everything at the failing hop does.
std::vector<SocketPlay> SocketPlays(const Wanted& wanted);
// `part`, `at`, `seed` and `figures`, as the file of a run has them.
nlohmann::json Carry(const VirtualPlay& play);
// With the built program. Throws std::runtime_error that says what cannot be.
nlohmann::json Carry(const SocketPlay& play, const std::string& program);

// Of plays as Carry gives them: a line each.
void PrintPlays(const nlohmann::json& plays, std::ostream& out);

}  // namespace bitternmux::lab::depth

#endif  // BITTERNMUX_LAB_DEPTH_PLAYS_H_
