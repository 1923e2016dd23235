// Learns the round trip to the servers of each zone from the time that connections take to be established;
// pure decision logic without I/O.
//
// Bounds: one row for each zone. Times in milliseconds. Not thread-safe.
#ifndef BITTERNMUX_SRC_ROUTER_ZONE_LATENCY_H_
#define BITTERNMUX_SRC_ROUTER_ZONE_LATENCY_H_

#include <map>
#include <string>
#include <utility>

namespace bitternmux::router {

class ZoneLatency {
 public:
  explicit ZoneLatency(std::string own_zone) : own_zone_(std::move(own_zone)) {}

  // A connection to a server of the zone was established in that time.
  void OnConnected(const std::string& zone, double dial_ms);
  // By how much the round trip to the zone is longer than within this router's own; 0 until both are known.
  double ExtraMs(const std::string& zone) const;

 private:
  static constexpr double kWeight = 0.125;  // of a new connection in the mean

  const std::string own_zone_;
  std::map<std::string, double> round_trip_ms_;  // by zone
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_ZONE_LATENCY_H_
