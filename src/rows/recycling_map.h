// A map whose entries are used again when they go, with the memory that they hold: a map of what comes and
// goes all day asks for none once as many were in it as usually are. A container without a decision in it.
//
// Bound: the entries that are in, and kSpareMost that went.
#ifndef BITTERNMUX_SRC_ROWS_RECYCLING_MAP_H_
#define BITTERNMUX_SRC_ROWS_RECYCLING_MAP_H_

#include <cstddef>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cartspring {

// Value: made by default; Renew() makes it as if it were new, but for memory that it keeps.
template <class Key, class Value>
class RecyclingMap {
  using Map = std::unordered_map<Key, Value>;

 public:
  typename Map::iterator find(const Key& key) { return map_.find(key); }
  typename Map::iterator end() { return map_.end(); }

  // A new value where there is none. It stays where it is until it is erased.
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

  Map map_;  // looked up, never walked
  std::vector<typename Map::node_type> recycled_;
};

}  // namespace cartspring

#endif  // BITTERNMUX_SRC_ROWS_RECYCLING_MAP_H_
