// What is ranked, put in order only as far down as it is asked for: the first costs a look at each, not a
// sort of all. A container without a decision in it.
//
// Bound: what is added between two calls of Clear.
#ifndef BITTERNMUX_SRC_ROWS_RANKING_H_
#define BITTERNMUX_SRC_ROWS_RANKING_H_

#include <algorithm>
#include <cstddef>
#include <vector>

namespace cartspring {

// Item: ordered by <, the least comes first.
template <class Item>
class Ranking {
 public:
  void Clear() {
    items_.clear();
    sorted_ = 0;
  }
  // Not once At was called, until Clear.
  void Add(const Item& item) { items_.push_back(item); }
  std::size_t size() const { return items_.size(); }

  // The item with `rank` (below size()) others before it.
  const Item& At(std::size_t rank) {
    const auto after = [](const Item& a, const Item& b) { return b < a; };
    if (sorted_ == 0) std::make_heap(items_.begin(), items_.end(), after);
    for (; sorted_ <= rank; ++sorted_)  // to the back, behind what is not ranked yet
      std::pop_heap(items_.begin(), items_.end() - static_cast<std::ptrdiff_t>(sorted_), after);
    return items_[items_.size() - 1 - rank];
  }

 private:
  std::vector<Item> items_;
  std::size_t sorted_ = 0;
};

}  // namespace cartspring

#endif  // BITTERNMUX_SRC_ROWS_RANKING_H_
