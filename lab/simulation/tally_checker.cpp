#include "lab/simulation/tally_checker.h"

#include <algorithm>
#include <utility>

#include "lab/simulation/fault_watch.h"

namespace bitternmux::lab::simulation {
namespace {

constexpr double kStepMs = 50;  // of the search for connection

bool Overlaps(double from_ms, double until_ms, double other_from_ms, double other_until_ms) {
  return from_ms < other_until_ms && other_from_ms < until_ms;
}

bool MayCount(const TallyAddRecord& add, double before_ms) {
  return std::ranges::any_of(add.tries, [&](const TallyTry& call) {
    return call.sent_ms < before_ms && call.end != TallyEnd::kRefused;
  });
}

std::string Name(const TallyReadRecord& read) {
  return read.tally + " at " + read.call.machine + ", sent " + std::to_string(read.call.sent_ms) +
         " ms, answered " + std::to_string(read.call.ended_ms) + " ms";
}

}  // namespace

TallyChecker::TallyChecker(TallyHistory& history, Report report)
    : history_(history), report_(std::move(report)) {
  FindCalm();
  FindLosses();
  for (const TallyAddRecord& add : history_.adds) adds_[add.tally].push_back({&add, Owed(add)});
}

void TallyChecker::FindCalm() {
  std::vector<Span> faults;
  for (const MachineFault& fault : history_.machine_faults) faults.push_back({fault.from_ms, fault.until_ms});
  for (const LinkCut& cut : history_.cuts) faults.push_back({cut.from_ms, cut.until_ms});
  std::ranges::sort(faults, {}, &Span::from_ms);
  double calm_from_ms = 0;
  for (const Span& fault : faults) {
    if (fault.from_ms > calm_from_ms) calm_.push_back({calm_from_ms, fault.from_ms});
    calm_from_ms = std::max(calm_from_ms, fault.until_ms);
  }
  calm_.push_back({calm_from_ms, kForeverMs});
}

void TallyChecker::FindLosses() {
  for (const DiskLoss& loss : history_.disk_losses)
    losses_.push_back({loss.machine, loss.at_ms, loss.back_ms, CaughtUpAt(loss.machine, loss.back_ms)});
  std::ranges::sort(losses_, {}, &Loss::from_ms);
}

double TallyChecker::CaughtUpAt(const std::string& machine, double back_ms) const {
  double free_ms = back_ms;
  for (bool moved = true; moved;) {
    moved = false;
    const auto pass = [&](double from_ms, double until_ms) {
      if (from_ms >= free_ms + kCaughtUpMs || until_ms <= free_ms) return;
      free_ms = until_ms;
      moved = true;
    };
    for (const MachineFault& fault : history_.machine_faults) {
      if (fault.machine == machine && !fault.disk) pass(fault.from_ms, fault.until_ms);
    }
    for (const LinkCut& cut : history_.cuts) {
      if (cut.from == machine || cut.to == machine) pass(cut.from_ms, cut.until_ms);
    }
  }
  return free_ms + kCaughtUpMs;
}

void TallyChecker::Check() {
  for (const auto& [tally, adds] : adds_) {
    for (const Add& add : adds) ++(add.owed ? history_.owed : history_.not_owed);
  }
  for (const TallyAddRecord& add : history_.adds) {
    for (const TallyTry& call : add.tries) CheckServed(call, add.id);
  }
  for (const TallyReadRecord& read : history_.reads) {
    if (read.call.end == TallyEnd::kTotal) CheckRead(read);
    if (read.at_end && read.call.end != TallyEnd::kTotal)
      report_(kTallyLost, "no total after all trouble: " + Name(read));
  }
}

void TallyChecker::CheckServed(const TallyTry& call, const std::string& id) {
  const bool ended = call.ended_ms < kForeverMs && call.end != TallyEnd::kAnswerLost;
  if (!ended || call.end == TallyEnd::kAcknowledged || !call.in_own_zone || history_.loses_messages ||
      !IsSteady(call))
    return;
  report_(kTallyNotServed, id + " at " + call.machine + ", sent " + std::to_string(call.sent_ms) + " ms");
}

// No machine in trouble around the call, and no cut that began lately: those that last are known by then.
bool TallyChecker::IsSteady(const TallyTry& call) const {
  const double from_ms = call.sent_ms - kSteadyMs;
  const double until_ms = call.ended_ms + kWatchEveryMs;
  const bool machines = std::ranges::none_of(history_.machine_faults, [&](const MachineFault& fault) {
    const bool called = fault.machine == call.machine;
    return Overlaps(fault.from_ms, fault.until_ms, called ? call.sent_ms - kCaughtUpMs : from_ms, until_ms);
  });
  const bool removed = std::ranges::any_of(history_.machines, [&](const TallyMachine& one) {
    const bool lately = one.until_ms > from_ms || one.name == call.machine;
    return lately && one.until_ms <= call.ended_ms;
  });
  return machines && !removed && std::ranges::none_of(history_.cuts, [&](const LinkCut& cut) {
           return cut.from_ms > from_ms && cut.from_ms < call.ended_ms;
         });
}

void TallyChecker::CheckRead(const TallyReadRecord& read) {
  const double merged_before_ms = MergedBefore(read.call.sent_ms);
  std::int64_t least = 0, most = 0;
  for (const Add& add : adds_[read.tally]) {
    const std::int64_t amount = add.record->amount;
    const bool must = MustBeIn(add, read, merged_before_ms);
    const bool may = must || MayCount(*add.record, read.call.ended_ms);
    least += must ? amount : may ? std::min<std::int64_t>(amount, 0) : 0;
    most += must ? amount : may ? std::max<std::int64_t>(amount, 0) : 0;
  }
  const std::string what = std::to_string(read.total) + " of " + std::to_string(least) + " to " +
                           std::to_string(most) + ": " + Name(read);
  if (read.total < least) report_(read.at_end ? kTallyLost : kTallyMissesAdd, what);
  if (read.total > most) report_(kTallyHoldsTooMuch, what);
}

bool TallyChecker::MustBeIn(const Add& add, const TallyReadRecord& read, double merged_before_ms) const {
  return std::ranges::any_of(add.record->tries, [&](const TallyTry& call) {
    if (call.end != TallyEnd::kAcknowledged || call.ended_ms > read.call.sent_ms) return false;
    if (call.machine == read.call.machine && call.life == read.call.life) return true;
    return add.owed && call.ended_ms <= merged_before_ms;
  });
}

double TallyChecker::MergedBefore(double at_ms) const {
  double newest_ms = -1;
  for (const Span& span : calm_) {
    const double began_ms = std::min(span.until_ms, at_ms) - kMergeMs;
    if (began_ms >= span.from_ms) newest_ms = began_ms;
  }
  return newest_ms;
}

// ---- What is owed ----

bool TallyChecker::Owed(const TallyAddRecord& add) const {
  return std::ranges::any_of(
      add.tries, [&](const TallyTry& call) { return call.end == TallyEnd::kAcknowledged && Owed(call); });
}

bool TallyChecker::Owed(const TallyTry& acknowledged) const {
  if (TooManyLost(acknowledged.sent_ms)) return false;
  const std::string& machine = acknowledged.machine;
  return std::ranges::all_of(history_.disk_losses, [&](const DiskLoss& loss) {
    if (loss.machine != machine || loss.at_ms < acknowledged.sent_ms) return true;
    // A moment in which others could take it, from the answer to the loss.
    bool connected = WellConnected(machine, acknowledged.ended_ms);
    for (double at_ms = acknowledged.ended_ms; at_ms <= loss.at_ms && !connected; at_ms += kStepMs)
      connected = WellConnected(machine, at_ms) && MachineWell(machine, at_ms);
    return connected;
  });
}

bool TallyChecker::TooManyLost(double since_ms) const {
  std::map<std::string, double> open_until_ms;  // by machine
  for (const Loss& loss : losses_) {
    if (loss.from_ms < since_ms) continue;
    std::erase_if(open_until_ms, [&](const auto& open) { return open.second <= loss.from_ms; });
    open_until_ms[loss.machine] = loss.until_ms;
    if (open_until_ms.size() > history_.tolerated) return true;
  }
  return false;
}

bool TallyChecker::WellConnected(const std::string& machine, double at_ms) const {
  std::size_t others = 0;
  for (const TallyMachine& other : history_.machines) {
    const bool present = other.since_ms + kCaughtUpMs <= at_ms && at_ms < other.until_ms;
    if (other.name == machine || !present) continue;
    if (MachineWell(other.name, at_ms) && LinkWhole(machine, other.name, at_ms)) ++others;
  }
  return others >= history_.tolerated;
}

// Well is who had no fault for kCaughtUpMs.
bool TallyChecker::MachineWell(const std::string& machine, double at_ms) const {
  return std::ranges::none_of(history_.machine_faults, [&](const MachineFault& fault) {
    return fault.machine == machine && !fault.disk &&
           Overlaps(fault.from_ms, fault.until_ms, at_ms - kCaughtUpMs, at_ms);
  });
}

bool TallyChecker::LinkWhole(const std::string& one, const std::string& other, double at_ms) const {
  return std::ranges::none_of(history_.cuts, [&](const LinkCut& cut) {
    const bool between = (cut.from == one && cut.to == other) || (cut.from == other && cut.to == one);
    return between && Overlaps(cut.from_ms, cut.until_ms, at_ms - kCaughtUpMs, at_ms);
  });
}

}  // namespace bitternmux::lab::simulation
