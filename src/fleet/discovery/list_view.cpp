#include "fleet/discovery/list_view.h"

#include <utility>

namespace bitternmux::fleet {

ListReading ListView::Publish(double now_ms, const Epoch& epoch, ServerMap servers) {
  const bool first = newest_.epoch != epoch;
  const bool changed = servers != servers_;
  newest_ = {epoch, first ? 1 : newest_.reading + 1};
  heard_ms_ = now_ms;
  if (first || changed) content_ = newest_;
  servers_ = std::move(servers);
  if (first || changed || newest_.reading % kWholeEvery == 0) return Whole();
  return {newest_, content_, std::nullopt};
}

bool ListView::Take(double now_ms, const ListReading& reading) {
  if (reading.position <= newest_) return false;
  if (!reading.change && reading.content != content_) return false;
  newest_ = reading.position;
  content_ = reading.content;
  heard_ms_ = now_ms;
  if (!reading.change) return true;
  servers_.clear();
  for (const ServerEntry& entry : reading.change->changed) servers_[entry.id] = entry;
  return true;
}

ListReading ListView::Whole() const {
  return {newest_, content_, MakeServersChange({}, {}, servers_, content_)};
}

}  // namespace bitternmux::fleet
