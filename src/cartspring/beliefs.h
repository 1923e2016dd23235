// What is learned about hosts: how long answers take (Estimates) and which hosts may be sent to (Health).
//
// Invariants. A host's slowness stays within kMaxSlowness of its kind and decays with the time since its last
// outcome; all other time estimates change by outcomes alone, and the outcomes of one class do not move the
// level of another. The failure log odds stay within kMinLogOdds and kMaxLogOdds. A pause is at most 1.5
// times the longest deadline of any class. If most of the fleet looks unhealthy, none of it is excluded.
#ifndef CARTSPRING_SRC_CARTSPRING_BELIEFS_H_
#define CARTSPRING_SRC_CARTSPRING_BELIEFS_H_

#include <cmath>

#include "cartspring/carry_over.h"
#include "cartspring/hosts.h"
#include "cartspring/time_shape.h"
#include "rows/row_set.h"

namespace cartspring {

constexpr double kInitialAimShare = 0.2;     // assumed answer time of an idle host, as share of the target
constexpr double kGuessTolerance = 1.5;      // the first outcome counts within this factor of the guess
constexpr double kSlownessWeight = 0.25;     // weight of a new outcome in its host's slowness
constexpr double kMaxOutcomeRatio = 3;       // an outcome counts as at most this multiple of the old estimate
constexpr double kMaxSlowness = 8;           // most that a host counts as slower than its kind
constexpr double kMeanWeight = 0.1;          // weight of a new sample in running means
constexpr double kFailingRate = 0.6;         // share of its requests that a failing host is assumed to fail
constexpr double kFailureRateWeight = 0.01;  // weight of an outcome in the failure rate of healthy hosts
constexpr double kMinFailureRate = 0.003;
constexpr double kMaxLogOdds = 4;
constexpr double kFirstPauseTimes = 4;   // first pause of a suspected host, in typical answer times
constexpr double kRecoveryShare = 0.02;  // recovery attempts, on paused hosts, earned by each request
constexpr double kMaxRecoveries = 2;
constexpr double kSilentAfterTimes = 3;  // expected times without an answer until a host counts as silent

class Estimates {
 public:
  explicit Estimates(const Context& ctx) : ctx_(ctx) { Retune(std::vector<int>(ctx.set.classes.size(), -1)); }
  void Retune(const std::vector<int>& like) {
    CarryOver(learned_, like, [&](std::size_t i) {
      const double guess = ctx_.set.classes[i].aim_ms * kInitialAimShare;
      return Learned{guess, guess / shape_.At(1, 1)};
    });
    strictest_ = ctx_.StrictestClass();
  }

  int strictest() const { return strictest_; }  // the class with the shortest target latency
  double Typical(int klass) const { return learned_[klass].typical_ms; }
  double TypicalAnswer() const { return Typical(strictest_); }
  double PerFigure(int klass) const { return learned_[klass].per_figure; }

  // Time per unit of figure on the host's kind of machine: kinds suit classes differently, and where the list
  // gives no weights this is all that is known of their speed.
  double PerFigure(int klass, const Host& host) const {
    const Learned& learned = learned_[klass];
    const double known = ValueAt(learned.on_kind, host.entry.kind);
    return (known > 0 ? known : learned.per_figure) * Slowness(host);
  }
  // Expected time of the complete attempt, and the part of it that is due to the figure.
  double Expected(int klass, const Host& host, double figure, double share) const {
    return PerFigure(klass, host) * shape_.At(figure, share);
  }
  double DueToFigure(int klass, const Host& host, double figure) const {
    return figure * PerFigure(klass, host) * shape_.Slope();
  }

  void LearnTypical(int klass, double took) {
    learned_[klass].typical_ms += kMeanWeight * (took - learned_[klass].typical_ms);
  }

  // `figure`, `share`: the host's figure and the request's relative work when it was sent.
  void LearnTime(int klass, Host& host, double figure, double share, double took) {
    Learned& learned = learned_[klass];
    const double shape = shape_.At(figure, share), level = took / shape;
    double& on_kind = SlotAt(learned.on_kind, host.entry.kind);
    // The first outcome sets its kind's level, within bounds: compared with a guess, the hosts tried first
    // would all look unusually fast or slow beside those not tried yet.
    if (on_kind <= 0)
      on_kind = std::clamp(level, learned.per_figure / kGuessTolerance, learned.per_figure * kGuessTolerance);
    const double slower = std::clamp(level / on_kind, 1 / kMaxSlowness, kMaxSlowness);
    const double usual = took / Slowness(host);  // had the host been as fast as its kind
    host.slow_log = SlowLog(host) * (1 - kSlownessWeight) + std::log(slower) * kSlownessWeight;
    host.slow_at = ctx_.now;
    shape_.Add(figure, std::min(usual / on_kind, kMaxOutcomeRatio * shape) - shape_.Offset() * (share - 1));
    // Moved by the difference, not the ratio: hints are rough, and small requests that took long would count
    // most. Large deviations are the host's, not the kind's: counted at c times the level, a share b of such
    // outcomes raises it without bound once b * (c - 1) is 1 - b; a third of them for 3, an eighth for 8.
    on_kind += kMeanWeight * (std::min(usual, kMaxOutcomeRatio * on_kind * shape) - on_kind * shape);
    double& level_all = learned.per_figure;
    level_all += kMeanWeight * (std::min(usual, kMaxOutcomeRatio * level_all * shape) - level_all * shape);
  }

 private:
  struct Learned {
    double typical_ms;                 // typical response time
    double per_figure;                 // ms for each unit of figure + offset, over all kinds
    std::vector<double> on_kind = {};  // the same for each machine kind, 0: not tried
  };

  // Own outcomes count for a host for a while: about as long as a host takes to warm up.
  double SlowLog(const Host& host) const {
    return host.slow_log * std::exp(-(ctx_.now - host.slow_at) / std::max(1.0, ctx_.set.warm_within_ms));
  }

  // Never below 1: hosts that were tried would otherwise look faster than those that were not.
  double Slowness(const Host& host) const { return host.slow_log > 0 ? std::exp(SlowLog(host)) : 1; }

  const Context& ctx_;
  std::vector<Learned> learned_;  // by class
  TimeShape shape_;
  int strictest_ = 0;
};

class Health {
 public:
  Health(Context& ctx, const Estimates& estimates) : ctx_(ctx), estimates_(estimates) {}

  // In a large tier each instance tests by itself whether a host has recovered, and sees little traffic:
  // requests earn these attempts, or they would be a large part of all that is sent.
  void EarnToken() { recoveries_ = std::min(kMaxRecoveries, recoveries_ + kRecoveryShare); }

  // Call Sent() before the attempt is counted as in flight, Heard() whenever anything arrives from the host.
  void Sent(Host& host, double expected_ms) {
    if (host.log_odds > 0 && ctx_.LargeTier()) recoveries_ = std::max(0.0, recoveries_ - 1);
    host.expected_ms = expected_ms;
    watched_.Add(host.row);
    if (host.own == 0) Heard(host);
  }
  void Heard(Host& host) { host.waiting_since = ctx_.now; }

  // Updates the log odds that a host is failing. Failures are weighed by their current rate on hosts with a
  // clean record: where any host fails some requests, one says little. Answers lower the odds again.
  void RecordOutcome(Host& host, bool failed, bool silent = false) {
    if (host.log_odds <= 0 && !silent)
      failure_rate_ = std::clamp(failure_rate_ + kFailureRateWeight * (failed - failure_rate_),
                                 kMinFailureRate, kFailingRate / 2);
    const double odds = failed ? kFailingRate / failure_rate_ : (1 - kFailingRate) / (1 - failure_rate_);
    host.log_odds = std::clamp(host.log_odds + std::log(odds), kMinLogOdds, kMaxLogOdds);
    if (!failed) host.pauses = 0;
    if (host.log_odds > 0) Pause(host);
  }

  // Pauses grow and are jittered, so that instances do not return to the host in step.
  void Pause(Host& host) {
    watched_.Add(host.row);
    if (ctx_.now < host.paused_until) return;
    const double pause = std::min(ctx_.LongestDeadline(), kFirstPauseTimes * estimates_.TypicalAnswer() *
                                                              (1 << std::min(host.pauses, 8)));
    host.paused_until = ctx_.now + pause * (0.5 + ctx_.random.Unit());
    ++host.pauses;
  }

  // Detects hosts that accept requests and never answer: no outcome shows this before a time-out does, and
  // until then their last report looks as good as ever.
  bool Silent(const Host& host) const {
    return host.own > 0 && ctx_.now - host.waiting_since > kSilentAfterTimes * host.expected_ms;
  }

  // Returns a predicate: may a host be sent to now? `safe`: by a request that may run again. If most of the
  // fleet looks unhealthy, the fault is likelier in this view: use all hosts that can be reached.
  auto Ready(const HostTable& hosts, bool safe) {
    watched_.EraseIf([&](int i) { return hosts[i].own == 0 && hosts[i].log_odds <= 0 && !Paused(hosts[i]); });
    const std::ptrdiff_t all = std::ssize(hosts.live());
    const auto unhealthy = watched_.CountIf([&](int i) { return hosts[i].Live() && Unhealthy(hosts[i]); });
    const auto lost = watched_.CountIf([&](int i) { return hosts[i].Live() && Unreachable(hosts[i]); });
    return [this, safe, use_all_reachable = 2 * (all - unhealthy) < all && lost < all](const Host& host) {
      if (use_all_reachable) return !Unreachable(host);
      // After its pause, a host gets one attempt at a time, of a request that may run again if there are any,
      // until its answers clear it.
      return !Unhealthy(host) || (recoveries_ >= 1 && host.own == 0 && !Paused(host) &&
                                  (safe || ctx_.now > host.paused_until + ctx_.LongestDeadline()));
    };
  }

  // Includes all hosts that are paused, suspected or hold an own attempt; some may no longer be.
  const RowSet& watched() const { return watched_; }

 private:
  bool Paused(const Host& host) const { return ctx_.now < host.paused_until; }
  bool Unhealthy(const Host& host) const { return host.log_odds > 0 || Paused(host) || Silent(host); }
  bool Unreachable(const Host& host) const { return host.connect_failed && Paused(host); }

  Context& ctx_;
  const Estimates& estimates_;
  RowSet watched_;
  double recoveries_ = kMaxRecoveries;     // attempts that may go to hosts paused for failing
  double failure_rate_ = kMinFailureRate;  // failure rate of hosts with a clean record
};

}  // namespace cartspring

#endif  // CARTSPRING_SRC_CARTSPRING_BELIEFS_H_
