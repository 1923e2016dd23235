// Attempt rules: which attempts and final answers of a request are legal, how many, and when one is cut off.
//
// Invariants. Nothing new goes to a draining or gone host. What may have run is run again only if it is safe,
// or keyed and within its group and window. A refusal guarantees that a retry is harmless. Further attempts
// of what may have run are earned, which bounds retry storms.
#ifndef CARTSPRING_SRC_CARTSPRING_ATTEMPTS_H_
#define CARTSPRING_SRC_CARTSPRING_ATTEMPTS_H_

#include "cartspring/hosts.h"

namespace cartspring {

constexpr double kRetriesPerRequest = 0.2;  // further attempts earned by each request
constexpr double kMaxSavedRetries = 5;      // most further attempts that can be saved up
constexpr double kCutAfterTimes = 6;  // expected times until a request that may run again is tried elsewhere

inline bool ProvesNeverRan(Outcome outcome) {
  return outcome == Outcome::kRefusedByHost || outcome == Outcome::kConnectFailed ||
         outcome == Outcome::kNotSent;
}

class Attempts {
 public:
  Attempts(const Context& ctx, const HostTable& hosts) : ctx_(ctx), hosts_(hosts) {}

  // The last time at which a batch can still end the request in time.
  double LastBatchTime(const Live& live) const { return live.request.give_up_ms - ctx_.set.tick_ms; }

  // The time by which a further attempt must be sent: later its repeat would no longer be deduplicated.
  double RepeatBy(const Live& live) const {
    const RequestClass& klass = ctx_.ClassOf(live.request);
    const auto ran = std::ranges::find_if(live.attempts, &Attempt::may_have_run);
    if (klass.effect == Effect::kSafe || ran == live.attempts.end()) return kNever;
    return klass.effect == Effect::kKeyed ? ran->sent_at + klass.repeat_window_ms : -kNever;
  }

  bool MaySend(const Live& live, int to) const {
    const Host& host = hosts_[to];
    const RequestClass& klass = ctx_.ClassOf(live.request);
    const Settings& set = ctx_.set;
    if (host.entry.state != HostState::kLive || live.stream_begun) return false;
    if (live.Count() >= set.max_attempts || ctx_.now >= live.request.give_up_ms) return false;
    if (ctx_.now > RepeatBy(live) - set.tick_ms) return false;
    for (const Attempt& earlier : live.attempts) {
      if (earlier.pending && !set.may_duplicate) return false;
      if (!earlier.may_have_run || klass.effect == Effect::kSafe) continue;
      const HostEntry& first = hosts_[earlier.host].entry;
      if (klass.group == RepeatGroup::kZone && first.zone != host.entry.zone) return false;
      if (klass.group == RepeatGroup::kCell && first.cell != host.entry.cell) return false;
    }
    return true;
  }

  bool MayRefuse(const Live& live) const {
    const RequestClass& klass = ctx_.ClassOf(live.request);
    if (klass.effect == Effect::kSafe) return true;
    if (klass.effect == Effect::kKeyed && klass.group == RepeatGroup::kAll) return true;
    return !live.MayHaveRun();
  }

  // When to cut the attempt off: a request that may run again does not spend all its time on one host.
  double AttemptEnd(const Live& live, double expected_ms) const {
    const double end = LastBatchTime(live), cut = ctx_.now + kCutAfterTimes * expected_ms;
    const bool again = ctx_.ClassOf(live.request).effect == Effect::kSafe &&
                       live.Count() < ctx_.set.max_attempts && tokens_ >= 1 && cut + expected_ms < end;
    return again ? cut : end;
  }

  void EarnToken() { tokens_ = std::min(kMaxSavedRetries, tokens_ + kRetriesPerRequest); }

  // After a failure: allows another attempt if it is legal, can still finish in time, and is earned. An
  // attempt known not to have run has cost its host nothing and needs no earning.
  bool AllowRetry(const Live& live, Outcome outcome, double typical_ms) {
    if (live.Count() >= ctx_.set.max_attempts) return false;
    if (LastBatchTime(live) - ctx_.now < typical_ms / 2) return false;
    if (ctx_.now > RepeatBy(live) - ctx_.set.tick_ms) return false;
    if (ProvesNeverRan(outcome)) return true;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  const Context& ctx_;
  const HostTable& hosts_;
  double tokens_ = kMaxSavedRetries / 2;
};

}  // namespace cartspring

#endif  // CARTSPRING_SRC_CARTSPRING_ATTEMPTS_H_
