// Decides how a router shuts down; pure decision logic without I/O.
//
// For a while after SIGTERM new clients still arrive, until the platform has noticed that the router is not
// ready; they are served as before. From then on a request is only accepted if its deadline is within the
// grace period. The process exits when the last client has left, at the latest just before the grace period
// is over.
#ifndef BITTERNMUX_SRC_ROUTER_SHUTDOWN_H_
#define BITTERNMUX_SRC_ROUTER_SHUTDOWN_H_

#include <cstddef>
#include <optional>

namespace bitternmux::router {

class Shutdown {
 public:
  static constexpr double kPlatformNoticeMs = 2600;  // after this the platform sends no new clients here
  // The process exits at the latest this long before the end of the grace period.
  static constexpr double kExitBeforeEndMs = 300;

  explicit Shutdown(double grace_ms) : grace_ms_(grace_ms) {}

  // Starts the shutdown. Further calls have no effect.
  void Begin(double now_ms);
  bool begun() const { return since_ms_.has_value(); }
  // Whether a request may be accepted whose answer may take until `until_ms`.
  bool Admits(double now_ms, double until_ms) const;
  // Whether client connections without an open request are to be closed.
  bool ClosesIdleConnections(double now_ms) const;
  bool MayExit(double now_ms, std::size_t open_connections) const;

 private:
  double ElapsedMs(double now_ms) const { return now_ms - *since_ms_; }
  bool PlatformNoticesInTime() const { return kPlatformNoticeMs < grace_ms_ - kExitBeforeEndMs; }

  const double grace_ms_;
  std::optional<double> since_ms_;  // none: no shutdown was requested
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_SHUTDOWN_H_
