// Counters of a router process for monitoring: `GET /metrics` on the readiness address, in Prometheus' text
// format. Counters only rise, and begin at 0 with each start.
#ifndef BITTERNMUX_SRC_ROUTER_ROUTER_METRICS_H_
#define BITTERNMUX_SRC_ROUTER_ROUTER_METRICS_H_

#include <array>
#include <cstdint>
#include <string>

#include "budget/client_budget.h"
#include "router/request_end.h"
#include "router/upstream.h"

namespace bitternmux::router {

class RouterMetrics {
 public:
  void CountEnded(EndReason reason) { ++ended_[static_cast<std::size_t>(reason)]; }
  void CountLate() { ++late_; }
  // An attempt ended inside an event, of which `bytes` had arrived.
  void CountTornAttempt(std::size_t bytes);
  // A stream continues at another server, after the last event that its client has.
  void CountResumedStream() { ++streams_resumed_; }
  // A server that was to continue a stream sent events that its client already has.
  void CountUncontinuedStream() { ++streams_not_continued_; }
  // Expected (when the server was chosen) and observed time to a first event, in milliseconds.
  void RecordFirstEvent(double expected_ms, double observed_ms);

  std::uint64_t streams_not_continued() const { return streams_not_continued_; }
  std::uint64_t ended(EndReason reason) const { return ended_[static_cast<std::size_t>(reason)]; }
  std::string Text(const Upstream::Figures& upstream, const budget::ClientBudget::Relieved& relieved) const;

 private:
  std::array<std::uint64_t, kEndReasons> ended_{};
  std::uint64_t late_ = 0;  // served, but the first event came later than the route's target latency
  std::uint64_t attempts_torn_ = 0, torn_bytes_ = 0, streams_resumed_ = 0, streams_not_continued_ = 0;
  std::uint64_t first_events_ = 0;
  double expected_ms_ = 0, observed_ms_ = 0, error_ms_ = 0;  // sums
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_ROUTER_METRICS_H_
