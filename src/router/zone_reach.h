// Which zones this router cannot reach, by what becomes of its attempts: a decider.
//
// A server that is silent (no connection comes up in time, or nobody acknowledges what was sent) may be down
// by itself. If several servers of a zone are silent, and no server there has said a word since the first of
// these attempts began, the zone is cut off: its servers are passed over, but for one attempt at a time,
// after pauses that double. One word from any server of the zone ends that.
//
// Without it each server behind a cut is found out alone, again and again, at a dial timeout a time.
//
// Bounds: a row for each zone, with its silent servers. Not thread-safe. Times are in milliseconds on one
// clock.
#ifndef BITTERNMUX_SRC_ROUTER_ZONE_REACH_H_
#define BITTERNMUX_SRC_ROUTER_ZONE_REACH_H_

#include <map>
#include <set>
#include <string>

namespace bitternmux::router {

class ZoneReach {
 public:
  // A server of the zone has said something.
  void Heard(double now_ms, const std::string& zone);
  // A server of the zone has been silent through an attempt that began at `since_ms`.
  void Silent(double now_ms, const std::string& zone, const std::string& server, double since_ms);
  // An attempt at a server of the zone begins.
  void Sent(double now_ms, const std::string& zone);

  bool IsCutOff(const std::string& zone) const;
  // May an attempt go there: is it reached, or is the next trial due?
  bool MayTry(double now_ms, const std::string& zone) const;

 private:
  struct Zone {
    double heard_ms = -1e18;       // the last word
    std::set<std::string> silent;  // servers, since then
    double pause_ms = 0;           // before the next trial, while it is cut off
    double trial_due_ms = 0;
  };
  static bool IsCutOff(const Zone& zone);

  std::map<std::string, Zone> zones_;  // by name
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_ZONE_REACH_H_
