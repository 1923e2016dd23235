#include "config/text_file.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace bitternmux {

std::optional<std::string> ReadTextFile(const std::string& path) {
  std::error_code ignored;
  if (std::filesystem::is_directory(path, ignored)) return std::nullopt;  // a stream would read it as empty
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file || text.bad()) return std::nullopt;
  return std::move(text).str();
}

}  // namespace bitternmux
