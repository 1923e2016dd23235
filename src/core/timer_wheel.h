// Coarse ticks on a wheel: every time limit of the sidecar. It reads no clock; whoever turns it says what
// time it is, and need not turn it while nothing is due: NextDueMs says when that is, and `added` when it has
// become sooner.
#ifndef BITTERNMUX_SRC_CORE_TIMER_WHEEL_H_
#define BITTERNMUX_SRC_CORE_TIMER_WHEEL_H_

#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

namespace bitternmux {

class TimerWheel {
 public:
  using Id = std::uint64_t;  // 0: none

  // `added`: told of each new time limit when it is due, by the wheel's ticks. May not turn the wheel.
  TimerWheel(double now_ms, double tick_ms, std::function<void(double due_ms)> added = nullptr);
  // Calls back in the first turn at or after that time, never in the turn that is under way.
  Id Add(double at_ms, std::function<void()> callback);
  void Cancel(Id id);
  void Turn(double now_ms);
  // When the next turn is due, but no later than so long after the last one. O(within_ms / tick).
  double NextDueMs(double within_ms) const;

 private:
  struct Entry {
    Id id;
    std::uint64_t due;  // tick
    std::function<void()> callback;
  };
  using Slot = std::list<Entry>;

  double TimeOf(std::uint64_t tick) const { return start_ms_ + static_cast<double>(tick) * tick_ms_; }

  const double start_ms_;
  const double tick_ms_;
  const std::function<void(double)> added_;
  std::uint64_t tick_ = 0;  // the last one turned to
  Id last_id_ = 0;
  std::vector<Slot> slots_;
  std::unordered_map<Id, std::pair<std::size_t, Slot::iterator>> entries_;
};

}  // namespace bitternmux

#endif  // BITTERNMUX_SRC_CORE_TIMER_WHEEL_H_
