#include "fleet/discovery/list_reader.h"

#include <tuple>

namespace bitternmux::fleet {

void ListReader::Assigned(const ListAssignment& assignment) {
  const auto order = [](const ListAssignment& one) { return std::tie(one.epoch, one.number); };
  if (order(assignment) <= order(assignment_)) return;
  assignment_ = assignment;
  count_ = 0;
  began_ms_ = kNeverMs;  // the first reading is due at once
}

bool ListReader::ShouldRead(double now_ms, const Epoch& epoch, bool fresh) {
  acting_ = fresh && assignment_.reader == self_ && assignment_.incarnation == incarnation_ &&
            assignment_.epoch == epoch;
  if (!acting_ || reading_ || now_ms - began_ms_ < kListEveryMs) return false;
  began_ms_ = now_ms;
  began_under_ = assignment_;
  reading_ = true;
  return true;
}

std::optional<ListReader::Told> ListReader::Read(double now_ms, bool changed) {
  reading_ = false;
  if (!acting_ || began_under_ != assignment_) return std::nullopt;
  const ListPosition position{assignment_.epoch, assignment_.number, count_ + 1};
  if (position <= newest_) return std::nullopt;
  ++count_;
  newest_ = position;
  heard_ms_ = now_ms;
  const bool first = count_ == 1;
  if (changed || first) content_ = position;
  return Told{{position, content_, std::nullopt}, changed || first || count_ % kWholeEvery == 0};
}

bool ListReader::Hear(double now_ms, const ListReading& reading) {
  if (reading.position <= newest_) return false;
  if (!reading.change && reading.content != content_) return false;
  newest_ = reading.position;
  content_ = reading.content;
  heard_ms_ = now_ms;
  return true;
}

}  // namespace bitternmux::fleet
