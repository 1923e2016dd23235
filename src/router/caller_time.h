// What a client's remaining time allows the router to do; pure decision logic without I/O.
//
// A client waits until its deadline and may try again before it, over a new connection that another router
// takes. So whatever the router does before a request is sent to a server has to leave the client enough time
// for that try. All times are in milliseconds.
#ifndef BITTERNMUX_SRC_ROUTER_CALLER_TIME_H_
#define BITTERNMUX_SRC_ROUTER_CALLER_TIME_H_

#include <algorithm>

namespace bitternmux::router {

// How long a request may wait before it is sent: the time beside its work is shared equally with the client's
// next try, which needs the time for the same work and may have to wait as well.
inline double SpareWaitMs(double remaining_ms, double work_ms) {
  return std::max(0.0, remaining_ms - work_ms) / 2;
}

// The Retry-After to advise if a retry may succeed after about `expected_ms`. `spread` in [0, 1) is random
// and keeps clients that are refused together from returning together. Clients heed Retry-After up to a third
// of their remaining time; a later return would leave them no time for the work.
inline double RetryAfterMs(double expected_ms, double spread, double remaining_ms) {
  constexpr double kMinMs = 50;  // for another router's queue of new connections
  constexpr double kLeastFactor = 0.6, kFactorRange = 0.8;
  constexpr double kHeededShare = 1.0 / 3;
  const double spread_ms = std::max(kMinMs, expected_ms) * (kLeastFactor + kFactorRange * spread);
  return std::min(spread_ms, kHeededShare * std::max(0.0, remaining_ms));
}

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_CALLER_TIME_H_
