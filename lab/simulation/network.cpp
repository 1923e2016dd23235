#include "lab/simulation/network.h"

#include <algorithm>
#include <utility>

namespace bitternmux::lab::simulation {

double Network::Rate(const std::string& machine) const {
  const auto found = rates_.find(machine);
  return found == rates_.end() ? kFastLink : found->second;
}

std::string Network::ZoneOf(const std::string& machine) const {
  const auto found = zones_.find(machine);
  return found == zones_.end() ? "" : found->second;
}

double Network::QueuedBytes(const std::string& machine) const {
  const auto found = link_free_ms_.find(machine);
  if (found == link_free_ms_.end()) return 0;
  return std::max(0.0, found->second - clock_.now_ms()) * Rate(machine);
}

void Network::Heal(const std::string& from, const std::string& to) {
  const auto found = cuts_.find({from, to});
  if (found != cuts_.end() && --found->second <= 0) cuts_.erase(found);
}

void Network::Send(const std::string& from, const std::string& to, std::size_t bytes,
                   std::function<void()> deliver) {
  bytes_ += bytes;
  const double now_ms = clock_.now_ms();
  double& free_ms = link_free_ms_[from];
  const double rate = std::min(Rate(from), Rate(to));
  free_ms = std::max(free_ms, now_ms) + static_cast<double>(bytes) / rate;
  if (clock_.Chance(options_.loss)) return;
  const Pair pair{from, to};
  const double due_ms = free_ms + Latency() + (options_.reorder && clock_.Chance(0.1) ? 30 : 0);
  if (options_.reorder) {
    if (!IsCut(from, to)) clock_.At(due_ms, std::move(deliver));
    return;
  }
  connections_[pair].push_back({due_ms, std::move(deliver)});
  if (pumping_.insert(pair).second) clock_.At(due_ms, [this, pair] { Pump(pair); });
}

void Network::Pump(const Pair& pair) {
  std::deque<Item>& queue = connections_[pair];
  const double now_ms = clock_.now_ms();
  while (!queue.empty() && queue.front().due_ms <= now_ms) {
    if (IsCut(pair.first, pair.second)) {
      if (now_ms - queue.front().due_ms > kUserTimeoutMs) queue.clear();
      break;
    }
    const std::function<void()> deliver = std::move(queue.front().deliver);
    queue.pop_front();
    deliver();
  }
  if (queue.empty()) {
    pumping_.erase(pair);
    return;
  }
  clock_.At(std::max(queue.front().due_ms, now_ms + kLookAgainMs * (queue.front().due_ms <= now_ms)),
            [this, pair] { Pump(pair); });
}

void Network::ForgetBetween(const std::string& one, const std::string& other) {
  connections_[{one, other}].clear();
  connections_[{other, one}].clear();
}

void Network::Forget(const std::string& machine) {
  for (auto& [pair, queue] : connections_) {
    if (pair.first == machine) queue.clear();
  }
}

}  // namespace bitternmux::lab::simulation
