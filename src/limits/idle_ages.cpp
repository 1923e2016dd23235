#include "limits/idle_ages.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bitternmux::limits {
namespace {

constexpr double kViewDraws = 6;       // what the wider view counts, for uses
constexpr double kCloseViewDraws = 2;  // and for closes: a limit that is kept shows in few
constexpr double kCloseMemory = 8;     // draws that a bin's closes go by
constexpr double kBad = 0.25;          // share of drops above which an age is believed bad
constexpr double kWear = 4;            // of the memory: what a draw takes from those that it contradicts
constexpr float kLeastDraws = 0.01F;
constexpr double kHalfLifeMs = 60'000;
constexpr double kFadeStepMs = 1'000;

}  // namespace

std::size_t AgeBin(double age_ms) {
  if (!(age_ms >= 1)) return 0;
  const double bin = 1 + 2 * std::log2(age_ms);
  return bin < kAgeBins - 1 ? static_cast<std::size_t>(bin) : kAgeBins - 1;
}

double AgeBinEnd(std::size_t bin) {
  static const auto kEnds = [] {
    std::array<double, kAgeBins> ends;
    for (std::size_t i = 0; i < kAgeBins; ++i) ends[i] = std::exp2(static_cast<double>(i) / 2);
    ends.back() = std::numeric_limits<double>::infinity();
    return ends;
  }();
  return kEnds[bin];
}

bool IdleAges::Draws::IsBad() const { return bad > kBad * all; }

void IdleAges::Draws::Add(bool is_bad, double memory) {
  if (all + 1 > memory) Scale((memory - 1) / all);
  all += 1;
  bad += is_bad ? 1 : 0;
}

double IdleAges::Draws::Believed(double wider, double wider_draws) const {
  return (bad + wider_draws * wider) / (all + wider_draws);
}

void IdleAges::Draws::Scale(double by) {
  all *= static_cast<float>(by);
  bad *= static_cast<float>(by);
  if (all < kLeastDraws) all = bad = 0;  // figures near nothing cost a processor a hundred times others
}

void IdleAges::Fade(double now_ms) {
  if (now_ms - faded_ms_ < kFadeStepMs) return;
  const double by = std::exp2(-(now_ms - faded_ms_) / kHalfLifeMs);
  faded_ms_ = now_ms;
  for (Curve* curve : {&breaks_, &silences_, &closes_}) {
    for (Draws& bin : *curve) bin.Scale(by);
  }
  fresh_.Scale(by);
}

// Into a curve that never falls with the age.
void IdleAges::Draw(Curve& curve, std::size_t bin, bool is_bad, double memory) {
  for (std::size_t i = 0; i < kAgeBins; ++i) {
    const bool contradicted = is_bad ? i >= bin && !curve[i].IsBad() : i <= bin && curve[i].IsBad();
    if (contradicted) curve[i].Scale(1 - kWear / memory);
  }
  curve[bin].Add(is_bad, memory);
}

void IdleAges::Used(double now_ms, double age_ms, Use use) {
  Fade(now_ms);
  Draw(breaks_, AgeBin(age_ms), use == Use::kBroke, memory_);
  Draw(silences_, AgeBin(age_ms), use == Use::kSilent, memory_);
}

void IdleAges::UsedFresh(double now_ms, bool broke) {
  Fade(now_ms);
  fresh_.Add(broke, memory_);
}

void IdleAges::Idled(double now_ms, double age_ms, bool closed_by_other) {
  Fade(now_ms);
  const std::size_t last = AgeBin(age_ms);
  for (std::size_t i = 0; i < last; ++i) closes_[i].Add(false, kCloseMemory);
  if (closed_by_other) closes_[last].Add(true, kCloseMemory);
}

AgeView IdleAges::View(const AgeView& wider) const {
  AgeView out;
  out.breaks = Pooled(breaks_, wider.breaks);
  out.silences = Pooled(silences_, wider.silences);
  for (std::size_t i = 0; i < kAgeBins; ++i)
    out.closes[i] = closes_[i].Believed(wider.closes[i], kCloseViewDraws);
  out.fresh = fresh_.Believed(wider.fresh, kViewDraws);
  return out;
}

std::array<double, kAgeBins> IdleAges::Pooled(const Curve& curve, const std::array<double, kAgeBins>& wider) {
  // Pools of the bins that were drawn from, each with a greater share of bad ones than the one before it.
  struct Pool {
    Draws draws;
    std::size_t first = 0, last = 0;
  };
  std::array<Pool, kAgeBins> pools;
  std::size_t count = 0;
  for (std::size_t i = 0; i < kAgeBins; ++i) {
    if (curve[i].all <= 0) continue;
    Pool pool{curve[i], i, i};
    for (; count > 0; --count) {
      const Pool& before = pools[count - 1];
      if (before.draws.bad * pool.draws.all < pool.draws.bad * before.draws.all) break;
      pool.draws.all += before.draws.all;
      pool.draws.bad += before.draws.bad;
      pool.first = before.first;
    }
    pools[count++] = pool;
  }
  // Where nothing was drawn the wider view holds, unless what held at a greater age says better.
  std::array<double, kAgeBins> out;
  double least = 0;
  std::size_t i = 0;
  for (std::size_t at = 0; at < count; ++at) {
    const Pool& pool = pools[at];
    const double each = 1 / (pool.draws.all + kViewDraws);
    for (; i <= pool.last; ++i) {
      const double pooled = (pool.draws.bad + kViewDraws * wider[i]) * each;
      least = out[i] = std::max(least, pool.first <= i ? pooled : std::min(wider[i], pooled));
    }
  }
  for (; i < kAgeBins; ++i) least = out[i] = std::max(least, wider[i]);
  return out;
}

}  // namespace bitternmux::limits
