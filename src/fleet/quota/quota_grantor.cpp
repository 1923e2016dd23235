#include "fleet/quota/quota_grantor.h"

#include <algorithm>

namespace bitternmux::fleet {
namespace {

constexpr double kReserveShare = 0.25;   // of what a bucket holds beyond the need, at most, for one router
constexpr double kSlackShare = 0.18;     // of the slack that is granted as burst
constexpr double kRateOver = 1.02;       // of the rate that is granted, inside the overage
constexpr double kNeedMostOfBucket = 1;  // a request above the burst takes the whole bucket, and a debt

}  // namespace

void QuotaGrantor::Fill(double now_ms, Bucket& bucket) {
  const double passed = std::max(0.0, now_ms - bucket.filled_ms);
  bucket.filled_ms = std::max(bucket.filled_ms, now_ms);
  bucket.tokens = std::min(bucket.capacity, bucket.tokens + passed * bucket.rate_per_ms);
}

void QuotaGrantor::Configure(double now_ms, const Configuration& configuration) {
  std::map<std::string, Bucket> next;
  for (const Tenant& tenant : configuration.tenants) {
    if (tenant.rate_per_s <= 0) continue;
    const auto found = buckets_.find(tenant.name);
    Bucket bucket;
    bucket.rate_per_ms = kRateOver * tenant.rate_per_s / 1000;
    bucket.capacity = tenant.burst + (tenant.counts_tokens ? kSlackShare * slack_ : 1);
    bucket.filled_ms = now_ms;
    if (found != buckets_.end()) {
      Fill(now_ms, found->second);
      bucket.tokens = std::min(found->second.tokens, bucket.capacity);
    } else {
      bucket.tokens = bucket.capacity;
    }
    next.emplace(tenant.name, bucket);
  }
  buckets_ = std::move(next);
}

void QuotaGrantor::Begin(double now_ms, double share) {
  for (auto& [name, bucket] : buckets_) {
    bucket.tokens = share * bucket.capacity;
    bucket.filled_ms = now_ms;
  }
}

QuotaGrant QuotaGrantor::Ask(double now_ms, const QuotaRequest& request) {
  QuotaGrant grant;
  grant.id = request.id;
  grant.tenant = request.tenant;
  grant.asker = request.asker;
  const auto found = buckets_.find(request.tenant);
  if (found == buckets_.end()) {
    grant.tokens = request.need + request.reserve;
    return grant;
  }
  Bucket& bucket = found->second;
  Fill(now_ms, bucket);
  const double wanted = std::min(request.need, kNeedMostOfBucket * bucket.capacity);
  if (bucket.tokens < wanted) {
    grant.retry_ms = (wanted - bucket.tokens) / std::max(1e-9, bucket.rate_per_ms);
    return grant;
  }
  const double reserve = std::clamp(kReserveShare * (bucket.tokens - request.need), 0.0, request.reserve);
  grant.tokens = request.need + reserve;
  bucket.tokens -= grant.tokens;
  return grant;
}

}  // namespace bitternmux::fleet
