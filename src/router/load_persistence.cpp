#include "router/load_persistence.h"

#include <algorithm>
#include <cmath>

namespace bitternmux::router {

void LoadPersistence::Learn(double interval_ms, const std::vector<Pair>& servers) {
  if (interval_ms <= 0 || interval_ms > kMaxIntervalMs || servers.size() < 2) return;
  Pair mean;
  for (const Pair& server : servers) {
    mean.earlier += server.earlier / static_cast<double>(servers.size());
    mean.later += server.later / static_cast<double>(servers.size());
  }
  constexpr double kRetained = 1 - 1 / kMemoryUpdates;
  covariance_ *= kRetained;
  variance_ *= kRetained;
  for (const Pair& server : servers) {
    covariance_ += (server.earlier - mean.earlier) * (server.later - mean.later);
    variance_ += (server.earlier - mean.earlier) * (server.earlier - mean.earlier);
  }
  interval_ms_ = kRetained * interval_ms_ + interval_ms;
  weight_ = kRetained * weight_ + 1;
}

double LoadPersistence::After(double age_ms) const {
  if (age_ms <= 0) return 1;
  if (weight_ <= 0) return std::exp(-age_ms / kPriorLifeMs);
  const double interval_ms = interval_ms_ / weight_;
  const double expected = std::exp(-interval_ms / kPriorLifeMs);
  const double correlation = (covariance_ + kPriorVariance * expected) / (variance_ + kPriorVariance);
  return std::pow(std::clamp(correlation, 0.0, 1.0), age_ms / interval_ms);
}

}  // namespace bitternmux::router
