// The host table: what the list says of each host, and the row in which the steps keep what they know of it.
//
// Invariants. Rows of hosts that are gone for good are used again, ids that come and go all day must not pile
// up; one in use never is (rows/named_rows.h). A started process begins with nothing held against it.
#ifndef CARTSPRING_SRC_CARTSPRING_HOSTS_H_
#define CARTSPRING_SRC_CARTSPRING_HOSTS_H_

#include "cartspring/check.h"
#include "cartspring/records.h"
#include "rows/named_rows.h"
#include "subset/host_order.h"
#include "subset/subset.h"

namespace cartspring {

constexpr double kDoubtLeast = -3.5;  // log odds that a host is failing before anything is held against it
constexpr double kNear = 3;           // times as likely as another is a host of the own zone to be looked at
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

  // A host that a whole list leaves out is gone, though nothing says so by name.
  void Take(const std::vector<HostEntry>& entries, bool whole) {
    for (Host& host : rows_) host.listed = !whole;
    rows_.RescanFromStart();
    for (const HostEntry& entry : entries) Learn(entry);
    live_.Clear();
    double weight = 0;
    for (int i = 0; i < size(); ++i) {
      HostEntry& entry = rows_[i].entry;
      if (!rows_[i].listed) entry.state = HostState::kGone;
      if (entry.state != HostState::kLive) continue;
      live_.Add(i, rows_[i].place, {entry.zone, entry.kind, entry.cell});
      weight += entry.weight;
    }
    live_.Build();
    mean_weight_ = weight > 0 ? weight / static_cast<double>(live_.size()) : 1;
  }

  // Share of its capacity that a started host has for sure by now.
  double Warmth(const Host& host) const {
    const Settings& set = ctx_.set;
    if (host.entry.started_ms <= 0 || set.warm_within_ms <= 0) return 1;
    const double age = std::max(0.0, ctx_.now - host.entry.started_ms);
    return std::min(1.0, set.cold_from + (1 - set.cold_from) * age / set.warm_within_ms);
  }

  // Size against the fleet's mean, where the list tells sizes.
  double Size(const Host& host) const {
    return ctx_.set.weights_known && host.entry.weight > 0 ? host.entry.weight / mean_weight_ : 1;
  }

 private:
  void Learn(const HostEntry& entry) {
    const int known = rows_.Find(entry.host);
    Host& host = known >= 0 ? rows_[known] : rows_.Add(entry.host);
    if (known < 0 || entry.started_ms > host.entry.started_ms) {
      // A new process: what was held against the old one, and its figure, are void.
      host.doubt = kDoubtLeast;
      host.set_asides = 0;
      host.out_until = 0;
      host.load = -1;
    }
    host.entry = entry;
    host.listed = true;
    if (!host.InUse()) rows_.MarkFree(host.row);
    const double size = ctx_.set.weights_known && entry.weight > 0 ? entry.weight : 1;
    host.place = subset_.SortKey(entry.host, size * (entry.zone == ctx_.set.own_zone ? kNear : 1));
  }

  const Context& ctx_;
  Subset subset_;
  NamedRows<Host> rows_;
  HostOrder live_;
  double mean_weight_ = 1;
};

}  // namespace cartspring

#endif  // CARTSPRING_SRC_CARTSPRING_HOSTS_H_
