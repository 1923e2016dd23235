#include "router/shutdown.h"

namespace bitternmux::router {

void Shutdown::Begin(double now_ms) {
  if (!begun()) since_ms_ = now_ms;
}

bool Shutdown::Admits(double now_ms, double until_ms) const {
  if (!begun()) return true;
  if (ElapsedMs(now_ms) < kPlatformNoticeMs && PlatformNoticesInTime()) return true;
  return until_ms <= *since_ms_ + grace_ms_ - kExitBeforeEndMs;
}

bool Shutdown::ClosesIdleConnections(double now_ms) const {
  return begun() && ElapsedMs(now_ms) >= kPlatformNoticeMs;
}

bool Shutdown::MayExit(double now_ms, std::size_t open_connections) const {
  if (!ClosesIdleConnections(now_ms)) return false;
  return open_connections == 0 || ElapsedMs(now_ms) > grace_ms_ - kExitBeforeEndMs;
}

}  // namespace bitternmux::router
