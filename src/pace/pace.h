// How much of what comes a member of a large tier takes on, by what it sees of answers that are late.
//
// In a large tier a bound on what one host holds says nothing: each member has none or one request there, and
// a hundred of them crowd it all the same. What each of them does see, within one answer time and on little
// traffic, is that answers come late wherever it asks. So each takes on less at once, multiplied down for
// each late answer and added up for each good one, and all of them together settle where about a third are
// late.
//
// Does no I/O, reads no clock and draws no chance.
#ifndef BITTERNMUX_SRC_PACE_PACE_H_
#define BITTERNMUX_SRC_PACE_PACE_H_

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace cartspring {

class Pace {
 public:
  // `worths`: of each class, for a unit of work. What is dearer is shed last.
  explicit Pace(std::vector<double> worths) : worths_(std::move(worths)), asked_(worths_.size(), 1) {}

  // Other classes. `like`: for each the one whose share it goes on from, or -1.
  void Retune(std::vector<double> worths, const std::vector<int>& like) {
    std::vector<double> asked;
    for (const int from : like) asked.push_back(from >= 0 ? asked_[static_cast<std::size_t>(from)] : 1);
    worths_ = std::move(worths);
    asked_ = std::move(asked);
  }

  // A request of `klass`, one of the classes, has come: is it taken on? `chance`: uniform, from 0 to below 1.
  // Each class keeps most of an equal share, or it would be starved for a dearer one. What is left is shed
  // one class after the other, the cheapest first, by their shares of what came lately.
  bool Admits(int klass, double chance) {
    const auto of = static_cast<std::size_t>(klass);
    for (double& asked : asked_) asked *= kKept;
    asked_[of] += 1;
    double all = 0, dearer = 0;
    for (std::size_t i = 0; i < asked_.size(); ++i) {
      all += asked_[i];
      if (worths_[i] > worths_[of] || (worths_[i] == worths_[of] && i < of)) dearer += asked_[i];
    }
    const double fair = kFair * open_;
    return chance < fair + std::max(0.0, (open_ - fair) * all - (1 - fair) * dearer) / asked_[of];
  }

  // An answer has come in time, or is known to be late though it has not come.
  void Heard(bool late) { open_ = late ? std::max(kLeast, open_ * kDown) : std::min(1.0, open_ + kUp); }

  // Share of what comes that is taken on.
  double open() const { return open_; }

 private:
  // Level where a share kUp / (kUp + (1 - kDown) * open) of the answers is late: a third while all is open,
  // so that some slow hosts close nothing.
  static constexpr double kUp = 0.1, kDown = 0.8;
  static constexpr double kLeast = 0.03;  // goes on measuring: what is shed teaches nothing
  static constexpr double kFair = 0.7;    // of what is taken on: shared by all classes alike
  static constexpr double kKept = 0.99;   // of the counts by class, at each request

  std::vector<double> worths_;
  std::vector<double> asked_;  // fading, by class
  double open_ = 1;
};

}  // namespace cartspring

#endif  // BITTERNMUX_SRC_PACE_PACE_H_
