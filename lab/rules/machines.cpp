#include "lab/rules/machines.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <vector>

namespace bitternmux::lab::rules {
namespace {

using State = record::MachineChanged;

constexpr double kMostCapacity = 1e6;  // guards the arithmetic
constexpr std::size_t kMostNamed = 6;  // sidecars in one line

std::uint64_t PairOf(std::uint32_t sidecar, std::uint32_t machine) {
  return static_cast<std::uint64_t>(sidecar) << 32 | machine;
}

bool IsDown(State::State state) { return state != State::UP; }

void CheckState(State::State state) {
  if (!State::State_IsValid(state)) throw Untrusted("a machine's state of an unknown kind");
}

}  // namespace

void Machines::Knowledge::Learn(std::int64_t at_us, State::State now) {
  state = now;
  if (!IsDown(now)) {
    if (up_us < 0) up_us = at_us;
    down_us = -1;
  } else if (down_us < 0) {
    down_us = at_us;  // that what drains is gone gives no further grace
  }
}

Machines::Machines(const record::Header& header, const Sidecars& sidecars, Report report)
    : rules_(header.rules()), sidecars_(sidecars), report_(std::move(report)) {
  deaf_.resize(static_cast<std::size_t>(header.sidecars_size()));
}

const Machines::Machine& Machines::Find(std::uint32_t machine) const {
  const auto found = machines_.find(machine);
  if (found == machines_.end()) throw Untrusted("machine " + std::to_string(machine) + " is unknown");
  return found->second;
}

void Machines::Changed(std::int64_t at_us, const State& entry) {
  CheckState(entry.state());
  const auto [found, is_new] = machines_.try_emplace(entry.machine());
  Machine& machine = found->second;
  if (is_new) {
    if (entry.state() != State::UP) {
      throw Untrusted("machine " + std::to_string(entry.machine()) + " is unknown, and was never up");
    }
    if (!(entry.capacity() >= 0 && entry.capacity() <= kMostCapacity)) {
      throw Untrusted("machine " + std::to_string(entry.machine()) + " has a capacity that cannot be");
    }
    machine.id = entry.id();
    machine.started_us = std::max<std::int64_t>(0, entry.started_us());
    if (machine.started_us > at_us) {
      throw Untrusted("machine " + std::to_string(entry.machine()) + " is up before it started");
    }
    machine.capacity = entry.capacity();
  } else if (machine.state == State::GONE || machine.state == State::FELL) {
    throw Untrusted("machine " + std::to_string(entry.machine()) + " changes after its end");
  }
  machine.state = entry.state();
  if (entry.state() == State::FELL) JudgeOverdriven(at_us, 0, machine, /*fell=*/true);
  // Its connections end with it; that each closes may still be said.
  if (entry.state() == State::FELL || entry.state() == State::GONE) machine.connections = 0;
}

void Machines::Told(std::int64_t at_us, const record::Told& entry) {
  CheckState(entry.state());
  sidecars_.Known(entry.sidecar());
  Known(entry.machine());
  KnowledgeOfLife& known = told_[PairOf(entry.sidecar(), entry.machine())];
  const std::uint32_t life = sidecars_.LifeOf(entry.sidecar());
  if (known.life != life) known = {};
  known.life = life;
  const bool was_down = known.down_us >= 0;
  known.Learn(at_us, entry.state());
  if (!was_down) known.deemed = entry.deemed();
}

void Machines::Listed(std::int64_t at_us, const record::Listed& entry) {
  CheckState(entry.state());
  Find(entry.machine()).listed.Learn(at_us, entry.state());
}

void Machines::Warmed(const record::Warmed& entry) {
  if (!(entry.share() > 0 && entry.share() <= 1)) throw Untrusted("a share of warmth that is none");
  Find(entry.machine()).warmed = entry.share();
}

void Machines::Hidden(std::int64_t at_us, const record::Trouble& entry) {
  for (std::uint32_t sidecar = 0; sidecar < deaf_.size(); ++sidecar) {
    const auto& named = entry.on_sidecars();
    if (!named.empty() && std::find(named.begin(), named.end(), sidecar) == named.end()) continue;
    Deafness& deaf = deaf_[sidecar];
    if (entry.begins()) {
      if (deaf.open++ == 0) deaf.from_us = at_us;
    } else if (deaf.open > 0 && --deaf.open == 0) {
      deaf.until_us = at_us;
    }
  }
}

void Machines::Connection(std::int64_t at_us, const record::Connection& entry) {
  sidecars_.Known(entry.sidecar());
  Machine& machine = Find(entry.machine());
  if (entry.opened()) {
    if (entry.turned_away()) return;
    ++machine.connections;
    if (rules_.connections_per_node() == 0 || machine.connections <= rules_.connections_per_node()) return;
    if (std::exchange(machine.over_connections, true)) return;  // once a machine
    report_({Rule::kConnections, at_us, 0, machine.id,
             std::to_string(machine.connections) + " connections open where it takes " +
                 std::to_string(rules_.connections_per_node()) + "; the last from " +
                 sidecars_.NameOf(entry.sidecar())});
  } else if (machine.connections > 0) {
    --machine.connections;
  } else if (machine.state == State::UP || machine.state == State::DRAINING) {
    throw Untrusted("machine " + std::to_string(entry.machine()) + ": more connections close than opened");
  }
}

std::pair<std::int64_t, bool> Machines::KnownSince(std::uint32_t sidecar, std::uint32_t number,
                                                   const Machine& machine, std::int64_t at_us,
                                                   std::int64_t Knowledge::*what) const {
  std::int64_t since = -1;
  bool deemed = false;
  const auto found = told_.find(PairOf(sidecar, number));
  const bool told = found != told_.end() && found->second.life == sidecars_.LifeOf(sidecar);
  if (told) std::tie(since, deemed) = std::pair(found->second.*what, found->second.deemed);
  // What discovery has to tell counts as told some time later, whether it was asked or not; a process that
  // started after that has this time from its start, and one that stood still meanwhile that much more.
  const std::int64_t listed = machine.listed.*what;
  if (rules_.told_within_us() > 0 && listed >= 0 && sidecars_.StartedUs(sidecar) >= 0) {
    const std::int64_t from = std::max(listed, sidecars_.StartedUs(sidecar));
    std::int64_t due = from + rules_.told_within_us() + sidecars_.StoodUs(sidecar, from, at_us);
    const Deafness& deaf = deaf_[sidecar];
    if (deaf.from_us >= 0 && due > deaf.from_us) {  // else it knew before
      if (deaf.open > 0) return {since, deemed};
      due = std::max(due, deaf.until_us + rules_.told_within_us());
    }
    if (due <= at_us && (since < 0 || due < since)) std::tie(since, deemed) = std::pair(due, true);
  }
  return {since, deemed};
}

void Machines::Begun(std::int64_t at_us, std::uint32_t sidecar, std::uint32_t number, std::uint64_t job) {
  const Machine& machine = Find(number);
  const auto [since, deemed] = KnownSince(sidecar, number, machine, at_us, &Knowledge::down_us);
  if (since < 0 || at_us <= since + rules_.drain_grace_us()) return;
  report_({Rule::kDrained, at_us, job, machine.id,
           sidecars_.NameOf(sidecar) + " sent to it " + Seconds(at_us - since) + " s after it " +
               (deemed ? "counts as told" : "was told") + " that it drains or is gone; the grace is " +
               Seconds(rules_.drain_grace_us()) + " s"});
}

double Machines::ShareOf(const Machine& machine, std::int64_t at_us) const {
  if (machine.warmed > 0) return machine.warmed;
  const double grown = rules_.warm_within_us() > 0 ? static_cast<double>(at_us - machine.started_us) /
                                                         static_cast<double>(rules_.warm_within_us())
                                                   : 1;
  return rules_.cold_from() + (1 - rules_.cold_from()) * std::clamp(grown, 0.0, 1.0);
}

bool Machines::IsCold(const Machine& machine, std::int64_t at_us) const {
  return machine.started_us > 0 && at_us < machine.started_us + rules_.warm_within_us() &&
         ShareOf(machine, at_us) < 1;
}

void Machines::DropOld(Machine& machine, std::int64_t at_us) const {
  while (!machine.window.empty() && machine.window.front().at_us <= at_us - rules_.fall_us()) {
    machine.window_work_us -= machine.window.front().work_us;
    machine.window.pop_front();
  }
}

void Machines::Reached(std::int64_t at_us, std::uint32_t sidecar, std::uint32_t number, std::uint64_t job,
                       std::int64_t work_us) {
  Machine& machine = Find(number);
  if (rules_.fall_us() <= 0) return;
  if (!IsCold(machine, at_us)) {
    machine.window.clear();
    machine.window_work_us = 0;
    return;
  }
  DropOld(machine, at_us);
  const std::int64_t told = KnownSince(sidecar, number, machine, at_us, &Knowledge::up_us).first;
  machine.window.push_back({at_us, work_us, sidecar, told});
  machine.window_work_us += work_us;
  // Over by more than the last piece: a budget is a little overdrawn by whichever comes last.
  const double budget = rules_.fall_multiple() * machine.capacity * ShareOf(machine, at_us) *
                        static_cast<double>(rules_.fall_us());
  if (static_cast<double>(machine.window_work_us - work_us) > budget) {
    JudgeOverdriven(at_us, job, machine, /*fell=*/false);
  }
}

// A breach only where two thirds of the work came from sidecars that knew of the start: nobody else can be
// blamed.
void Machines::JudgeOverdriven(std::int64_t at_us, std::uint64_t job, Machine& machine, bool fell) {
  if (machine.overdriven) return;  // once a machine
  DropOld(machine, at_us);
  std::int64_t known = 0;
  for (const Arrival& arrival : machine.window) known += arrival.told_us >= 0 ? arrival.work_us : 0;
  if (machine.window_work_us <= 0 || known * 3 < machine.window_work_us * 2) return;
  machine.overdriven = true;
  const double budget = rules_.fall_multiple() * machine.capacity * ShareOf(machine, at_us) *
                        static_cast<double>(rules_.fall_us());
  report_({Rule::kOverdriven, at_us, job, machine.id,
           std::string(fell ? "it fell: " : "") + Seconds(machine.window_work_us) + " s of work in " +
               Seconds(rules_.fall_us()) + " s, where " + Seconds(static_cast<std::int64_t>(budget)) +
               " s is allowed; " + Shares(machine, at_us)});
}

std::string Machines::Shares(const Machine& machine, std::int64_t at_us) const {
  struct Share {
    std::int64_t work_us = 0, unknowing_us = 0, told_us = -1;
  };
  std::map<std::uint32_t, Share> shares;
  for (const Arrival& arrival : machine.window) {
    Share& share = shares[arrival.sidecar];
    share.work_us += arrival.work_us;
    if (arrival.told_us < 0) {
      share.unknowing_us += arrival.work_us;
    } else {
      share.told_us = arrival.told_us;
    }
  }
  std::vector<std::pair<std::uint32_t, Share>> ranked(shares.begin(), shares.end());
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const auto& a, const auto& b) { return a.second.work_us > b.second.work_us; });
  std::string text = "from";
  for (std::size_t i = 0; i < std::min(ranked.size(), kMostNamed); ++i) {
    const auto& [sidecar, share] = ranked[i];
    text.append(i > 0 ? ", " : " ").append(sidecars_.NameOf(sidecar));
    text.append(" ").append(Seconds(share.work_us)).append(" s (");
    if (share.told_us < 0) {
      text.append("not told of its start");
    } else {
      text.append("told of its start ").append(Seconds(at_us - share.told_us)).append(" s before");
      if (share.unknowing_us > 0)
        text.append(", ").append(Seconds(share.unknowing_us)).append(" s sent untold");
    }
    text.append(")");
  }
  if (ranked.size() > kMostNamed) {
    std::int64_t rest = 0;
    for (std::size_t i = kMostNamed; i < ranked.size(); ++i) rest += ranked[i].second.work_us;
    text.append(" and ").append(std::to_string(ranked.size() - kMostNamed));
    text.append(" more with ").append(Seconds(rest)).append(" s");
  }
  return text;
}

}  // namespace bitternmux::lab::rules
