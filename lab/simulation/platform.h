// The platform's list of servers. Each change has a revision, which the list shows as an entry of its own, so
// that what a subscriber holds can be told by its age.
#ifndef BITTERNMUX_LAB_SIMULATION_PLATFORM_H_
#define BITTERNMUX_LAB_SIMULATION_PLATFORM_H_

#include <string>
#include <utility>
#include <vector>

#include "fleet/feed/feed.h"
#include "lab/simulation/clock.h"

namespace bitternmux::lab::simulation {

constexpr const char* kRevisionEntry = "revision";
constexpr double kListLagMs = 800;  // after which a change is shown

// 0: the map shows none.
inline int RevisionOf(const fleet::ServerMap& servers) {
  const auto found = servers.find(kRevisionEntry);
  return found == servers.end() ? 0 : found->second.slots;
}

class Platform {
 public:
  // Servers stand in these zones, in turn.
  Platform(Clock& clock, std::vector<std::string> zones) : clock_(clock), zones_(std::move(zones)) {
    Change();
  }

  void Change() { changed_ms_.push_back(clock_.now_ms()); }
  int revision() const { return static_cast<int>(changed_ms_.size()); }
  // When a revision began.
  double ChangedMs(int revision) const { return changed_ms_[static_cast<std::size_t>(revision - 1)]; }
  // The list as it is shown now: it lags.
  fleet::ServerMap List() const {
    int shown = 1;
    for (std::size_t i = 0; i < changed_ms_.size(); ++i) {
      if (changed_ms_[i] <= clock_.now_ms() - kListLagMs) shown = static_cast<int>(i) + 1;
    }
    fleet::ServerMap servers;
    servers[kRevisionEntry] = {kRevisionEntry, "none", "0:0", "z", shown, false};
    for (int i = shown; i < shown + 3; ++i) {
      const std::string id = "s" + std::to_string(i);
      servers[id] = {id, "model", "10.9.0.1:80", ZoneOf(i), 8, i == shown};
    }
    return servers;
  }

 private:
  const std::string& ZoneOf(int server) const {
    return zones_[static_cast<std::size_t>(server) % zones_.size()];
  }

  Clock& clock_;
  const std::vector<std::string> zones_;
  std::vector<double> changed_ms_;
};

}  // namespace bitternmux::lab::simulation

#endif  // BITTERNMUX_LAB_SIMULATION_PLATFORM_H_
