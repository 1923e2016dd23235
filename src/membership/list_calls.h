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
#ifndef BITTERNMUX_SRC_MEMBERSHIP_LIST_CALLS_H_
#define BITTERNMUX_SRC_MEMBERSHIP_LIST_CALLS_H_

#include <algorithm>

namespace cartspring {

class ListCalls {
 public:
  static constexpr double kLongestMs = 5000, kFirstMs = 800;

  // `ask_within_ms`: a member must never go this long without asking. It is read at each call, so that new
  // settings count at once, and must outlive this.
  explicit ListCalls(const double& ask_within_ms) : ask_within_ms_(ask_within_ms) {}
  explicit ListCalls(const double&&) = delete;

  // A call goes out now. Until its answer comes, the next is due at the time returned: an answer that never
  // comes must not leave this member deaf. No sooner than most answers that are slow would have come.
  double Asked(double now, double chance) {
    asked_ = true;
    return due_ = now + HalfMs() * (0.75 + 0.25 * chance);
  }
  // The list, or a change of it, has come.
  void Answered() {
    if (!asked_) return;
    asked_ = false;
    subscribed_ = true;
    refusals_ = 0;
  }
  // The call failed, or the watch broke. When the next is due.
  double Refused(double now, double chance) {
    const double first = std::min(kFirstMs, HalfMs() / 4);
    const double base = std::min(HalfMs(), first * (1 << std::min(refusals_, 4)));
    ++refusals_;
    const double next = now + base * (0.5 + 0.5 * chance);
    due_ = asked_ ? std::min(due_, next) : next;
    subscribed_ = asked_ = false;
    return due_;
  }
  bool Due(double now) const { return !subscribed_ && now >= due_ - kSettledMs; }

 private:
  static constexpr double kSettledMs = 1e-6;  // for comparing times

  double HalfMs() const { return std::min(kLongestMs, ask_within_ms_ / 2); }

  const double& ask_within_ms_;
  bool asked_ = false;
  bool subscribed_ = false;
  int refusals_ = 0;
  double due_ = 0;
};

}  // namespace cartspring

#endif  // BITTERNMUX_SRC_MEMBERSHIP_LIST_CALLS_H_
