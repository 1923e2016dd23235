// The host table: discovery's entry for each host, and the row that holds what is known of it.
//
// Invariants. The row of a host that is gone for good is reused, so that ids that come and go do not pile up;
// a row in use is never reused (rows/named_rows.h). A restarted process has a clean failure record.
#ifndef CARTSPRING_SRC_CARTSPRING_HOSTS_H_
#define CARTSPRING_SRC_CARTSPRING_HOSTS_H_

#include "cartspring/check.h"
#include "cartspring/records.h"
#include "rows/named_rows.h"
#include "subset/host_order.h"
#include "subset/subset.h"

namespace cartspring {

constexpr double kMinLogOdds = -3.5;  // log odds that a host is failing, with a clean record
constexpr double kOwnZoneFactor = 3;  // a host of the own zone is this many times as likely to be sampled
constexpr std::uint64_t kDiscoveryTimer = ~std::uint64_t{0} >> 1;

class HostTable {
 public:
  explicit HostTable(const Context& ctx, std::uint64_t seed = 0) : ctx_(ctx), subset_(seed) {}

  Host& operator[](int row) { return rows_[row]; }
  const Host& operator[](int row) const { return rows_[row]; }
  int size() const { return rows_.size(); }
  const HostOrder& live() const { return live_; }  // rows of the live hosts

  int RowOf(const std::string& name) const {
    const int row = rows_.Find(name);
    Check(row >= 0, "a host that no list has named");
    return row;
  }

  // `complete`: the entries are the complete list, and a host that it omits is gone.
  void Update(const std::vector<HostEntry>& entries, bool complete) {
    for (Host& host : rows_) host.listed = !complete;
    rows_.RescanFromStart();
    for (const HostEntry& entry : entries) Learn(entry);
    live_.Clear();
    double weight = 0;
    for (int i = 0; i < size(); ++i) {
      HostEntry& entry = rows_[i].entry;
      if (!rows_[i].listed) entry.state = HostState::kGone;
      if (entry.state != HostState::kLive) continue;
      live_.Add(i, rows_[i].sort_by, {entry.zone, entry.kind, entry.cell});
      weight += entry.weight;
    }
    live_.Build();
    mean_weight_ = weight > 0 ? weight / static_cast<double>(live_.size()) : 1;
  }

  // Share of its capacity that a started host is guaranteed to have by now.
  double Warmth(const Host& host) const {
    const Settings& set = ctx_.set;
    if (host.entry.started_ms <= 0 || set.warm_within_ms <= 0) return 1;
    const double age = std::max(0.0, ctx_.now - host.entry.started_ms);
    return std::min(1.0, set.cold_from + (1 - set.cold_from) * age / set.warm_within_ms);
  }

  // Capacity relative to the fleet's mean, if the list gives weights; otherwise 1.
  double Size(const Host& host) const {
    return ctx_.set.weights_known && host.entry.weight > 0 ? host.entry.weight / mean_weight_ : 1;
  }

 private:
  void Learn(const HostEntry& entry) {
    const int known = rows_.Find(entry.host);
    Host& host = known >= 0 ? rows_[known] : rows_.Add(entry.host);
    if (known < 0 || entry.started_ms > host.entry.started_ms) {
      // A new process: the failure record and load of the old one are void.
      host.log_odds = kMinLogOdds;
      host.pauses = 0;
      host.paused_until = 0;
      host.load = -1;
    }
    host.entry = entry;
    host.listed = true;
    if (!host.InUse()) rows_.MarkFree(host.row);
    const double size = ctx_.set.weights_known && entry.weight > 0 ? entry.weight : 1;
    host.sort_by = subset_.SortKey(entry.host, size * (entry.zone == ctx_.set.own_zone ? kOwnZoneFactor : 1));
  }

  const Context& ctx_;
  Subset subset_;
  NamedRows<Host> rows_;
  HostOrder live_;
  double mean_weight_ = 1;
};

}  // namespace cartspring

#endif  // CARTSPRING_SRC_CARTSPRING_HOSTS_H_
