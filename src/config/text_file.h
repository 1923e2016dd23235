// Whole files as text, for what is read once at the start.
#ifndef BITTERNMUX_SRC_CONFIG_TEXT_FILE_H_
#define BITTERNMUX_SRC_CONFIG_TEXT_FILE_H_

#include <optional>
#include <string>

namespace bitternmux {

// Nothing if it cannot be read, as a folder cannot.
std::optional<std::string> ReadTextFile(const std::string& path);

}  // namespace bitternmux

#endif  // BITTERNMUX_SRC_CONFIG_TEXT_FILE_H_
