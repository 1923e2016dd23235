// Host selection by Stochastic Skip: candidates ranked by load as time, each passed over with one fixed
// chance. Admission: whether the chosen host is expected to answer while the client waits.
//
// Invariants. Selection ends: its rounds are bounded. A cold host is drawn for once a request, neither new
// samples nor retries draw again; all instances together, each keeping to its share, stay well under what
// makes it fail. A host seen idle takes any request. A hint counts within kMaxHintRatio of its class's mean.
#ifndef CARTSPRING_SRC_CARTSPRING_HOST_SELECTOR_H_
#define CARTSPRING_SRC_CARTSPRING_HOST_SELECTOR_H_

#include "cartspring/reports.h"
#include "rows/ranking.h"

namespace cartspring {

constexpr double kSkipChance = 0.1;    // r, the chance that a ranked host is passed over
constexpr int kMaxRounds = 4;          // passes over the ranking with random skips; then the first is taken
constexpr double kMaxTimeShare = 0.8;  // of the time left, that an admitted request may be expected to take
constexpr double kRetryDelayTimes = 0.5;  // typical answer times after which a refused client may retry
constexpr double kMaxHintRatio = 8;       // a hint counts as 1/this to this times its class's mean
constexpr double kUnsafeFactor = 4;       // on a new connection: what must not run twice is lost if it breaks
constexpr double kSlowWorkMultiple = 3.5;   // an answer is late after this multiple of its hinted work
constexpr double kPatienceShare = 1.0 / 3;  // of a client's time, for one attempt and for advice to wait
constexpr double kCountMemory = 50;         // requests over which the share turned away is averaged

class HostSelector {
 public:
  HostSelector(Context& ctx, const HostTable& hosts, const Estimates& estimates, const Reports& reports)
      : ctx_(ctx), hosts_(hosts), estimates_(estimates), reports_(reports) {}

  // A request has arrived, or one is turned away although a host could be reached: it may be repeated.
  void CountRequest() {
    requests_ += 1 - requests_ / kCountMemory;
    turned_away_ -= turned_away_ / kCountMemory;
  }
  void CountTurnedAway() { turned_away_ += 1; }

  // Chooses from the sample. kNoHost: all were passed over for being cold; kAllFull: some were full.
  Ranked Choose(Live& live) {
    // Hosts whose probes have not been answered are ranked only if none has.
    const auto unknown = [&](int i) { return !reports_.Reported(hosts_[i], live); };
    if (reports_.Probing() && !std::ranges::all_of(live.sample, unknown)) std::erase_if(live.sample, unknown);
    double known = 0, known_count = 0;
    for (const int i : live.sample) {
      if (hosts_[i].load < 0) continue;
      known += hosts_[i].usual;
      ++known_count;
    }
    const double unreported = known / std::max(1.0, known_count);
    ranking_.Clear();
    bool full = false;
    for (const int i : live.sample) {
      const Host& host = hosts_[i];
      if (reports_.AtLimit(host)) {
        full = true;
        continue;
      }
      if (!AcceptsColdHost(live, i)) continue;
      // A cold host without a report counts as less loaded than the mean: it must be tried to be known.
      const double warmth = hosts_.Warmth(host);
      const double others = reports_.Reported(host, live) ? host.others
                            : host.load >= 0              ? host.usual
                                                          : unreported * warmth - (1 - warmth);
      const double figure = (others + host.CurrentOwn() + 1) / (hosts_.Size(host) * warmth);  // with this one
      // A cold host comes first for its share: only requests warm it up, and until then its answers are slow.
      const double key =
          warmth < 1 ? 0 : estimates_.DueToFigure(live.request.klass, host, figure) + Distance(host, live);
      ranking_.Add({key, ctx_.random.Unit(), i, figure});
    }
    if (ranking_.size() == 0) return {0, 0, full ? kAllFull : kNoHost, 0};
    for (int round = 0; round < kMaxRounds; ++round) {
      for (std::size_t k = 0; k < ranking_.size(); ++k) {
        if (ctx_.random.Unit() >= kSkipChance) return ranking_.At(k);
      }
    }
    return ranking_.At(0);
  }

 private:
  // Another zone adds its extra delay and a penalty, a new connection a penalty, as shares of the target.
  double Distance(const Host& host, const Live& live) const {
    const Settings& set = ctx_.set;
    const RequestClass& klass = ctx_.ClassOf(live.request);
    const double factor = klass.effect == Effect::kSafe ? 1 : kUnsafeFactor;
    const double setup = reports_.HasIdleConnection(host) ? 0 : factor * set.handshake_price * klass.aim_ms;
    if (host.entry.zone == set.own_zone) return setup;
    const double zone_delay = std::max(0.0, reports_.Rtt(host.entry.zone) - reports_.Rtt(set.own_zone));
    return setup + zone_delay + set.cross_zone_price * klass.aim_ms;
  }

  bool AcceptsColdHost(Live& live, int i) {
    const double warmth = hosts_.Warmth(hosts_[i]);
    if (warmth >= 1) return true;
    const double fair = hosts_.Size(hosts_[i]) / static_cast<double>(hosts_.live().size());
    // What is turned away may all come again, and would multiply the load that all instances send to it.
    const double once = std::max(0.0, 1 - turned_away_ / requests_);
    const double keep = warmth * (ctx_.set.fall_multiple / 2) * fair * once / live.sample_chance;
    if (ctx_.random.Unit() < keep) return true;
    live.excluded.push_back(i);
    return false;
  }

  Context& ctx_;
  const HostTable& hosts_;
  const Estimates& estimates_;
  const Reports& reports_;
  double requests_ = kCountMemory, turned_away_ = 0;  // decaying counts
  Ranking<Ranked> ranking_;                           // used within one call; kept to reuse its memory
};

class Admission {
 public:
  Admission(Context& ctx, const HostTable& hosts, const Estimates& estimates)
      : ctx_(ctx), hosts_(hosts), estimates_(estimates), class_stats_(ctx.set.classes.size()) {}
  void Retune(const std::vector<int>& like) {
    CarryOver(class_stats_, like, [](std::size_t) { return ClassStats{}; });
  }

  // The request's work relative to its class's mean, by the client's hint; 1 without one.
  double WorkRatioOf(const Request& request) {
    const double hint = request.work_hint_ms;
    if (hint <= 0) return 1;
    double& mean = class_stats_[request.klass].mean_hint_ms;
    mean = mean > 0 ? mean + kMeanWeight * (std::min(hint, kMaxHintRatio * mean) - mean) : hint;
    return std::clamp(hint / mean, 1 / kMaxHintRatio, kMaxHintRatio);
  }

  // An answer is late after this time in milliseconds, whatever was learned: a multiple of the hinted work
  // or, if more, of its class's mean (kMaxHintRatio times the hint at most); without hints the share of its
  // time after which a client gives an attempt up.
  double SlowAfter(const Live& live) const {
    const double hint = live.request.work_hint_ms;
    return hint > 0 ? kSlowWorkMultiple * hint / std::min(1.0, live.share)
                    : kPatienceShare * ctx_.ClassOf(live.request).deadline_ms;
  }

  // The delay advised with a refusal (0: none): long enough for hosts to finish about half of what they hold,
  // within the third of its remaining time for which a client heeds it, and random so that clients do not
  // return all at once.
  double RetryDelay(const Live& live) {
    const double longest = ctx_.set.may_advise_retry ? ctx_.set.max_retry_after_ms : 0;
    const double heeded = kPatienceShare * std::max(0.0, live.request.give_up_ms - ctx_.now);
    const double typical = estimates_.Typical(live.request.klass);
    return std::min({longest, heeded, kRetryDelayTimes * typical * (0.5 + ctx_.random.Unit())});
  }

  // A request is admitted if its answer is expected within the time that its client has left, and if that
  // time would do for a usual request whose client has the least of all: else those with much time fill the
  // hosts and shut out the others. Judged by its own class's outcomes: those of other classes are no measure
  // of the host.
  bool InTime(const Live& live, const Ranked& kept) const {
    const Host& host = hosts_[kept.host];
    const int klass = live.request.klass;
    // A host seen idle is always tried: if learned times ruled it out, it could never be learned anew.
    if (kept.figure * hosts_.Size(host) * hosts_.Warmth(host) < 2) return true;
    const double left = live.request.give_up_ms - ctx_.now;
    return estimates_.Expected(klass, host, kept.figure, live.share) <= kMaxTimeShare * left &&
           estimates_.Expected(klass, host, kept.figure, 1) <= kMaxTimeShare * ctx_.ShortestDeadline();
  }

 private:
  struct ClassStats {
    double mean_hint_ms = 0;
  };

  Context& ctx_;
  const HostTable& hosts_;
  const Estimates& estimates_;
  std::vector<ClassStats> class_stats_;  // by class
};

}  // namespace cartspring

#endif  // CARTSPRING_SRC_CARTSPRING_HOST_SELECTOR_H_
