// When a process that sleeps until something is due has to wake: a decider. Whoever owns the timer sets it
// for the time that it is told and says when a turn begins and ends.
//
// Times are rounded up to ticks, so that what is due together is done together, and a sleep is bounded: what
// is polled at each turn waits no longer. State: three times. Does no I/O and reads no clock. Times in ms on
// one clock that does not go back.
#ifndef BITTERNMUX_SRC_CORE_WAKE_TIMES_H_
#define BITTERNMUX_SRC_CORE_WAKE_TIMES_H_

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

namespace bitternmux {

class WakeTimes {
 public:
  // `tick_ms` above 0; `longest_ms`, of a sleep, at least a tick.
  WakeTimes(double now_ms, double tick_ms, double longest_ms)
      : start_ms_(now_ms), tick_ms_(tick_ms), longest_ms_(longest_ms) {}

  // A turn begins. What is due from now on is asked for at its end.
  void Turning() { wake_ms_ = -kNever; }
  // The turn is over, and this is due next, infinity for nothing. When to wake.
  double Turned(double now_ms, double due_ms) {
    wake_ms_ = TickFrom(std::max(now_ms, std::min(due_ms, now_ms + longest_ms_)));
    return wake_ms_;
  }
  // Something has come to be due. When to wake, if that is sooner than it was told before.
  std::optional<double> Due(double now_ms, double due_ms) {
    if (due_ms >= wake_ms_) return std::nullopt;
    const double wake_ms = TickFrom(std::max(now_ms, due_ms));
    if (wake_ms >= wake_ms_) return std::nullopt;
    return wake_ms_ = wake_ms;
  }

 private:
  static constexpr double kNever = std::numeric_limits<double>::infinity();

  double TickFrom(double at_ms) const {
    return start_ms_ + std::ceil((at_ms - start_ms_) / tick_ms_) * tick_ms_;
  }

  const double start_ms_, tick_ms_, longest_ms_;
  double wake_ms_ = -kNever;  // before the first turn nothing is due sooner
};

}  // namespace bitternmux

#endif  // BITTERNMUX_SRC_CORE_WAKE_TIMES_H_
