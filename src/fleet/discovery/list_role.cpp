#include "fleet/discovery/list_role.h"

#include <algorithm>

namespace bitternmux::fleet {

bool ListRole::ShouldRead(double now_ms, std::size_t rank) {
  if (reading_) return false;
  if (!acting_) {
    if (now_ms - heard_ms_ < kListSilentMs + kListStaggerMs * static_cast<double>(rank)) return false;
    acting_ = true;
    const std::uint64_t own = std::min<std::uint64_t>(rank, kTermsApart - 1);
    term_ = (newest_.term / kTermsApart + 1) * kTermsApart + own;
  } else if (now_ms - began_ms_ < kListEveryMs) {
    return false;
  }
  began_ms_ = now_ms;
  reading_ = true;
  return true;
}

ListPosition ListRole::Read(double now_ms) {
  reading_ = false;
  if (!acting_) return {};
  newest_ = {term_, newest_.term == term_ ? newest_.reading + 1 : 1};
  heard_ms_ = now_ms;
  return newest_;
}

bool ListRole::Hear(double now_ms, const ListPosition& position) {
  if (position <= newest_) return false;
  newest_ = position;
  heard_ms_ = now_ms;
  if (position.term != term_) acting_ = false;
  return true;
}

}  // namespace bitternmux::fleet
