// A set of rows, gone through without a look at those that are not in it. A container without a decision in
// it.
//
// Bound: as many rows as were ever named, a number and a bit for each.
#ifndef BITTERNMUX_SRC_ROWS_ROW_SET_H_
#define BITTERNMUX_SRC_ROWS_ROW_SET_H_

#include <algorithm>
#include <cstddef>
#include <vector>

namespace cartspring {

class RowSet {
 public:
  bool Has(int row) const {
    const auto at = static_cast<std::size_t>(row);
    return at < in_.size() && in_[at];
  }

  // `row`: from 0. Nothing changes where it is in already.
  void Add(int row) {
    if (Has(row)) return;
    const auto at = static_cast<std::size_t>(row);
    if (at >= in_.size()) in_.resize(at + 1);
    in_[at] = true;
    rows_.push_back(row);
  }

  // Takes out the rows of which `over` is true.
  template <class Predicate>
  void EraseIf(const Predicate& predicate) {
    std::erase_if(rows_, [&](int row) {
      const bool out = predicate(row);
      if (out) in_[static_cast<std::size_t>(row)] = false;
      return out;
    });
  }

  // How many rows of the set, and of `more` beside it (no row twice), `holds` is true of.
  template <class Predicate>
  std::ptrdiff_t CountIf(const Predicate& predicate, const std::vector<int>& more = {}) const {
    return std::ranges::count_if(rows_, predicate) +
           std::ranges::count_if(more, [&](int row) { return !Has(row) && predicate(row); });
  }

 private:
  std::vector<int> rows_;
  std::vector<bool> in_;  // by row
};

}  // namespace cartspring

#endif  // BITTERNMUX_SRC_ROWS_ROW_SET_H_
