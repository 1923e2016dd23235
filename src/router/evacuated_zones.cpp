#include "router/evacuated_zones.h"

#include <utility>

namespace bitternmux::router {

bool EvacuatedZones::Set(double now_ms, const std::vector<std::string>& zones) {
  const std::set<std::string> before = std::exchange(evacuated_, {zones.begin(), zones.end()});
  for (const std::string& zone : before) {
    if (!evacuated_.contains(zone)) returning_[zone] = now_ms + kReturnDelayMs;
  }
  return evacuated_ != before;
}

bool EvacuatedZones::Tick(double now_ms) {
  const std::size_t released =
      std::erase_if(returning_, [&](const auto& entry) { return now_ms >= entry.second; });
  return released > 0;
}

fleet::ServerMap EvacuatedZones::MarkDraining(fleet::ServerMap servers) const {
  for (auto& [id, server] : servers) {
    if (IsExcluded(server.zone)) server.draining = true;
  }
  return servers;
}

}  // namespace bitternmux::router
