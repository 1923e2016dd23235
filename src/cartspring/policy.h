// The decisions of cartspring, tied together by the events. The interface is include/cartspring/balancer.h.
//
// The mechanism is Stochastic Skip, after Klein, Metzler and Bar-Yam, "Handling Emergent Resource Use
// Oscillations": ready hosts are ranked by last reported load, each is passed over with one fixed chance, a
// passed-over request moves on at once. The steps of a request, in order: host table (hosts.h), beliefs about
// hosts (beliefs.h), legality (attempts.h), report gathering (reports.h), walk and admission (walk.h).
//
// Invariants. Every request that is held has a timer at its end, and gets at most one answer from here.
// Its entry goes as soon as it is over. Events that no longer matter change nothing but the time.
#ifndef CARTSPRING_SRC_CARTSPRING_POLICY_H_
#define CARTSPRING_SRC_CARTSPRING_POLICY_H_

#include "cartspring/attempts.h"
#include "cartspring/walk.h"
#include "pace/adaptive_throttle.h"
#include "rows/recycling_map.h"

namespace cartspring {

constexpr double kSoonest = 0.1;  // ms in which an answer can come
constexpr int kLooksMax = 3;      // samples drawn for one attempt before giving up
constexpr double kCutFactor = 2;  // an attempt cut off would have taken about this many times as long

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

  void OnHosts(double now, const std::vector<HostEntry>& entries, bool whole, bool remembered) {
    Advance(now);
    hosts_.Take(entries, whole);
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
    attempts_.Earn();
    health_.Earn();
    live.aim_at = admission_.AimOf(live);
    live.share = admission_.ShareOf(live.request);
    // Past its aim such a request is worth nothing: ending it then frees the host.
    live.end_at =
        ctx_.ClassOf(request).late_worth > 0 ? request.give_up_ms : std::min(request.give_up_ms, live.aim_at);
    live.half_at = (ctx_.now + request.give_up_ms) / 2 - ctx_.set.tick_ms;
    sink_.SetTimer(std::max(attempts_.LastCall(live), ctx_.now), Token(request.id, kEndTimer));
    if (attempts_.LastCall(live) <= ctx_.now) return;  // the timer answers it in the next batch
    Gather(request.id, live);
  }

  void OnStreamBegun(double now, RequestId id, int attempt) {
    Advance(now);
    const auto found = requests_.find(id);
    if (found == requests_.end() || attempt < 0 || attempt >= found->second.Count()) return;
    found->second.begun = true;  // from here on it belongs to the client: no deadline, no further attempt
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
    Return(tried);
    if (report != nullptr) reports_.Take(hosts_[tried.host], *report);
    // What is no number, no time at all, or longer than anyone waits must not enter an estimate.
    Judge(live, tried, outcome, std::min(std::max(kSoonest, took), ctx_.ClassOf(live.request).deadline_ms));
    if (over) return Forget(id, live);
    if (live.begun || live.gathering || live.Pending()) return;
    if (attempts_.WorthAnother(live, outcome, estimates_.Typical(live.request.klass))) {
      Gather(id, live);
    } else {
      End(id, live);
    }
  }

  void OnProbeResult(double now, const std::string& name, bool answered, double took,
                     const LoadReport* report) {
    Host& host = hosts_[hosts_.RowOf(name)];
    Advance(now);
    const std::vector<RequestId> waiters = reports_.Probed(host, answered, took, report);
    if (!answered) health_.Weigh(host, true);
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
    if (found == requests_.end() || found->second.begun) return;
    Live& live = found->second;
    if (token % kTimerKinds == kSlowTimer) {
      Attempt& last = live.attempts.back();
      // Of a host that was not heard of lately it tells nothing, it may be gone; a cold one is always late.
      last.slow = last.pending && ctx_.now >= last.sent_at + admission_.SlowAfter(live) - kSettled &&
                  ctx_.now - hosts_[last.host].load_at < ctx_.ClassOf(live.request).deadline_ms &&
                  hosts_.Warmth(hosts_[last.host]) >= 1;
      if (last.slow) pace_.RecordAnswer(/*late=*/true);
    } else if (token % kTimerKinds == kLateTimer) {
      Attempt& last = live.attempts.back();
      if (!last.pending || last.late || ctx_.now < last.late_at - kSettled) return;
      last.late = true;
      reports_.CountLate(hosts_[last.host], 1);
    } else if (token % kTimerKinds == kEndTimer) {
      if (ctx_.now >= attempts_.LastCall(live) - kSettled) End(id, live);
    } else if (live.gathering && ctx_.now >= live.hold_until - kSettled) {
      live.sample.empty() ? Gather(id, live) : Decide(id, live);
    }
  }

 private:
  enum TimerKind : std::uint64_t { kEndTimer, kHoldTimer, kLateTimer, kSlowTimer, kTimerKinds };
  static std::uint64_t Token(RequestId id, TimerKind kind) { return id * kTimerKinds + kind; }

  void Advance(double now) { ctx_.now = std::max(ctx_.now, now); }  // a clock that goes back: ignored

  void AskForList() {
    sink_.Subscribe();
    sink_.SetTimer(ctx_.startup.CallSent(ctx_.now, ctx_.random.Unit()), kDiscoveryTimer);
  }

  void Gather(RequestId id, Live& live) {
    const auto ready = health_.Ready(hosts_, ctx_.ClassOf(live.request).effect == Effect::kSafe);
    const auto fits = [&](int i) {
      return ready(hosts_[i]) && attempts_.MaySend(live, i) && !live.Barred(i);
    };
    const auto unfit = [&](int i) { return hosts_[i].Live() && !fits(i); };
    const auto count = [&] {  // what may have run can be bound to a zone or cell
      return std::ssize(hosts_.live()) - (live.MayHaveRun() ? std::ranges::count_if(hosts_.live(), unfit)
                                                            : health_.watched().CountIf(unfit, live.barred));
    };
    if (!reports_.Gather(id, live, fits, count)) return Decide(id, live);
    sink_.SetTimer(live.hold_until, Token(id, kHoldTimer));
  }

  void Decide(RequestId id, Live& live) {
    live.gathering = false;
    std::erase_if(live.sample, [&](int i) { return !attempts_.MaySend(live, i); });
    const Ranked kept = walk_.Choose(live);
    if (kept.host == kNoHost) return LookAgain(id, live);
    if (kept.host == kAllFull || !TakenOn(live, kept)) return End(id, live);
    SendTo(id, live, kept);
  }

  // A member of a large tier hears too seldom of a host to know when it would answer: there the pace decides,
  // by all that it sees. What is kept for a cold host goes there in any case: it is little, and warms it up.
  bool TakenOn(const Live& live, const Ranked& kept) {
    if (!ctx_.LargeTier()) return admission_.InTime(live, kept);
    if (live.Count() > 0 || hosts_.Warmth(hosts_[kept.host]) < 1) return true;
    return pace_.Admits(live.request.klass, ctx_.random.Unit());
  }

  // No host to keep it: look again soon, then less and less often. But one that all hosts have passed over,
  // or that nobody took in half its time, is given up: that is told while the client can act on it.
  void LookAgain(RequestId id, Live& live) {
    ++live.looks;
    live.sample.clear();
    live.gathering = true;
    const double left = std::max(live.half_at, ctx_.now) - ctx_.now;
    live.hold_until = ctx_.now + std::max(ctx_.set.tick_ms, live.looks < kLooksMax ? 0 : left / 4);
    const bool hope = hosts_.live().empty() || live.barred.size() < hosts_.live().size() ||
                      !std::ranges::all_of(hosts_.live(), [&](int i) { return live.Barred(i); });
    if (!hope || live.hold_until >= live.half_at) return End(id, live);
    sink_.SetTimer(live.hold_until, Token(id, kHoldTimer));
  }

  void SendTo(RequestId id, Live& live, const Ranked& kept) {
    Host& host = hosts_[kept.host];
    const double repeat_by = attempts_.RepeatBy(live);
    live.attempts.push_back({kept.host, ctx_.now, kept.figure, true, true});
    health_.Sent(host, estimates_.Expected(live.request.klass, host, kept.figure, live.share));
    ++host.held;
    reports_.CountOwn(host, 1);
    live.attempts.back().late_at = ctx_.now + kCutAfter * host.expected_ms;
    sink_.SetTimer(live.attempts.back().late_at, Token(id, kLateTimer));
    if (ctx_.LargeTier()) sink_.SetTimer(ctx_.now + admission_.SlowAfter(live), Token(id, kSlowTimer));
    live.barred.push_back(kept.host);
    live.looks = 0;
    sink_.Send(id, host.entry.host, attempts_.AttemptEnd(live, host.expected_ms), repeat_by);
  }

  // It is out no more.
  void Return(const Attempt& attempt) {
    if (attempt.late) reports_.CountLate(hosts_[attempt.host], -1);
    reports_.CountOwn(hosts_[attempt.host], -1);
  }

  // What an outcome says of the host and of how long such requests take.
  void Judge(const Live& live, const Attempt& tried, Outcome outcome, double took) {
    Host& host = hosts_[tried.host];
    const int klass = live.request.klass;
    const bool heard = outcome == Outcome::kServed || outcome == Outcome::kError ||
                       outcome == Outcome::kRefusedByHost || outcome == Outcome::kConnectionLost;
    if (heard) health_.Heard(host);
    if (heard || outcome == Outcome::kConnectFailed) host.unreached = !heard;
    switch (outcome) {
      case Outcome::kServed:
        ctx_.startup.HostAnswered(ctx_.now, host.entry.host);
        reports_.Served(host);
        health_.Weigh(host, false);
        if (!tried.slow && hosts_.Warmth(host) >= 1) pace_.RecordAnswer(took > admission_.SlowAfter(live));
        estimates_.LearnTypical(klass, took);
        return estimates_.LearnTime(klass, host, tried.figure, live.share, took);
      case Outcome::kTimeout:
        // It would have taken longer still. Counted as it stands, the fit could never expect a time-out. But
        // of a host that said nothing all the while, and of an answer that was lost while others came, it
        // tells nothing about the time that answers take.
        if (host.waiting_since <= tried.sent_at || tried.late)
          return health_.Weigh(host, true, host.waiting_since <= tried.sent_at);
        return estimates_.LearnTime(klass, host, tried.figure, live.share, kCutFactor * took);
      case Outcome::kError:
      case Outcome::kConnectFailed:
      case Outcome::kConnectionLost:
        return health_.Weigh(host, true);
      case Outcome::kRefusedByHost:
        return health_.SetAside(host);
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
        health_.Weigh(host, true);  // or its silence would be forgotten with the request
      if (attempt.pending) Return(attempt);
      --host.held;
    }
    requests_.erase(id);
  }

  void End(RequestId id, const Live& live) {
    CancelPending(id, live);
    attempts_.MayRefuse(live) ? sink_.Refuse(id, admission_.ComeBack(live.request.klass)) : sink_.Fail(id);
    Forget(id, live);
  }

  Context ctx_;
  ActionSink& sink_;
  HostTable hosts_;
  Estimates estimates_{ctx_};
  Health health_{ctx_, estimates_};
  Attempts attempts_{ctx_, hosts_};
  Reports reports_{ctx_, hosts_, estimates_, sink_};
  Walk walk_{ctx_, hosts_, estimates_, reports_};
  Admission admission_{ctx_, hosts_, estimates_};
  AdaptiveThrottle pace_{ctx_.Worths()};
  RecyclingMap<RequestId, Live> requests_;
};

}  // namespace cartspring

#endif  // CARTSPRING_SRC_CARTSPRING_POLICY_H_
