#include "router/prefix_index.h"

#include <algorithm>
#include <vector>

namespace bitternmux::router {

void PrefixIndex::OnSent(double now_ms, const std::string& server, const Prompt& prompt) {
  PrefixSentTimes& parts = servers_[server];
  for (const PromptPart& part : prompt.parts) parts[part.prefix_hash] = now_ms;
  if (parts.size() > kMaxParts) Trim(parts);
}

// Evicts the older half, so that trimming is rarely needed.
void PrefixIndex::Trim(PrefixSentTimes& parts) {
  std::vector<double> times;
  times.reserve(parts.size());
  for (const auto& [prefix_hash, used_ms] : parts) times.push_back(used_ms);
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::ranges::nth_element(times, middle);
  std::erase_if(parts, [limit = *middle](const auto& entry) { return entry.second < limit; });
}

bool PrefixIndex::IsCached(double now_ms, const std::string& server, std::uint64_t prefix_hash) const {
  const auto parts = servers_.find(server);
  if (parts == servers_.end()) return false;
  const auto found = parts->second.find(prefix_hash);
  return found != parts->second.end() && now_ms - found->second <= kRetentionMs;
}

std::uint64_t PrefixIndex::HomeWeight(std::uint64_t prefix_hash, std::string_view server) {
  std::uint64_t value = prefix_hash ^ 0xcbf29ce484222325u;
  for (const char byte : server) value = (value ^ static_cast<unsigned char>(byte)) * 0x100000001b3u;
  value = (value ^ (value >> 33)) * 0xff51afd7ed558ccdu;
  return value ^ (value >> 33);
}

}  // namespace bitternmux::router
