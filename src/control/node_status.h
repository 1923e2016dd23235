// The state of a control machine as GET /status tells it.
#ifndef BITTERNMUX_SRC_CONTROL_NODE_STATUS_H_
#define BITTERNMUX_SRC_CONTROL_NODE_STATUS_H_

#include <string>

#include "control/operator_service.h"
#include "fleet/control/control_core.h"

namespace bitternmux::control {

// A JSON object; docs/operators/fleet.md says what its fields mean. The machine's name is the settings',
// addresses and zones are as other machines have told them, whatever their bytes are.
std::string WriteNodeStatus(const std::string& node_name, const fleet::ControlCore& core,
                            const CallCounts& counts, double now_ms);

}  // namespace bitternmux::control

#endif  // BITTERNMUX_SRC_CONTROL_NODE_STATUS_H_
