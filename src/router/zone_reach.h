// Detects zones that this router cannot reach, from the outcome of its attempts; pure decision logic
// without I/O.
//
// A server that does not respond (no connection is established in time, or nothing that was sent is
// acknowledged) may be down by itself. If several servers of a zone do not respond, and no server of the
// zone has responded since the first of these attempts began, the zone is cut off. Its servers are then
// passed over, except for one trial attempt at a time, after pauses that double. A single response from any
// server of the zone ends this state.
//
// Without this, each unreachable server of a zone would be detected separately and repeatedly, at the
// cost of a dial timeout each time.
//
// Bounds: one row for each zone, with its unresponsive servers. Not thread-safe. Times are in milliseconds
// on one clock.
#ifndef BITTERNMUX_SRC_ROUTER_ZONE_REACH_H_
#define BITTERNMUX_SRC_ROUTER_ZONE_REACH_H_

#include <map>
#include <set>
#include <string>

namespace bitternmux::router {

class ZoneReach {
 public:
  // A server of the zone has responded.
  void OnResponse(double now_ms, const std::string& zone);
  // A server of the zone did not respond during an attempt that began at `since_ms`.
  void OnNoResponse(double now_ms, const std::string& zone, const std::string& server, double since_ms);
  // An attempt at a server of the zone begins.
  void OnSent(double now_ms, const std::string& zone);

  bool IsCutOff(const std::string& zone) const;
  // Whether an attempt may go there: the zone is reachable, or the next trial is due.
  bool MayTry(double now_ms, const std::string& zone) const;

 private:
  struct Zone {
    double last_response_ms = -1e18;     // time of the last response
    std::set<std::string> unresponsive;  // servers that have not responded since then
    double pause_ms = 0;                 // before the next trial, while the zone is cut off
    double trial_due_ms = 0;
  };
  static bool IsCutOff(const Zone& zone);

  std::map<std::string, Zone> zones_;  // by name
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_ZONE_REACH_H_
