#include "core/timer_wheel.h"

#include <algorithm>
#include <cmath>

namespace bitternmux {
namespace {
constexpr std::size_t kSlots = 1024;
}  // namespace

TimerWheel::TimerWheel(double now_ms, double tick_ms, std::function<void(double due_ms)> added)
    : start_ms_(now_ms), tick_ms_(tick_ms), added_(std::move(added)), slots_(kSlots) {}

TimerWheel::Id TimerWheel::Add(double at_ms, std::function<void()> callback) {
  const double ticks = std::ceil(std::max(0.0, at_ms - start_ms_) / tick_ms_);
  const std::uint64_t due = std::max(tick_ + 1, static_cast<std::uint64_t>(ticks));
  const std::size_t at = due % kSlots;
  slots_[at].push_back({++last_id_, due, std::move(callback)});
  entries_[last_id_] = {at, std::prev(slots_[at].end())};
  if (added_) added_(TimeOf(due));
  return last_id_;
}

void TimerWheel::Cancel(Id id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  slots_[found->second.first].erase(found->second.second);
  entries_.erase(found);
}

void TimerWheel::Turn(double now_ms) {
  const auto last = static_cast<std::uint64_t>(std::max(0.0, std::floor((now_ms - start_ms_) / tick_ms_)));
  while (tick_ < last) {
    // A callback may add and cancel at will, so each entry is taken out before it is called.
    ++tick_;
    Slot& slot = slots_[tick_ % kSlots];
    const auto due = [this](const Entry& entry) { return entry.due <= tick_; };
    for (auto at = std::find_if(slot.begin(), slot.end(), due); at != slot.end();
         at = std::find_if(slot.begin(), slot.end(), due)) {
      const auto callback = std::move(at->callback);
      entries_.erase(at->id);
      slot.erase(at);
      callback();
    }
  }
}

double TimerWheel::NextDueMs(double within_ms) const {
  const auto last = tick_ + std::min<std::uint64_t>(static_cast<std::uint64_t>(within_ms / tick_ms_), kSlots);
  std::uint64_t next = tick_ + 1;
  const auto due = [&next](const Entry& entry) { return entry.due <= next; };
  while (next < last && std::none_of(slots_[next % kSlots].begin(), slots_[next % kSlots].end(), due)) ++next;
  return TimeOf(next);
}

}  // namespace bitternmux
