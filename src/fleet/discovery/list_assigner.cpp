#include "fleet/discovery/list_assigner.h"

#include <algorithm>

namespace bitternmux::fleet {

void ListAssigner::Assign(double now_ms, const LiveProcess& reader) {
  ++assignment_.number;
  assignment_.reader = reader.internal;
  assignment_.incarnation = reader.incarnation;
  heard_ms_ = now_ms;
}

void ListAssigner::Begin(double now_ms, const Epoch& epoch, const LiveProcess& self) {
  if (assignment_.epoch == epoch) return;
  assignment_.epoch = epoch;
  assignment_.number = 0;
  Assign(now_ms, self);
}

bool ListAssigner::Heard(double now_ms, const ListAssignment& under) {
  if (under != assignment_) return false;
  heard_ms_ = now_ms;
  return true;
}

bool ListAssigner::Tick(double now_ms, const std::vector<LiveProcess>& live) {
  if (live.empty()) return false;
  const auto current = std::ranges::find(live, assignment_.reader, &LiveProcess::internal);
  const bool restarted = current != live.end() && current->incarnation != assignment_.incarnation;
  if (restarted) {
    Assign(now_ms, *current);
    return true;
  }
  if (now_ms - heard_ms_ <= kListSilentMs) return false;
  const auto after = [&](const LiveProcess& process) { return process.internal > assignment_.reader; };
  const auto next = std::ranges::find_if(live, after);
  Assign(now_ms, next == live.end() ? live.front() : *next);
  return true;
}

}  // namespace bitternmux::fleet
