// Every decision of cartspring. The interface (settings, events, actions) is include/cartspring/balancer.h.
//
// The mechanism is Stochastic Skip, after Klein, Metzler and Bar-Yam, "Handling Emergent Resource Use
// Oscillations": ready hosts are ranked by last reported load, each is passed over with one fixed chance, a
// passed-over request moves on at once. The file reads in the order in which a request is decided: host
// table, report gathering, the walk, attempt plan, admission, discovery.
#include <algorithm>
#include <array>
#include <cmath>
#include <stdexcept>
#include <unordered_map>

#include "cartspring/balancer.h"

namespace cartspring {
namespace {

constexpr double kSkip = 0.1;           // r, the chance that a ranked host is passed over
constexpr int kRounds = 4;              // walks over the ranking before the first host is taken unskipped
constexpr double kLookSpend = 0.012;    // share of the result that may be spent on the probes of a request
constexpr int kSampleMin = 2;           // hosts looked at for a request: fewer is no choice
constexpr int kSampleMax = 5;           // more add little to the best of the sample
constexpr int kLooksMax = 3;            // samples drawn for one attempt before giving up
constexpr int kHoldTicks = 2;           // a request waits this long for its sample's reports
constexpr double kRetryShare = 0.2;     // further attempts earned by each request: bounds retry storms
constexpr double kRetrySaved = 5;       // most further attempts saved up
constexpr double kFailing = 0.6;        // a failing host is taken to fail this share of its requests
constexpr double kSpoiltWeight = 0.01;  // weight of an outcome in the share that fails on any host
constexpr double kSpoiltLeast = 0.003;
constexpr double kDoubtLeast = -3.5;  // log odds that a host is failing before anything is held against it
constexpr double kDoubtMost = 4;
constexpr double kPauseTypical = 4;  // first pause of a host set aside, in usual times of an answer
constexpr double kSilentAfter = 3;   // expected times after which a host that says nothing is held silent
constexpr double kCutAfter = 6;      // and after which a request that may run again is tried elsewhere
constexpr double kFirstGuess = 0.2;  // an unloaded host is taken to answer in this share of the aim
constexpr double kGuessOff = 1.5;  // and the first outcome is believed within this factor of what was thought
constexpr double kSlowWeight = 0.25;    // weight of a new outcome in what is thought of its host
constexpr double kSlowMost = 8;         // a host is held to be this many times slower than its kind at most
constexpr double kTypicalWeight = 0.1;  // weight of a new sample in running means
constexpr double kShapeFade = 0.98;     // what the time's shape keeps of its past at each new outcome
constexpr double kFirstOffset = 4;      // figure at which a host takes twice its unloaded time, at first
constexpr double kOffsetLeast = 0.5;    // and the bounds within which that is learned
constexpr double kShapeSpread = 0.01;   // least squared variation of the figures seen that tells a slope
constexpr double kOffsetMost = 16;
constexpr double kCutFactor = 2;      // an attempt cut off would have taken about this many times as long
constexpr double kAimShare = 0.8;     // expected time over time left at which a request is still taken on
constexpr double kRoomShare = 0.65;   // and share of the shortest aim that is left to those behind it
constexpr double kProbedLife = 0.25;  // a probed row is ranked by for this multiple of an answer's usual time
constexpr double kAnsweredLife = 8;   // one that came with an answer for this multiple
constexpr double kOwnMemory = 4;      // usual times of an answer over which own attempts are averaged
constexpr double kShareMost = 8;      // a hint is believed within this factor of its class's mean
constexpr double kTryOff = 0.01;      // of a deadline, by which the time of first tries varies
constexpr double kOtherTry = 0.3;     // weight of a try that comes with another time
constexpr double kFirstTriesMost = 20;
constexpr double kSettled = 1e-6;  // ms, for comparing times

// Small, seeded and portable: splitmix64. Distributions of the standard library differ between runtimes.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1p-53; }
  std::size_t Below(std::size_t n) { return static_cast<std::size_t>(Next() % n); }

 private:
  std::uint64_t Next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15u);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
  }
  std::uint64_t state_;
};

// How the time of an attempt grows with its host's figure: in proportion to figure + offset, and 1 at the
// mean of the figures seen. The offset is read from a fading straight-line fit over this instance's own
// outcomes; the level is kept apart, by class and kind, so that what one class meets does not move what is
// expected of another. Held at the mean, it stays true when the offset moves.
class TimeShape {
 public:
  TimeShape() {
    constexpr double kMean = (1.0 + 5.0 + 20.0) / 3;
    for (const double figure : {1.0, 5.0, 20.0})
      Add(figure, (figure + kFirstOffset) / (kMean + kFirstOffset));
  }
  void Add(double figure, double time) {
    for (double* sum : {&n_, &x_, &y_, &xx_, &xy_}) *sum *= kShapeFade;
    n_ += 1;
    x_ += figure;
    y_ += time;
    xx_ += figure * figure;
    xy_ += figure * time;
    const double spread = n_ * xx_ - x_ * x_;
    if (spread < kShapeSpread * x_ * x_) return;  // figures all alike tell no slope, only noise
    const double slope = (n_ * xy_ - x_ * y_) / spread;
    const double offset = slope > 0 ? (y_ / slope - x_) / n_ : kOffsetMost;
    offset_ = std::clamp(offset, kOffsetLeast, kOffsetMost);
  }
  // `share`: the request's own work against its class's mean, where clients hint at it.
  double At(double figure, double share) const { return (figure + offset_ * share) * Slope(); }
  double Offset() const { return offset_ * Slope(); }  // of the time, not of the figure
  double Slope() const { return 1 / (x_ / n_ + offset_); }

 private:
  double n_ = 0, x_ = 0, y_ = 0, xx_ = 0, xy_ = 0;
  double offset_ = kFirstOffset;
};

bool ProvesNeverRan(Outcome outcome) {
  return outcome == Outcome::kRefusedByHost || outcome == Outcome::kConnectFailed ||
         outcome == Outcome::kNotSent;
}

void Check(bool good, const char* message) {
  if (!good) throw std::invalid_argument(message);
}

void CheckSettings(const Settings& s) {
  Check(!s.classes.empty(), "settings without classes");
  for (const RequestClass& c : s.classes) {
    Check(c.aim_ms > 0 && c.deadline_ms > 0, "a class needs an aim and a deadline above 0");
    Check(c.worth >= 0 && c.late_worth >= 0 && c.aim_stretch >= 0, "a class has a worth or stretch below 0");
    Check(c.effect != Effect::kKeyed || c.repeat_window_ms >= 0, "a keyed class has a window below 0");
  }
  Check(s.max_attempts >= 1, "max_attempts below 1");
  Check(s.tick_ms >= 0 && s.balancers >= 1, "tick_ms below 0 or balancers below 1");
  Check(s.cold_from > 0 && s.cold_from <= 1 && s.warm_within_ms >= 0,
        "cold_from or warm_within_ms out of range");
  Check(s.fall_multiple > 0, "fall_multiple must be above 0");
  Check(!s.must_subscribe || s.ask_within_ms > 0, "must_subscribe needs ask_within_ms above 0");
}

}  // namespace

class Balancer::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed, ActionSink& sink)
      : set_((CheckSettings(settings), settings)), sink_(sink), random_(seed) {
    for (const RequestClass& c : set_.classes) {
      if (c.aim_ms < set_.classes[hastiest_].aim_ms) hastiest_ = static_cast<int>(learned_.size());
      learned_.push_back({c.aim_ms * kFirstGuess, c.aim_ms * kFirstGuess / shape_.At(1, 1)});
      patience_ = std::max(patience_, c.deadline_ms);
    }
    const double affordable = set_.probe_price > 0 ? kLookSpend / set_.probe_price : kSampleMax;
    sample_size_ = static_cast<int>(std::clamp<double>(affordable, kSampleMin, kSampleMax));
  }

  // ---- Host table ----

  void OnHostList(double now, const std::vector<HostEntry>& all, bool remembered) {
    Advance(now);
    for (Host& host : hosts_) host.listed = false;
    for (const HostEntry& entry : all) Learn(entry);
    // A host that a whole list leaves out is gone, though nothing says so by name.
    for (Host& host : hosts_) {
      if (!host.listed) host.entry.state = HostState::kGone;
    }
    CountFleet();
    if (remembered) {
      if (set_.must_subscribe) AskDiscovery();
    } else {
      DiscoveryAnswered();
    }
  }

  void OnHostChanges(double now, const std::vector<HostEntry>& changed) {
    Advance(now);
    for (const HostEntry& entry : changed) Learn(entry);
    CountFleet();
    DiscoveryAnswered();
  }

  // ---- A request arrives ----

  void OnRequest(double now, const Request& request) {
    Check(request.klass >= 0 && request.klass < static_cast<int>(set_.classes.size()),
          "request of no known class");
    Check(requests_.find(request.id) == requests_.end(), "request id in use");
    Check(std::isfinite(request.give_up_ms), "request without an end");
    Advance(now);
    Live& live = requests_[request.id];
    live.request = request;
    retry_tokens_ = std::min(kRetrySaved, retry_tokens_ + kRetryShare);
    const RequestClass& klass = ClassOf(live);
    live.aim_at = AimOf(live);
    live.share = ShareOf(live);
    // Past its aim such a request is worth nothing: ending it then frees the host.
    live.end_at = klass.late_worth > 0 ? request.give_up_ms : std::min(request.give_up_ms, live.aim_at);
    sink_.SetTimer(std::max(live.end_at - EndMargin(), now_), Token(request.id, kEndTimer));
    if (live.end_at - EndMargin() <= now_) return;  // the timer answers it in the next batch
    Gather(request.id, live);
  }

  // ---- Events ----

  void OnStreamBegun(double now, RequestId id, int attempt) {
    Advance(now);
    const auto found = requests_.find(id);
    if (found == requests_.end() || attempt < 0 || attempt >= Count(found->second)) return;
    found->second.begun = true;  // from here on it belongs to the client: no deadline, no further attempt
  }

  void OnOutcome(double now, RequestId id, int attempt, Outcome outcome, bool over, double took,
                 const LoadReport* report) {
    Advance(now);
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    Live& live = found->second;
    if (attempt < 0 || attempt >= Count(live) || !live.attempts[attempt].pending) return;
    Attempt& tried = live.attempts[attempt];
    tried.pending = false;
    tried.may_have_run = !ProvesNeverRan(outcome);
    CountOwn(hosts_[tried.host], -1);
    if (report != nullptr) TakeReport(hosts_[tried.host], *report);
    Judge(live, tried, outcome, took);
    if (over) return Forget(id, live);
    if (live.begun || live.gathering || Pending(live)) return;
    if (WorthAnother(live, outcome)) {
      Gather(id, live);
    } else {
      End(id, live);
    }
  }

  void OnProbeResult(double now, const std::string& name, bool answered, double took,
                     const LoadReport* report) {
    const int at = IndexOf(name);
    Advance(now);
    Host& host = hosts_[at];
    host.probe_out = false;
    if (answered) {
      if (report != nullptr) TakeReport(host, *report);
      double& rtt = ZoneRtt(host.entry.zone);
      rtt = rtt == 0 ? took : rtt + kTypicalWeight * (took - rtt);
    } else {
      Weigh(host, true);
    }
    std::vector<RequestId> waiters;
    waiters.swap(host.waiters);
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

  void OnTimer(double now, std::uint64_t token) {
    Advance(now);
    if (token == kDiscoveryTimer) return DiscoveryDue();
    const RequestId id = token / kTimerKinds;
    const auto found = requests_.find(id);
    if (found == requests_.end() || found->second.begun) return;
    Live& live = found->second;
    if (token % kTimerKinds == kEndTimer) {
      if (now_ >= live.end_at - EndMargin() - kSettled) End(id, live);
    } else if (live.gathering && now_ >= live.hold_until - kSettled) {
      live.sample.empty() ? Gather(id, live) : Decide(id, live);
    }
  }

  void OnDiscoveryRefused(double now) {
    Advance(now);
    if (!set_.must_subscribe) return;
    subscribed_ = false;
    asked_ = false;
    PlanToAsk();
  }

 private:
  struct Host {
    HostEntry entry;
    bool listed = true;
    double load = -1;  // last reported; -1: never
    double load_at = 0;
    double others = 0;           // what of it was not this instance's own
    int own = 0;                 // own attempts out
    double own_mean = 0;         // fading mean of these
    double own_at = 0;           // when it was brought up to date
    double linked_until = 0;     // until when an idle connection to it stays open
    double waiting_since = 0;    // since when an own attempt is out and nothing was heard
    double expected_ms = 0;      // of the attempt sent last
    double doubt = kDoubtLeast;  // log odds that it is failing
    int set_asides = 0;          // since its last answer
    double out_until = 0;
    int held = 0;         // attempts of requests that are not over, ended ones included
    double slow_log = 0;  // log of how much slower than its kind it was last seen to be
    double slow_at = 0;
    bool probe_out = false;
    std::vector<RequestId> waiters;
  };
  struct Attempt {
    int host = 0;
    double sent_at = 0;
    double figure = 0;  // the host's figure, this attempt included, when it was sent
    bool pending = true;
    bool may_have_run = true;
  };
  struct Live {
    Request request;
    double aim_at = 0;
    double end_at = 0;
    double share = 1;  // of its class's mean work, by the client's hint
    std::vector<Attempt> attempts;
    std::vector<int> sample;
    std::vector<int> barred;  // hosts that this request tried, or passed over for being cold
    double considered = 1;    // chance of a host to be in the sample
    double looked_at = 0;
    double hold_until = 0;
    int reports_due = 0;
    int looks = 0;
    bool gathering = false;
    bool begun = false;
  };
  struct Learned {
    double typical_ms;        // of an answer
    double per_figure;        // ms for each unit of figure + offset, over all kinds
    double first_try_ms = 0;  // the time that first tries come with
    double first_tries = 0;   // how surely
    double mean_hint_ms = 0;
    std::vector<double> on_kind = {};  // the same on each kind of machine, 0: not tried
  };
  enum TimerKind : std::uint64_t { kEndTimer, kHoldTimer, kTimerKinds };
  static constexpr std::uint64_t kDiscoveryTimer = ~std::uint64_t{0} >> 1;

  static std::uint64_t Token(RequestId id, TimerKind kind) { return id * kTimerKinds + kind; }
  static int Count(const Live& live) { return static_cast<int>(live.attempts.size()); }
  static bool Pending(const Live& live) {
    const auto pending = [](const Attempt& a) { return a.pending; };
    return std::any_of(live.attempts.begin(), live.attempts.end(), pending);
  }
  const RequestClass& ClassOf(const Live& live) const { return set_.classes[live.request.klass]; }
  Learned& LearnedOf(const Live& live) { return learned_[live.request.klass]; }
  double EndMargin() const { return set_.tick_ms; }
  void Advance(double now) { now_ = std::max(now_, now); }  // a clock that goes back is not followed

  int IndexOf(const std::string& name) const {
    const auto found = host_index_.find(name);
    Check(found != host_index_.end(), "a host that no list has named");
    return found->second;
  }

  void Learn(const HostEntry& entry) {
    const auto found = host_index_.find(entry.host);
    Host& host = hosts_[found != host_index_.end() ? found->second : FreeRow(entry.host)];
    if (entry.started_ms > host.entry.started_ms) {
      // A restarted process: what was held against the old one, and its figure, are void.
      host.doubt = kDoubtLeast;
      host.set_asides = 0;
      host.out_until = 0;
      host.load = -1;
    }
    host.entry = entry;
    host.listed = true;
  }

  // Rows of hosts that are gone for good are used again: ids that come and go all day must not pile up.
  int FreeRow(const std::string& name) {
    const auto unused = std::find_if(hosts_.begin(), hosts_.end(), [](const Host& host) {
      return host.entry.state == HostState::kGone && host.held == 0 && !host.probe_out &&
             host.waiters.empty();
    });
    const int row = static_cast<int>(unused - hosts_.begin());
    if (unused == hosts_.end()) hosts_.emplace_back();
    host_index_.erase(hosts_[row].entry.host);
    hosts_[row] = Host();
    return host_index_[name] = row;
  }

  void CountFleet() {
    double weight = 0;
    live_ = 0;
    for (const Host& host : hosts_) {
      if (host.entry.state != HostState::kLive) continue;
      ++live_;
      weight += host.entry.weight;
    }
    mean_weight_ = live_ > 0 && weight > 0 ? weight / live_ : 1;
  }

  double& ZoneRtt(int zone) {
    if (static_cast<std::size_t>(zone) >= zone_rtt_.size())
      zone_rtt_.resize(static_cast<std::size_t>(zone) + 1);
    return zone_rtt_[static_cast<std::size_t>(zone)];
  }

  // Share of its capacity that a started host has for sure by now.
  double Warmth(const Host& host) const {
    if (host.entry.started_ms <= 0 || set_.warm_within_ms <= 0) return 1;
    const double age = std::max(0.0, now_ - host.entry.started_ms);
    return std::min(1.0, set_.cold_from + (1 - set_.cold_from) * age / set_.warm_within_ms);
  }

  // Size against the fleet's mean, where the list tells sizes.
  double Size(const Host& host) const {
    return set_.weights_known && host.entry.weight > 0 ? host.entry.weight / mean_weight_ : 1;
  }

  // What a unit of figure costs a class on the host's kind of machine: kinds suit classes differently, and
  // where the list tells no sizes this is all that is known of them.
  double PerFigure(int klass, const Host& host) const {
    const Learned& learned = learned_[klass];
    const std::size_t kind = static_cast<std::size_t>(host.entry.kind);
    const double known = kind < learned.on_kind.size() ? learned.on_kind[kind] : 0;
    return (known > 0 ? known : learned.per_figure) * Slower(host);
  }

  // Own outcomes speak of a host for a while: about as long as one takes to warm up.
  double SlowLog(const Host& host) const {
    return host.slow_log * std::exp(-(now_ - host.slow_at) / std::max(1.0, set_.warm_within_ms));
  }

  // Only ever slower: hosts that were tried would else look faster than those that were not.
  double Slower(const Host& host) const { return std::exp(std::max(0.0, SlowLog(host))); }

  // A failure is weighed by how usual failures are just now on hosts that nothing is held against: where any
  // host spoils some answers, one spoilt answer says little of its host. Odds that speak against a host are
  // worked off by its answers.
  void Weigh(Host& host, bool failed, bool silent = false) {
    if (host.doubt <= 0 && !silent) {
      spoilt_ = std::clamp(spoilt_ + kSpoiltWeight * (failed - spoilt_), kSpoiltLeast, kFailing / 2);
    }
    const double odds = failed ? kFailing / spoilt_ : (1 - kFailing) / (1 - spoilt_);
    host.doubt = std::clamp(host.doubt + std::log(odds), kDoubtLeast, kDoubtMost);
    if (!failed) host.set_asides = 0;
    if (host.doubt > 0) SetAside(host);
  }

  // The pauses grow and are jittered, so that instances do not come back in step.
  void SetAside(Host& host) {
    if (now_ < host.out_until) return;
    const double pause = std::min(
        patience_, kPauseTypical * learned_[hastiest_].typical_ms * (1 << std::min(host.set_asides, 8)));
    host.out_until = now_ + pause * (0.5 + random_.Unit());
    ++host.set_asides;
  }

  // Guards against hosts that take requests and say nothing: no outcome tells of them before a time-out does,
  // and all that while their last report looks as good as ever.
  bool Silent(const Host& host) const {
    return host.own > 0 && now_ - host.waiting_since > kSilentAfter * host.expected_ms;
  }

  std::vector<int> ReadyHosts(const Live& live) const {
    std::vector<int> ready, all;
    std::size_t well = 0;
    const bool safe = ClassOf(live).effect == Effect::kSafe;
    for (int i = 0; i < static_cast<int>(hosts_.size()); ++i) {
      const Host& host = hosts_[i];
      if (host.entry.state != HostState::kLive) continue;
      all.push_back(i);
      if (now_ < host.out_until || Silent(host)) continue;
      if (host.doubt <= 0) {
        ++well;
        ready.push_back(i);
      } else if (host.own == 0 && (safe || now_ > host.out_until + patience_)) {
        // Back from being set aside, a host gets one attempt at a time, of a request that may run again if
        // there are any, until its answers speak for it.
        ready.push_back(i);
      }
    }
    // If most of the fleet looks ill, the fault is likelier in this instance's view: use them all.
    return 2 * well < all.size() ? all : ready;
  }

  // ---- Report gathering ----

  bool Probing() const { return set_.reporting == Reporting::kProbe && set_.may_probe; }

  // Is the host's row recent enough to rank by? A probe is sent anew after a fraction of a request's time;
  // rows that only answers bring are kept longer, but not for good: a host last seen busy would never be
  // chosen again.
  bool Reported(const Host& host, const Live& live) const {
    const double life = (Probing() ? kProbedLife : kAnsweredLife) * learned_[live.request.klass].typical_ms;
    return host.load >= 0 && (now_ - host.load_at <= life || (Probing() && host.load_at >= live.looked_at));
  }

  void TakeReport(Host& host, const LoadReport& report) {
    const double load = report.in_flight >= 0 ? report.in_flight : report.queue;
    if (load < 0) return;
    CountOwn(host, 0);
    // A report that came with an answer tells of some time before it, of which the mean is all that is known.
    host.others = std::max(0.0, load - (Probing() ? host.own : host.own_mean));
    host.load = load;
    host.load_at = now_;
  }

  // Where only probes report, a small random sample is looked at as the request arrives: at full size an
  // instance's rows are seconds old, and ranking those sends every instance to the same hosts (the paper's
  // oscillation). Elsewhere all ready hosts are ranked by what answers have told.
  void Gather(RequestId id, Live& live) {
    live.sample.clear();
    live.reports_due = 0;
    live.looked_at = now_;
    std::vector<int> pool;
    for (const int i : ReadyHosts(live)) {
      if (MaySend(live, i) && !Barred(live, i)) pool.push_back(i);
    }
    if (!Probing()) {
      live.sample = std::move(pool);
      live.considered = 1;
      return Decide(id, live);
    }
    if (set_.connection_idle_ms > 0) {
      // Part of the sample has a connection open: with many hosts and few requests every send would else
      // pay for a new one. Cold hosts are left out, or they would be drawn more often than their share is cut
      // for.
      std::vector<int> linked;
      std::copy_if(pool.begin(), pool.end(), std::back_inserter(linked),
                   [&](int i) { return Linked(hosts_[i]) && Warmth(hosts_[i]) >= 1; });
      Draw(linked, sample_size_ / 2, live);
    }
    std::vector<int> others;
    std::copy_if(pool.begin(), pool.end(), std::back_inserter(others), [&](int i) {
      return std::find(live.sample.begin(), live.sample.end(), i) == live.sample.end();
    });
    Draw(others, sample_size_ - static_cast<int>(live.sample.size()), live);
    live.considered =
        pool.empty() ? 1 : static_cast<double>(live.sample.size()) / static_cast<double>(pool.size());
    double wait = kHoldTicks * set_.tick_ms;
    for (const int i : live.sample) {
      Host& host = hosts_[i];
      if (Reported(host, live)) continue;
      if (!host.probe_out) sink_.Probe(host.entry.host);
      host.probe_out = true;
      host.waiters.push_back(id);
      ++live.reports_due;
      wait = std::max(wait, ZoneRtt(host.entry.zone) + set_.tick_ms);
    }
    live.gathering = true;
    live.hold_until = now_ + wait;
    if (live.reports_due <= 0) return Decide(id, live);
    sink_.SetTimer(live.hold_until, Token(id, kHoldTimer));
  }

  // Has this instance a connection to the host that nothing uses?
  bool Linked(const Host& host) const { return host.own == 0 && now_ < host.linked_until; }

  void Draw(std::vector<int>& from, int count, Live& live) {
    for (int k = 0; k < count && k < static_cast<int>(from.size()); ++k) {
      std::swap(from[k], from[k + random_.Below(from.size() - k)]);
      live.sample.push_back(from[k]);
    }
  }

  // ---- The walk ----

  void Decide(RequestId id, Live& live) {
    live.gathering = false;
    std::vector<int> legal, candidates;
    for (const int i : live.sample) {
      if (MaySend(live, i)) legal.push_back(i);
    }
    std::copy_if(legal.begin(), legal.end(), std::back_inserter(candidates),
                 [&](int i) { return Probing() && Reported(hosts_[i], live); });
    // Hosts whose probes have not answered are ranked only if none has, or if probes are not asked.
    if (candidates.empty()) candidates = std::move(legal);
    const Ranked kept = Walk(live, candidates);
    if (kept.host < 0) return LookAgain(id, live);
    if (!InTime(live, kept)) return End(id, live);  // before it costs anyone work
    SendTo(id, live, kept);
  }

  // The host's load for ranking: what it reported beside this instance's own requests, those as they are now,
  // and this request, by size and warmth.
  double Figure(const Host& host, double others) const {
    return (others + host.own + 1) / (Size(host) * Warmth(host));
  }

  void CountOwn(Host& host, int more) {
    const double kept = std::exp((host.own_at - now_) / (kOwnMemory * learned_[hastiest_].typical_ms));
    host.own_mean = host.own + (host.own_mean - host.own) * kept;
    host.own_at = now_;
    host.own += more;
  }

  // Crossing zones costs time on the way and a price, a new connection a price; prices are taken as time of
  // the aim, and all of it ranks beside the load's time.
  double Distance(const Host& host, const Live& live) {
    const double aim = ClassOf(live).aim_ms;
    const double link = Linked(host) ? 0 : set_.handshake_price * aim;
    if (host.entry.zone == set_.own_zone) return link;
    const double way = std::max(0.0, ZoneRtt(host.entry.zone) - ZoneRtt(set_.own_zone));
    return link + way + set_.cross_zone_price * aim;
  }

  // A cold host's chance to be kept is cut so that all instances together, each keeping its share of it, stay
  // well under what makes it fall. Drawn once a request: neither walk restarts nor retries try again.
  bool KeptThoughCold(Live& live, int i) {
    const double warmth = Warmth(hosts_[i]);
    if (warmth >= 1) return true;
    const double fair = Size(hosts_[i]) / std::max(1, live_);
    const double keep = warmth * (set_.fall_multiple / 2) * fair / live.considered;
    if (random_.Unit() < keep) return true;
    live.barred.push_back(i);
    return false;
  }

  struct Ranked {
    double key;
    double tie;
    int host;
    double figure;
  };

  Ranked Walk(Live& live, const std::vector<int>& candidates) {
    double known = 0, known_count = 0;
    for (const int i : candidates) {
      if (!Reported(hosts_[i], live)) continue;
      known += hosts_[i].others;
      ++known_count;
    }
    const double unreported = known / std::max(1.0, known_count);
    std::vector<Ranked> ranking;
    for (const int i : candidates) {
      if (!KeptThoughCold(live, i)) continue;
      // A cold host without a row ranks as if it had less than the mean to do: it is held back by being
      // passed over, and must be tried to be known.
      const bool reported = Reported(hosts_[i], live);
      const double others =
          reported ? hosts_[i].others : unreported * Warmth(hosts_[i]) - (1 - Warmth(hosts_[i]));
      const double figure = Figure(hosts_[i], others);
      const double key =
          figure * PerFigure(live.request.klass, hosts_[i]) * shape_.Slope() + Distance(hosts_[i], live);
      ranking.push_back({key, random_.Unit(), i, figure});
    }
    if (ranking.empty()) return {0, 0, -1, 0};
    std::sort(ranking.begin(), ranking.end(), [](const Ranked& a, const Ranked& b) {
      return a.key != b.key ? a.key < b.key : a.tie < b.tie;
    });
    for (int round = 0; round < kRounds; ++round) {
      for (const Ranked& ranked : ranking) {
        if (random_.Unit() >= kSkip) return ranked;
      }
    }
    return ranking.front();
  }

  // No host to keep it: look again soon, then less and less often until the request's end.
  void LookAgain(RequestId id, Live& live) {
    ++live.looks;
    const double left = live.end_at - now_;
    live.sample.clear();
    live.gathering = true;
    live.hold_until = now_ + std::max(set_.tick_ms, live.looks < kLooksMax ? 0 : left / 4);
    sink_.SetTimer(live.hold_until, Token(id, kHoldTimer));
  }

  // ---- Attempt plan ----

  bool Barred(const Live& live, int host) const {
    return std::find(live.barred.begin(), live.barred.end(), host) != live.barred.end();
  }

  // The legality of a send. Guards the rules: nothing new to a draining or gone host, no effect twice.
  bool MaySend(const Live& live, int to) const {
    const Host& host = hosts_[to];
    const RequestClass& klass = ClassOf(live);
    if (host.entry.state != HostState::kLive || live.begun) return false;
    if (Count(live) >= set_.max_attempts || now_ >= live.request.give_up_ms) return false;
    for (const Attempt& earlier : live.attempts) {
      if (earlier.pending && !set_.may_duplicate) return false;
      if (!earlier.may_have_run || klass.effect == Effect::kSafe) continue;
      if (klass.effect == Effect::kUnsafe) return false;
      if (now_ - earlier.sent_at > klass.repeat_window_ms - set_.tick_ms) return false;
      const HostEntry& first = hosts_[earlier.host].entry;
      if (klass.group == RepeatGroup::kZone && first.zone != host.entry.zone) return false;
      if (klass.group == RepeatGroup::kCell && first.cell != host.entry.cell) return false;
    }
    return true;
  }

  // A refusal promises that a retry does no harm.
  bool MayRefuse(const Live& live) const {
    const RequestClass& klass = ClassOf(live);
    if (klass.effect == Effect::kSafe) return true;
    if (klass.effect == Effect::kKeyed && klass.group == RepeatGroup::kAll) return true;
    return std::none_of(live.attempts.begin(), live.attempts.end(),
                        [](const Attempt& a) { return a.may_have_run; });
  }

  void SendTo(RequestId id, Live& live, const Ranked& kept) {
    Host& host = hosts_[kept.host];
    live.attempts.push_back({kept.host, now_, kept.figure, true, true});
    host.expected_ms = Expected(live, kept);
    if (host.own == 0) host.waiting_since = now_;
    ++host.held;
    CountOwn(host, 1);
    live.barred.push_back(kept.host);
    live.looks = 0;
    sink_.Send(id, host.entry.host, AttemptEnd(live, host));
  }

  double Expected(const Live& live, const Ranked& kept) const {
    return PerFigure(live.request.klass, hosts_[kept.host]) * shape_.At(kept.figure, live.share);
  }

  // A request that may run again is not left to wait for its host for all its time.
  double AttemptEnd(const Live& live, const Host& host) const {
    const double end = live.end_at - EndMargin(), cut = now_ + kCutAfter * host.expected_ms;
    const bool again = ClassOf(live).effect == Effect::kSafe && Count(live) < set_.max_attempts &&
                       retry_tokens_ >= 1 && cut + host.expected_ms < end;
    return again ? cut : end;
  }

  // What an outcome says of the host and of how long such requests take.
  void Judge(Live& live, const Attempt& tried, Outcome outcome, double took) {
    Host& host = hosts_[tried.host];
    Learned& learned = LearnedOf(live);
    const bool heard = outcome == Outcome::kServed || outcome == Outcome::kError ||
                       outcome == Outcome::kRefusedByHost || outcome == Outcome::kConnectionLost;
    if (heard) host.waiting_since = now_;
    switch (outcome) {
      case Outcome::kServed:
        host.linked_until = now_ + set_.connection_idle_ms;
        Weigh(host, false);
        learned.typical_ms += kTypicalWeight * (took - learned.typical_ms);
        return LearnTime(live, tried, took);
      case Outcome::kTimeout:
        // It would have taken longer still. Counted as it stands, the fit could never expect a time-out. Of a
        // host that said nothing all the while, it tells nothing about the time that answers take.
        if (host.waiting_since > tried.sent_at) return LearnTime(live, tried, kCutFactor * took);
        return Weigh(host, true, true);
      case Outcome::kError:
      case Outcome::kConnectFailed:
      case Outcome::kConnectionLost:
        return Weigh(host, true);
      case Outcome::kRefusedByHost:
        return SetAside(host);
      case Outcome::kCancelled:
      case Outcome::kNotSent:
        return;
    }
  }

  void LearnTime(Live& live, const Attempt& tried, double took) {
    Host& host = hosts_[tried.host];
    Learned& learned = LearnedOf(live);
    const double shape = shape_.At(tried.figure, live.share), level = took / shape;
    const std::size_t kind = static_cast<std::size_t>(host.entry.kind);
    if (kind >= learned.on_kind.size()) learned.on_kind.resize(kind + 1, 0);
    double& on_kind = learned.on_kind[kind];
    // The first outcome stands for its kind, within reason: held against a guess, the hosts tried first would
    // all look unusually fast or slow beside those not tried yet.
    if (on_kind <= 0)
      on_kind = std::clamp(level, learned.per_figure / kGuessOff, learned.per_figure * kGuessOff);
    const double slower = std::clamp(level / on_kind, 1 / kSlowMost, kSlowMost);
    const double usual = took / Slower(host);  // had the host been like its kind
    host.slow_log = SlowLog(host) * (1 - kSlowWeight) + std::log(slower) * kSlowWeight;
    host.slow_at = now_;
    shape_.Add(tried.figure, usual / on_kind - shape_.Offset() * (live.share - 1));
    // By the difference, not by the ratio: hints are rough, and small requests that took long would else
    // count most.
    on_kind += kTypicalWeight * (std::min(usual, kSlowMost * on_kind * shape) - on_kind * shape);
    learned.per_figure += kTypicalWeight * (usual - learned.per_figure * shape);
  }

  // After a failure: another attempt if it is legal, can still make it, and is earned. One that is known not
  // to have run has cost its host nothing and needs no earning.
  bool WorthAnother(Live& live, Outcome outcome) {
    if (Count(live) >= set_.max_attempts) return false;
    if (live.end_at - EndMargin() - now_ < LearnedOf(live).typical_ms / 2) return false;
    if (ClassOf(live).effect == Effect::kUnsafe && !MayRefuse(live)) return false;
    if (ProvesNeverRan(outcome)) return true;
    if (retry_tokens_ < 1) return false;
    retry_tokens_ -= 1;
    return true;
  }

  void CancelPending(RequestId id, const Live& live) {
    for (int k = 0; k < Count(live); ++k) {
      if (live.attempts[k].pending && set_.may_cancel) sink_.Cancel(id, k);
    }
  }

  void Forget(RequestId id, Live& live) {
    for (const Attempt& attempt : live.attempts) {
      Host& host = hosts_[attempt.host];
      if (attempt.pending && Silent(host))
        Weigh(host, true);  // or its silence would be forgotten with the request
      if (attempt.pending) CountOwn(host, -1);
      --host.held;
    }
    requests_.erase(id);
  }

  void End(RequestId id, Live& live) {
    CancelPending(id, live);
    MayRefuse(live) ? sink_.Refuse(id, 0) : sink_.Fail(id);
    Forget(id, live);
  }

  // ---- Admission ----

  // When the answer is wanted. A client's retry keeps the clock of its first try. First tries of a class all
  // come with the same time, and they are most of what comes; one that comes with more or less than that is a
  // retry, which began a deadline before its end.
  double AimOf(const Live& live) {
    const RequestClass& klass = ClassOf(live);
    Learned& learned = LearnedOf(live);
    const double budget = live.request.give_up_ms - now_,
                 off = kTryOff * klass.deadline_ms + 2 * set_.tick_ms;
    if (learned.first_tries < kOtherTry) learned.first_try_ms = budget;
    const bool first = std::abs(budget - learned.first_try_ms) <= off;
    learned.first_tries = std::min(kFirstTriesMost, learned.first_tries + (first ? 1 : -kOtherTry));
    const double began = first ? now_ : live.request.give_up_ms - klass.deadline_ms;
    const double aim = klass.aim_ms + klass.aim_stretch * live.request.work_hint_ms;
    return std::min(std::min(began, now_) + aim, live.request.give_up_ms);
  }

  // The request's own work against its class's mean, by the client's hint; 1 without one.
  double ShareOf(const Live& live) {
    const double hint = live.request.work_hint_ms;
    if (hint <= 0) return 1;
    double& mean = learned_[live.request.klass].mean_hint_ms;
    mean = mean > 0 ? mean + kTypicalWeight * (std::min(hint, kShareMost * mean) - mean) : hint;
    return std::clamp(hint / mean, 1 / kShareMost, kShareMost);
  }

  double WorthForWork(int klass) const {
    return set_.classes[klass].worth / (set_.worth_by_work ? 1 : learned_[klass].per_figure);
  }

  // A request is taken on if it is expected within its aim, or within its time for what it is worth then, and
  // if another behind it would be within the shortest aim of all, or nearly so if it is worth less: else
  // patient and late ones fill the hosts and shut the others out. Judged by what its own class met: what
  // another one meets is no measure of the host.
  bool InTime(const Live& live, const Ranked& kept) const {
    const Host& host = hosts_[kept.host];
    // A host seen idle is always worth a try: were it refused for what was learned, nothing could be learned
    // again.
    if (kept.figure * Size(host) * Warmth(host) < 2) return true;
    const double time = Expected(live, kept);
    double worth = WorthForWork(live.request.klass) / WorthForWork(hastiest_);
    if (time > kAimShare * (live.aim_at - now_)) worth *= ClassOf(live).late_worth;
    return worth > 0 && time <= kAimShare * (live.end_at - now_) &&
           PerFigure(live.request.klass, host) * shape_.At(kept.figure, 1) <=
               kRoomShare * set_.classes[hastiest_].aim_ms * std::sqrt(std::min(1.0, worth));
  }

  // ---- Discovery ----

  void AskDiscovery() {
    asked_ = true;
    sink_.Subscribe();
    // An answer that never comes must not leave this instance deaf.
    sink_.SetTimer(now_ + set_.ask_within_ms / 2, kDiscoveryTimer);
    ask_due_ = now_ + set_.ask_within_ms / 2;
  }

  void DiscoveryAnswered() {
    if (!asked_) return;
    asked_ = false;
    subscribed_ = true;
    refusals_ = 0;
  }

  void PlanToAsk() {
    const double longest = set_.ask_within_ms / 2;
    const double base = std::min(longest, set_.ask_within_ms / 8 * (1 << std::min(refusals_, 4)));
    ++refusals_;
    ask_due_ = now_ + base * (0.5 + 0.5 * random_.Unit());
    sink_.SetTimer(ask_due_, kDiscoveryTimer);
  }

  void DiscoveryDue() {
    if (subscribed_ || now_ < ask_due_ - kSettled) return;
    AskDiscovery();
  }

  const Settings set_;
  ActionSink& sink_;
  Random random_;
  double now_ = 0;
  std::vector<Host> hosts_;
  std::unordered_map<std::string, int> host_index_;  // looked up, never walked
  std::unordered_map<RequestId, Live> requests_;     // looked up, never walked
  std::vector<double> zone_rtt_;
  std::vector<Learned> learned_;
  TimeShape shape_;
  int hastiest_ = 0;              // the class with the shortest aim
  double patience_ = 0;           // of the most patient class
  double spoilt_ = kSpoiltLeast;  // share of attempts that fail on hosts that nothing is held against
  int live_ = 0;
  double mean_weight_ = 1;
  int sample_size_ = kSampleMin;
  double retry_tokens_ = kRetrySaved / 2;
  bool asked_ = false;
  bool subscribed_ = false;
  int refusals_ = 0;
  double ask_due_ = 0;
};

Balancer::Balancer(const Settings& settings, std::uint64_t seed, ActionSink& sink)
    : impl_(std::make_unique<Impl>(settings, seed, sink)) {}
Balancer::~Balancer() = default;
void Balancer::OnHostList(double now_ms, const std::vector<HostEntry>& all, bool remembered) {
  impl_->OnHostList(now_ms, all, remembered);
}
void Balancer::OnHostChanges(double now_ms, const std::vector<HostEntry>& changed) {
  impl_->OnHostChanges(now_ms, changed);
}
void Balancer::OnDiscoveryRefused(double now_ms) { impl_->OnDiscoveryRefused(now_ms); }
void Balancer::OnRequest(double now_ms, const Request& request) { impl_->OnRequest(now_ms, request); }
void Balancer::OnStreamBegun(double now_ms, RequestId id, int attempt) {
  impl_->OnStreamBegun(now_ms, id, attempt);
}
void Balancer::OnOutcome(double now_ms, RequestId id, int attempt, Outcome outcome, bool request_over,
                         double took_ms, const LoadReport* report) {
  impl_->OnOutcome(now_ms, id, attempt, outcome, request_over, took_ms, report);
}
void Balancer::OnProbeResult(double now_ms, const std::string& host, bool answered, double took_ms,
                             const LoadReport* report) {
  impl_->OnProbeResult(now_ms, host, answered, took_ms, report);
}
void Balancer::OnClientGone(double now_ms, RequestId id) { impl_->OnClientGone(now_ms, id); }
void Balancer::OnTimer(double now_ms, std::uint64_t token) { impl_->OnTimer(now_ms, token); }

}  // namespace cartspring
