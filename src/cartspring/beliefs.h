// What is believed of hosts: how long answers take (Estimates), which hosts are fit to be sent to (Health).
//
// Invariants. A host's slowness stays within kSlowMost of its kind and fades with the time since its last
// outcome; all else of time moves by outcomes alone, and what one class meets does not move the level of
// another. Doubt stays within kDoubtLeast and kDoubtMost. A pause is never longer than 1.5 times the most
// patient class waits. If most of the fleet looks ill, none of it is left out.
#ifndef CARTSPRING_SRC_CARTSPRING_BELIEFS_H_
#define CARTSPRING_SRC_CARTSPRING_BELIEFS_H_

#include <cmath>

#include "cartspring/carry_over.h"
#include "cartspring/hosts.h"
#include "cartspring/time_shape.h"
#include "rows/row_set.h"

namespace cartspring {

constexpr double kFirstGuess = 0.2;  // an unloaded host is taken to answer in this share of the aim
constexpr double kGuessOff = 1.5;  // and the first outcome is believed within this factor of what was thought
constexpr double kSlowWeight = 0.25;    // weight of a new outcome in what is thought of its host
constexpr double kOddMost = 3;          // times its level that one outcome counts as at most
constexpr double kSlowMost = 8;         // a host is held to be this many times slower than its kind at most
constexpr double kTypicalWeight = 0.1;  // weight of a new sample in running means
constexpr double kFailing = 0.6;        // a failing host is taken to fail this share of its requests
constexpr double kSpoiltWeight = 0.01;  // weight of an outcome in the share that fails on any host
constexpr double kSpoiltLeast = 0.003;
constexpr double kDoubtMost = 4;
constexpr double kPauseTypical = 4;  // first pause of a host set aside, in usual times of an answer
constexpr double kLookShare = 0.02;  // of requests: attempts that see whether a failing host is well again
constexpr double kLooksSaved = 2;
constexpr double kSilentAfter = 3;  // expected times after which a host that says nothing is held silent

class Estimates {
 public:
  explicit Estimates(const Context& ctx) : ctx_(ctx) { Retune(std::vector<int>(ctx.set.classes.size(), -1)); }
  void Retune(const std::vector<int>& like) {
    CarryOver(learned_, like, [&](std::size_t i) {
      const double guess = ctx_.set.classes[i].aim_ms * kFirstGuess;
      return Learned{guess, guess / shape_.At(1, 1)};
    });
    hastiest_ = ctx_.Hastiest();
  }

  int hastiest() const { return hastiest_; }  // the class with the shortest aim
  double Typical(int klass) const { return learned_[klass].typical_ms; }
  double UsualAnswer() const { return Typical(hastiest_); }
  double PerFigure(int klass) const { return learned_[klass].per_figure; }

  // What a unit of figure costs a class on the host's kind of machine: kinds suit classes differently, and
  // where the list tells no sizes this is all that is known of them.
  double PerFigure(int klass, const Host& host) const {
    const Learned& learned = learned_[klass];
    const double known = FigureAt(learned.on_kind, host.entry.kind);
    return (known > 0 ? known : learned.per_figure) * Slower(host);
  }
  // Of the whole attempt, and the part of it that is due to the figure.
  double Expected(int klass, const Host& host, double figure, double share) const {
    return PerFigure(klass, host) * shape_.At(figure, share);
  }
  double DueToFigure(int klass, const Host& host, double figure) const {
    return figure * PerFigure(klass, host) * shape_.Slope();
  }

  void LearnTypical(int klass, double took) {
    learned_[klass].typical_ms += kTypicalWeight * (took - learned_[klass].typical_ms);
  }

  // `figure`, `share`: the host's figure and the request's share of work when it was sent.
  void LearnTime(int klass, Host& host, double figure, double share, double took) {
    Learned& learned = learned_[klass];
    const double shape = shape_.At(figure, share), level = took / shape;
    double& on_kind = PlaceAt(learned.on_kind, host.entry.kind);
    // The first outcome stands for its kind, within reason: held against a guess, the hosts tried first would
    // all look unusually fast or slow beside those not tried yet.
    if (on_kind <= 0)
      on_kind = std::clamp(level, learned.per_figure / kGuessOff, learned.per_figure * kGuessOff);
    const double slower = std::clamp(level / on_kind, 1 / kSlowMost, kSlowMost);
    const double usual = took / Slower(host);  // had the host been like its kind
    host.slow_log = SlowLog(host) * (1 - kSlowWeight) + std::log(slower) * kSlowWeight;
    host.slow_at = ctx_.now;
    shape_.Add(figure, std::min(usual / on_kind, kOddMost * shape) - shape_.Offset() * (share - 1));
    // By the difference, not by the ratio: hints are rough, and small requests that took long would else
    // count most. What is far off is the host's, not the kind's: counted at c times the level, a share b of
    // such outcomes lifts it without end once b * (c - 1) is 1 - b; a third of them for 3, an eighth for 8.
    on_kind += kTypicalWeight * (std::min(usual, kOddMost * on_kind * shape) - on_kind * shape);
    double& level_all = learned.per_figure;
    level_all += kTypicalWeight * (std::min(usual, kOddMost * level_all * shape) - level_all * shape);
  }

 private:
  struct Learned {
    double typical_ms;                 // of an answer
    double per_figure;                 // ms for each unit of figure + offset, over all kinds
    std::vector<double> on_kind = {};  // the same on each kind of machine, 0: not tried
  };

  // Own outcomes speak of a host for a while: about as long as one takes to warm up.
  double SlowLog(const Host& host) const {
    return host.slow_log * std::exp(-(ctx_.now - host.slow_at) / std::max(1.0, ctx_.set.warm_within_ms));
  }

  // Only ever slower: hosts that were tried would else look faster than those that were not.
  double Slower(const Host& host) const { return host.slow_log > 0 ? std::exp(SlowLog(host)) : 1; }

  const Context& ctx_;
  std::vector<Learned> learned_;  // by class
  TimeShape shape_;
  int hastiest_ = 0;
};

class Health {
 public:
  Health(Context& ctx, const Estimates& estimates) : ctx_(ctx), estimates_(estimates) {}

  // Each instance of a large tier looks for itself whether a host is well again, and sees little traffic:
  // such looks are earned by requests, or they would be a good part of all that is sent.
  void Earn() { looks_ = std::min(kLooksSaved, looks_ + kLookShare); }

  // Before the attempt is counted as out, and when the host is heard of in any way.
  void Sent(Host& host, double expected_ms) {
    if (host.doubt > 0 && ctx_.LargeTier()) looks_ = std::max(0.0, looks_ - 1);
    host.expected_ms = expected_ms;
    watched_.Add(host.row);
    if (host.own == 0) Heard(host);
  }
  void Heard(Host& host) { host.waiting_since = ctx_.now; }

  // A failure is weighed by how usual failures are just now on hosts that nothing is held against: where any
  // host spoils some answers, one spoilt answer says little of its host. Odds that speak against a host are
  // worked off by its answers.
  void Weigh(Host& host, bool failed, bool silent = false) {
    if (host.doubt <= 0 && !silent)
      spoilt_ = std::clamp(spoilt_ + kSpoiltWeight * (failed - spoilt_), kSpoiltLeast, kFailing / 2);
    const double odds = failed ? kFailing / spoilt_ : (1 - kFailing) / (1 - spoilt_);
    host.doubt = std::clamp(host.doubt + std::log(odds), kDoubtLeast, kDoubtMost);
    if (!failed) host.set_asides = 0;
    if (host.doubt > 0) SetAside(host);
  }

  // The pauses grow and are jittered, so that instances do not come back in step.
  void SetAside(Host& host) {
    watched_.Add(host.row);
    if (ctx_.now < host.out_until) return;
    const double pause = std::min(
        ctx_.Patience(), kPauseTypical * estimates_.UsualAnswer() * (1 << std::min(host.set_asides, 8)));
    host.out_until = ctx_.now + pause * (0.5 + ctx_.random.Unit());
    ++host.set_asides;
  }

  // Guards against hosts that take requests and say nothing: no outcome tells of them before a time-out does,
  // and all that while their last report looks as good as ever.
  bool Silent(const Host& host) const {
    return host.own > 0 && ctx_.now - host.waiting_since > kSilentAfter * host.expected_ms;
  }

  // Is a host fit to be sent to now? `safe`: by a request that may run again. If most of the fleet looks ill,
  // the fault is likelier in this view: use all that can be reached.
  auto Ready(const HostTable& hosts, bool safe) {
    watched_.EraseIf([&](int i) { return hosts[i].own == 0 && hosts[i].doubt <= 0 && !Out(hosts[i]); });
    const std::ptrdiff_t all = std::ssize(hosts.live());
    const auto ill = watched_.CountIf([&](int i) { return hosts[i].Live() && Ill(hosts[i]); });
    const auto lost = watched_.CountIf([&](int i) { return hosts[i].Live() && Lost(hosts[i]); });
    return [this, safe, blind = 2 * (all - ill) < all && lost < all](const Host& host) {
      if (blind) return !Lost(host);
      // Back from being set aside, a host gets one attempt at a time, of a request that may run again if
      // there are any, until its answers speak for it.
      return !Ill(host) || (looks_ >= 1 && host.own == 0 && !Out(host) &&
                            (safe || ctx_.now > host.out_until + ctx_.Patience()));
    };
  }

  // All hosts that are out, in doubt or hold an own attempt; some may no longer do.
  const RowSet& watched() const { return watched_; }

 private:
  bool Out(const Host& host) const { return ctx_.now < host.out_until; }
  bool Ill(const Host& host) const { return host.doubt > 0 || Out(host) || Silent(host); }
  bool Lost(const Host& host) const { return host.unreached && Out(host); }

  Context& ctx_;
  const Estimates& estimates_;
  RowSet watched_;
  double looks_ = kLooksSaved;    // attempts that may go to hosts that were set aside for failing
  double spoilt_ = kSpoiltLeast;  // share of attempts that fail on hosts that nothing is held against
};

}  // namespace cartspring

#endif  // CARTSPRING_SRC_CARTSPRING_BELIEFS_H_
