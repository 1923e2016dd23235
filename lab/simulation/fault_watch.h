// Writes down which control machines and links are in trouble, as it is seen at a steady pace: whoever asks
// for a fault does not have to tell how long it lasts, and faults that overlap or end early are right too.
#ifndef BITTERNMUX_LAB_SIMULATION_FAULT_WATCH_H_
#define BITTERNMUX_LAB_SIMULATION_FAULT_WATCH_H_

#include <cstddef>
#include <map>
#include <string>
#include <utility>

#include "lab/simulation/tally_history.h"

namespace bitternmux::lab::simulation {

constexpr double kWatchEveryMs = 20;

class FaultWatch {
 public:
  explicit FaultWatch(TallyHistory& history) : history_(history) {}

  // In trouble at that moment.
  void MachineInTrouble(const std::string& machine, bool disk, double now_ms);
  void LinkCutNow(const std::string& from, const std::string& to, double now_ms);

 private:
  TallyHistory& history_;
  std::map<std::pair<std::string, bool>, std::size_t> machine_rows_;  // the last row of each
  std::map<std::pair<std::string, std::string>, std::size_t> link_rows_;
};

}  // namespace bitternmux::lab::simulation

#endif  // BITTERNMUX_LAB_SIMULATION_FAULT_WATCH_H_
