// Determines the zones whose servers get no new requests from this router; pure decision logic without I/O.
//
// These are the zones that the operator has evacuated. A zone stays excluded for another kReturnDelayMs
// after its evacuation has ended: its servers may have become cold in the meantime, and the platform's list
// reports that late.
//
// Bounds: one row for each zone. Not thread-safe. Times are in milliseconds on one clock.
#ifndef BITTERNMUX_SRC_ROUTER_EVACUATED_ZONES_H_
#define BITTERNMUX_SRC_ROUTER_EVACUATED_ZONES_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet/feed/feed.h"

namespace bitternmux::router {

constexpr double kReturnDelayMs = 2500;

class EvacuatedZones {
 public:
  // Sets the zones that are evacuated from now on. Returns whether this is a change.
  bool Set(double now_ms, const std::vector<std::string>& zones);
  // Ends exclusions whose delay has passed. Returns whether a zone may get requests again.
  bool Tick(double now_ms);
  bool IsExcluded(const std::string& zone) const {
    return evacuated_.contains(zone) || returning_.contains(zone);
  }
  // Returns the list with the servers of excluded zones marked as draining.
  fleet::ServerMap MarkDraining(fleet::ServerMap servers) const;

 private:
  std::set<std::string> evacuated_;
  // Zones whose evacuation has ended, and until when they stay excluded.
  std::map<std::string, double> returning_;
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_EVACUATED_ZONES_H_
