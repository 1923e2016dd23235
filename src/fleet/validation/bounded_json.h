// Reads JSON that may come from anybody, so that what it becomes in memory is bounded by more than its
// length: a text of four million brackets would take a hundred bytes for each.
#ifndef BITTERNMUX_SRC_FLEET_VALIDATION_BOUNDED_JSON_H_
#define BITTERNMUX_SRC_FLEET_VALIDATION_BOUNDED_JSON_H_

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace bitternmux::fleet {

constexpr std::size_t kMaxJsonDepth = 32;                    // of values in each other
constexpr std::size_t kMaxDocumentBytes = 48 * 1024 * 1024;  // in memory, as estimated

// The document of a text. Throws ConfigurationError where it would be deeper or larger than that,
// nlohmann::json::exception where the text is no JSON.
nlohmann::json ParseBounded(std::string_view text);

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_VALIDATION_BOUNDED_JSON_H_
