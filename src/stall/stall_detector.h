// Whether the process stood still: it was stopped, starved of its core, or its machine was, and goes on as if
// no time had passed. What came meanwhile lies unread, news of discovery among it, and what was asked
// meanwhile may be over.
//
// Does no I/O and reads no clock. Times in ms, by the caller's clock, which only advances.
#ifndef BITTERNMUX_SRC_STALL_STALL_DETECTOR_H_
#define BITTERNMUX_SRC_STALL_STALL_DETECTOR_H_

#include <utility>

namespace bitternmux {

class StallDetector {
 public:
  // Longer than a busy process lets its wheel wait, and far shorter than the grace of a drain (1.5 s).
  static constexpr double kMinStallMs = 250;

  explicit StallDetector(double now_ms) : last_check_ms_(now_ms) {}

  // To be called at least every 50 ms or so, and before anything is decided by what has come. True if it
  // has stood still since the call before: then what is to be known first has to be read first.
  bool DetectStall(double now_ms) {
    const double before_ms = std::exchange(last_check_ms_, now_ms);
    if (now_ms - before_ms < kMinStallMs) return false;
    stall_began_ms_ = before_ms;
    stall_ended_ms_ = now_ms;
    return true;
  }

  // For how long what is read now may have lain unread, at the most: since the standstill began while what
  // came during it is being read, else 0.
  double MaxUnreadMs(double now_ms) const {
    return now_ms - stall_ended_ms_ <= kBacklogMs ? now_ms - stall_began_ms_ : 0;
  }
  double last_stall_ms() const { return stall_ended_ms_ - stall_began_ms_; }  // the latest one

 private:
  static constexpr double kBacklogMs = 250;  // in which all that lay unread is read

  double last_check_ms_;
  double stall_began_ms_ = 0;
  double stall_ended_ms_ = -kBacklogMs - 1e12;  // none so far
};

}  // namespace bitternmux

#endif  // BITTERNMUX_SRC_STALL_STALL_DETECTOR_H_
