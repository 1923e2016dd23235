// State shared by the steps of a decision: the settings, the time of the current event and the seeded random
// generator. Contains no decisions. Only the event handlers (policy.h) advance the time.
#ifndef CARTSPRING_SRC_CARTSPRING_CONTEXT_H_
#define CARTSPRING_SRC_CARTSPRING_CONTEXT_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

#include "cartspring/balancer.h"
#include "startup/startup_tracker.h"

namespace cartspring {

constexpr double kTimeToleranceMs = 1e-6;  // tolerance for comparing times
constexpr double kNever = std::numeric_limits<double>::infinity();
// With more instances than this, an instance's share of the requests that a host may hold is below one:
// limits on counts have no effect, and the instance sees little of any host.
constexpr int kMaxSmallTier = 6;

// splitmix64: small, seeded and portable. The distributions of the standard library differ
// between implementations.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1p-53; }  // in [0, 1)
  std::size_t Below(std::size_t n) { return static_cast<std::size_t>(Next() % n); }

  // Draws `count` elements of `from` at random, or all if there are fewer: moves them to its front and
  // appends them to `out`.
  void Draw(std::vector<int>& from, int count, std::vector<int>& out) {
    for (int k = 0; k < count && k < static_cast<int>(from.size()); ++k) {
      std::swap(from[k], from[k + Below(from.size() - k)]);
      out.push_back(from[k]);
    }
  }

 private:
  std::uint64_t Next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15u);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
  }
  std::uint64_t state_;
};

struct Context {
  Settings set;
  Random random;
  double now = 0;  // ms
  StartupTracker startup{set};

  // The next three functions leave out retired classes.
  int StrictestClass() const {  // the one with the shortest target latency, the first of equals
    int best = -1;
    for (std::size_t i = 0; i < set.classes.size(); ++i) {
      if (set.classes[i].retired) continue;
      if (best < 0 || set.classes[i].aim_ms < set.classes[static_cast<std::size_t>(best)].aim_ms)
        best = static_cast<int>(i);
    }
    return std::max(0, best);
  }
  double ShortestDeadline() const {  // of all classes in use
    double shortest = kNever;
    for (const RequestClass& klass : set.classes) {
      if (!klass.retired) shortest = std::min(shortest, klass.deadline_ms);
    }
    return shortest;
  }
  double LongestDeadline() const {  // of all classes in use
    double longest = 0;
    for (const RequestClass& klass : set.classes) {
      if (!klass.retired) longest = std::max(longest, klass.deadline_ms);
    }
    return longest;
  }
  std::vector<double> Worths() const {  // by class
    std::vector<double> worths;
    for (const RequestClass& klass : set.classes) worths.push_back(klass.worth);
    return worths;
  }
  bool LargeTier() const { return set.balancers > kMaxSmallTier; }
  const RequestClass& ClassOf(const Request& request) const { return set.classes[request.klass]; }
};

}  // namespace cartspring

#endif  // CARTSPRING_SRC_CARTSPRING_CONTEXT_H_
