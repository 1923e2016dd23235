// What came of a load: how many requests of each class ended how, and how long they took, counted from when
// they were due.
//
// Times are kept in a histogram with logarithmic bins from 1 us to 1,000 s, 200 for each power of ten, so
// that a percentile is at most 1.2% too high and memory does not depend on how many there were
// (HdrHistogram's idea).
#ifndef BITTERNMUX_LAB_LOAD_TALLY_H_
#define BITTERNMUX_LAB_LOAD_TALLY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace bitternmux::lab::load {

enum class Outcome {
  kServed,       // 200
  kRefused,      // 429 or 503
  kFailed,       // any other answer, or one that cannot be read
  kTimedOut,     // no whole answer within its time
  kLost,         // the connection ended without an answer
  kUnreachable,  // no connection came up
  kUnsent,       // its time ran out while all connections were busy
};
constexpr std::size_t kOutcomes = 7;
constexpr std::array<std::string_view, kOutcomes> kOutcomeNames = {
    "served", "refused", "failed", "timed-out", "lost", "unreachable", "unsent"};

class Latencies {
 public:
  Latencies();
  ~Latencies();
  Latencies(Latencies&&) noexcept;
  Latencies& operator=(Latencies&&) noexcept;

  void Add(double ms);
  std::uint64_t count() const { return count_; }
  double max_ms() const { return max_ms_; }
  // The time within which that share of them ended, from 0 to 1; the upper edge of its bin, and never above
  // the longest. 0 if there are none.
  double Percentile(double share) const;

 private:
  struct Bins;
  std::unique_ptr<Bins> bins_;
  std::uint64_t count_ = 0;
  double max_ms_ = 0;
};

class Tally {
 public:
  explicit Tally(std::size_t classes) : ended_(classes) {}

  void Add(std::size_t klass, Outcome outcome, double ms);
  const Latencies& Of(std::size_t klass, Outcome outcome) const {
    return ended_[klass][static_cast<std::size_t>(outcome)];
  }
  std::size_t classes() const { return ended_.size(); }
  std::uint64_t Count(Outcome outcome) const;

 private:
  std::vector<std::array<Latencies, kOutcomes>> ended_;
};

}  // namespace bitternmux::lab::load

#endif  // BITTERNMUX_LAB_LOAD_TALLY_H_
