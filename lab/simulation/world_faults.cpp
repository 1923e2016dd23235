// What befalls the machines of the simulated world, and the end of it.
#include <algorithm>
#include <set>
#include <utility>

#include "fleet/replication/quorum.h"
#include "lab/simulation/world.h"

namespace bitternmux::lab::simulation {
namespace {

constexpr double kGraceMs = 8000;  // from SIGTERM to SIGKILL
constexpr double kLookEveryMs = 50;

}  // namespace

// ---- Control machines ----

void World::Kill(std::size_t i, double down_ms) {
  if (calm_) return;
  Tell(controls_[i]->address() + " is killed");
  controls_[i]->Kill();
  NoteFaults();
  LinksLost(controls_[i]->address());
  StartAfter(i, down_ms);
}

// Nobody hears of it: what it has sent and its links are gone.
void World::GoDark(std::size_t i) {
  ControlMachine& machine = *controls_[i];
  machine.PowerOff();
  NoteFaults();
  network_.Forget(machine.address());
  std::erase_if(links_, [&](const auto& entry) { return entry.second.control == machine.address(); });
}

void World::Power(std::size_t i, double down_ms) {
  if (calm_) return;
  Tell(controls_[i]->address() + " loses power");
  GoDark(i);
  StartAfter(i, down_ms);
}

void World::WipeAndRestart(std::size_t i, double down_ms) {
  if (calm_) return;
  Tell(controls_[i]->address() + " loses its disk");
  GoDark(i);
  controls_[i]->WipeDisks();
  NoteDiskLost(i);
  StartAfter(i, down_ms);
}

void World::Freeze(std::size_t i, double for_ms) {
  if (calm_) return;
  Tell(controls_[i]->address() + " stands still for " + std::to_string(for_ms));
  controls_[i]->Freeze(for_ms);
}

void World::Terminate(std::size_t i, double down_ms) {
  if (calm_ || !controls_[i]->up()) return;
  Tell(controls_[i]->address() + " is told to stop");
  const std::uint64_t life = controls_[i]->life();
  controls_[i]->Terminate();
  AwaitEnd(i, life, ++starting_[i], down_ms, clock_.now_ms() + kGraceMs);
}

// Starts the machine again once the process of that life has ended, or its grace is over.
void World::AwaitEnd(std::size_t i, std::uint64_t life, std::uint64_t start, double down_ms,
                     double until_ms) {
  ControlMachine& machine = *controls_[i];
  if (starting_[i] != start || machine.removed()) return;
  const bool ended = !machine.up() || machine.life() != life;
  if (!ended && clock_.now_ms() < until_ms) {
    clock_.After(kLookEveryMs,
                 [this, i, life, start, down_ms, until_ms] { AwaitEnd(i, life, start, down_ms, until_ms); });
    return;
  }
  machine.Kill();
  LinksLost(machine.address());
  StartAfter(i, down_ms);
}

void World::KillForGood(std::size_t i) {
  if (calm_) return;
  Tell(controls_[i]->address() + " is gone for good");
  GoDark(i);
  Remove(i);
}

void World::Remove(std::size_t i) {
  controls_[i]->Remove();
  NoteDiskLost(i);
  history_.tallies.machines[i].until_ms = clock_.now_ms();
}

void World::Replace(std::size_t i, double after_ms) {
  if (calm_) return;
  KillForGood(i);
  clock_.After(after_ms, [this, i] {
    AddControl(zone_of_[i]);
    std::ranges::replace(seeds_, i, controls_.size() - 1);
    DropSeed(i);
    for (const auto& machine : controls_) machine->Reseed(Seeds());
    Boot(controls_.size() - 1, false);
    NoteDiskBack(controls_[i]->address());  // in its place
  });
}

void World::ReplacePlanned(std::size_t i, double before_ms) {
  if (calm_) return;
  Tell(controls_[i]->address() + " is to be replaced");
  AddControl(zone_of_[i]);
  const std::size_t successor = controls_.size() - 1;
  std::ranges::replace(seeds_, i, successor);
  ComePlanned(i, successor, before_ms);
}

void World::ReplaceByUnknown(std::size_t i, double before_ms) {
  if (calm_) return;
  Tell(controls_[i]->address() + " is to be replaced by one that knows nobody");
  AddControl(zone_of_[i]);
  seeds_ = {controls_.size() - 1};
  ComePlanned(i, controls_.size() - 1, before_ms);
}

// All settings name the new machine, which comes at once; the old one is told to stop after that time.
void World::ComePlanned(std::size_t i, std::size_t successor, double before_ms) {
  for (const auto& machine : controls_) machine->Reseed(Seeds());
  Boot(successor, false);
  clock_.After(before_ms, [this, i] {
    ++starting_[i];
    const std::uint64_t life = controls_[i]->life();
    controls_[i]->Terminate();
    clock_.After(kGraceMs, [this, i, life] {
      if (controls_[i]->life() == life) LinksLost(controls_[i]->address());
      RemoveWhenBorne(i);
    });
  });
}

// A machine that still counts, as its successor could not take its place in time, waits until its loss is
// borne.
void World::RemoveWhenBorne(std::size_t i) {
  if (!Counts(i) || MayLoseDisk(i)) {
    Tell(controls_[i]->address() + " is removed");
    DropSeed(i);
    Remove(i);
    return NoteDiskBack(controls_[i]->address());  // its successor is there
  }
  controls_[i]->PowerOn();
  if (!controls_[i]->up()) Boot(i, false);
  clock_.After(1000, [this, i] { RemoveWhenBorne(i); });
}

// The operators' list lags; then another machine takes the place of one that is gone.
void World::DropSeed(std::size_t i) {
  constexpr double kSeedLagMs = 3000;
  clock_.After(kSeedLagMs, [this, i] {
    std::vector<std::size_t> others = Present();
    std::erase_if(others, [&](std::size_t other) { return std::ranges::count(seeds_, other) > 0; });
    if (others.empty()) {
      std::erase(seeds_, i);
    } else {
      std::ranges::replace(seeds_, i, others[clock_.Below(others.size())]);
    }
  });
}

std::vector<fleet::Member> World::CountedMembers() const {
  if (history_.committed.empty()) return {};
  const auto& [newest, value] = *history_.committed.rbegin();
  std::vector<fleet::Member> members = fleet::Voters(value);
  for (const auto& machine : controls_) {
    const auto& content = machine->disk().content();
    if (machine->removed() || !content || content->accepted.position.sequence <= newest) continue;
    for (const fleet::Member& member : fleet::Voters(content->accepted.value)) {
      if (std::ranges::find(members, member) == members.end()) members.push_back(member);
    }
  }
  return members;
}

bool World::Counts(std::size_t i) const {
  const auto& content = controls_[i]->disk().content();
  return content && std::ranges::any_of(CountedMembers(), [&](const fleet::Member& member) {
           return member.store == content->store;
         });
}

void World::KillAll(double down_ms, bool power, bool everyone) {
  Tell(std::string(power ? "all control machines lose power" : "all control processes are killed") +
       (everyone ? ", and all others" : ""));
  for (const std::size_t i : Present()) {
    if (power) {
      Power(i, down_ms * clock_.Between(0.9, 1.3));
    } else {
      Kill(i, down_ms * clock_.Between(0.9, 1.3));
    }
  }
  for (std::size_t i = 0; everyone && i < edges_.size(); ++i) KillEdge(i, down_ms, /*both=*/true);
}

void World::CutBoth(const std::string& one, const std::string& other, double for_ms, bool both_ways) {
  network_.Cut(one, other);
  if (both_ways) network_.Cut(other, one);
  clock_.After(for_ms, [this, one, other, both_ways] {
    network_.Heal(one, other);
    if (both_ways) network_.Heal(other, one);
  });
}

void World::Isolate(std::size_t i, double for_ms) {
  if (calm_) return;
  Tell(controls_[i]->address() + " is cut off from the others for " + std::to_string(for_ms));
  for (const std::size_t other : Present()) {
    if (other != i) CutBoth(controls_[i]->address(), controls_[other]->address(), for_ms, true);
  }
}

void World::CutPair(std::size_t from, std::size_t to, bool both_ways, double for_ms) {
  if (calm_) return;
  Tell(controls_[from]->address() + " does not reach " + controls_[to]->address() +
       (both_ways ? ", nor the other way round" : ""));
  CutBoth(controls_[from]->address(), controls_[to]->address(), for_ms, both_ways);
}

void World::Split(double for_ms) {
  Tell("the control machines are cut in two for " + std::to_string(for_ms));
  std::vector<std::size_t> present = Present();
  for (std::size_t i = present.size(); i > 1; --i) std::swap(present[i - 1], present[clock_.Below(i)]);
  const std::size_t half = present.size() / 2;
  for (std::size_t a = 0; a < half; ++a) {
    for (std::size_t b = half; b < present.size(); ++b) {
      CutBoth(controls_[present[a]]->address(), controls_[present[b]]->address(), for_ms, true);
    }
  }
}

void World::CutFromPlatform(std::size_t i, double for_ms) {
  if (calm_) return;
  Tell(controls_[i]->address() + " does not reach the platform");
  cut_from_platform_.insert(i);
  clock_.After(for_ms, [this, i] { cut_from_platform_.erase(i); });
}

void World::SlowPlatform(std::size_t i, double for_ms) {
  if (calm_) return;
  Tell(controls_[i]->address() + " reads the platform slowly");
  slow_platform_.insert(i);
  clock_.After(for_ms, [this, i] { slow_platform_.erase(i); });
}

void World::SlowLink(std::size_t i, double for_ms) {
  if (calm_) return;
  Tell(controls_[i]->address() + " has a slow link");
  network_.SetRate(controls_[i]->address(), kSlowLink);
  clock_.After(for_ms, [this, i] { network_.SetRate(controls_[i]->address(), kFastLink); });
}

void World::SlowProcessor(std::size_t i, double for_ms) {
  if (calm_) return;
  constexpr double kLeastMs = 1, kMostMs = 8;
  Tell(controls_[i]->address() + " has a slow processor for " + std::to_string(for_ms));
  controls_[i]->SetInputTime(clock_.Between(kLeastMs, kMostMs));
  clock_.After(for_ms, [this, i] { controls_[i]->SetInputTime(0); });
}

void World::ResetConnections(std::size_t i) {
  if (calm_) return;
  constexpr double kRedialMs = 200;
  ControlMachine& machine = *controls_[i];
  Tell(machine.address() + ": connections are reset");
  for (const std::size_t other : Present()) {
    if (other == i || clock_.Chance(0.5)) continue;
    const std::string& peer = controls_[other]->address();
    network_.ForgetBetween(machine.address(), peer);
    CutBoth(machine.address(), peer, kRedialMs, true);
    clock_.After(kRedialMs, [this, i, other] {
      controls_[i]->Connected(controls_[other]->address());
      controls_[other]->Connected(controls_[i]->address());
    });
  }
  // Who hears of it dials anew at once, which changes the links.
  std::vector<std::pair<fleet::SubscriberId, Link>> reset;
  for (auto& [id, link] : links_) {
    if (link.control != machine.address() || !link.open || clock_.Chance(0.5)) continue;
    link.open = false;
    reset.emplace_back(id, link);
  }
  for (const auto& [id, link] : reset) {
    machine.Unsubscribed(link.control_life, id);
    FindEdge(link.edge)->Lost(link.edge_life, link.number);
  }
}

void World::TurnSeeds() {
  std::vector<std::size_t> present = Present();
  for (std::size_t i = present.size(); i > 1; --i) std::swap(present[i - 1], present[clock_.Below(i)]);
  present.resize(std::min(present.size(), kMostSeeds));
  seeds_ = present;
  Tell("the settings name other seeds");
  for (const auto& machine : controls_) machine->Reseed(Seeds());
}

std::size_t World::DisksLost() const {
  std::set<std::uint64_t> lost;
  for (const fleet::Member& member : CountedMembers()) {
    const bool there = std::ranges::any_of(controls_, [&](const auto& machine) {
      const auto& content = machine->disk().content();
      return !machine->removed() && content && content->store == member.store;
    });
    if (!there) lost.insert(member.store);
  }
  return lost.size();
}

// One more may be lost, and the group bears it.
bool World::MayLoseDisk(std::size_t i) const {
  if (history_.committed.empty()) return false;
  const fleet::ShardValue& value = history_.committed.rbegin()->second;
  const std::size_t borne = std::min(options_.tolerated, (value.members.size() - 1) / 2);
  const auto& content = controls_[i]->disk().content();
  return content && DisksLost() + 1 <= borne;
}

void World::RestartControl(double slowness) {
  Tell("all control processes start again, on slow disks");
  for (const std::size_t i : Present()) {
    controls_[i]->disk().SetSlowness(slowness);
    controls_[i]->Kill();
    LinksLost(controls_[i]->address());
  }
  for (const std::size_t i : Present()) Boot(i, false);
}

void World::Heal() {
  Tell("---- calm ----");
  calm_ = true;
  Repair();
}

void World::Repair() {
  when_acknowledged_ = nullptr;
  when_prepared_ = nullptr;
  when_promised_ = nullptr;
  when_exchanging_ = nullptr;
  when_exchanged_ = nullptr;
  when_tally_acknowledged_ = nullptr;
  network_.HealAll();
  cut_from_platform_.clear();
  slow_platform_.clear();
  lost_answers_ = 0;
  demand_ = 1;
  for (std::size_t i = 0; i < controls_.size(); ++i) {
    ControlMachine& machine = *controls_[i];
    if (machine.removed()) continue;
    network_.SetRate(machine.address(), kFastLink);
    machine.disk().SetFull(false);
    machine.disk().SetSlowness(1);
    machine.disk().Stall(0);
    machine.SetInputTime(0);
    machine.PowerOn();
    machine.Unfreeze();
    if (!machine.up()) Boot(i, false);
  }
  for (const auto& edge : edges_) {
    edge->Unfreeze();
    if (!edge->up()) edge->Boot(SeedAddresses());
    if (!edge->router_up()) edge->BootRouter();
  }
}

// ---- Edge machines ----

void World::KillEdge(std::size_t i, double down_ms, bool both) {
  if (calm_) return;
  Tell(edges_[i]->name() + (both ? " goes down" : ": its agent is killed"));
  both ? edges_[i]->KillBoth() : edges_[i]->KillAgent();
  clock_.After(down_ms, [this, i] { edges_[i]->Boot(SeedAddresses()); });
}

void World::IsolateEdge(std::size_t i, double for_ms) {
  if (calm_) return;
  for (const std::size_t other : Present()) {
    CutBoth(edges_[i]->name(), controls_[other]->address(), for_ms, true);
  }
}

}  // namespace bitternmux::lab::simulation
