#include "lab/scale/stand_thread.h"

#include <pthread.h>
#include <time.h>

#include <algorithm>
#include <chrono>

namespace bitternmux::lab::scale {
namespace {

constexpr auto kLook = std::chrono::milliseconds(10);

}  // namespace

double NowMs() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

StandThread::StandThread() : work_(io_.get_executor()), timer_(io_) {}

void StandThread::Start() {
  timer_.expires_after(kLook);
  Look();
  thread_ = std::thread([this] { io_.run(); });
}

void StandThread::Stop() {
  if (!thread_.joinable()) return;
  io_.stop();
  thread_.join();
}

void StandThread::Look() {
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    const auto now = std::chrono::steady_clock::now();
    const double late = std::chrono::duration<double, std::milli>(now - timer_.expiry()).count();
    worst_late_ms_ = std::max(worst_late_ms_.load(), late);
    timer_.expires_at(now + kLook);
    Look();
  });
}

double StandThread::CpuMs() const {
  clockid_t clock{};
  timespec time{};
  if (::pthread_getcpuclockid(const_cast<std::thread&>(thread_).native_handle(), &clock) != 0) return 0;
  ::clock_gettime(clock, &time);
  return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

}  // namespace bitternmux::lab::scale
