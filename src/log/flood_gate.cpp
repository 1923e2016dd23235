#include "log/flood_gate.h"

#include <algorithm>

namespace bitternmux::log {

std::optional<std::uint64_t> FloodGate::Pass(std::string_view event, double now_ms) {
  const auto [found, fresh] = buckets_.try_emplace(event);
  Bucket& bucket = found->second;
  if (fresh) bucket.filled_ms = now_ms;
  Fill(bucket, now_ms);
  if (bucket.tokens < 1) {
    ++bucket.left_out;
    return std::nullopt;
  }
  bucket.tokens -= 1;
  return std::exchange(bucket.left_out, 0);
}

std::optional<std::pair<std::string_view, std::uint64_t>> FloodGate::Settle(double now_ms) {
  for (auto& [event, bucket] : buckets_) {
    if (bucket.left_out == 0) continue;
    Fill(bucket, now_ms);
    // Two and not one: while events go on coming, the next of them takes the first token and tells the count.
    if (bucket.tokens < 2) continue;
    bucket.tokens -= 1;
    return std::pair{event, std::exchange(bucket.left_out, 0)};
  }
  return std::nullopt;
}

void FloodGate::Fill(Bucket& bucket, double now_ms) {
  const double passed_ms = std::max(0.0, now_ms - bucket.filled_ms);
  bucket.tokens = std::min(kBurst, bucket.tokens + passed_ms / kEachMs);
  bucket.filled_ms = std::max(bucket.filled_ms, now_ms);
}

}  // namespace bitternmux::log
