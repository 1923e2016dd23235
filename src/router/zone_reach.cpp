#include "router/zone_reach.h"

#include <algorithm>

namespace bitternmux::router {
namespace {

// A zone counts as cut off from this number of unresponsive servers on.
constexpr std::size_t kMinUnresponsiveServers = 2;
constexpr double kInitialPauseMs = 500, kMaxPauseMs = 4000;

}  // namespace

void ZoneReach::OnResponse(double now_ms, const std::string& zone) {
  Zone& row = zones_[zone];
  row.last_response_ms = now_ms;
  row.unresponsive.clear();
}

void ZoneReach::OnNoResponse(double now_ms, const std::string& zone, const std::string& server,
                             double since_ms) {
  Zone& row = zones_[zone];
  if (row.last_response_ms >= since_ms) return;
  const bool was_cut_off = IsCutOff(row);
  row.unresponsive.insert(server);
  if (was_cut_off || !IsCutOff(row)) return;
  row.pause_ms = kInitialPauseMs;
  row.trial_due_ms = now_ms + row.pause_ms;
}

void ZoneReach::OnSent(double now_ms, const std::string& zone) {
  const auto found = zones_.find(zone);
  if (found == zones_.end() || !IsCutOff(found->second)) return;
  Zone& row = found->second;
  if (now_ms < row.trial_due_ms) return;
  row.pause_ms = std::min(kMaxPauseMs, 2 * row.pause_ms);
  row.trial_due_ms = now_ms + row.pause_ms;
}

bool ZoneReach::IsCutOff(const Zone& zone) { return zone.unresponsive.size() >= kMinUnresponsiveServers; }

bool ZoneReach::IsCutOff(const std::string& zone) const {
  const auto found = zones_.find(zone);
  return found != zones_.end() && IsCutOff(found->second);
}

bool ZoneReach::MayTry(double now_ms, const std::string& zone) const {
  const auto found = zones_.find(zone);
  return found == zones_.end() || !IsCutOff(found->second) || now_ms >= found->second.trial_due_ms;
}

}  // namespace bitternmux::router
