// Writing JSON whose texts may have come from outside the process: bodies, paths, names, messages of a
// parser. nlohmann's own `dump()` throws where a text is not UTF-8, so it is not called elsewhere in src/.
#ifndef BITTERNMUX_SRC_JSON_JSON_TEXT_H_
#define BITTERNMUX_SRC_JSON_JSON_TEXT_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace bitternmux {

inline constexpr int kJsonOnOneLine = -1;

// `indent`: spaces for each level, or kJsonOnOneLine. Each sequence of bytes that is not UTF-8 becomes
// U+FFFD; a number that is not finite becomes null. Throws nothing but std::bad_alloc.
std::string JsonText(const nlohmann::json& value, int indent = kJsonOnOneLine);

}  // namespace bitternmux

#endif  // BITTERNMUX_SRC_JSON_JSON_TEXT_H_
