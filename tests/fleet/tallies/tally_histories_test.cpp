// Tallies on days of trouble, each from one seed: what applications were told is checked against all that
// they sent.
#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/tallies/tally_group.h"

namespace bitternmux::fleet {
namespace {

using test::TallyCall;
using test::TallyGroup;
using test::TallyGroupOptions;

constexpr double kMergeMs = 3000;      // after this time without trouble all is as if there had been none
constexpr double kRecoveredMs = 6000;  // after this time without trouble disks may be lost once more
constexpr double kClientMs = 1000;     // an application waits no longer for an answer
constexpr double kAnswerMs = kAddMs + 100;  // a process answers each add in this time
constexpr double kCalmAddMs = 200;          // in calm times an add is answered in this time
constexpr std::size_t kTallies = 3;

// All calls with one id that were not refused.
struct Id {
  std::string tally;
  std::int64_t lowest = std::numeric_limits<std::int64_t>::max(), highest = 0;  // amounts
  double first_sent_ms = std::numeric_limits<double>::infinity();
  std::vector<const TallyCall*> acknowledged;
};
struct Span {
  double begin_ms, end_ms;
};
struct DiskLoss {
  std::size_t machine;
  double at_ms;
};

// Zones of unlike sizes, maybe one alone; the loss of one is to be borne, and so that of a machine.
void DrawZones(TallyGroupOptions& options, std::mt19937_64& random) {
  const std::size_t zones = 2 + random() % 3;
  for (std::size_t machine = 0; machine < options.machines; ++machine) {
    options.zones.push_back(std::string(1, static_cast<char>('a' + random() % zones)));
  }
  options.copies = std::max<std::size_t>(options.copies, 2);
  options.zones_of_copies = 2;
}

TallyGroupOptions DrawOptions(std::uint64_t seed) {
  std::mt19937_64 random(seed * 7919);
  TallyGroupOptions options;
  options.seed = seed;
  options.machines = 2 + random() % 4;
  options.copies = 1 + random() % std::min<std::size_t>(options.machines, 3);
  options.sync_ms = random() % 2 == 0 ? 0.5 : 5;
  options.delay_ms = 0.5 + static_cast<double>(random() % 4);
  options.link_mbps = random() % 4 == 0 ? 10 : 0;
  options.cuts_delay = random() % 2 == 0;
  options.datagrams = random() % 6 == 0;
  if (random() % 2 == 0) DrawZones(options, random);
  return options;
}

// A day: applications call without a pause, while times of trouble and calm times take turns.
class Day {
 public:
  explicit Day(std::uint64_t seed) : options_(DrawOptions(seed)), group_(options_) {}

  // What was wrong; empty: nothing.
  const std::vector<std::string>& Play() {
    ids_differ_ = Chance(0.1);
    CallOn();
    if (Chance(0.5)) Calm(2500);
    for (std::size_t rounds = 1 + group_.Below(4); rounds > 0; --rounds) {
      Trouble(500 + 5000 * group_.Unit());
      Calm(100 + 8000 * group_.Unit());
    }
    if (Chance(0.5)) FinalFault();
    Calm(kMergeMs);
    CheckTotalsAreEqual();
    CheckCalls();
    for (const std::string& violation : group_.violations()) Wrong(violation);
    return wrong_;
  }

 private:
  bool Chance(double chance) { return group_.Unit() < chance; }
  void Wrong(const std::string& text) { wrong_.push_back(text); }

  // ---- Applications ----

  void CallOn() {
    if (!calling_) return;
    if (Chance(0.5)) SendAdd({"id-" + std::to_string(++last_id_), DrawTally(), DrawAmount()}, 0);
    if (Chance(0.4)) SendRead();
    group_.At(group_.now() + 5 + 60 * group_.Unit(), [this] { CallOn(); });
  }
  std::string DrawTally() { return "t" + std::to_string(group_.Below(kTallies)); }
  std::int64_t DrawAmount() { return 1 + static_cast<std::int64_t>(group_.Below(9)); }

  void SendAdd(const TallyAdd& add, std::size_t tries) {
    constexpr std::size_t kMostTries = 4;
    const std::size_t machine = group_.Below(group_.size());
    if (!group_.up(machine)) return;
    const std::size_t number = group_.Add(machine, add);
    if (tries == kMostTries) return;
    if (Chance(0.08)) {  // the same id once more, whatever comes of this call
      group_.At(group_.now() + 2 * kClientMs * group_.Unit(), [=, this] { Repeat(add, tries + 1); });
    }
    group_.At(group_.now() + kClientMs, [=, this] {
      if (!group_.call(number).Is(TallyOutcome::kAdded) && Chance(0.7)) Repeat(add, tries + 1);
    });
  }
  void Repeat(TallyAdd add, std::size_t tries) {
    if (!calling_) return;
    if (ids_differ_) add.amount = DrawAmount();
    SendAdd(add, tries);
  }
  void SendRead() {
    const std::size_t machine = group_.Below(group_.size());
    if (group_.up(machine)) group_.Read(machine, DrawTally());
  }

  // ---- Trouble ----

  void Trouble(double for_ms) {
    const double end_ms = group_.now() + for_ms;
    BeginTrouble();
    while (group_.now() < end_ms) {
      DrawTrouble();
      group_.RunFor(std::min(end_ms - group_.now(), 20 + 800 * group_.Unit() * group_.Unit()));
    }
  }
  void BeginTrouble() {
    if (!troubles_.empty() && group_.now() - troubles_.back().end_ms >= kRecoveredMs) lost_.clear();
    troubles_.push_back({group_.now(), 0});
  }
  // All links and machines are well again, once what stands still goes on.
  void Calm(double for_ms) {
    group_.Heal();
    for (std::size_t machine = 0; machine < group_.size(); ++machine) group_.Start(machine);
    group_.RunFor(std::max(0.0, standstill_until_ms_ - group_.now()));
    if (!troubles_.empty()) troubles_.back().end_ms = group_.now();
    group_.RunFor(for_ms);
  }

  void DrawTrouble() {
    const std::size_t machine = group_.Below(group_.size());
    const std::size_t other = group_.Below(group_.size());
    switch (group_.Below(13)) {
      case 0:
        return End(machine, 100 + 1500 * group_.Unit());
      case 1:
        return End(machine, 7000 * group_.Unit());
      case 2:
        return EndAll();
      case 3:
        return LoseDisks();
      case 4:
        return group_.Cut(machine, other);
      case 5:
        return group_.CutOneWay(machine, other);
      case 6:
        return group_.Isolate(machine);
      case 7:
        return Split();
      case 8:
        return CutSome();
      case 9:
        return group_.Heal();
      case 10:
        return group_.BreakConnection(machine, other);
      case 11:
        return group_.StallDisk(machine, DrawStandstill());
      default:
        lost_.insert(machine);
        frozen_.insert({machine, group_.life(machine)});
        return group_.Freeze(machine, DrawStandstill());
    }
  }
  double DrawStandstill() {
    const double for_ms = 100 + 3000 * group_.Unit() * group_.Unit();
    standstill_until_ms_ = std::max(standstill_until_ms_, group_.now() + for_ms);
    return for_ms;
  }
  void End(std::size_t machine, double back_after_ms) {
    lost_.insert(machine);
    if (Chance(0.5)) {
      group_.Kill(machine);
    } else {
      group_.LosePower(machine);
    }
    group_.At(group_.now() + back_after_ms, [this, machine] { group_.Start(machine); });
  }
  void EndAll() {
    for (std::size_t machine = 0; machine < group_.size(); ++machine) End(machine, 1000 * group_.Unit());
  }
  // At most as many disks as may be lost at once; machines that are lost in another way count among them.
  void LoseDisks() {
    if (!options_.zones.empty() && Chance(0.5)) return LoseZone();
    for (std::size_t drawn = options_.copies; drawn > 1; --drawn) {
      const std::size_t machine = group_.Below(group_.size());
      std::set<std::size_t> lost = lost_;
      lost.insert(machine);
      if (lost.size() >= options_.copies) continue;
      LoseDisk(machine);
    }
  }
  // All disks of a zone, where no machine elsewhere is lost in any way: copies stand in two zones.
  void LoseZone() {
    const std::string& zone = options_.zones[group_.Below(group_.size())];
    const std::vector<std::size_t> machines = group_.MachinesIn(zone);
    const bool elsewhere =
        std::ranges::any_of(lost_, [&](std::size_t lost) { return options_.zones[lost] != zone; });
    if (elsewhere || machines.size() == group_.size()) return;
    for (const std::size_t machine : machines) LoseDisk(machine);
  }
  void LoseDisk(std::size_t machine) {
    End(machine, 100 + 1500 * group_.Unit());
    group_.Wipe(machine);
    disk_losses_.push_back({machine, group_.now()});
  }
  void Split() {
    const std::size_t first_of_other_side = group_.Below(group_.size());
    for (std::size_t one = 0; one < first_of_other_side; ++one) {
      for (std::size_t other = first_of_other_side; other < group_.size(); ++other) group_.Cut(one, other);
    }
  }
  void CutSome() {
    const double share = group_.Unit();
    for (std::size_t one = 0; one < group_.size(); ++one) {
      for (std::size_t other = 0; other < group_.size(); ++other) {
        if (Chance(share)) group_.CutOneWay(one, other);
      }
    }
  }
  // Right after an add is acknowledged all lose power, and some their disks too.
  void FinalFault() {
    constexpr int kMostSteps = 1000;  // of 1 ms
    const std::size_t acknowledged = group_.acknowledged();
    for (int step = 0; step < kMostSteps && group_.acknowledged() == acknowledged; ++step) group_.RunFor(1);
    BeginTrouble();
    LoseDisks();
    for (std::size_t machine = 0; machine < group_.size(); ++machine) group_.LosePower(machine);
    group_.RunFor(1000 * group_.Unit());
  }

  // ---- Checks ----

  void CheckTotalsAreEqual() {
    calling_ = false;
    group_.RunFor(kClientMs);
    for (std::size_t tally = 0; tally < kTallies; ++tally) {
      const std::string name = "t" + std::to_string(tally);
      const auto first = group_.Total(0, name);
      for (std::size_t machine = 1; machine < group_.size(); ++machine) {
        if (group_.Total(machine, name) != first)
          Wrong("machine " + std::to_string(machine) + " differs in " + name);
      }
    }
  }

  void CheckCalls() {
    const std::map<std::string, Id> ids = Ids();
    for (const TallyCall& call : group_.calls()) {
      CheckAnswer(call);
      if (call.Is(TallyOutcome::kTotal)) CheckTotal(call, ids);
    }
  }
  std::map<std::string, Id> Ids() const {
    std::map<std::string, Id> ids;
    for (const TallyCall& call : group_.calls()) {
      if (call.is_read || call.Is(TallyOutcome::kUnavailable) || call.Is(TallyOutcome::kFull)) continue;
      Id& id = ids[call.add.id];
      id.tally = call.add.tally;
      id.lowest = std::min(id.lowest, call.add.amount);
      id.highest = std::max(id.highest, call.add.amount);
      id.first_sent_ms = std::min(id.first_sent_ms, call.sent_ms);
      if (call.Is(TallyOutcome::kAdded)) id.acknowledged.push_back(&call);
    }
    return ids;
  }

  // Each call is answered in time, and served in calm times.
  void CheckAnswer(const TallyCall& call) {
    const bool ended = group_.life(call.machine) != call.life || !group_.up(call.machine);
    if (!call.outcome) {
      const bool may_be =
          ended || frozen_.contains({call.machine, call.life}) || call.sent_ms + kAnswerMs > group_.now();
      if (!may_be) Wrong("no answer to " + Describe(call));
      return;
    }
    if (!frozen_.contains({call.machine, call.life}) && call.Waited() > kAnswerMs) {
      Wrong("late answer to " + Describe(call));
    }
    if (!IsCalm({call.sent_ms - kMergeMs, call.sent_ms + kAnswerMs})) return;
    if (call.is_read && !call.Is(TallyOutcome::kTotal)) Wrong("refused in a calm time: " + Describe(call));
    if (call.is_read) return;
    // A datagram that overtakes another is fetched again.
    const double most_ms = options_.datagrams ? kAnswerMs : kCalmAddMs;
    if (!call.Is(TallyOutcome::kAdded) || call.Waited() > most_ms) {
      Wrong("not added in a calm time: " + Describe(call));
    }
    if (call.disks < options_.copies) Wrong("on too few disks: " + Describe(call));
    const std::set<std::string> zones(options_.zones.begin(), options_.zones.end());
    if (call.zones < std::min(zones.size(), options_.zones_of_copies)) {
      Wrong("in too few zones: " + Describe(call));
    }
  }

  void CheckTotal(const TallyCall& read, const std::map<std::string, Id>& ids) {
    std::int64_t least = 0, most = 0;
    for (const auto& [name, id] : ids) {
      if (id.tally != read.add.tally) continue;
      if (id.first_sent_ms <= read.answered_ms) most += id.highest;
      if (!IsOwed(read, id)) continue;
      least += id.lowest;
    }
    if (read.total > most) Wrong("TWICE, at most " + std::to_string(most) + ": " + Describe(read));
    if (read.total < least) Wrong("STALE, at least " + std::to_string(least) + ": " + Describe(read));
  }
  // Does a total have to have the id?
  bool IsOwed(const TallyCall& read, const Id& id) const {
    const bool calm = IsCalm({read.sent_ms - kMergeMs, read.sent_ms});
    return std::ranges::any_of(id.acknowledged, [&](const TallyCall* add) {
      const bool same_life = add->machine == read.machine && add->life == read.life;
      if (same_life && add->answered_ms < read.sent_ms) return true;
      return calm && add->answered_ms <= read.sent_ms - kMergeMs && !IsExcused(*add);
    });
  }
  // It was acknowledged at a cut link, and the disk was lost before all had met again for kMergeMs.
  bool IsExcused(const TallyCall& add) const {
    return add.apart && std::ranges::any_of(disk_losses_, [&](const DiskLoss& loss) {
             return loss.machine == add.machine && loss.at_ms >= add.answered_ms &&
                    loss.at_ms < MergedMs(add.answered_ms);
           });
  }
  // When kMergeMs without trouble have passed after that time.
  double MergedMs(double after_ms) const {
    double merged_ms = after_ms + kMergeMs;
    for (const Span& trouble : troubles_) {
      if (trouble.end_ms > after_ms && trouble.begin_ms < merged_ms) merged_ms = trouble.end_ms + kMergeMs;
    }
    return merged_ms;
  }
  bool IsCalm(const Span& span) const {
    return span.begin_ms >= 0 && std::ranges::none_of(troubles_, [&](const Span& trouble) {
             return trouble.begin_ms <= span.end_ms && trouble.end_ms >= span.begin_ms;
           });
  }
  static std::string Describe(const TallyCall& call) {
    return (call.is_read ? "read of " : "add " + call.add.id + " to ") + call.add.tally + " at machine " +
           std::to_string(call.machine) + ", life " + std::to_string(call.life) + ", sent at " +
           std::to_string(call.sent_ms) + " ms, answered at " + std::to_string(call.answered_ms) +
           " ms, outcome " + (call.outcome ? std::to_string(static_cast<int>(*call.outcome)) : "none") +
           ", total " + std::to_string(call.total);
  }

  std::vector<std::string> wrong_;
  TallyGroupOptions options_;
  TallyGroup group_;
  bool calling_ = true, ids_differ_ = false;
  std::uint64_t last_id_ = 0;
  std::vector<Span> troubles_;
  double standstill_until_ms_ = 0;
  std::set<std::size_t> lost_;                              // machines, since all was well for kRecoveredMs
  std::set<std::pair<std::size_t, std::uint64_t>> frozen_;  // machines and lives
  std::vector<DiskLoss> disk_losses_;
};

void PlayDays(std::uint64_t first_seed, std::uint64_t days) {
  for (std::uint64_t seed = first_seed; seed < first_seed + days; ++seed) {
    const std::vector<std::string> wrong = Day(seed).Play();
    INFO("seed " << seed << ": " << wrong.size()
                 << " things wrong, first: " << (wrong.empty() ? "" : wrong.front()));
    CHECK(wrong.empty());
  }
}

// A machine is cut off and meets the others again; applications call it all the while, and right after it has
// acknowledged an add that was called after the healing, its disk is lost. What of that add is missing?
std::string LoseDiskAfterHealing(std::uint64_t seed) {
  TallyGroupOptions options = DrawOptions(seed);
  options.datagrams = false;  // these come later than a probe waits
  options.copies = std::max<std::size_t>(options.copies, 2);
  TallyGroup group(options);
  group.RunFor(kRecoveredMs);
  group.Isolate(0);
  std::uint64_t last_id = 0;
  const auto call_for = [&](double for_ms) {
    for (const double end_ms = group.now() + for_ms; group.now() < end_ms;) {
      group.Add(0, {"id-" + std::to_string(++last_id), "t", 1});
      group.RunFor(1 + 60 * group.Unit());
    }
  };
  call_for(500 + 1500 * group.Unit());
  group.Heal();
  group.RunFor(300 * group.Unit());
  const std::size_t call = group.Add(0, {"owed", "owed", 4});
  const double give_up_ms = group.now() + kAddMs;
  while (!group.call(call).outcome && group.now() < give_up_ms) group.RunFor(0.5);
  if (!group.call(call).Is(TallyOutcome::kAdded)) return "";
  group.Wipe(0);
  group.Start(0);
  group.RunFor(kMergeMs);
  const auto total = group.Total(1, "owed");
  return total == 4 ? "" : "reads " + (total ? std::to_string(*total) : "nothing");
}

// Words take long, and right after a machine has acknowledged an add its disk is lost. What of it is missing?
std::string LoseDiskWhereAnswersAreSlow(std::uint64_t seed) {
  TallyGroupOptions options = DrawOptions(seed);
  options.datagrams = false;
  options.copies = std::max<std::size_t>(options.copies, 2);
  options.delay_ms = kReachedMs / 2 + static_cast<double>(seed % 200);  // there and back in less than kAddMs
  TallyGroup group(options);
  group.RunFor(kRecoveredMs + 500 * group.Unit());
  const std::size_t call = group.Add(0, {"owed", "owed", 4});
  const double give_up_ms = group.now() + kAnswerMs;
  while (!group.call(call).outcome && group.now() < give_up_ms) group.RunFor(0.5);
  if (!group.call(call).Is(TallyOutcome::kAdded)) return "not added";
  group.Wipe(0);
  group.Start(0);
  group.RunFor(kMergeMs + kRecoveredMs);
  const auto total = group.Total(1, "owed");
  return total == 4 ? "" : "reads " + (total ? std::to_string(*total) : "nothing");
}

}  // namespace

// Guards against LOST where machines whose answers are slow take each other for cut off.
TEST_CASE("tally histories: where answers are slow an add outlives the loss of its machine's disk too") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    CHECK(LoseDiskWhereAnswersAreSlow(seed) == "");
  }
}

// Guards against LOST of an add that was acknowledged by one disk when the links were whole again.
TEST_CASE("tally histories: an add that is called after a healing outlives the loss of its machine's disk") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    CHECK(LoseDiskAfterHealing(seed) == "");
  }
}

// Guards against LOST, STALE and TWICE of tallies in whatever sequence of trouble.
TEST_CASE("tally histories: totals keep their bounds on days of trouble") { PlayDays(1, 300); }

// The same by hand, for longer: fleet_tests "many days of tally histories"
TEST_CASE("many days of tally histories", "[.]") { PlayDays(10'001, 20'000); }

}  // namespace bitternmux::fleet
