// Load reports: what hosts report, how much of their load is this instance's own, and which hosts are sampled
// for a request.
//
// Invariants. At most one probe of a host is in flight. Where hosts are probed, an attempt samples at most
// kMaxSampleSize hosts. Hosts are not ranked by a report that is too old.
#ifndef CARTSPRING_SRC_CARTSPRING_REPORTS_H_
#define CARTSPRING_SRC_CARTSPRING_REPORTS_H_

#include "cartspring/beliefs.h"

namespace cartspring {

constexpr double kProbeSpend = 0.012;      // share of the result that the probes of a request may cost
constexpr int kMinSampleSize = 2;          // hosts sampled for a request: fewer is no choice
constexpr int kMaxSampleSize = 5;          // more add little to the best of the sample
constexpr int kHoldTicks = 2;              // a request waits this long for its sample's reports
constexpr double kProbeLife = 0.25;        // validity of a probe's report, in typical answer times
constexpr double kAnswerLife = 8;          // validity of a report that came with an answer, likewise
constexpr double kOwnMeanTimes = 4;        // averaging time of own attempts, in typical answer times
constexpr double kShareDecayMs = 1000;     // averaging time of this instance's share of the load on hosts
constexpr double kMaxReportedLoad = 24;    // most requests believed of a report, for a host of mean size
constexpr double kMaxHostRequests = 6;     // most requests that a host of mean size is given
constexpr double kUsualLoadWeight = 0.25;  // weight of a new report in a host's usual load
constexpr double kMinLoadShare = 0.5;      // lower bound on this instance's share of all load / equal share

class Reports {
 public:
  Reports(Context& ctx, HostTable& hosts, const Estimates& estimates, ActionSink& sink)
      : ctx_(ctx), hosts_(hosts), estimates_(estimates), sink_(sink) {}

  bool Probing() const { return ctx_.set.reporting == Reporting::kProbe && ctx_.set.may_probe; }
  // Does this instance have an idle connection to the host?
  bool HasIdleConnection(const Host& host) const { return host.own == 0 && ctx_.now < host.idle_until; }
  double Rtt(int zone) const { return ValueAt(rtt_, zone); }  // 0: not known

  // Is the host's report recent enough to rank by? A new probe is sent after a fraction of a request's time;
  // reports that come only with answers are valid longer, but not for good: a host last seen busy would never
  // be chosen again.
  bool Reported(const Host& host, const Live& live) const {
    const double life = (Probing() ? kProbeLife : kAnswerLife) * estimates_.Typical(live.request.klass);
    return host.load >= 0 &&
           (ctx_.now - host.load_at <= life || (Probing() && host.load_at >= live.sampled_at));
  }

  void Update(Host& host, const LoadReport& report) {
    const double reported = report.in_flight >= 0 ? report.in_flight : report.queue;
    if (reported < 0) return;
    const double load = std::min(reported, kMaxReportedLoad * hosts_.Size(host));
    CountOwn(host, 0);
    // A report with an answer is of an unknown earlier moment: the mean of own load stands for that moment's.
    host.others = std::max(0.0, load - (Probing() ? host.CurrentOwn() : host.own_mean));
    host.usual = host.load < 0 ? host.others : host.usual + kUsualLoadWeight * (host.others - host.usual);
    host.load = load;
    host.load_at = ctx_.now;
    // Each report counts for the time since the previous one. The prior, for what is not known yet, is half a
    // request beside an equal share's worth of others.
    const double kept = std::exp((share_at_ - ctx_.now) / kShareDecayMs), equal = 1.0 / ctx_.set.balancers;
    share_at_ = ctx_.now;
    own_ += (1 - kept) * (host.own_mean - own_);
    all_ += (1 - kept) * (std::max(load, host.own_mean) - all_);
    share_ = std::clamp((own_ + 0.5) / (all_ + 0.5 / equal), kMinLoadShare * equal, 1.0);
  }

  // Is the host at its request limit? By expected time alone a host would be crowded where work is small
  // beside the target latency; crowded for a second or two, a host turns slow and stays so while kept busy.
  // Its load is inferred from the own requests there and this instance's share of all load: reports come late
  // and say next to nothing when hosts leave or a burst begins; others' load moves as this instance's does.
  bool AtLimit(const Host& host) const {
    return host.CurrentOwn() > 0 &&
           host.CurrentOwn() + 1 > kMaxHostRequests * share_ * hosts_.Size(host) * hosts_.Warmth(host);
  }

  void CountOwn(Host& host, int more) {
    const double kept = std::exp((host.own_at - ctx_.now) / (kOwnMeanTimes * estimates_.TypicalAnswer()));
    host.own_mean = host.CurrentOwn() + (host.own_mean - host.CurrentOwn()) * kept;
    host.own_at = ctx_.now;
    host.own += more;
  }
  // An attempt in flight for several times as long as expected no longer counts as load: its answer was lost,
  // or its host is silent, which is for Health. Else it would fill its host until its time is out.
  void CountLate(Host& host, int more) {
    CountOwn(host, 0);
    host.late += more;
  }

  void Served(Host& host) { host.idle_until = ctx_.now + ctx_.set.connection_idle_ms; }

  // Draws the sample for a request. With probes, a small random one on arrival: in a fleet of full size an
  // instance's reports are seconds old, and ranking by those sends all instances to the same hosts (the
  // paper's oscillation). Otherwise the first ready hosts of the own order, ranked by what answers reported.
  // Returns whether to wait for reports. `fits`: may a row be sent to; `count`: how many hosts may.
  template <class Fits, class Count>
  bool Gather(RequestId id, Live& live, const Fits& fits, const Count& count) {
    live.sample.clear();
    live.reports_due = 0;
    live.sampled_at = ctx_.now;
    live.sample_chance = 1;
    if (!Probing()) {
      const std::size_t size = Subset::SizeFor(hosts_.live().size(), ctx_.set.balancers);
      const auto counts = [&](int i) { return hosts_.Warmth(hosts_[i]) >= 1 && !AtLimit(hosts_[i]); };
      if (!hosts_.live().Pick(size, fits, counts, live.sample) && !std::ranges::all_of(live.sample, counts))
        live.sample_chance = static_cast<double>(live.sample.size()) / static_cast<double>(count());
      return false;
    }
    std::vector<int> pool;
    std::ranges::copy_if(hosts_.live(), std::back_inserter(pool), fits);
    if (ctx_.set.connection_idle_ms > 0) {
      // Part of the sample has a connection open: else with many hosts and few requests each send pays for
      // one. Cold hosts are left out, or they would be drawn more often than their share allows for.
      std::vector<int> idle = pool;
      std::erase_if(idle,
                    [&](int i) { return !HasIdleConnection(hosts_[i]) || hosts_.Warmth(hosts_[i]) < 1; });
      ctx_.random.Draw(idle, SampleSize() / 2, live.sample);
    }
    std::vector<int> others = pool;
    std::erase_if(others, [&](int i) { return live.Sampled(i); });
    ctx_.random.Draw(others, SampleSize() - static_cast<int>(live.sample.size()), live.sample);
    if (!pool.empty())
      live.sample_chance = static_cast<double>(live.sample.size()) / static_cast<double>(pool.size());
    double wait = kHoldTicks * ctx_.set.tick_ms;
    for (const int i : live.sample) {
      Host& host = hosts_[i];
      if (Reported(host, live)) continue;
      if (!host.probe_out) sink_.Probe(host.entry.host);
      host.probe_out = true;
      host.waiters.push_back(id);
      ++live.reports_due;
      wait = std::max(wait, Rtt(host.entry.zone) + ctx_.set.tick_ms);
    }
    live.gathering = true;
    live.hold_until = ctx_.now + wait;
    return live.reports_due > 0;
  }

  // Records a probe's result and returns the requests that waited for it.
  std::vector<RequestId> FinishProbe(Host& host, bool answered, double took, const LoadReport* report) {
    host.probe_out = false;
    if (answered && report != nullptr) Update(host, *report);
    if (answered) {
      double& rtt = SlotAt(rtt_, host.entry.zone);
      rtt = rtt == 0 ? took : rtt + kMeanWeight * (took - rtt);
    }
    return std::exchange(host.waiters, {});
  }

 private:
  int SampleSize() const {
    const double price = ctx_.set.probe_price, affordable = price > 0 ? kProbeSpend / price : kMaxSampleSize;
    return static_cast<int>(std::clamp<double>(affordable, kMinSampleSize, kMaxSampleSize));
  }

  Context& ctx_;
  HostTable& hosts_;
  const Estimates& estimates_;
  ActionSink& sink_;
  std::vector<double> rtt_;   // by zone
  double own_ = 0, all_ = 0;  // decaying means of the load of a host, own and total
  double share_ = 1.0 / ctx_.set.balancers, share_at_ = 0;
};

}  // namespace cartspring

#endif  // CARTSPRING_SRC_CARTSPRING_REPORTS_H_
