#include "lab/rules/breach.h"

#include <cinttypes>
#include <cstdio>
#include <cstdlib>

namespace bitternmux::lab::rules {

std::string Seconds(std::int64_t us) {
  std::array<char, 40> text;
  const auto size = std::snprintf(text.data(), text.size(), "%s%" PRId64 ".%06" PRId64, us < 0 ? "-" : "",
                                  std::abs(us / 1'000'000), std::abs(us % 1'000'000));
  return {text.data(), static_cast<std::size_t>(size)};
}

std::string LineOf(const Breach& breach) {
  std::string line(NameOf(breach.rule));
  line.append("\t").append(Seconds(breach.at_us));
  line.append("\t").append(breach.job == 0 ? "-" : std::to_string(breach.job));
  line.append("\t").append(breach.server.empty() ? "-" : breach.server);
  return line.append("\t").append(breach.detail);
}

}  // namespace bitternmux::lab::rules
