// A thread with a reactor of its own for one stand-in, so that its processor time is known by itself, and a
// timer that tells how late the stand-in itself came to what was due.
#ifndef BITTERNMUX_LAB_SCALE_STAND_THREAD_H_
#define BITTERNMUX_LAB_SCALE_STAND_THREAD_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <future>
#include <thread>
#include <utility>

namespace bitternmux::lab::scale {

// Monotonic, the same clock for all stand-ins.
double NowMs();

class StandThread {
 public:
  StandThread();
  ~StandThread() { Stop(); }
  StandThread(const StandThread&) = delete;
  StandThread& operator=(const StandThread&) = delete;

  boost::asio::io_context& io() { return io_; }
  void Start();
  void Stop();  // and waits for it; nothing of the stand-in runs from then on

  // Runs it in the thread and waits for its result. Only between Start and Stop, and not from the thread.
  template <class Call>
  auto Do(Call call) {
    std::packaged_task<decltype(call())()> task(std::move(call));
    auto result = task.get_future();
    boost::asio::post(io_, [&task] { task(); });
    return result.get();
  }

  double CpuMs() const;                                            // since it started
  double TakeWorstLateMs() { return worst_late_ms_.exchange(0); }  // since the last call

 private:
  void Look();

  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  boost::asio::steady_timer timer_;
  std::atomic<double> worst_late_ms_{0};
  std::thread thread_;
};

}  // namespace bitternmux::lab::scale

#endif  // BITTERNMUX_LAB_SCALE_STAND_THREAD_H_
