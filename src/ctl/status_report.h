// What an operator reads of the control machines' state.
#ifndef BITTERNMUX_SRC_CTL_STATUS_REPORT_H_
#define BITTERNMUX_SRC_CTL_STATUS_REPORT_H_

#include <string>
#include <vector>

#include "ctl/control_client.h"

namespace bitternmux::ctl {

struct MachineStatus {
  std::string control;
  CallResult result;  // of GET /status
};

// One line for each machine and what to see to, if anything; for people.
std::string WriteStatus(const std::vector<MachineStatus>& machines);
// The same as JSON: an array, an object for each machine.
std::string WriteStatusJson(const std::vector<MachineStatus>& machines);
// Does one machine own the configuration, in contact with a majority?
bool IsHealthy(const std::vector<MachineStatus>& machines);
// Does each machine that answers reach all others that it knows of, and serve reads of tallies?
bool IsConnected(const std::vector<MachineStatus>& machines);

}  // namespace bitternmux::ctl

#endif  // BITTERNMUX_SRC_CTL_STATUS_REPORT_H_
