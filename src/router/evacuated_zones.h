// Which zones' servers get nothing new from this router: a decider.
//
// Those that the operator has evacuated, and each for kAfterEvacuationMs after it was taken back: its servers
// may have become cold meanwhile, and the platform's list tells that late.
//
// Bounds: a row for each zone. Not thread-safe. Times are in milliseconds on one clock.
#ifndef BITTERNMUX_SRC_ROUTER_EVACUATED_ZONES_H_
#define BITTERNMUX_SRC_ROUTER_EVACUATED_ZONES_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet/feed/feed.h"

namespace bitternmux::router {

constexpr double kAfterEvacuationMs = 2500;

class EvacuatedZones {
 public:
  // What is evacuated from now on. True: that is other than before.
  bool Set(double now_ms, const std::vector<std::string>& zones);
  // True: a zone may get requests again.
  bool Tick(double now_ms);
  bool IsOut(const std::string& zone) const { return evacuated_.contains(zone) || returning_.contains(zone); }
  // The list with the servers of zones that are out taken as draining.
  fleet::ServerMap Drained(fleet::ServerMap servers) const;

 private:
  std::set<std::string> evacuated_;
  std::map<std::string, double> returning_;  // zones that were taken back, and until when they stay out
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_EVACUATED_ZONES_H_
