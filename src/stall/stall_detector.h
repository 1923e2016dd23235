// Detects that the process did not run for some time: it was suspended or got no CPU, or its machine was
// suspended, and it continues as if no time had passed. Data that arrived meanwhile, such as messages from
// discovery, is still unread, and requests sent meanwhile may have expired.
//
// Does no I/O and reads no clock. Times are in ms by the caller's clock, which never goes back.
#ifndef BITTERNMUX_SRC_STALL_STALL_DETECTOR_H_
#define BITTERNMUX_SRC_STALL_STALL_DETECTOR_H_

#include <utility>

namespace bitternmux {

class StallDetector {
 public:
  // Longer than the timer wheel waits in a busy process, and far shorter than a drain's grace period (1.5 s).
  static constexpr double kMinStallMs = 250;

  explicit StallDetector(double now_ms) : last_check_ms_(now_ms) {}

  // Call this at least about every 50 ms, and before any decision that depends on received data. Returns true
  // if the process stalled since the previous call: then the data for these decisions must be read first.
  bool DetectStall(double now_ms) {
    const double previous_ms = std::exchange(last_check_ms_, now_ms);
    if (now_ms - previous_ms < kMinStallMs) return false;
    stall_began_ms_ = previous_ms;
    stall_ended_ms_ = now_ms;
    return true;
  }

  // The longest time for which data read now may have been waiting: the time since the stall began while
  // the backlog of the stall is being read, else 0.
  double MaxUnreadMs(double now_ms) const {
    return now_ms - stall_ended_ms_ <= kBacklogMs ? now_ms - stall_began_ms_ : 0;
  }
  double last_stall_ms() const { return stall_ended_ms_ - stall_began_ms_; }  // length of the latest stall

 private:
  static constexpr double kBacklogMs = 250;  // time within which the backlog is read

  double last_check_ms_;
  double stall_began_ms_ = 0;
  double stall_ended_ms_ = -kBacklogMs - 1e12;  // no stall so far
};

}  // namespace bitternmux

#endif  // BITTERNMUX_SRC_STALL_STALL_DETECTOR_H_
