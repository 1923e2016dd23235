// Files as the lab keeps them: whole or not at all. Inside the package only.
#ifndef BITTERNMUX_LAB_REPORT_FILES_H_
#define BITTERNMUX_LAB_REPORT_FILES_H_

#include <string>

namespace bitternmux::lab::report {

// Throws std::system_error that names the file.
std::string ReadFile(const std::string& file);
// Written beside it and then moved to its place, so that nobody sees half of it, whenever this ends. Throws
// std::system_error that names the file.
void WriteFile(const std::string& file, const std::string& text);

// For telling whether something is the same as it was: XXH64, in hex.
std::string DigestOf(const std::string& bytes);

// UTF-8 without control characters: what is neither is a question mark. What stands in a scenario or a record
// may be anything.
std::string Clean(const std::string& text);

}  // namespace bitternmux::lab::report

#endif  // BITTERNMUX_LAB_REPORT_FILES_H_
