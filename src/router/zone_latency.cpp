#include "router/zone_latency.h"

#include <algorithm>

namespace bitternmux::router {

void ZoneLatency::OnConnected(const std::string& zone, double dial_ms) {
  const auto [row, is_new] = round_trip_ms_.try_emplace(zone, dial_ms);
  if (!is_new) row->second += kWeight * (dial_ms - row->second);
}

double ZoneLatency::ExtraMs(const std::string& zone) const {
  const auto there = round_trip_ms_.find(zone), here = round_trip_ms_.find(own_zone_);
  if (there == round_trip_ms_.end() || here == round_trip_ms_.end()) return 0;
  return std::max(0.0, there->second - here->second);
}

}  // namespace bitternmux::router
