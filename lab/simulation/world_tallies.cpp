// The applications' calls on tallies, and what is written down of them and of faults.
#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "lab/simulation/world.h"

namespace bitternmux::lab::simulation {
namespace {

constexpr double kCallSilentMs = 1000;  // after which an application goes on
constexpr std::size_t kCallBytes = 300, kAnswerBytes = 150;

TallyEnd EndOf(ControlMachine::CallResult result, const fleet::TallyAnswer& answer) {
  if (result == ControlMachine::CallResult::kReset) return TallyEnd::kUnknown;
  switch (answer.outcome) {
    case fleet::TallyOutcome::kAdded:
      return TallyEnd::kAcknowledged;
    case fleet::TallyOutcome::kTotal:
      return TallyEnd::kTotal;
    case fleet::TallyOutcome::kUnavailable:
    case fleet::TallyOutcome::kFull:
      return TallyEnd::kRefused;
    case fleet::TallyOutcome::kUndecided:
      return TallyEnd::kUnknown;
  }
  return TallyEnd::kUnknown;
}

}  // namespace

void World::AddToTally(std::size_t zone, std::size_t machine, std::size_t add,
                       std::function<void(TallyEnd)> ended) {
  TallyAddRecord& record = history_.tallies.adds[add];
  record.tries.push_back({controls_[machine]->address(), 0, clock_.now_ms(), kForeverMs, TallyEnd::kUnknown,
                          zone_of_[machine] == zone});
  const std::size_t number = record.tries.size() - 1;
  TallyCall call;
  call.add = fleet::TallyAdd{record.id, record.tally, record.amount};
  call.reached = [this, add, number](std::uint64_t life) {
    history_.tallies.adds[add].tries[number].life = life;
  };
  call.ended = [this, add, number, machine, ended = std::move(ended)](TallyEnd end, std::int64_t) {
    TallyTry& row = history_.tallies.adds[add].tries[number];
    row.ended_ms = clock_.now_ms();
    row.end = end;
    if (end == TallyEnd::kAcknowledged && when_tally_acknowledged_)
      std::exchange(when_tally_acknowledged_, nullptr)(machine);
    ended(end);
  };
  SendTallyCall(zone, machine, std::move(call));
}

std::size_t World::ReadTally(std::size_t zone, std::size_t machine, const std::string& tally) {
  auto& reads = history_.tallies.reads;
  reads.push_back({tally,
                   {controls_[machine]->address(), 0, clock_.now_ms(), kForeverMs, TallyEnd::kUnknown,
                    zone_of_[machine] == zone},
                   0,
                   false});
  const std::size_t number = reads.size() - 1;
  TallyCall call;
  call.read = tally;
  call.reached = [this, number](std::uint64_t life) { history_.tallies.reads[number].call.life = life; };
  call.ended = [this, number](TallyEnd end, std::int64_t total) {
    TallyReadRecord& row = history_.tallies.reads[number];
    row.call.ended_ms = clock_.now_ms();
    row.call.end = end;
    row.total = total;
  };
  SendTallyCall(zone, machine, std::move(call));
  return number;
}

// `call.ended` is called once: with the answer, or when a second is over.
void World::SendTallyCall(std::size_t zone, std::size_t machine, TallyCall call) {
  const auto shared = std::make_shared<const TallyCall>(std::move(call));
  const auto done = std::make_shared<bool>(false);
  const auto lost = std::make_shared<bool>(false);
  const auto end = [shared, done](TallyEnd how, std::int64_t total) {
    if (std::exchange(*done, true)) return;
    shared->ended(how, total);
  };
  clock_.After(kCallSilentMs, [end, lost] { end(*lost ? TallyEnd::kAnswerLost : TallyEnd::kUnknown, 0); });
  ControlMachine& called = *controls_[machine];
  const std::string caller = ApplicationsOf(zone);
  network_.Send(caller, called.address(), kCallBytes, [this, shared, end, lost, caller, &called] {
    if (called.dark() || called.removed()) return;
    const auto answered = [this, end, lost, caller, &called](ControlMachine::CallResult result,
                                                             const fleet::TallyAnswer& answer) {
      *lost = clock_.Chance(lost_answers_);
      if (*lost) return;
      network_.Send(called.address(), caller, kAnswerBytes,
                    [end, result, answer] { end(EndOf(result, answer), answer.total); });
    };
    shared->reached(called.life());
    if (shared->add) {
      called.AddToTally(called.life(), *shared->add, answered);
    } else {
      called.ReadTally(called.life(), shared->read, answered);
    }
  });
}

void World::TellLostAdds() {
  std::set<std::string> held;
  for (const std::size_t i : Present()) {
    for (const fleet::TallyAdds& log : controls_[i]->tally_disk().Load()) {
      for (const fleet::TallyAdd& add : log.adds) held.insert(add.id);
    }
  }
  for (const TallyAddRecord& add : history_.tallies.adds) {
    for (const TallyTry& call : add.tries) {
      if (call.end == TallyEnd::kAcknowledged && !held.contains(add.id))
        Tell(add.id + " for " + add.tally + ", " + std::to_string(add.amount) + ", is on no disk; sent " +
             std::to_string(call.sent_ms) + " ms, acknowledged " + std::to_string(call.ended_ms) + " ms by " +
             call.machine);
    }
  }
}

// ---- What is in trouble ----

void World::WatchFaults() {
  NoteFaults();
  if (options_.evacuations) NoteCalm();
  clock_.After(kWatchEveryMs, [this] { WatchFaults(); });
}

void World::NoteFaults() {
  const double now_ms = clock_.now_ms();
  const std::vector<std::size_t> present = Present();
  for (const std::size_t i : present) {
    const std::string& machine = controls_[i]->address();
    if (controls_[i]->InTrouble() || network_.IsSlow(machine))
      watch_.MachineInTrouble(machine, /*disk=*/false, now_ms);
    if (controls_[i]->disk().InTrouble()) watch_.MachineInTrouble(machine, /*disk=*/true, now_ms);
    for (const std::size_t other : present) {
      if (other != i && network_.IsCut(machine, controls_[other]->address()))
        watch_.LinkCutNow(machine, controls_[other]->address(), now_ms);
    }
  }
}

void World::NoteDiskLost(std::size_t i) {
  const std::string& machine = controls_[i]->address();
  const bool known = std::ranges::any_of(history_.tallies.disk_losses, [&](const DiskLoss& loss) {
    return loss.machine == machine && loss.back_ms == kForeverMs;
  });
  if (!known) history_.tallies.disk_losses.push_back({machine, clock_.now_ms(), kForeverMs});
}

void World::NoteDiskBack(const std::string& machine) {
  for (DiskLoss& loss : history_.tallies.disk_losses) {
    if (loss.machine == machine && loss.back_ms == kForeverMs) loss.back_ms = clock_.now_ms();
  }
}

}  // namespace bitternmux::lab::simulation
