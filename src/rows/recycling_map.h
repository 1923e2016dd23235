// A map that reuses erased entries together with the memory that they hold: with entries added and erased all
// the time, it stops allocating once its usual size was reached. A plain container without decision logic.
//
// Memory: the entries in the map and up to kMaxRecycled erased ones.
#ifndef BITTERNMUX_SRC_ROWS_RECYCLING_MAP_H_
#define BITTERNMUX_SRC_ROWS_RECYCLING_MAP_H_

#include <cstddef>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cartspring {

// Value must be default-constructible; its Reset() restores the initial state but keeps allocated memory.
template <class Key, class Value>
class RecyclingMap {
  using Map = std::unordered_map<Key, Value>;

 public:
  typename Map::iterator find(const Key& key) { return map_.find(key); }
  typename Map::iterator end() { return map_.end(); }

  // Adds a new value if there is none for `key`. Its address stays valid until it is erased.
  Value& operator[](const Key& key) {
    if (recycled_.empty() || map_.contains(key)) return map_[key];
    auto node = std::move(recycled_.back());
    recycled_.pop_back();
    node.key() = key;
    return map_.insert(std::move(node)).position->second;
  }

  void erase(const Key& key) {
    auto node = map_.extract(key);
    if (node.empty() || recycled_.size() >= kMaxRecycled) return;
    node.mapped().Reset();
    recycled_.push_back(std::move(node));
  }

 private:
  static constexpr std::size_t kMaxRecycled = 64;

  Map map_;  // never iterated over
  std::vector<typename Map::node_type> recycled_;
};

}  // namespace cartspring

#endif  // BITTERNMUX_SRC_ROWS_RECYCLING_MAP_H_
