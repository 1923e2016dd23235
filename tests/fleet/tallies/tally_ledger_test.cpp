// The tallies' decider in single sequences: a small group of ledgers, and one ledger between scripted peers.
#include "fleet/tallies/tally_ledger.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <variant>
#include <vector>

#include "fleet/tallies/tally_group.h"

namespace bitternmux::fleet {
namespace {

using test::TallyCall;
using test::TallyGroup;
using test::TallyGroupOptions;

constexpr double kWarmMs = 2000;  // until a new group serves reads
constexpr double kSoonMs = 100;   // what needs no waiting for a cut is answered in this time
constexpr double kMergeMs = 3000;

// A group that serves.
struct Group : TallyGroup {
  explicit Group(const TallyGroupOptions& options = {}) : TallyGroup(options) { RunFor(kWarmMs); }
  // Starts the process again; the disk is as it was.
  void Restart(std::size_t machine) {
    Kill(machine);
    Start(machine);
  }
};

TallyGroupOptions Machines(std::size_t machines, std::size_t copies) {
  TallyGroupOptions options;
  options.machines = machines;
  options.copies = copies;
  return options;
}

// Machines in zones, of which one may be lost.
TallyGroupOptions MachinesInZones(std::vector<std::string> zones, std::size_t copies) {
  TallyGroupOptions options = Machines(zones.size(), copies);
  options.zones_of_copies = 2;
  options.zones = std::move(zones);
  return options;
}

// All machines answer a read with that total.
void CheckTotals(TallyGroup& group, const std::string& tally, std::int64_t total) {
  for (std::size_t machine = 0; machine < group.size(); ++machine) {
    INFO("machine " << machine << ", tally " << tally);
    const auto read = group.Total(machine, tally);
    REQUIRE(read.has_value());
    CHECK(*read == total);
  }
  CHECK(group.violations() == std::vector<std::string>{});
}

// Makes `count` adds of 1 at a machine, few enough at a time that none is refused.
void AddMany(TallyGroup& group, std::size_t machine, std::size_t count) {
  constexpr std::size_t kAtOnce = 500;
  for (std::size_t i = 0; i < count; ++i) {
    group.Add(machine, {"many-" + std::to_string(i), "t", 1});
    if (i % kAtOnce == kAtOnce - 1) group.RunFor(kSoonMs);
  }
  group.RunFor(kSoonMs);
}

}  // namespace

// ---- When an add is answered ----

// Guards against an add that is acknowledged and lost with one disk.
TEST_CASE("tally ledger: an add is answered once as many disks as asked for hold it") {
  TallyGroupOptions options = Machines(5, 3);
  options.sync_ms = 50;
  Group group(options);
  const std::size_t add = group.Add(0, {"id", "t", 4});
  group.RunFor(options.sync_ms - 1);
  CHECK_FALSE(group.call(add).outcome);
  group.RunFor(kSoonMs);
  CHECK(group.call(add).Is(TallyOutcome::kAdded));
  CHECK(group.call(add).disks >= options.copies);
  CheckTotals(group, "t", 4);
}

// Guards against waiting for each machine where enough others hold the add.
TEST_CASE("tally ledger: others make up for a peer whose disk stands still") {
  Group group(Machines(5, 3));
  group.StallDisk(1, 5000);
  group.StallDisk(2, 5000);
  const std::size_t add = group.Add(0, {"id", "t", 4});
  group.RunFor(kSoonMs);
  CHECK(group.call(add).Is(TallyOutcome::kAdded));
  CHECK(group.call(add).disks >= 3);
}

// Guards against an add whose copies all stand in the zone that is lost.
TEST_CASE("tally ledger: an add outlasts the loss of the zone that took it") {
  Group group(MachinesInZones({"a", "a", "b"}, 2));
  group.StallDisk(2, 400);
  const std::size_t add = group.Add(0, {"id", "t", 4});
  for (int step = 0; step < 500 && !group.call(add).outcome; ++step) group.RunFor(1);
  REQUIRE(group.call(add).Is(TallyOutcome::kAdded));
  group.LosePower(2);
  for (const std::size_t machine : group.MachinesIn("a")) group.Wipe(machine);
  for (std::size_t machine = 0; machine < group.size(); ++machine) group.Start(machine);
  group.RunFor(kMergeMs);
  CheckTotals(group, "t", 4);
}

// Guards against an add that waits for more than its copies, in the zones that they have to stand in.
TEST_CASE("tally ledger: copies in enough zones do not wait for further disks") {
  Group group(MachinesInZones({"a", "a", "b", "b", "c"}, 2));
  for (const std::size_t machine : {1, 2, 4}) group.StallDisk(machine, 5000);
  const std::size_t add = group.Add(0, {"id", "t", 4});
  group.RunFor(kSoonMs);
  CHECK(group.call(add).Is(TallyOutcome::kAdded));
  CHECK(group.call(add).disks == 2);
}

// Guards against adds that stop in a zone that is cut off: no other zone can be reached.
TEST_CASE("tally ledger: a zone that is cut off goes on by all the disks that it can reach") {
  Group group(MachinesInZones({"a", "a", "b", "b", "c"}, 2));
  for (const std::size_t machine : group.MachinesIn("a")) {
    for (const std::size_t other : {2, 3, 4}) group.Cut(machine, other);
  }
  group.RunFor(kReachedMs + kSoonMs);
  group.StallDisk(1, 200);
  const std::size_t add = group.Add(0, {"id", "t", 4});
  group.RunFor(kSoonMs);
  CHECK_FALSE(group.call(add).outcome);
  group.RunFor(200);
  CHECK(group.call(add).Is(TallyOutcome::kAdded));
  CHECK(group.call(add).disks == 2);
}

// Guards against machines without a zone in their settings that count as a zone: it may be that of another.
TEST_CASE("tally ledger: a machine whose zone is not known counts as a disk and not as a zone") {
  Group group(MachinesInZones({"a", "", "b"}, 2));
  group.StallDisk(2, 400);
  const std::size_t add = group.Add(0, {"id", "t", 4});
  group.RunFor(kSoonMs);
  CHECK_FALSE(group.call(add).outcome);
  group.RunFor(400);
  CHECK(group.call(add).Is(TallyOutcome::kAdded));
}

// Guards against an add that waits for the own disk although others hold it.
TEST_CASE("tally ledger: others make up for the own disk that stands still") {
  Group group;
  group.StallDisk(0, 5000);
  const std::size_t add = group.Add(0, {"id", "t", 4});
  group.RunFor(kSoonMs);
  CHECK(group.call(add).Is(TallyOutcome::kAdded));
  CHECK(group.call(add).disks == 2);
}

// Guards against taking a disk that stands still for a cut: one disk would hold the add.
TEST_CASE("tally ledger: machines with still disks are reached, and the add is not answered without them") {
  Group group;
  group.StallDisk(1, 5000);
  group.StallDisk(2, 5000);
  const std::size_t add = group.Add(0, {"id", "t", 4});
  group.RunFor(kAddMs + kSoonMs);
  CHECK(group.call(add).Is(TallyOutcome::kUndecided));
  CHECK(group.call(add).Waited() <= kAddMs + kSoonMs);
}

// Guards against adds that stop while zones are apart, and against each of them waiting for the cut.
TEST_CASE("tally ledger: a cut is waited for once, and then the own disk is enough") {
  Group group;
  group.Isolate(0);
  const std::size_t first = group.Add(0, {"first", "t", 1});
  group.RunFor(kReachedMs + kSoonMs);
  CHECK(group.call(first).Is(TallyOutcome::kAdded));
  CHECK(group.call(first).Waited() > kReachedMs / 2);
  const std::size_t second = group.Add(0, {"second", "t", 1});
  group.RunFor(kSoonMs);
  CHECK(group.call(second).Is(TallyOutcome::kAdded));
  CHECK(group.Total(0, "t") == 2);
}

// Guards against an add that is owed, as the links are whole again, and that one disk holds: a machine that
// was cut off would go by what it knew before the healing.
TEST_CASE("tally ledger: an add that is called after a healing does not rest on the own disk alone") {
  constexpr double kStepMs = 7, kUntilMs = 500;
  const double stands_still_ms = GENERATE(0, 40, 200);
  for (double after_ms = 0; after_ms < kUntilMs; after_ms += kStepMs) {
    TallyGroupOptions options = Machines(5, 3);
    options.sync_ms = 0.5;  // sooner done than the others can answer
    options.delay_ms = 3;
    Group group(options);
    group.Isolate(0);
    group.RunFor(1000);
    group.Heal();
    group.RunFor(after_ms);
    const std::size_t add = group.Add(0, {"id", "t", 4});
    group.Freeze(0, stands_still_ms);
    group.RunFor(stands_still_ms + kAddMs);
    INFO("called " << after_ms << " ms after the healing, stood still for " << stands_still_ms << " ms");
    CHECK(group.call(add).Is(TallyOutcome::kAdded));
    CHECK(group.call(add).disks >= options.copies);
  }
}

// Guards against probes that make applications on the side that is cut off wait past what they aim at.
TEST_CASE("tally ledger: apart, each add is answered soon after a probe that nobody answered") {
  constexpr double kMostMs = kProbeMs + 2 * kProbeEveryMs + kProbeReadMs;
  Group group;
  group.Isolate(0);
  group.RunFor(1000);
  std::vector<std::size_t> adds;
  for (int i = 0; i < 100; ++i) {
    adds.push_back(group.Add(0, {"id-" + std::to_string(i), "t", 1}));
    group.RunFor(3);
  }
  group.RunFor(kSoonMs);
  for (const std::size_t add : adds) {
    CHECK(group.call(add).Is(TallyOutcome::kAdded));
    CHECK(group.call(add).Waited() <= kMostMs);
  }
}

// Guards against answers to states that call for answers without an end, more of them with each state.
TEST_CASE("tally ledger: machines whose words take long tell each other their states at a bounded pace") {
  TallyGroupOptions options = Machines(2, 2);
  options.delay_ms = 400;
  Group group(options);
  group.RunFor(10'000);
  const std::size_t before = group.messages();
  constexpr double kForMs = 3000, kMargin = 1.1;
  group.RunFor(kForMs);
  const double states = 2 * 2 * kForMs / kTallyStateMs;  // of two machines, told and sent back
  CHECK(static_cast<double>(group.messages() - before) <= kMargin * 2 * states);  // each with its answer
}

// Guards against a machine that is heard but does not hear: it would be waited for without an end.
TEST_CASE("tally ledger: a cut of one direction is a cut") {
  const bool hears = GENERATE(false, true);
  Group group;
  for (std::size_t peer : {1, 2}) {
    if (hears) {
      group.CutOneWay(0, peer);
    } else {
      group.CutOneWay(peer, 0);
    }
  }
  const std::size_t add = group.Add(0, {"id", "t", 1});
  group.RunFor(kReachedMs + kSoonMs);
  CHECK(group.call(add).Is(TallyOutcome::kAdded));
  group.Heal();
  group.RunFor(1000);
  CheckTotals(group, "t", 1);
}

// Guards against an add that rests on one disk because a new process has not heard of the others yet.
TEST_CASE("tally ledger: right after its start a process does not answer by its own disk alone") {
  Group group;
  group.Kill(0);
  group.StallDisk(1, 5000);
  group.StallDisk(2, 5000);
  group.Start(0);
  const std::size_t connected = group.Add(0, {"connected", "t", 1});
  group.RunFor(kReachedMs + kSoonMs);
  CHECK_FALSE(group.call(connected).outcome);

  Group apart;
  apart.Isolate(0);
  apart.Restart(0);
  apart.RunFor(kFirstReachedMs - kSoonMs);
  const std::size_t add = apart.Add(0, {"id", "t", 1});
  apart.RunFor(kSoonMs - 1);
  CHECK_FALSE(apart.call(add).outcome);
  apart.RunFor(kSoonMs);
  CHECK(apart.call(add).Is(TallyOutcome::kAdded));
}

// Guards against a process that stood still, takes the others for gone and answers by its own disk alone.
TEST_CASE("tally ledger: after it stood still a process does not answer by its own disk alone") {
  TallyGroupOptions options = Machines(5, 3);
  options.sync_ms = 0.5;  // sooner done than the others can answer
  Group group(options);
  group.Freeze(0, 2000);
  const std::size_t add = group.Add(0, {"id", "t", 4});
  group.RunFor(2000 + kSoonMs);
  CHECK(group.call(add).Is(TallyOutcome::kAdded));
  CHECK(group.call(add).disks >= 3);
}

// ---- Ids that come again ----

// Guards against an id that counts twice: while the first waits, later, elsewhere, on both sides of a cut.
TEST_CASE("tally ledger: an id counts once wherever and whenever it comes again") {
  const TallyAdd add{"id", "t", 4};
  Group group;
  std::vector<std::size_t> calls = {group.Add(0, add), group.Add(0, add), group.Add(1, add)};
  group.RunFor(kSoonMs);
  calls.push_back(group.Add(0, add));
  calls.push_back(group.Add(2, add));
  group.RunFor(kSoonMs);
  group.Isolate(0);
  calls.push_back(group.Add(0, add));
  calls.push_back(group.Add(1, add));
  group.RunFor(kReachedMs + kSoonMs);
  for (const std::size_t call : calls) {
    CHECK(group.call(call).Is(TallyOutcome::kAdded));
    CHECK(group.call(call).disks >= 2);
  }
  group.Heal();
  group.RunFor(kMergeMs);
  CheckTotals(group, "t", 4);
}

// Guards against a call that waits past kAddMs, as each repeat of its id begins the wait anew.
TEST_CASE("tally ledger: repeats of an id do not make the first call wait longer") {
  Group group;
  for (std::size_t machine = 0; machine < group.size(); ++machine) group.StallDisk(machine, 5000);
  const std::size_t first = group.Add(0, {"id", "t", 4});
  group.RunFor(kAddMs / 2);
  group.Add(0, {"id", "t", 4});
  group.RunFor(kAddMs / 2 + kSoonMs);
  CHECK(group.call(first).Is(TallyOutcome::kUndecided));
}

// Guards against an id that is new on both sides of a cut and counts twice after the healing.
TEST_CASE("tally ledger: an id that both sides of a cut take counts once") {
  Group group;
  group.Isolate(0);
  group.Add(0, {"id", "t", 4});
  group.Add(1, {"id", "t", 4});
  group.RunFor(1000);
  group.Heal();
  group.RunFor(kMergeMs);
  CheckTotals(group, "t", 4);
}

// Guards against totals that differ for good: each machine sees the two in another order.
TEST_CASE("tally ledger: of an id with two contents the lowest counts, whichever came first") {
  struct Case {
    TallyAdd one, other;
    std::int64_t a, b;  // the totals of tallies a and b
  };
  const Case cases[] = {{{"id", "a", 5}, {"id", "a", 3}, 3, 0},
                        {{"id", "a", -5}, {"id", "a", 3}, -5, 0},
                        {{"id", "a", 9}, {"id", "b", 1}, 9, 0}};
  const bool apart = GENERATE(false, true);
  const bool swapped = GENERATE(false, true);
  for (const Case& drawn : cases) {
    Group group;
    if (apart) group.Isolate(0);
    group.Add(0, swapped ? drawn.other : drawn.one);
    if (!apart) group.RunFor(kSoonMs);
    group.Add(1, swapped ? drawn.one : drawn.other);
    group.RunFor(1000);
    group.Heal();
    group.RunFor(kMergeMs);
    CheckTotals(group, "a", drawn.a);
    CheckTotals(group, "b", drawn.b);
  }
}

// Guards against a process whose totals differ from the others' after it has read its disk.
TEST_CASE("tally ledger: of an id with two contents the lowest counts after a restart too") {
  Group group;
  group.Add(0, {"id", "a", 5});
  group.RunFor(kSoonMs);
  group.Add(0, {"id", "a", 3});
  group.Add(0, {"id", "a", 7});
  group.RunFor(kSoonMs);
  group.Restart(0);
  group.RunFor(kWarmMs);
  CheckTotals(group, "a", 3);
}

// Guards against sums without a sign.
TEST_CASE("tally ledger: amounts may be negative, and a new name reads 0") {
  Group group;
  group.Add(0, {"one", "t", -7});
  group.Add(1, {"two", "t", 3});
  group.Add(2, {"none", "t", 0});
  group.RunFor(kSoonMs);
  CheckTotals(group, "t", -4);
  CheckTotals(group, "unknown", 0);
}

// ---- Processes that end, disks that are lost ----

// Guards against one number for two adds: what the disk lost with the power is held by others under it.
TEST_CASE("tally ledger: a process that lost its tail with the power numbers nothing twice") {
  Group group;
  group.Add(0, {"early", "t", 1});
  group.RunFor(kSoonMs);
  group.StallDisk(0, 5000);
  const std::size_t tail = group.Add(0, {"tail", "t", 10});
  group.RunFor(kSoonMs);
  REQUIRE(group.call(tail).Is(TallyOutcome::kAdded));
  group.LosePower(0);
  group.RunFor(kSoonMs);
  group.Start(0);
  group.Add(0, {"after", "t", 100});
  group.RunFor(kMergeMs + 5000);
  CheckTotals(group, "t", 111);
}

// Guards against a total without the adds that only the others kept.
TEST_CASE("tally ledger: a machine that lost its disk refuses reads until it has caught up") {
  TallyGroupOptions options;
  options.link_mbps = 10;
  Group group(options);
  AddMany(group, 0, 2000);
  group.RunFor(1000);
  group.Wipe(0);
  group.Start(0);
  bool refused = false, served = false;
  for (int i = 0; i < 200; ++i) {
    const auto total = group.Total(0, "t");
    refused |= !total;
    served |= total.has_value();
    if (total) CHECK(*total == 2000);
    group.RunFor(10);
  }
  CHECK(refused);
  CHECK(served);
}

// Guards against a total without the adds that this very machine acknowledged before its disk was lost.
TEST_CASE("tally ledger: a machine that lost its disk and is alone answers no read") {
  Group group;
  group.Isolate(0);
  group.Wipe(0);
  group.Start(0);
  for (int i = 0; i < 100; ++i) {
    CHECK_FALSE(group.Total(0, "t"));
    group.RunFor(kCatchUpFromNothingMs / 50);
  }
  group.Heal();
  group.RunFor(1000);
  CHECK(group.Total(0, "t") == 0);
}

// Guards against a disk that is trusted as it holds something: the process that filled it ended halfway.
TEST_CASE("tally ledger: a machine that was killed before it had caught up is not trusted in its next life") {
  TallyGroupOptions options;
  options.link_mbps = 3;  // a piece takes some 170 ms
  Group group(options);
  constexpr std::int64_t kAdds = 4000;
  for (std::int64_t i = 0; i < kAdds; ++i) {
    group.Add(0, {"id-" + std::to_string(i), "t", 1});
    group.RunFor(1);
  }
  group.RunFor(kMergeMs);
  CheckTotals(group, "t", kAdds);
  group.Wipe(0);
  group.Start(0);
  while (group.ledger(0).adds() == 0) group.RunFor(10);
  group.RunFor(50);  // for its disk
  REQUIRE_FALSE(group.ledger(0).settled());
  group.Isolate(0);
  group.Restart(0);
  REQUIRE(group.ledger(0).adds() > 0);
  for (int i = 0; i < 100; ++i) {
    CHECK_FALSE(group.Total(0, "t"));
    group.RunFor(kCatchUpFromNothingMs / 50);
  }
  group.Heal();
  group.RunFor(kMergeMs);
  CHECK(group.Total(0, "t") == kAdds);
}

// Guards against a mark that is on disk before the adds which it speaks for, or never.
TEST_CASE("tally ledger: a disk that was lost is trusted again once all that was caught up with is on it") {
  Group group;
  AddMany(group, 0, 500);
  group.Wipe(0);
  group.StallDisk(0, 3000);
  group.Start(0);
  group.RunFor(2000);
  REQUIRE(group.Total(0, "t") == 500);
  CHECK_FALSE(group.caught_up_on_disk(0));
  group.LosePower(0);
  group.RunFor(2000);
  group.Start(0);
  group.RunFor(1000);
  REQUIRE(group.Total(0, "t") == 500);
  CHECK(group.caught_up_on_disk(0));
  group.LosePower(0);
  group.Isolate(0);
  group.Start(0);
  group.RunFor(kCatchUpMs + kSoonMs);
  CHECK(group.Total(0, "t") == 500);
}

// Guards against a total that lacks what only a machine has that is not heard yet.
TEST_CASE("tally ledger: a machine that lost its disk waits longer for those that are silent") {
  Group group;
  group.Kill(2);
  group.Wipe(0);
  group.Start(0);
  group.RunFor(kCatchUpFromNothingMs - kSoonMs);
  CHECK_FALSE(group.Total(0, "t"));
  group.RunFor(2 * kSoonMs);
  CHECK(group.Total(0, "t") == 0);
}

// Guards against a wait for the full time where all are heard before.
TEST_CASE("tally ledger: a machine that lost its disk serves once the last silent one is heard") {
  Group group;
  group.Add(2, {"id", "t", 4});
  group.RunFor(kSoonMs);
  group.Kill(2);
  group.Wipe(0);
  group.Start(0);
  group.RunFor(4000);
  CHECK_FALSE(group.Total(0, "t"));
  group.Start(2);
  group.RunFor(1000);
  CHECK(group.Total(0, "t") == 4);
}

// Guards against a machine behind a cut that refuses reads for good after its restart.
TEST_CASE("tally ledger: a machine that is alone after its restart serves reads by its disk") {
  Group group;
  group.Isolate(0);
  group.Add(0, {"id", "t", 4});
  group.RunFor(1000);
  group.Restart(0);
  group.RunFor(kCatchUpMs / 2);
  CHECK_FALSE(group.Total(0, "t"));
  group.RunFor(kCatchUpMs / 2 + kSoonMs);
  CHECK(group.Total(0, "t") == 4);
}

// Guards against a new process that answers a read without an add of its predecessor that others hold.
TEST_CASE("tally ledger: a process that starts again reads at least what its predecessor acknowledged") {
  Group group;
  group.StallDisk(0, 1000);
  const std::size_t add = group.Add(0, {"id", "t", 4});
  group.RunFor(kSoonMs);
  REQUIRE(group.call(add).Is(TallyOutcome::kAdded));
  group.LosePower(0);
  group.Start(0);
  for (int i = 0; i < 100; ++i) {
    const auto total = group.Total(0, "t");
    if (total) CHECK(*total == 4);
    group.RunFor(10);
  }
  CHECK(group.Total(0, "t") == 4);
}

// ---- Refusals ----

// Guards against a refused add that counts: 503 promises that nothing was done.
TEST_CASE("tally ledger: an add beyond the calls that may wait is refused and leaves nothing behind") {
  Group group;
  for (std::size_t machine = 0; machine < group.size(); ++machine) group.StallDisk(machine, 500);
  std::vector<std::size_t> calls;
  for (std::size_t i = 0; i < kMaxTallyCalls + 10; ++i) {
    calls.push_back(group.Add(0, {"id-" + std::to_string(i), "t", 1}));
  }
  group.RunFor(kMergeMs);
  std::int64_t added = 0;
  for (const std::size_t call : calls) {
    REQUIRE(group.call(call).outcome);
    const bool refused = group.call(call).Is(TallyOutcome::kUnavailable);
    if (!refused) CHECK(group.call(call).Is(TallyOutcome::kAdded));
    added += refused ? 0 : 1;
  }
  CHECK(added == kMaxTallyCalls);
  CheckTotals(group, "t", added);
}

// Guards against a ledger that grows without bound.
TEST_CASE("tally ledger: a full ledger refuses a new id and writes nothing") {
  TallyAdds log{5, 1, {}};
  for (std::size_t i = 0; i < kMaxAdds; ++i) log.adds.push_back({"id-" + std::to_string(i), "t", 1});
  TallyLedger::Options options;
  options.origin = 7;
  options.copies = 1;
  TallyLedger ledger(options, {log}, 0);
  ledger.Tick(kCatchUpMs + 1);
  ledger.TakeOutput();
  ledger.Add(kCatchUpMs + 2, 1, {"new", "t", 1});
  const TallyOutput output = ledger.TakeOutput();
  REQUIRE(output.answers.size() == 1);
  CHECK(output.answers[0].outcome == TallyOutcome::kFull);
  CHECK(output.writes.empty());
  CHECK(ledger.adds() == kMaxAdds);
}

// Guards against an add that counts twice because its first call ended without a decision.
TEST_CASE("tally ledger: an undecided add and its later repeat count once") {
  Group group;
  for (std::size_t machine = 0; machine < group.size(); ++machine) group.StallDisk(machine, 2000);
  const std::size_t first = group.Add(0, {"id", "t", 4});
  group.RunFor(1000);
  CHECK(group.call(first).Is(TallyOutcome::kUndecided));
  const std::size_t repeat = group.Add(1, {"id", "t", 4});
  group.RunFor(kMergeMs);
  CHECK(group.call(repeat).outcome);
  const std::size_t last = group.Add(1, {"id", "t", 4});
  group.RunFor(kSoonMs);
  CHECK(group.call(last).Is(TallyOutcome::kAdded));
  CHECK(group.call(last).disks >= 2);
  CheckTotals(group, "t", 4);
}

// ---- Repair ----

// Guards against adds that are told by their own machine alone.
TEST_CASE("tally ledger: adds of a dead machine that one other holds reach all") {
  Group group(Machines(5, 2));
  for (std::size_t peer : {2, 3, 4}) group.Cut(0, peer);
  const std::size_t add = group.Add(0, {"id", "t", 4});
  group.RunFor(kSoonMs);
  REQUIRE(group.call(add).Is(TallyOutcome::kAdded));
  group.Kill(0);
  group.Wipe(0);
  group.Heal();
  group.RunFor(1000);
  for (std::size_t peer : {2, 3, 4}) CHECK(group.Total(peer, "t") == 4);
}

// Guards against two zones that never learn of each other's adds although a third reaches both.
TEST_CASE("tally ledger: what two zones that are cut from each other take passes through a third") {
  Group group;
  group.Cut(0, 1);
  group.Add(0, {"one", "t", 4});
  group.Add(1, {"other", "t", 5});
  group.RunFor(1000);
  CheckTotals(group, "t", 9);
}

// Guards against pieces that fill a link, and against a healing that takes longer than merge_ms.
TEST_CASE("tally ledger: a backlog of 5,000 adds is caught up in bounded pieces over a narrow link") {
  constexpr std::size_t kFrameBytes = 1024;  // around the adds
  TallyGroupOptions options;
  options.link_mbps = 10;
  Group group(options);
  group.Isolate(0);
  group.RunFor(1000);
  AddMany(group, 1, 5000);
  group.RunFor(1000);
  REQUIRE(group.Total(0, "t") == 0);
  group.Heal();
  group.RunFor(kMergeMs);
  CheckTotals(group, "t", 5000);
  CHECK(group.largest_piece_bytes() <= kMostPieceBytes + kFrameBytes);
}

// Guards against ledgers that rest on links which deliver once and in order.
TEST_CASE("tally ledger: messages that come twice or in another order change nothing") {
  TallyGroupOptions options = Machines(4, 2);
  options.datagrams = true;
  Group group(options);
  std::int64_t sum = 0;
  for (std::int64_t i = 0; i < 300; ++i) {
    group.Add(group.Below(group.size()), {"id-" + std::to_string(i), "t", i});
    group.RunFor(5);
    sum += i;
  }
  group.RunFor(kMergeMs);
  CheckTotals(group, "t", sum);
  for (const TallyCall& call : group.calls()) CHECK(call.outcome);
}

// ---- One ledger, peers by hand ----

namespace {

const std::string kPeer = "10.0.0.2:7000", kOtherPeer = "10.0.0.3:7000";
constexpr std::uint64_t kOwnOrigin = 7, kEarlierOrigin = 6, kPeerOrigin = 9, kOtherOrigin = 11;

// A ledger among peers whose words the test writes; its disk is done at once.
struct Scripted {
  TallyLedger ledger{Options(), {}, 0};
  double now_ms = 0;
  std::uint64_t round = 0;  // of the ledger's last state
  std::vector<TallyAnswer> answers;
  std::vector<std::string> asked;  // for what the ledger lacks

  static TallyLedger::Options Options() {
    TallyLedger::Options options;
    options.origin = kOwnOrigin;
    return options;
  }
  // `step` writes what the peers say, if anything.
  template <class Step>
  void RunFor(double ms, Step step) {
    constexpr double kStepMs = 10;
    for (const double end_ms = now_ms + ms; now_ms < end_ms; now_ms += kStepMs) {
      step();
      ledger.Tick(now_ms);
      Take();
    }
  }
  void Take() {
    for (TallyOutput output = ledger.TakeOutput();; output = ledger.TakeOutput()) {
      for (const auto& [to, message] : output.sends) {
        if (const auto* state = std::get_if<TallyState>(&message)) round = state->round;
        if (std::holds_alternative<TallyFetch>(message)) asked.push_back(to);
      }
      answers.insert(answers.end(), output.answers.begin(), output.answers.end());
      if (output.writes.empty()) return;
      ledger.Stored(now_ms, output.writes.back().ticket);
    }
  }
  void Tell(const std::string& from, std::uint64_t origin, const std::vector<TallyExtent>& held) {
    TallyState state;
    state.origin = origin;
    state.round = static_cast<std::uint64_t>(now_ms) + 1;
    state.held = held;
    state.settled = true;
    ledger.Receive(now_ms, from, state);
  }
};

}  // namespace

// Guards the script of the cases below: a peer that answers is waited for, and its word on its disk counts.
TEST_CASE("tally ledger: a peer that answers is waited for until it has stored the add") {
  Scripted scripted;
  scripted.ledger.SetPeers(0, {kPeer});
  const auto answer = [&] {
    scripted.ledger.Receive(scripted.now_ms, kPeer, TallyStored{kOwnOrigin, scripted.round, 0});
  };
  scripted.RunFor(2000, answer);
  scripted.ledger.Add(scripted.now_ms, 1, {"id", "t", 4});
  scripted.RunFor(kAddMs / 2, answer);
  CHECK(scripted.answers.empty());
  scripted.ledger.Receive(scripted.now_ms, kPeer, TallyStored{kOwnOrigin, 0, 1});
  scripted.Take();
  REQUIRE(scripted.answers.size() == 1);
  CHECK(scripted.answers[0].outcome == TallyOutcome::kAdded);
}

// Guards against a peer that counts as reached by what it heard of an earlier life, or long ago, or never.
TEST_CASE("tally ledger: answers to an earlier life, an old round or no round are no reaching") {
  const TallyStored old = GENERATE(TallyStored{kEarlierOrigin, 1, 0}, TallyStored{kOwnOrigin, 1, 0},
                                   TallyStored{kOwnOrigin, 0, 0}, TallyStored{kOwnOrigin, 1'000'000, 0});
  Scripted scripted;
  scripted.ledger.SetPeers(0, {kPeer});
  const auto answer = [&] { scripted.ledger.Receive(scripted.now_ms, kPeer, old); };
  scripted.RunFor(2000, answer);
  scripted.ledger.Add(scripted.now_ms, 1, {"id", "t", 4});
  scripted.RunFor(kSoonMs, answer);
  REQUIRE(scripted.answers.size() == 1);  // the own disk is enough, as for a machine that is alone
  CHECK(scripted.answers[0].outcome == TallyOutcome::kAdded);
}

// Guards against an add that is answered by a word about the log of an earlier life.
TEST_CASE("tally ledger: what is stored of an earlier life's log counts for no add of this one") {
  Scripted scripted;
  scripted.ledger.SetPeers(0, {kPeer});
  const auto answer = [&] {
    scripted.ledger.Receive(scripted.now_ms, kPeer, TallyStored{kOwnOrigin, scripted.round, 0});
    scripted.ledger.Receive(scripted.now_ms, kPeer, TallyStored{kEarlierOrigin, scripted.round, 1000});
  };
  scripted.RunFor(2000, answer);
  scripted.ledger.Add(scripted.now_ms, 1, {"id", "t", 4});
  scripted.RunFor(kAddMs / 2, answer);
  CHECK(scripted.answers.empty());
}

// Guards against a repair that turns to a silent machine again and again while another holds the same.
TEST_CASE("tally ledger: what a silent machine was to send is asked of another") {
  Scripted scripted;
  scripted.ledger.SetPeers(0, {kPeer, kOtherPeer});
  const std::vector<TallyExtent> held = {{kPeerOrigin, 5}};
  const bool first_is_silent = GENERATE(false, true);
  const std::string& silent = first_is_silent ? kPeer : kOtherPeer;
  const std::string& heard = first_is_silent ? kOtherPeer : kPeer;
  for (int i = 0; i < 3; ++i) {
    scripted.Tell(silent, kPeerOrigin, held);
    scripted.RunFor(10, [] {});
  }
  scripted.RunFor(4 * kFetchMs, [&] {
    scripted.Tell(heard, kOtherOrigin, held);
    scripted.ledger.Receive(scripted.now_ms, heard, TallyStored{kOwnOrigin, scripted.round, 0});
  });
  CHECK(std::ranges::count(scripted.asked, heard) > 0);
}

}  // namespace bitternmux::fleet
