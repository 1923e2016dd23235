// What the steps of a decision share: the settings, the time of the event at hand and the seeded chance.
// Nothing here decides. Only the event handlers (policy.h) move the time.
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

constexpr double kSettled = 1e-6;  // ms, for comparing times
constexpr double kNever = std::numeric_limits<double>::infinity();
// From more instances than this on, an instance's share of the requests that a host may hold is less than
// one: counts bound nothing, and it sees little of any host.
constexpr int kSmallTier = 6;

// Small, seeded and portable: splitmix64. Distributions of the standard library differ between runtimes.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1p-53; }  // from 0 to below 1
  std::size_t Below(std::size_t n) { return static_cast<std::size_t>(Next() % n); }

  // Moves `count` of `from`, or all if there are fewer, to its front and appends them to `out`.
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

  // Of the classes that requests come of.
  int Hastiest() const {  // the one with the shortest aim, the first of those
    int best = -1;
    for (std::size_t i = 0; i < set.classes.size(); ++i) {
      if (set.classes[i].retired) continue;
      if (best < 0 || set.classes[i].aim_ms < set.classes[static_cast<std::size_t>(best)].aim_ms)
        best = static_cast<int>(i);
    }
    return std::max(0, best);
  }
  double Patience() const {  // of the most patient one
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
  bool LargeTier() const { return set.balancers > kSmallTier; }
  const RequestClass& ClassOf(const Request& request) const { return set.classes[request.klass]; }
};

}  // namespace cartspring

#endif  // CARTSPRING_SRC_CARTSPRING_CONTEXT_H_
