#include "router/event_stream.h"

#include <utility>

namespace bitternmux::router {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";

}  // namespace

std::string EventCutter::Take(std::string_view bytes) {
  rest_.append(bytes);
  const auto end = rest_.rfind(kEventEnd);
  if (end == std::string::npos) return {};
  const std::size_t size = end + kEventEnd.size();
  std::string events = rest_.substr(0, size);
  rest_.erase(0, size);
  return events;
}

std::string EventCutter::TakeRest() { return std::exchange(rest_, {}); }

void StreamPosition::Advance(std::string_view events) {
  while (!events.empty()) {
    const auto end = events.find('\n');
    std::string_view line = events.substr(0, end);
    events = end == events.npos ? std::string_view() : events.substr(end + 1);
    if (!line.starts_with(kIdField)) continue;
    line.remove_prefix(kIdField.size());
    if (line.starts_with(' ')) line.remove_prefix(1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    last_id_ = line;
  }
}

}  // namespace bitternmux::router
