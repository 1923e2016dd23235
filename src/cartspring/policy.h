// The event handlers of the balancer, which combine its decision steps (include/cartspring/balancer.h).
//
// The mechanism is Stochastic Skip, after Klein, Metzler and Bar-Yam, "Handling Emergent Resource Use
// Oscillations": ready hosts are ranked by last reported load, each is passed over with one fixed chance, and
// a passed-over request moves on at once. Its steps, in order: host table (hosts.h), estimates and health
// (beliefs.h), legality (attempts.h), load reports (reports.h), choice and admission (host_selector.h).
//
// Invariants. Each open request has a timer at its end, gets at most one final action from here, and its
// entry is removed as soon as it is over. Events that no longer matter change nothing but the time.
#ifndef CARTSPRING_SRC_CARTSPRING_POLICY_H_
#define CARTSPRING_SRC_CARTSPRING_POLICY_H_

#include "cartspring/attempts.h"
#include "cartspring/host_selector.h"
#include "pace/adaptive_throttle.h"
#include "rows/recycling_map.h"

namespace cartspring {

constexpr double kMinAnswerMs = 0.1;  // shortest time in which an answer can arrive
constexpr int kQuickDraws = 3;        // samples drawn in quick succession; later ones are spaced out
constexpr double kTimeoutFactor = 2;  // a timed-out attempt is assumed to need this multiple of its time

class Balancer::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed, ActionSink& sink)
      : ctx_{(CheckSettings(settings), settings), Random(seed)}, sink_(sink), hosts_(ctx_, seed) {}

  void Retune(const Settings& settings, const std::vector<int>& like) {
    CheckSettings(settings);
    ctx_.set = settings;
    estimates_.Retune(like);
    admission_.Retune(like);
    pace_.Retune(ctx_.Worths(), like);
  }

  void OnHosts(double now, const std::vector<HostEntry>& entries, bool complete, bool remembered) {
    Advance(now);
    hosts_.Update(entries, complete);
    const auto name_of = [&](int i) -> const std::string& { return hosts_[i].entry.host; };
    ctx_.startup.ListReceived(ctx_.now, hosts_.live(), name_of, remembered);
    if (remembered && ctx_.set.must_subscribe) AskForList();
  }

  void OnDiscoveryRefused(double now) {
    Advance(now);
    if (!ctx_.set.must_subscribe) return;
    sink_.SetTimer(ctx_.startup.CallFailed(ctx_.now, ctx_.random.Unit()), kDiscoveryTimer);
  }

  void OnRequest(double now, const Request& request) {
    Check(request.klass >= 0 && request.klass < static_cast<int>(ctx_.set.classes.size()),
          "request of no known class");
    Check(requests_.find(request.id) == requests_.end(), "request id in use");
    Check(std::isfinite(request.give_up_ms), "request without an end");
    Advance(now);
    Live& live = requests_[request.id];
    live.request = request;
    if (!std::isfinite(request.work_hint_ms)) live.request.work_hint_ms = 0;
    attempts_.EarnToken();
    health_.EarnToken();
    selector_.CountRequest();
    live.share = admission_.WorkRatioOf(live.request);
    live.halfway_at = (ctx_.now + request.give_up_ms) / 2 - ctx_.set.tick_ms;
    sink_.SetTimer(std::max(attempts_.LastBatchTime(live), ctx_.now), Token(request.id, kEndTimer));
    if (attempts_.LastBatchTime(live) <= ctx_.now) return;  // the timer ends it in the next batch
    Gather(request.id, live);
  }

  void OnStreamBegun(double now, RequestId id, int attempt) {
    Advance(now);
    const auto found = requests_.find(id);
    if (found == requests_.end() || attempt < 0 || attempt >= found->second.Count()) return;
    found->second.stream_begun = true;  // the stream is the client's now: no deadline, no further attempt
  }

  void OnOutcome(double now, RequestId id, int attempt, Outcome outcome, bool over, double took,
                 const LoadReport* report) {
    Advance(now);
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    Live& live = found->second;
    if (attempt < 0 || attempt >= live.Count() || !live.attempts[attempt].pending) return;
    Attempt& tried = live.attempts[attempt];
    tried.pending = false;
    tried.may_have_run = !ProvesNeverRan(outcome);
    ReleaseAttempt(tried);
    if (report != nullptr) reports_.Update(hosts_[tried.host], *report);
    // NaN, times near 0 and times longer than any client waits must not enter an estimate.
    Learn(live, tried, outcome,
          std::min(std::max(kMinAnswerMs, took), ctx_.ClassOf(live.request).deadline_ms));
    if (over) return Forget(id, live);
    if (live.stream_begun || live.gathering || live.Pending()) return;
    if (attempts_.AllowRetry(live, outcome, estimates_.Typical(live.request.klass))) {
      Gather(id, live);
    } else {
      End(id, live);
    }
  }

  void OnProbeResult(double now, const std::string& name, bool answered, double took,
                     const LoadReport* report) {
    Host& host = hosts_[hosts_.RowOf(name)];
    Advance(now);
    const std::vector<RequestId> waiters = reports_.FinishProbe(host, answered, took, report);
    if (!answered) health_.RecordOutcome(host, true);
    for (const RequestId id : waiters) {
      const auto found = requests_.find(id);
      if (found == requests_.end() || !found->second.gathering) continue;
      --found->second.reports_due;
      if (found->second.reports_due <= 0) Decide(id, found->second);
    }
  }

  void OnClientGone(double now, RequestId id) {
    Advance(now);
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    CancelPending(id, found->second);
    Forget(id, found->second);
  }

  std::vector<std::string> Avoided(double now) {
    Advance(now);
    const auto ready = health_.Ready(hosts_, /*safe=*/true);
    std::vector<std::string> out;
    for (const int i : hosts_.live()) {
      if (!ready(hosts_[i])) out.push_back(hosts_[i].entry.host);
    }
    return out;
  }

  std::vector<StateChange> StateChanges(double now, std::uint64_t after) {
    return ctx_.startup.Changes(std::max(ctx_.now, now), after);
  }

  void OnTimer(double now, std::uint64_t token) {
    Advance(now);
    if (token == kDiscoveryTimer) return ctx_.startup.Due(ctx_.now) ? AskForList() : void();
    const RequestId id = token / kTimerKinds;
    const auto found = requests_.find(id);
    if (found == requests_.end() || found->second.stream_begun) return;
    Live& live = found->second;
    if (token % kTimerKinds == kSlowTimer) {
      Attempt& last = live.attempts.back();
      // Not counted for hosts not heard of lately, which may be gone, or cold hosts, which are always late.
      last.slow = last.pending && ctx_.now >= last.sent_at + admission_.SlowAfter(live) - kTimeToleranceMs &&
                  ctx_.now - hosts_[last.host].load_at < ctx_.ClassOf(live.request).deadline_ms &&
                  hosts_.Warmth(hosts_[last.host]) >= 1;
      if (last.slow) pace_.RecordAnswer(/*late=*/true);
    } else if (token % kTimerKinds == kLateTimer) {
      Attempt& last = live.attempts.back();
      if (!last.pending || last.late || ctx_.now < last.late_at - kTimeToleranceMs) return;
      last.late = true;
      reports_.CountLate(hosts_[last.host], 1);
    } else if (token % kTimerKinds == kEndTimer) {
      if (ctx_.now >= attempts_.LastBatchTime(live) - kTimeToleranceMs) End(id, live);
    } else if (live.gathering && ctx_.now >= live.hold_until - kTimeToleranceMs) {
      live.sample.empty() ? Gather(id, live) : Decide(id, live);
    }
  }

 private:
  enum TimerKind : std::uint64_t { kEndTimer, kHoldTimer, kLateTimer, kSlowTimer, kTimerKinds };
  static std::uint64_t Token(RequestId id, TimerKind kind) { return id * kTimerKinds + kind; }

  void Advance(double now) { ctx_.now = std::max(ctx_.now, now); }  // a clock that goes back is ignored

  void AskForList() {
    sink_.Subscribe();
    sink_.SetTimer(ctx_.startup.CallSent(ctx_.now, ctx_.random.Unit()), kDiscoveryTimer);
  }

  void Gather(RequestId id, Live& live) {
    const auto ready = health_.Ready(hosts_, ctx_.ClassOf(live.request).effect == Effect::kSafe);
    const auto is_candidate = [&](int i) {
      return ready(hosts_[i]) && attempts_.MaySend(live, i) && !live.Excluded(i);
    };
    const auto ruled_out = [&](int i) { return hosts_[i].Live() && !is_candidate(i); };
    const auto count = [&] {  // what may have run can be bound to a zone or cell
      return std::ssize(hosts_.live()) - (live.MayHaveRun()
                                              ? std::ranges::count_if(hosts_.live(), ruled_out)
                                              : health_.watched().CountIf(ruled_out, live.excluded));
    };
    if (!reports_.Gather(id, live, is_candidate, count)) return Decide(id, live);
    sink_.SetTimer(live.hold_until, Token(id, kHoldTimer));
  }

  void Decide(RequestId id, Live& live) {
    live.gathering = false;
    std::erase_if(live.sample, [&](int i) { return !attempts_.MaySend(live, i); });
    const Ranked kept = selector_.Choose(live);
    if (kept.host == kNoHost) return SampleLater(id, live);
    if (kept.host == kAllFull || !Admitted(live, kept)) {
      selector_.CountTurnedAway();
      return End(id, live);
    }
    SendTo(id, live, kept);
  }

  // In a large tier an instance sees too little of each host to predict its answers: there the pace decides,
  // from all that it sees. The share of a cold host is sent in any case: it is little, and warms the host up.
  bool Admitted(const Live& live, const Ranked& kept) {
    if (!ctx_.LargeTier()) return admission_.InTime(live, kept);
    if (live.Count() > 0 || hosts_.Warmth(hosts_[kept.host]) < 1) return true;
    return pace_.Admits(live.request.klass, ctx_.random.Unit());
  }

  // No host was chosen: sample again soon, then less and less often. A request that all hosts have passed
  // over, or that no host accepted in half its time, is ended while the client can still act on that.
  void SampleLater(RequestId id, Live& live) {
    ++live.draws;
    live.sample.clear();
    live.gathering = true;
    const double left = std::max(live.halfway_at, ctx_.now) - ctx_.now;
    live.hold_until = ctx_.now + std::max(ctx_.set.tick_ms, live.draws < kQuickDraws ? 0 : left / 4);
    const bool may_find_host = hosts_.live().empty() || live.excluded.size() < hosts_.live().size() ||
                               !std::ranges::all_of(hosts_.live(), [&](int i) { return live.Excluded(i); });
    if (!may_find_host || live.hold_until >= live.halfway_at) return End(id, live);
    sink_.SetTimer(live.hold_until, Token(id, kHoldTimer));
  }

  void SendTo(RequestId id, Live& live, const Ranked& kept) {
    Host& host = hosts_[kept.host];
    const double repeat_by = attempts_.RepeatBy(live);
    live.attempts.push_back({kept.host, ctx_.now, kept.figure, true, true});
    health_.Sent(host, estimates_.Expected(live.request.klass, host, kept.figure, live.share));
    ++host.open_attempts;
    reports_.CountOwn(host, 1);
    live.attempts.back().late_at = ctx_.now + kCutAfterTimes * host.expected_ms;
    sink_.SetTimer(live.attempts.back().late_at, Token(id, kLateTimer));
    if (ctx_.LargeTier()) sink_.SetTimer(ctx_.now + admission_.SlowAfter(live), Token(id, kSlowTimer));
    live.excluded.push_back(kept.host);
    live.draws = 0;
    sink_.Send(id, host.entry.host, attempts_.AttemptEnd(live, host.expected_ms), repeat_by);
  }

  void ReleaseAttempt(const Attempt& attempt) {
    if (attempt.late) reports_.CountLate(hosts_[attempt.host], -1);
    reports_.CountOwn(hosts_[attempt.host], -1);
  }

  // Updates health and time estimates from an outcome.
  void Learn(const Live& live, const Attempt& tried, Outcome outcome, double took) {
    Host& host = hosts_[tried.host];
    const int klass = live.request.klass;
    const bool responded = outcome == Outcome::kServed || outcome == Outcome::kError ||
                           outcome == Outcome::kRefusedByHost || outcome == Outcome::kConnectionLost;
    if (responded) health_.Heard(host);
    if (responded || outcome == Outcome::kConnectFailed) host.connect_failed = !responded;
    switch (outcome) {
      case Outcome::kServed:
        ctx_.startup.HostAnswered(ctx_.now, host.entry.host);
        reports_.Served(host);
        health_.RecordOutcome(host, false);
        if (!tried.slow && hosts_.Warmth(host) >= 1) pace_.RecordAnswer(took > admission_.SlowAfter(live));
        estimates_.LearnTypical(klass, took);
        return estimates_.LearnTime(klass, host, tried.figure, live.share, took);
      case Outcome::kTimeout:
        // It would have taken longer still: with its bare time the fit could never expect a time-out. But a
        // host silent all the while, or an answer lost while others came, says nothing of answer times.
        if (host.waiting_since <= tried.sent_at || tried.late)
          return health_.RecordOutcome(host, true, host.waiting_since <= tried.sent_at);
        return estimates_.LearnTime(klass, host, tried.figure, live.share, kTimeoutFactor * took);
      case Outcome::kError:
      case Outcome::kConnectFailed:
      case Outcome::kConnectionLost:
        return health_.RecordOutcome(host, true);
      case Outcome::kRefusedByHost:
        return health_.Pause(host);
      case Outcome::kCancelled:
      case Outcome::kNotSent:
        return;
    }
  }

  void CancelPending(RequestId id, const Live& live) {
    for (int k = 0; k < live.Count(); ++k) {
      if (live.attempts[k].pending && ctx_.set.may_cancel) sink_.Cancel(id, k);
    }
  }

  void Forget(RequestId id, const Live& live) {
    for (const Attempt& attempt : live.attempts) {
      Host& host = hosts_[attempt.host];
      if (attempt.pending && health_.Silent(host))
        health_.RecordOutcome(host, true);  // else its silence would be forgotten with the request
      if (attempt.pending) ReleaseAttempt(attempt);
      --host.open_attempts;
    }
    requests_.erase(id);
  }

  void End(RequestId id, const Live& live) {
    CancelPending(id, live);
    attempts_.MayRefuse(live) ? sink_.Refuse(id, admission_.RetryDelay(live)) : sink_.Fail(id);
    Forget(id, live);
  }

  Context ctx_;
  ActionSink& sink_;
  HostTable hosts_;
  Estimates estimates_{ctx_};
  Health health_{ctx_, estimates_};
  Attempts attempts_{ctx_, hosts_};
  Reports reports_{ctx_, hosts_, estimates_, sink_};
  HostSelector selector_{ctx_, hosts_, estimates_, reports_};
  Admission admission_{ctx_, hosts_, estimates_};
  AdaptiveThrottle pace_{ctx_.Worths()};
  RecyclingMap<RequestId, Live> requests_;
};

}  // namespace cartspring

#endif  // CARTSPRING_SRC_CARTSPRING_POLICY_H_
