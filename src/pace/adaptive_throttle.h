// How much of what comes a member of a large tier takes on, by what it sees of answers that are late.
//
// In a large tier a bound on what one host holds says nothing: each member has none or one request there, and
// a hundred of them crowd it all the same. What each of them does see, within one answer time and on little
// traffic, is that answers come late wherever it asks. So each takes on less at once, multiplied down for
// each late answer and added up for each good one, and all of them together settle where about a third are
// late.
//
// Does no I/O, reads no clock and draws no chance.
#ifndef BITTERNMUX_SRC_PACE_ADAPTIVE_THROTTLE_H_
#define BITTERNMUX_SRC_PACE_ADAPTIVE_THROTTLE_H_

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace cartspring {

class AdaptiveThrottle {
 public:
  // `worths`: of each class, for a unit of work. What is dearer is shed last.
  explicit AdaptiveThrottle(std::vector<double> worths)
      : worths_(std::move(worths)), recent_requests_(worths_.size(), 1) {}

  // Other classes. `like`: for each the one whose share it goes on from, or -1.
  void Retune(std::vector<double> worths, const std::vector<int>& like) {
    std::vector<double> recent;
    for (const int from : like)
      recent.push_back(from >= 0 ? recent_requests_[static_cast<std::size_t>(from)] : 1);
    worths_ = std::move(worths);
    recent_requests_ = std::move(recent);
  }

  // A request of `klass`, one of the classes, has come: is it taken on? `chance`: uniform, from 0 to below 1.
  // Each class keeps most of an equal share, or it would be starved for a dearer one. What is left is shed
  // one class after the other, the cheapest first, by their shares of what came lately.
  bool Admits(int klass, double chance) {
    const auto of = static_cast<std::size_t>(klass);
    for (double& recent : recent_requests_) recent *= kCountDecay;
    recent_requests_[of] += 1;
    double all = 0, dearer = 0;
    for (std::size_t i = 0; i < recent_requests_.size(); ++i) {
      all += recent_requests_[i];
      if (worths_[i] > worths_[of] || (worths_[i] == worths_[of] && i < of)) dearer += recent_requests_[i];
    }
    const double fair = kEqualShare * admitted_share_;
    return chance <
           fair + std::max(0.0, (admitted_share_ - fair) * all - (1 - fair) * dearer) / recent_requests_[of];
  }

  // An answer has come in time, or is known to be late though it has not come.
  void RecordAnswer(bool late) {
    admitted_share_ = late ? std::max(kMinAdmittedShare, admitted_share_ * kDecreaseFactor)
                           : std::min(1.0, admitted_share_ + kIncrease);
  }

  // Share of what comes that is taken on.
  double admitted_share() const { return admitted_share_; }

 private:
  // Level where a share kUp / (kUp + (1 - kDown) * open) of the answers is late: a third while all is open,
  // so that some slow hosts close nothing.
  static constexpr double kIncrease = 0.1, kDecreaseFactor = 0.8;
  static constexpr double kMinAdmittedShare = 0.03;  // goes on measuring: what is shed teaches nothing
  static constexpr double kEqualShare = 0.7;         // of what is taken on: shared by all classes alike
  static constexpr double kCountDecay = 0.99;        // of the counts by class, at each request

  std::vector<double> worths_;
  std::vector<double> recent_requests_;  // fading, by class
  double admitted_share_ = 1;
};

}  // namespace cartspring

#endif  // BITTERNMUX_SRC_PACE_ADAPTIVE_THROTTLE_H_
