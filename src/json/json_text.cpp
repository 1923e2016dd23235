#include "json/json_text.h"

#include <nlohmann/json.hpp>

namespace bitternmux {

std::string JsonText(const nlohmann::json& value, int indent) {
  return value.dump(indent, ' ', /*ensure_ascii=*/false, nlohmann::json::error_handler_t::replace);
}

}  // namespace bitternmux
