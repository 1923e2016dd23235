// Whether the process stood still: it was stopped, starved of its core, or its machine was, and goes on as if
// no time had passed. What came meanwhile lies unread, news of discovery among it, and what was asked
// meanwhile may be over.
//
// Does no I/O and reads no clock. Times in ms, by the caller's clock, which only advances.
#ifndef BITTERNMUX_SRC_STANDSTILL_STANDSTILL_H_
#define BITTERNMUX_SRC_STANDSTILL_STANDSTILL_H_

#include <utility>

namespace bitternmux {

class Standstill {
 public:
  // Longer than a busy process lets its wheel wait, and far shorter than the grace of a drain (1.5 s).
  static constexpr double kLeastMs = 250;

  explicit Standstill(double now_ms) : looked_ms_(now_ms) {}

  // To be called at least every 50 ms or so, and before anything is decided by what has come. True if it
  // has stood still since the call before: then what is to be known first has to be read first.
  bool Woke(double now_ms) {
    const double before_ms = std::exchange(looked_ms_, now_ms);
    if (now_ms - before_ms < kLeastMs) return false;
    stood_from_ms_ = before_ms;
    woke_ms_ = now_ms;
    return true;
  }

  // For how long what is read now may have lain unread, at the most: since the standstill began while what
  // came during it is being read, else 0.
  double UnreadFor(double now_ms) const {
    return now_ms - woke_ms_ <= kBacklogMs ? now_ms - stood_from_ms_ : 0;
  }
  double lasted_ms() const { return woke_ms_ - stood_from_ms_; }  // the latest one

 private:
  static constexpr double kBacklogMs = 250;  // in which all that lay unread is read

  double looked_ms_;
  double stood_from_ms_ = 0;
  double woke_ms_ = -kBacklogMs - 1e12;  // none so far
};

}  // namespace bitternmux

#endif  // BITTERNMUX_SRC_STANDSTILL_STANDSTILL_H_
