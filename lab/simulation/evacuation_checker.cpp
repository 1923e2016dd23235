#include "lab/simulation/evacuation_checker.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bitternmux::lab::simulation {
namespace {

bool Contains(const std::vector<std::string>& zones, const std::string& zone) {
  return std::ranges::find(zones, zone) != zones.end();
}

bool IsAboutZone(const CallRecord& call) {
  return call.kind == CallKind::kEvacuate || call.kind == CallKind::kTakeBack;
}

std::string Describe(const std::vector<std::string>& zones) {
  std::string names;
  for (const std::string& zone : zones) names += " " + zone;
  return zones.empty() ? " none" : names;
}

std::string Describe(const CallRecord& call) {
  return call.by + " " + NameOf(call.kind) + " " + call.zone + ", " + std::to_string(call.began_ms) + " to " +
         std::to_string(call.ended_ms) + " ms, answered by " + call.answered_by;
}

}  // namespace

EvacuationChecker::EvacuationChecker(const History& history, Report report)
    : history_(history), report_(std::move(report)) {
  rows_.push_back({0, {}, 0, kForeverMs});
  for (const auto& [sequence, value] : history.committed)
    rows_.push_back({sequence, value.evacuated, history.committed_ms.at(sequence), kForeverMs});
  // A value is committed once a later one is.
  for (std::size_t i = rows_.size() - 1; i > 0; --i) {
    rows_[i].committed_ms = std::min(rows_[i].committed_ms, rows_[i].replaced_ms);
    rows_[i - 1].replaced_ms = rows_[i].committed_ms;
  }
}

void EvacuationChecker::Check() {
  for (std::size_t i = 1; i < rows_.size(); ++i) CheckChange(rows_[i - 1], rows_[i]);
  for (const CallRecord& call : history_.calls) {
    if (IsAboutZone(call) && call.end == CallEnd::kTaken) CheckAcknowledged(call);
    if (call.tells_zones) CheckTold(call);
  }
  for (const ZoneChoice& choice : history_.zone_choices) CheckChoice(choice);
}

void EvacuationChecker::CheckChange(const Row& before, const Row& after) {
  std::vector<std::string> changed;
  std::ranges::set_symmetric_difference(before.zones, after.zones, std::back_inserter(changed));
  for (const std::string& zone : changed) {
    const bool begins = Contains(after.zones, zone);
    if (IsOrdered(zone, begins, after.committed_ms)) continue;
    report_(kEvacuationLost, zone + (begins ? " is evacuated" : " is taken back") + " at " +
                                 std::to_string(after.sequence) + " without an order, " +
                                 std::to_string(after.committed_ms) + " ms");
  }
}

bool EvacuationChecker::IsOrdered(const std::string& zone, bool begins, double committed_ms) const {
  const CallKind kind = begins ? CallKind::kEvacuate : CallKind::kTakeBack;
  return std::ranges::any_of(history_.calls, [&](const CallRecord& call) {
    const bool is_over = call.end == CallEnd::kTaken && call.ended_ms < committed_ms;
    return call.kind == kind && call.zone == zone && call.began_ms <= committed_ms && !is_over;
  });
}

bool EvacuationChecker::MayHaveMet(const CallRecord& call,
                                   const std::function<bool(const Row&)>& is_met) const {
  return std::ranges::any_of(rows_, [&](const Row& row) {
    return row.committed_ms <= call.ended_ms && row.replaced_ms >= call.began_ms && is_met(row);
  });
}

void EvacuationChecker::CheckAcknowledged(const CallRecord& call) {
  const bool begins = call.kind == CallKind::kEvacuate;
  if (MayHaveMet(call, [&](const Row& row) { return Contains(row.zones, call.zone) == begins; })) return;
  report_(kEvacuationLost, "acknowledged and lost: " + Describe(call));
}

void EvacuationChecker::CheckTold(const CallRecord& call) {
  if (MayHaveMet(call, [&](const Row& row) { return row.zones == call.told_zones; })) return;
  report_(kEvacuationsToldWrong, "told of" + Describe(call.told_zones) + ": " + Describe(call));
}

bool EvacuationChecker::StaysEvacuated(const std::string& zone, double from_ms, double until_ms) const {
  return std::ranges::all_of(rows_, [&](const Row& row) {
    const bool is_of_that_time = row.committed_ms <= until_ms && row.replaced_ms > from_ms;
    return !is_of_that_time || Contains(row.zones, zone);
  });
}

void EvacuationChecker::CheckChoice(const ZoneChoice& choice) {
  if (choice.at_ms - choice.no_trouble_since_ms < kContactMs) return;
  for (const CallRecord& call : history_.calls) {
    if (call.kind != CallKind::kEvacuate || call.zone != choice.zone || call.end != CallEnd::kTaken) continue;
    if (choice.at_ms - call.ended_ms <= kEvacuationWithinMs) continue;
    if (!StaysEvacuated(choice.zone, call.ended_ms, choice.at_ms)) continue;
    return report_(kZoneChosen, choice.router + " sends to " + choice.zone + " at " +
                                    std::to_string(choice.at_ms) + " ms: " + Describe(call));
  }
}

}  // namespace bitternmux::lab::simulation
