#include "fleet/feed/source_choice.h"

namespace bitternmux::fleet {

const std::string& SourceChoice::Choose(double now_ms, const std::vector<std::string>& addresses) {
  heard_ms_ = fresh_ms_ = now_ms;
  fresh_ = was_fresh_ = behind_ = false;
  return addresses[next_++ % addresses.size()];
}

bool SourceChoice::Beat(double now_ms, const FeedBeat& beat, const FeedState& held) {
  heard_ms_ = now_ms;
  // A source that was just started has no list yet; what it will have is newer.
  const bool list_behind = beat.servers != ListPosition{} && beat.servers < held.list_position;
  behind_ = beat.configuration_version < held.configuration_version || list_behind;
  const bool fresh = beat.fresh && !behind_;
  const bool news = fresh && !fresh_;
  if (fresh) fresh_ms_ = now_ms;
  fresh_ = fresh;
  was_fresh_ = was_fresh_ || fresh;
  return news;
}

bool SourceChoice::ShouldLeave(double now_ms) const {
  if (now_ms - heard_ms_ >= kSilentMs) return true;
  return now_ms - fresh_ms_ > (was_fresh_ ? kStaleMs : kNeverFreshMs);
}

}  // namespace bitternmux::fleet
