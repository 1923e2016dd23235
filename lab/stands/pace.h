// The real clock of a run on sockets: what is due when, and how late it came.
//
// One thread runs the io_context and everything that hangs on it: that is the strand.
#ifndef BITTERNMUX_LAB_STANDS_PACE_H_
#define BITTERNMUX_LAB_STANDS_PACE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace bitternmux::lab {

class Pace {
 public:
  explicit Pace(boost::asio::io_context& io) : timer_(io) {}

  // The run's first moment is now.
  void Begin();
  double NowMs() const;
  std::int64_t NowUs() const;
  // Unix time of the run's first moment, in milliseconds.
  double unix_ms() const { return unix_ms_; }

  // Calls `what` at that time, or as soon as it can be; those of one time in the order in which they came.
  void At(double ms, std::function<void()> what);
  // A part of the model: `next` says when it is due and `advance` is called then. Arm has to be called when a
  // call from elsewhere may have made it due sooner.
  void Add(std::function<double()> next, std::function<void()> advance);
  void Arm();

  // By how much what was due was late, in milliseconds; called where that is more than kLateMs.
  std::function<void(double by_ms)> late;
  static constexpr double kLateMs = 20;

 private:
  struct Source {
    std::function<double()> next;
    std::function<void()> advance;
  };
  double Due() const;
  void Ring();

  boost::asio::steady_timer timer_;
  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
  double unix_ms_ = 0;
  std::vector<Source> sources_;
  std::multimap<double, std::function<void()>> due_;
  double armed_ms_ = 0;
};

}  // namespace bitternmux::lab

#endif  // BITTERNMUX_LAB_STANDS_PACE_H_
