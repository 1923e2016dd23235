// Answers of the operator's API in the forms that its calls share.
#ifndef BITTERNMUX_SRC_CONTROL_API_RESPONSES_H_
#define BITTERNMUX_SRC_CONTROL_API_RESPONSES_H_

#include <nlohmann/json_fwd.hpp>
#include <string_view>

#include "control/operator_api.h"

namespace bitternmux::control {

// Status 200 with that body.
ApiResponse JsonResponse(const nlohmann::json& body);

// {"error": REASON}. The reason may quote what the caller has sent, whatever its bytes are. `retry_after_s`:
// seconds; 0: no advice.
ApiResponse ErrorResponse(int status, std::string_view reason, double retry_after_s = 0);

}  // namespace bitternmux::control

#endif  // BITTERNMUX_SRC_CONTROL_API_RESPONSES_H_
