#include "lab/load/tally.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>

namespace bitternmux::lab::load {
namespace {

namespace histogram = boost::histogram;

constexpr double kLeastMs = 1e-3, kMostMs = 1e6;
constexpr int kBins = 9 * 200;

using LogAxis = histogram::axis::regular<double, histogram::axis::transform::log>;

}  // namespace

struct Latencies::Bins {
  decltype(histogram::make_histogram(LogAxis(kBins, kLeastMs, kMostMs))) counts =
      histogram::make_histogram(LogAxis(kBins, kLeastMs, kMostMs));
};

Latencies::Latencies() : bins_(std::make_unique<Bins>()) {}
Latencies::~Latencies() = default;
Latencies::Latencies(Latencies&&) noexcept = default;
Latencies& Latencies::operator=(Latencies&&) noexcept = default;

void Latencies::Add(double ms) {
  bins_->counts(std::clamp(ms, kLeastMs, kMostMs));
  ++count_;
  max_ms_ = std::max(max_ms_, ms);
}

double Latencies::Percentile(double share) const {
  if (count_ == 0) return 0;
  const double rank = std::max(1.0, std::ceil(share * static_cast<double>(count_)));
  double upto = 0;
  const auto& axis = bins_->counts.axis();
  for (int bin = 0; bin < axis.size(); ++bin) {
    upto += bins_->counts.at(bin);
    if (upto >= rank) return std::min(max_ms_, axis.bin(bin).upper());
  }
  return max_ms_;
}

void Tally::Add(std::size_t klass, Outcome outcome, double ms) {
  ended_[klass][static_cast<std::size_t>(outcome)].Add(ms);
}

std::uint64_t Tally::Count(Outcome outcome) const {
  std::uint64_t count = 0;
  for (const auto& of_class : ended_) count += of_class[static_cast<std::size_t>(outcome)].count();
  return count;
}

}  // namespace bitternmux::lab::load
