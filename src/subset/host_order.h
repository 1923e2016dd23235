// The live hosts in an instance's own order (subset.h). Selects the first hosts of that order without looking
// at those behind them.
//
// Memory: one entry per host. Does no I/O, reads no clock and generates no random numbers.
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
  using Traits = std::array<int, kTraits>;  // common causes of failure: zone, kind, cell

  void Clear() {
    hosts_.clear();
    rows_.clear();
  }
  // `sort_key`: from Subset::SortKey. Call Build once all hosts are added; the order is valid after it.
  void Add(int row, double sort_key, const Traits& traits) { hosts_.push_back({sort_key, row, traits, {}}); }
  void Build() {
    std::ranges::sort(hosts_, {}, [](const Entry& host) { return std::pair(host.sort_key, host.row); });
    for (std::size_t position = hosts_.size(); position-- > 0;) {
      Entry& host = hosts_[position];
      for (std::size_t t = 0; t < kTraits; ++t) {
        const bool alike = position + 1 < hosts_.size() && hosts_[position + 1].traits[t] == host.traits[t];
        host.next_different[t] = alike ? hosts_[position + 1].next_different[t] : position + 1;
      }
    }
    for (const Entry& host : hosts_) rows_.push_back(host.row);
  }

  // Iteration over the rows in this order.
  auto begin() const { return rows_.begin(); }
  auto end() const { return rows_.end(); }
  std::size_t size() const { return rows_.size(); }
  bool empty() const { return rows_.empty(); }

  // Writes to `out` the rows that satisfy `fits`, in order, up to the `size`th that also satisfies `counts`;
  // rows between them that only fit are included. `size` is above 0 if there are hosts. If all counted rows
  // have the same value of a trait, the next row that differs is added: the loss of one kind, zone or cell
  // must not take away all of them. The cost is that of the rows visited. Returns true if the search reached
  // the end of the order, so that `out` holds every row that fits.
  template <class Fits, class Counts>
  bool Pick(std::size_t size, const Fits& fits, const Counts& counts, std::vector<int>& out) const {
    out.clear();
    std::array<bool, kTraits> has_other{};
    const Entry* first = nullptr;
    std::size_t counted_rows = 0, position = 0;
    const auto append = [&](const Entry& host, bool counted) {
      if (first == nullptr) first = &host;
      for (std::size_t t = 0; t < kTraits; ++t) has_other[t] |= counted && host.traits[t] != first->traits[t];
      out.push_back(host.row);
    };
    for (; position < hosts_.size() && counted_rows < size; ++position) {
      if (!fits(hosts_[position].row)) continue;
      const bool counted = counts(hosts_[position].row);
      counted_rows += counted;
      append(hosts_[position], counted);
    }
    if (position == hosts_.size()) return true;
    for (std::size_t t = 0; t < kTraits; ++t) {
      std::size_t next = has_other[t] ? hosts_.size() : position;
      while (next < hosts_.size()) {
        const Entry& host = hosts_[next];
        if (host.traits[t] == first->traits[t]) {
          next = host.next_different[t];
        } else if (fits(host.row) && counts(host.row)) {
          append(host, true);
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
    // For each trait the index of the next entry with another value, or the end.
    std::array<std::size_t, kTraits> next_different;
  };
  std::vector<Entry> hosts_;
  std::vector<int> rows_;  // the rows of hosts_, in the same order
};

}  // namespace cartspring

#endif  // BITTERNMUX_SRC_SUBSET_HOST_ORDER_H_
