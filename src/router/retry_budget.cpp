#include "router/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace bitternmux::router {

// Each bucket covers a part of the window. One bucket more than the window needs is kept: retries are counted
// over at least a whole window, requests over a window at most.
RetryBudget::Bucket& RetryBudget::BucketAt(double now_ms, Window& window) const {
  const double width_ms = limits_.window_ms / static_cast<double>(kBuckets - 1);
  const auto number = static_cast<std::int64_t>(std::floor(now_ms / width_ms));
  Bucket& bucket = window[static_cast<std::size_t>(number) % kBuckets];
  if (bucket.number != number) bucket = {number, 0, 0};
  return bucket;
}

void RetryBudget::CountRequest(double now_ms, const std::string& service) {
  BucketAt(now_ms, windows_[service]).requests += 1;
}

bool RetryBudget::Spend(double now_ms, const std::string& service) {
  Window& window = windows_[service];
  Bucket& current = BucketAt(now_ms, window);
  double requests = 0, retries = 0;
  for (const Bucket& bucket : window) {
    if (bucket.number < 0 || current.number - bucket.number >= static_cast<std::int64_t>(kBuckets)) continue;
    retries += bucket.retries;
    const bool may_be_older = current.number - bucket.number == static_cast<std::int64_t>(kBuckets) - 1;
    if (!may_be_older) requests += bucket.requests;
  }
  const double slack_share = std::clamp((now_ms - started_ms_) / limits_.window_ms, 0.0, 1.0);
  const double slack = kSlackShare * slack_share * limits_.slack / routers_;
  const double allowed = kRatioShare * limits_.ratio * requests + slack;
  if (retries + 1 > allowed) return false;
  current.retries += 1;
  return true;
}

}  // namespace bitternmux::router
