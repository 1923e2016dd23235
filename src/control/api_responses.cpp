#include "control/api_responses.h"

#include <nlohmann/json.hpp>

#include "json/json_text.h"

namespace bitternmux::control {

ApiResponse JsonResponse(const nlohmann::json& body) { return {200, JsonText(body), "", 0}; }

ApiResponse ErrorResponse(int status, std::string_view reason, double retry_after_s) {
  return {status, JsonText({{"error", reason}}), "", retry_after_s};
}

}  // namespace bitternmux::control
