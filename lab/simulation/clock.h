// Simulated time, and the random numbers of one run: events happen in the order of their times, and what is
// drawn depends on the seed alone.
#ifndef BITTERNMUX_LAB_SIMULATION_CLOCK_H_
#define BITTERNMUX_LAB_SIMULATION_CLOCK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace bitternmux::lab::simulation {

class Clock {
 public:
  explicit Clock(std::uint64_t seed) : random_(seed) {}

  double now_ms() const { return now_ms_; }
  void At(double at_ms, std::function<void()> action) {
    events_.push({at_ms < now_ms_ ? now_ms_ : at_ms, ++last_event_, std::move(action)});
  }
  void After(double delay_ms, std::function<void()> action) { At(now_ms_ + delay_ms, std::move(action)); }
  void RunUntil(double end_ms) {
    while (!events_.empty() && events_.top().at_ms <= end_ms) {
      const Event event = events_.top();
      events_.pop();
      now_ms_ = event.at_ms;
      event.action();
    }
    now_ms_ = end_ms;
  }

  // Evenly drawn from 0 to 1.
  double Unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  double Between(double least, double most) { return least + (most - least) * Unit(); }
  std::size_t Below(std::size_t count) {
    return static_cast<std::size_t>(Unit() * static_cast<double>(count)) % count;
  }
  bool Chance(double probability) { return Unit() < probability; }

 private:
  struct Event {
    double at_ms;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return at_ms != other.at_ms ? at_ms > other.at_ms : order > other.order;
    }
  };
  std::mt19937_64 random_;
  double now_ms_ = 0;
  std::uint64_t last_event_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace bitternmux::lab::simulation

#endif  // BITTERNMUX_LAB_SIMULATION_CLOCK_H_
