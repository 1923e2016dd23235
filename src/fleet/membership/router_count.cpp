#include "fleet/membership/router_count.h"

namespace bitternmux::fleet {

void RouterCount::Told(double now_ms, const std::string& from, std::uint32_t routers) {
  rows_[from] = {routers, now_ms};
}

std::uint32_t RouterCount::Total(double now_ms) {
  std::erase_if(rows_, [&](const auto& row) { return now_ms - row.second.told_ms > kHoldMs; });
  std::uint32_t sum = 0;
  for (const auto& [from, row] : rows_) {
    if (now_ms - row.told_ms <= kToldMs) sum += row.routers;
  }
  while (!most_.empty() && most_.back().second <= sum) most_.pop_back();
  most_.emplace_back(now_ms, sum);
  while (now_ms - most_.front().first > kHoldMs) most_.pop_front();
  return most_.front().second;
}

}  // namespace bitternmux::fleet
