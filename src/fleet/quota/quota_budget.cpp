#include "fleet/quota/quota_budget.h"

#include <algorithm>

namespace bitternmux::fleet {
namespace {

constexpr double kBurstShareOfSlack = 0.4;  // for what the burst would have let through a moment later
constexpr double kLeasedShare = 0.3;        // of the tenant's rate, that may be leased
constexpr double kLeastLeft = 0.03;  // of the limit beside the burst, where there is no overage and no slack
// Of what the limit leaves beside the burst and the rate.
constexpr double kRateShare = 0.35;
constexpr double kCarryShare = 0.3;
constexpr double kUngrantedShare = 0.25;
constexpr double kExcessShare = 0.1;
constexpr double kRounding = 0.999;

}  // namespace

QuotaBudget DivideQuota(const Tenant& tenant, const QuotaBounds& bounds) {
  const double slack = tenant.counts_tokens ? bounds.slack : 0;
  const double rate_per_ms = tenant.rate_per_s / 1000;
  const double limit = (rate_per_ms * bounds.window_ms + tenant.burst) * (1 + bounds.overage) + slack;
  const double filled_ms = bounds.window_ms + kTokenLifeMs + kGiveBackMs;
  QuotaBudget budget;
  budget.burst = tenant.burst + kBurstShareOfSlack * slack;
  const double beside_burst = kRounding * std::max(0.0, limit - budget.burst);
  const double left = std::max(beside_burst - rate_per_ms * filled_ms, kLeastLeft * beside_burst);
  budget.rate_per_ms = (beside_burst - left + kRateShare * left) / filled_ms;
  budget.leased_per_ms = std::min(kLeasedShare * rate_per_ms, budget.rate_per_ms);
  budget.carry = kCarryShare * left;
  budget.excess = kExcessShare * left;
  budget.ungranted = kUngrantedShare * left;
  return budget;
}

}  // namespace bitternmux::fleet
