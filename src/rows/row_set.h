// A set of row indices that is iterated over without visiting rows outside it. A plain container without
// decision logic.
//
// Memory: one index and one bit for each row that was ever added, or below one that was.
#ifndef BITTERNMUX_SRC_ROWS_ROW_SET_H_
#define BITTERNMUX_SRC_ROWS_ROW_SET_H_

#include <algorithm>
#include <cstddef>
#include <vector>

namespace cartspring {

class RowSet {
 public:
  bool Has(int row) const {
    const auto index = static_cast<std::size_t>(row);
    return index < is_member_.size() && is_member_[index];
  }

  // `row` is 0 or above. Has no effect if the set contains it already.
  void Add(int row) {
    if (Has(row)) return;
    const auto index = static_cast<std::size_t>(row);
    if (index >= is_member_.size()) is_member_.resize(index + 1);
    is_member_[index] = true;
    rows_.push_back(row);
  }

  // Removes the rows that satisfy `predicate`.
  template <class Predicate>
  void EraseIf(const Predicate& predicate) {
    std::erase_if(rows_, [&](int row) {
      const bool erased = predicate(row);
      if (erased) is_member_[static_cast<std::size_t>(row)] = false;
      return erased;
    });
  }

  // Counts the rows in the union of the set and `more` that satisfy `predicate`. `more` has no duplicates.
  template <class Predicate>
  std::ptrdiff_t CountIf(const Predicate& predicate, const std::vector<int>& more = {}) const {
    return std::ranges::count_if(rows_, predicate) +
           std::ranges::count_if(more, [&](int row) { return !Has(row) && predicate(row); });
  }

 private:
  std::vector<int> rows_;
  std::vector<bool> is_member_;  // by row
};

}  // namespace cartspring

#endif  // BITTERNMUX_SRC_ROWS_ROW_SET_H_
