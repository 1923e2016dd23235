#include "router/shutdown.h"

namespace bitternmux::router {

void Shutdown::Begin(double now_ms) {
  if (!begun()) since_ms_ = now_ms;
}

bool Shutdown::TakesRequests(double now_ms) const {
  return !begun() || Passed(now_ms) <= grace_ms_ - kRefuseBeforeMs;
}

bool Shutdown::Admits(double now_ms, double until_ms) const {
  if (!TakesRequests(now_ms)) return false;
  if (!begun() || Passed(now_ms) < kNoticedMs) return true;
  return until_ms <= *since_ms_ + grace_ms_ - kEndBeforeMs;
}

bool Shutdown::ClosesIdleConnections(double now_ms) const { return begun() && Passed(now_ms) >= kNoticedMs; }

bool Shutdown::MayEnd(double now_ms, std::size_t open_connections) const {
  if (!ClosesIdleConnections(now_ms)) return false;
  return open_connections == 0 || Passed(now_ms) > grace_ms_ - kEndBeforeMs;
}

}  // namespace bitternmux::router
