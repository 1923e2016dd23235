// Which execute nodes have been left out for so long that it is worth telling.
//
// The module leaves nodes out for moments all the time: a claim that is a little late is enough. What
// operators ask is which nodes get nothing. So a node counts once it was left out at every look for a while.
#ifndef BITTERNMUX_SRC_CORE_LEFT_OUT_H_
#define BITTERNMUX_SRC_CORE_LEFT_OUT_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace bitternmux {

class LeftOut {
 public:
  // `after_ms`: from the first look that found a node left out.
  explicit LeftOut(double after_ms) : after_ms_(after_ms) {}

  // Due some ten times a second, with the nodes that are left out now.
  void Look(double now_ms, const std::vector<std::string>& nodes) {
    std::map<std::string, double> since;
    for (const std::string& node : nodes) {
      const auto found = since_ms_.find(node);
      since[node] = found == since_ms_.end() ? now_ms : found->second;
    }
    since_ms_.swap(since);
    count_ = static_cast<std::size_t>(std::count_if(since_ms_.begin(), since_ms_.end(), [&](const auto& row) {
      return now_ms - row.second >= after_ms_;
    }));
  }
  std::size_t count() const { return count_; }  // as of the last look

 private:
  const double after_ms_;
  std::map<std::string, double> since_ms_;
  std::size_t count_ = 0;
};

}  // namespace bitternmux

#endif  // BITTERNMUX_SRC_CORE_LEFT_OUT_H_
