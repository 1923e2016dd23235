// Limits the share of requests that an instance of a large tier accepts, by how many answers are late.
//
// In a large tier a limit on the requests in flight per host has no effect: each instance has none or one at
// a host, and a hundred instances still overload it. What each instance does notice, within one answer time
// and even at low traffic, is that answers are late from every host. So each adapts the share it accepts
// immediately: multiplicative decrease for each late answer, additive increase for each timely one. All
// instances together settle where about a third of the answers are late.
//
// Does no I/O, reads no clock and generates no random numbers.
#ifndef BITTERNMUX_SRC_PACE_ADAPTIVE_THROTTLE_H_
#define BITTERNMUX_SRC_PACE_ADAPTIVE_THROTTLE_H_

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace cartspring {

class AdaptiveThrottle {
 public:
  // `worths`: the value of each request class per unit of work. Classes of higher worth are shed last.
  explicit AdaptiveThrottle(std::vector<double> worths)
      : worths_(std::move(worths)), recent_requests_(worths_.size(), 1) {}

  // Replaces the classes. `inherits_from`: for each new class the old one whose request count it continues,
  // or -1 for none.
  void Retune(std::vector<double> worths, const std::vector<int>& inherits_from) {
    std::vector<double> recent;
    for (const int old_class : inherits_from)
      recent.push_back(old_class >= 0 ? recent_requests_[static_cast<std::size_t>(old_class)] : 1);
    worths_ = std::move(worths);
    recent_requests_ = std::move(recent);
  }

  // Whether to accept a request of class `klass` that has arrived. `chance` is uniform in [0, 1).
  // Each class keeps most of an equal share, so that a class of higher worth cannot starve it. The remaining
  // capacity goes to the classes in order of worth, highest first, by their shares of the recent requests.
  bool Admits(int klass, double chance) {
    const auto index = static_cast<std::size_t>(klass);
    for (double& recent : recent_requests_) recent *= kCountDecay;
    recent_requests_[index] += 1;
    double total = 0, higher_worth = 0;
    for (std::size_t i = 0; i < recent_requests_.size(); ++i) {
      total += recent_requests_[i];
      if (worths_[i] > worths_[index] || (worths_[i] == worths_[index] && i < index))
        higher_worth += recent_requests_[i];
    }
    const double guaranteed_share = kGuaranteedFraction * admitted_share_;
    return chance < guaranteed_share + std::max(0.0, (admitted_share_ - guaranteed_share) * total -
                                                         (1 - guaranteed_share) * higher_worth) /
                                           recent_requests_[index];
  }

  // Records an answer that arrived in time, or one that is known to be late, possibly before it arrives.
  void RecordAnswer(bool late) {
    admitted_share_ = late ? std::max(kMinAdmittedShare, admitted_share_ * kDecreaseFactor)
                           : std::min(1.0, admitted_share_ + kIncrease);
  }

  // Share of the arriving requests that is accepted.
  double admitted_share() const { return admitted_share_; }

 private:
  // The admitted share is in equilibrium where kIncrease / (kIncrease + (1 - kDecreaseFactor) *
  // admitted_share) of the answers are late. With everything admitted that is a third, so a few slow hosts
  // reduce nothing.
  static constexpr double kIncrease = 0.1, kDecreaseFactor = 0.8;
  // Some requests are always admitted: only their response times show when the overload has ended.
  static constexpr double kMinAdmittedShare = 0.03;
  static constexpr double kGuaranteedFraction = 0.7;  // of the admitted share: what each class keeps at least
  static constexpr double kCountDecay = 0.99;         // applied to the counts of all classes at each request

  std::vector<double> worths_;
  std::vector<double> recent_requests_;  // by class, decaying
  double admitted_share_ = 1;
};

}  // namespace cartspring

#endif  // BITTERNMUX_SRC_PACE_ADAPTIVE_THROTTLE_H_
