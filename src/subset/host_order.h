// The live hosts in an instance's own order (subset.h), and the part of them that is looked at, found without
// a look at those behind it.
//
// Bound: one entry for each host. Does no I/O, reads no clock and draws no chance.
#ifndef BITTERNMUX_SRC_SUBSET_HOST_ORDER_H_
#define BITTERNMUX_SRC_SUBSET_HOST_ORDER_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>
#include <vector>

namespace cartspring {

class HostOrder {
 public:
  static constexpr std::size_t kTraits = 3;
  using Traits = std::array<int, kTraits>;  // what can take hosts away together: zone, kind, cell

  void Clear() {
    hosts_.clear();
    rows_.clear();
  }
  // `place`: Subset::PlaceOf. The order holds once all are added and Settle was called.
  void Add(int row, double sort_key, const Traits& traits) { hosts_.push_back({sort_key, row, traits, {}}); }
  void Build() {
    std::ranges::sort(hosts_, {}, [](const Entry& host) { return std::pair(host.sort_key, host.row); });
    for (std::size_t at = hosts_.size(); at-- > 0;) {
      Entry& host = hosts_[at];
      for (std::size_t t = 0; t < kTraits; ++t) {
        const bool alike = at + 1 < hosts_.size() && hosts_[at + 1].traits[t] == host.traits[t];
        host.next_different[t] = alike ? hosts_[at + 1].next_different[t] : at + 1;
      }
    }
    for (const Entry& host : hosts_) rows_.push_back(host.row);
  }

  // The rows, in this order.
  auto begin() const { return rows_.begin(); }
  auto end() const { return rows_.end(); }
  std::size_t size() const { return rows_.size(); }
  bool empty() const { return rows_.empty(); }

  // Puts into `out` the rows that `fits` holds for, down the order to the `size`th (above 0 where there are
  // hosts) that `counts` holds good, others between them left in. Where all of these are alike in a trait,
  // the next that is not comes as well: what takes one kind, zone or cell away must not take all. Costs what
  // is passed on the way and no more. True: the order was gone down to its end, `out` is all that fits.
  template <class Fits, class Counts>
  bool Pick(std::size_t size, const Fits& fits, const Counts& counts, std::vector<int>& out) const {
    out.clear();
    std::array<bool, kTraits> unlike{};
    const Entry* first = nullptr;
    std::size_t good = 0, at = 0;
    const auto take = [&](const Entry& host, bool counted) {
      if (first == nullptr) first = &host;
      for (std::size_t t = 0; t < kTraits; ++t) unlike[t] |= counted && host.traits[t] != first->traits[t];
      out.push_back(host.row);
    };
    for (; at < hosts_.size() && good < size; ++at) {
      if (!fits(hosts_[at].row)) continue;
      const bool counted = counts(hosts_[at].row);
      good += counted;
      take(hosts_[at], counted);
    }
    if (at == hosts_.size()) return true;
    for (std::size_t t = 0; t < kTraits; ++t) {
      std::size_t next = unlike[t] ? hosts_.size() : at;
      while (next < hosts_.size()) {
        const Entry& host = hosts_[next];
        if (host.traits[t] == first->traits[t]) {
          next = host.next_different[t];
        } else if (fits(host.row) && counts(host.row)) {
          take(host, true);
          break;
        } else {
          ++next;
        }
      }
    }
    return false;
  }

 private:
  struct Entry {
    double sort_key;
    int row;
    Traits traits;
    std::array<std::size_t, kTraits> next_different;  // the next place where the trait is another, or the end
  };
  std::vector<Entry> hosts_;
  std::vector<int> rows_;  // the same, rows alone
};

}  // namespace cartspring

#endif  // BITTERNMUX_SRC_SUBSET_HOST_ORDER_H_
