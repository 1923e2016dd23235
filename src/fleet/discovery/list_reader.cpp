#include "fleet/discovery/list_reader.h"

#include <tuple>

namespace bitternmux::fleet {

void ListReader::Assigned(const ListAssignment& assignment) {
  const auto order = [](const ListAssignment& one) { return std::tie(one.epoch, one.number); };
  if (order(assignment) <= order(assignment_)) return;
  assignment_ = assignment;
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

std::optional<ListAssignment> ListReader::Ended() {
  reading_ = false;
  if (began_under_ != assignment_) return std::nullopt;
  return assignment_;
}

}  // namespace bitternmux::fleet
