// Real routers, agents and control machines between servers that break off and clients that leave, while
// their processes get signals, are killed and started again and the configuration changes: all of it in
// series that overlap, drawn from a seed. What clients and servers recorded is judged by the checker.
#ifndef BITTERNMUX_LAB_TORTURE_TORTURE_H_
#define BITTERNMUX_LAB_TORTURE_TORTURE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lab/fleet/fleet_stand.h"
#include "lab/wire/history_checker.h"

namespace bitternmux::lab::wire {

struct TortureOptions {
  fleet::Programs programs;
  std::uint64_t seed = 1;
  std::size_t routers = 3;      // at most fleet::FleetStand::kMostEdges
  std::size_t requests = 3000;  // of all clients
  std::size_t clients = 24;     // each with one request at a time
  bool troubles = true;         // of the fleet's processes; servers and clients are hostile in any case
};

struct TortureReport {
  bool started = false;             // the fleet came up
  std::vector<Finding> findings;    // broken rules
  std::vector<std::string> faults;  // else: a process that ended by itself, a fleet that did not come back
  std::size_t requests = 0, runs = 0, served = 0, resumed = 0;
  std::size_t terms = 0, kills = 0, stops = 0, hangups = 0, configurations = 0;
  std::map<std::string, std::uint64_t> counters;  // of the routers that were there at the end, added up

  bool Clean() const { return started && findings.empty() && faults.empty(); }
};

// Throws std::runtime_error if a program cannot be started.
TortureReport PlayTorture(const TortureOptions& options);

}  // namespace bitternmux::lab::wire

#endif  // BITTERNMUX_LAB_TORTURE_TORTURE_H_
