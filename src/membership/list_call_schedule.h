// When to ask discovery for the list, where it speaks only when asked: at the start, and after a refusal with
// a pause that grows. Both that pause and the wait for an answer are spread by the caller's chance, so that
// members that called or were turned away together do not come back together. Spreading only shortens.
//
// Bounds. Whatever became of a call and whatever the settings allow, the next one goes out within kLongestMs
// of it: a change counts as told 6 s after discovery had it and could be reached, which may have been right
// behind the call. The first after a watch broke goes out within kFirstMs: a watch that fell silent is broken
// up to 3 s after it missed a change, which is to be in force everywhere within 4 s. What is left of these is
// for the call itself.
//
// Does no I/O, reads no clock and draws no chance. Times in ms, by the caller's clock; `chance`: uniform,
// from 0 to below 1.
#ifndef BITTERNMUX_SRC_MEMBERSHIP_LIST_CALL_SCHEDULE_H_
#define BITTERNMUX_SRC_MEMBERSHIP_LIST_CALL_SCHEDULE_H_

#include <algorithm>

namespace cartspring {

class ListCallSchedule {
 public:
  static constexpr double kMaxCallIntervalMs = 5000, kMaxFirstRetryMs = 800;

  // `ask_within_ms`: a member must never go this long without asking. It is read at each call, so that new
  // settings count at once, and must outlive this.
  explicit ListCallSchedule(const double& ask_within_ms) : ask_within_ms_(ask_within_ms) {}
  explicit ListCallSchedule(const double&&) = delete;

  // A call goes out now. Until its answer comes, the next is due at the time returned: an answer that never
  // comes must not leave this member deaf. No sooner than most answers that are slow would have come.
  double CallSent(double now, double chance) {
    in_flight_ = true;
    return next_call_ms_ = now + MaxWaitMs() * (0.75 + 0.25 * chance);
  }
  // The list, or a change of it, has come.
  void ListReceived() {
    if (!in_flight_) return;
    in_flight_ = false;
    subscribed_ = true;
    refusals_ = 0;
  }
  // The call failed, or the watch broke. When the next is due.
  double CallFailed(double now, double chance) {
    const double first = std::min(kMaxFirstRetryMs, MaxWaitMs() / 4);
    const double base = std::min(MaxWaitMs(), first * (1 << std::min(refusals_, 4)));
    ++refusals_;
    const double next = now + base * (0.5 + 0.5 * chance);
    next_call_ms_ = in_flight_ ? std::min(next_call_ms_, next) : next;
    subscribed_ = in_flight_ = false;
    return next_call_ms_;
  }
  bool Due(double now) const { return !subscribed_ && now >= next_call_ms_ - kTimeToleranceMs; }

 private:
  static constexpr double kTimeToleranceMs = 1e-6;  // for comparing times

  double MaxWaitMs() const { return std::min(kMaxCallIntervalMs, ask_within_ms_ / 2); }

  const double& ask_within_ms_;
  bool in_flight_ = false;
  bool subscribed_ = false;
  int refusals_ = 0;
  double next_call_ms_ = 0;
};

}  // namespace cartspring

#endif  // BITTERNMUX_SRC_MEMBERSHIP_LIST_CALL_SCHEDULE_H_
