#include "lab/stands/pace.h"

#include <algorithm>
#include <limits>

namespace bitternmux::lab {
namespace {

using std::chrono::duration;

constexpr double kPulseMs = 10;  // between two rings at most, so that a stall shows though nothing was due

}  // namespace

void Pace::Begin() {
  start_ = std::chrono::steady_clock::now();
  unix_ms_ = duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch()).count();
  armed_ms_ = 0;
  Arm();
}

double Pace::NowMs() const {
  return duration<double, std::milli>(std::chrono::steady_clock::now() - start_).count();
}

std::int64_t Pace::NowUs() const {
  return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - start_)
      .count();
}

void Pace::At(double ms, std::function<void()> what) {
  due_.emplace(ms, std::move(what));
  Arm();
}

void Pace::Add(std::function<double()> next, std::function<void()> advance) {
  sources_.push_back({std::move(next), std::move(advance)});
}

double Pace::Due() const {
  double due = due_.empty() ? std::numeric_limits<double>::infinity() : due_.begin()->first;
  for (const Source& source : sources_) due = std::min(due, source.next());
  return due;
}

void Pace::Arm() {
  const double now = NowMs();
  const double at = std::min(std::max(Due(), 0.0), now + kPulseMs);
  if (armed_ms_ > 0 && armed_ms_ <= at) return;
  armed_ms_ = std::max(at, 1e-6);
  timer_.expires_at(start_ + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                                 duration<double, std::milli>(at)));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Ring();
  });
}

void Pace::Ring() {
  const double now = NowMs();
  if (late && now - armed_ms_ > kLateMs) late(now - armed_ms_);
  while (!due_.empty() && due_.begin()->first <= now) {
    const auto what = std::move(due_.begin()->second);
    due_.erase(due_.begin());
    what();
  }
  for (const Source& source : sources_) {
    if (source.next() <= NowMs()) source.advance();
  }
  armed_ms_ = 0;
  Arm();
}

}  // namespace bitternmux::lab
