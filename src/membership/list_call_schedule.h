// When to request the host list from discovery, which sends nothing before it is asked: at the start, and
// after a failure with a growing backoff. Both that backoff and the time-out for an answer have jitter from
// the caller's random number, so that members that called or were refused together do not retry together.
// Jitter only shortens the delays.
//
// Bounds:
// - Whatever became of a call and whatever the settings allow, kMaxCallIntervalMs is the longest time to the
//   next one. A change must be received within 6 s after discovery had it and was reachable, and that may
//   have been right after the call.
// - The first call after a watch broke is made within kMaxFirstRetryMs. A watch that fell silent is detected
//   as broken up to 3 s after it missed a change, and a change must be in force everywhere within 4 s.
// The rest of these times is left for the call itself.
//
// Does no I/O, reads no clock and generates no random numbers. Times are in ms by the caller's clock;
// `chance` is uniform in [0, 1).
#ifndef BITTERNMUX_SRC_MEMBERSHIP_LIST_CALL_SCHEDULE_H_
#define BITTERNMUX_SRC_MEMBERSHIP_LIST_CALL_SCHEDULE_H_

#include <algorithm>

namespace cartspring {

class ListCallSchedule {
 public:
  static constexpr double kMaxCallIntervalMs = 5000, kMaxFirstRetryMs = 800;

  // `ask_within_ms`: the longest time that a member may go without a call. It is read at each call, so that
  // new settings apply at once, and must outlive this object.
  explicit ListCallSchedule(const double& ask_within_ms) : ask_within_ms_(ask_within_ms) {}
  explicit ListCallSchedule(const double&&) = delete;

  // A call is made now. Returns when the next is due if no answer arrives until then: a lost answer must not
  // cut this member off from updates. The time is long enough for most slow answers to arrive.
  double CallSent(double now, double chance) {
    in_flight_ = true;
    return next_call_ms_ = now + MaxWaitMs() * (0.75 + 0.25 * chance);
  }
  // The list, or a change of it, has been received.
  void ListReceived() {
    if (!in_flight_) return;
    in_flight_ = false;
    watching_ = true;
    failures_ = 0;
  }
  // The call failed, or the watch broke. Returns when the next call is due.
  double CallFailed(double now, double chance) {
    const double first_retry = std::min(kMaxFirstRetryMs, MaxWaitMs() / 4);
    const double backoff = std::min(MaxWaitMs(), first_retry * (1 << std::min(failures_, 4)));
    ++failures_;
    const double next_call = now + backoff * (0.5 + 0.5 * chance);
    next_call_ms_ = in_flight_ ? std::min(next_call_ms_, next_call) : next_call;
    watching_ = in_flight_ = false;
    return next_call_ms_;
  }
  bool Due(double now) const { return !watching_ && now >= next_call_ms_ - kTimeToleranceMs; }

 private:
  static constexpr double kTimeToleranceMs = 1e-6;  // absorbs rounding when times are compared

  double MaxWaitMs() const { return std::min(kMaxCallIntervalMs, ask_within_ms_ / 2); }

  const double& ask_within_ms_;
  bool in_flight_ = false;
  bool watching_ = false;
  int failures_ = 0;
  double next_call_ms_ = 0;
};

}  // namespace cartspring

#endif  // BITTERNMUX_SRC_MEMBERSHIP_LIST_CALL_SCHEDULE_H_
