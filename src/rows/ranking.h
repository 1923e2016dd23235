// A collection of items that is sorted only as far as it is read: getting the first item costs one pass over
// all items, not a full sort. A plain container without decision logic.
//
// Memory: the items added between two calls of Clear.
#ifndef BITTERNMUX_SRC_ROWS_RANKING_H_
#define BITTERNMUX_SRC_ROWS_RANKING_H_

#include <algorithm>
#include <cstddef>
#include <vector>

namespace cartspring {

// Item must be ordered by <; the smallest comes first.
template <class Item>
class Ranking {
 public:
  void Clear() {
    items_.clear();
    sorted_count_ = 0;
  }
  // Must not be called between a call of At and the next Clear.
  void Add(const Item& item) { items_.push_back(item); }
  std::size_t size() const { return items_.size(); }

  // The item at position `rank` (from 0, below size()) of the sorted order.
  const Item& At(std::size_t rank) {
    const auto greater = [](const Item& a, const Item& b) { return b < a; };
    if (sorted_count_ == 0) std::make_heap(items_.begin(), items_.end(), greater);
    for (; sorted_count_ <= rank; ++sorted_count_)  // moved to the back, behind the items not sorted yet
      std::pop_heap(items_.begin(), items_.end() - static_cast<std::ptrdiff_t>(sorted_count_), greater);
    return items_[items_.size() - 1 - rank];
  }

 private:
  std::vector<Item> items_;
  std::size_t sorted_count_ = 0;
};

}  // namespace cartspring

#endif  // BITTERNMUX_SRC_ROWS_RANKING_H_
