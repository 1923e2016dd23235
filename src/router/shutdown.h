// How a router ends once it is told to stop: a decider.
//
// For a while after SIGTERM new clients still arrive, until the platform has noticed that the router is not
// ready; they are served as before. From then on a request is only begun if its time ends within the grace
// period, and late in that period none is. The process ends when the last client has left, at the latest just
// before its grace is over.
#ifndef BITTERNMUX_SRC_ROUTER_SHUTDOWN_H_
#define BITTERNMUX_SRC_ROUTER_SHUTDOWN_H_

#include <cstddef>
#include <optional>

namespace bitternmux::router {

class Shutdown {
 public:
  static constexpr double kNoticedMs = 2600;       // by when the platform sends no more clients here
  static constexpr double kRefuseBeforeMs = 1500;  // before the end of the grace period nothing is begun
  static constexpr double kEndBeforeMs = 300;      // before it the process ends

  explicit Shutdown(double grace_ms) : grace_ms_(grace_ms) {}

  // Told again it changes nothing.
  void Begin(double now_ms);
  bool begun() const { return since_ms_.has_value(); }
  // May any request be begun?
  bool TakesRequests(double now_ms) const;
  // May one be begun whose answer may take until `until_ms`?
  bool Admits(double now_ms, double until_ms) const;
  // Connections of clients that have no request open are to be closed.
  bool ClosesIdleConnections(double now_ms) const;
  bool MayEnd(double now_ms, std::size_t open_connections) const;

 private:
  double Passed(double now_ms) const { return now_ms - *since_ms_; }

  const double grace_ms_;
  std::optional<double> since_ms_;  // none: it was not told to stop
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_SHUTDOWN_H_
