// The replica group in simulated time: histories of orders and faults, checked after the run.
#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "fleet/replication/simulation.h"

namespace bitternmux::fleet::test {
namespace {

// Everything is well again for `ms`; then what must hold at the end of any history.
void CheckEnd(Simulation& simulation, double ms = 8000) {
  simulation.HealLinks();
  for (std::size_t i = 0; i < simulation.size(); ++i) simulation.Start(i);
  simulation.RunFor(ms);
  CHECK(simulation.violations().empty());
  for (const std::string& violation : simulation.violations()) INFO(violation);
  const auto owner = simulation.Owner();
  REQUIRE(owner);
  const ShardValue& last = simulation.replica(*owner)->committed().value;
  for (const OrderRecord& record : simulation.records()) {
    if (record.evacuation) continue;
    const bool in_force =
        std::ranges::find(last.history, TakenOrder{record.version, record.digest}) != last.history.end();
    INFO("version " << record.version << " digest " << record.digest);
    if (record.acknowledged) CHECK(in_force);
    if (record.acknowledged) CHECK(last.version >= record.version);
    if (record.outcome && *record.outcome != OrderOutcome::kTaken) CHECK_FALSE(in_force);
  }
}

using Zones = std::vector<std::string>;

Zones Evacuated(const Simulation& simulation, std::size_t machine) {
  return simulation.replica(machine)->committed().value.evacuated;
}

// Orders that build on each other, as far as they are acknowledged.
class Operator {
 public:
  explicit Operator(Simulation& simulation) : simulation_(simulation) {}
  void Next() {
    const auto& records = simulation_.records();
    if (!records.empty() && !records.back().outcome) return;
    if (!records.empty() && records.back().acknowledged) current_ = records.back().version;
    version_ += 1 + simulation_.Below(3);
    simulation_.Send(version_, current_, 1000 + version_);
  }

 private:
  Simulation& simulation_;
  std::uint64_t version_ = 0, current_ = 0;
};

}  // namespace

TEST_CASE("replica: a fleet that starts takes a configuration within a second and all members learn it") {
  for (const std::size_t machines : {3U, 5U}) {
    Simulation simulation({7, machines, machines / 2, 5, 0});
    simulation.RunFor(800);
    simulation.Send(4, 0, 44);
    simulation.RunFor(400);
    REQUIRE(simulation.records()[0].acknowledged);
    simulation.RunFor(3000);
    for (std::size_t i = 0; i < machines; ++i) CHECK(simulation.replica(i)->committed().value.version == 4);
    const auto owner = simulation.Owner();
    REQUIRE(owner);
    CHECK(simulation.replica(*owner)->committed().value.members.size() == machines);
    CheckEnd(simulation);
  }
}

TEST_CASE("replica: the first in the agreed order acts") {
  Simulation simulation({3, 3, 1, 5, 0});
  simulation.RunFor(1500);
  const auto owner = simulation.Owner();
  REQUIRE(owner);
  for (std::size_t i = 0; i < simulation.size(); ++i) {
    CHECK(simulation.member(*owner).internal <= simulation.member(i).internal);
  }
}

TEST_CASE("replica: the same order again is acknowledged, also after others and at another owner") {
  Simulation simulation({11, 3, 1, 5, 0});
  simulation.RunFor(1000);
  simulation.Send(2, 0, 20);
  simulation.RunFor(500);
  simulation.Send(5, 2, 50);
  simulation.RunFor(500);
  simulation.SendAgain(0);
  simulation.RunFor(500);
  simulation.Crash(*simulation.Owner());
  simulation.RunFor(3000);
  simulation.SendAgain(0);
  simulation.SendAgain(1);
  simulation.RunFor(1000);
  CHECK(simulation.records()[0].outcome == OrderOutcome::kTaken);
  CheckEnd(simulation);
}

TEST_CASE("replica: of two changes on the same version one wins, an old one is refused") {
  Simulation simulation({12, 3, 1, 5, 0});
  simulation.RunFor(1000);
  simulation.Send(3, 0, 30);
  simulation.RunFor(500);
  simulation.Send(6, 3, 60);
  simulation.Send(6, 3, 61);
  simulation.RunFor(1000);
  const auto& records = simulation.records();
  CHECK(records[1].acknowledged != records[2].acknowledged);
  simulation.Send(5, 6, 50);
  simulation.RunFor(500);
  CHECK(records[3].outcome == OrderOutcome::kOld);
  CheckEnd(simulation);
}

TEST_CASE("replica: an evacuation is taken, the same again too, and taken back") {
  Simulation simulation({21, 3, 1, 5, 0});
  simulation.RunFor(1000);
  simulation.SendEvacuation("maia", true);
  simulation.SendEvacuation("braga", true);
  simulation.RunFor(500);
  simulation.SendAgain(0);
  simulation.RunFor(1000);
  for (std::size_t i = 0; i < 3; ++i) CHECK(Evacuated(simulation, i) == Zones{"braga", "maia"});
  const std::uint64_t changes = simulation.replica(0)->committed().position.sequence;
  simulation.SendAgain(1);
  simulation.RunFor(1000);
  CHECK(simulation.replica(0)->committed().position.sequence == changes);  // it changed nothing
  simulation.SendEvacuation("maia", false);
  simulation.SendEvacuation("never-evacuated", false);
  simulation.RunFor(1000);
  for (std::size_t i = 0; i < 3; ++i) CHECK(Evacuated(simulation, i) == Zones{"braga"});
  for (const OrderRecord& record : simulation.records()) CHECK(record.outcome == OrderOutcome::kTaken);
  CheckEnd(simulation);
}

TEST_CASE("replica: an acknowledged evacuation outlasts its owner, and a kill of all") {
  Simulation simulation({22, 3, 1, 5, 0});
  simulation.RunFor(1000);
  simulation.SendEvacuation("maia", true);
  while (!simulation.records()[0].acknowledged) simulation.RunFor(1);
  SECTION("the owner is killed at that moment") { simulation.Crash(*simulation.Owner()); }
  SECTION("the owner is cut off at that moment") { simulation.Isolate(*simulation.Owner(), true); }
  SECTION("all are killed at that moment") {
    for (std::size_t i = 0; i < 3; ++i) simulation.Crash(i);
    for (std::size_t i = 0; i < 3; ++i) simulation.Start(i);
  }
  simulation.RunFor(3000);
  const auto owner = simulation.Owner();
  REQUIRE(owner);
  CHECK(Evacuated(simulation, *owner) == Zones{"maia"});
  simulation.SendEvacuation("maia", false);
  simulation.RunFor(1000);
  CHECK(simulation.records()[1].acknowledged);
  CheckEnd(simulation);
  CHECK(Evacuated(simulation, *simulation.Owner()).empty());
}

TEST_CASE("replica: evacuations and configurations that come at once are all taken, none is a conflict") {
  Simulation simulation({23, 3, 1, 5, 0});
  simulation.RunFor(1000);
  simulation.Send(3, 0, 30);
  simulation.SendEvacuation("maia", true);
  simulation.SendEvacuation("braga", true);
  simulation.SendEvacuation("maia", true);
  simulation.RunFor(1000);
  for (const OrderRecord& record : simulation.records()) CHECK(record.outcome == OrderOutcome::kTaken);
  const ShardValue& value = simulation.replica(*simulation.Owner())->committed().value;
  CHECK(value.version == 3);
  CHECK(value.evacuated == Zones{"braga", "maia"});
  CheckEnd(simulation);
}

TEST_CASE("replica: an owner without a majority acknowledges no evacuation, nor that one was taken before") {
  Simulation simulation({24, 3, 1, 5, 0});
  simulation.RunFor(1000);
  simulation.SendEvacuation("maia", true);
  simulation.RunFor(500);
  REQUIRE(simulation.records()[0].acknowledged);
  for (std::size_t i = 0; i < 3; ++i) simulation.Isolate(i, true);
  simulation.SendEvacuation("maia", true);
  simulation.SendEvacuation("braga", true);
  simulation.RunFor(3000);
  CHECK_FALSE(simulation.records()[1].acknowledged);
  CHECK_FALSE(simulation.records()[2].acknowledged);
  CheckEnd(simulation);
}

TEST_CASE("replica: a new owner within two seconds of the old one's end, cut or freeze") {
  Simulation simulation({13, 3, 1, 5, 0});
  simulation.RunFor(1000);
  simulation.Send(1, 0, 10);
  simulation.RunFor(300);
  SECTION("killed") { simulation.Crash(*simulation.Owner()); }
  SECTION("cut off") { simulation.Isolate(*simulation.Owner(), true); }
  SECTION("heard by nobody") {
    const std::size_t owner = *simulation.Owner();
    for (std::size_t i = 0; i < 3; ++i) {
      if (i != owner) simulation.Cut(owner, i, true);
    }
  }
  SECTION("hears nobody") {
    const std::size_t owner = *simulation.Owner();
    for (std::size_t i = 0; i < 3; ++i) {
      if (i != owner) simulation.Cut(i, owner, true);
    }
  }
  simulation.RunFor(2000);
  simulation.Send(2, 1, 20);
  simulation.RunFor(1000);
  CHECK(simulation.records()[1].acknowledged);
  CheckEnd(simulation);
}

TEST_CASE("replica: an owner whose disk stalls still commits by the others' disks") {
  Simulation simulation({14, 3, 1, 5, 0});
  simulation.RunFor(1000);
  simulation.Stall(*simulation.Owner(), 4000);
  simulation.Send(1, 0, 10);
  simulation.RunFor(500);
  CHECK(simulation.records()[0].acknowledged);
  CheckEnd(simulation);
}

TEST_CASE("replica: a wiped one does not count before the group has taken it in") {
  Simulation simulation({15, 3, 1, 5, 0});
  simulation.RunFor(1000);
  simulation.Send(1, 0, 10);
  simulation.RunFor(200);
  const std::size_t owner = *simulation.Owner();
  const std::size_t wiped = (owner + 1) % 3, other = (owner + 2) % 3;
  simulation.Crash(wiped);
  simulation.Crash(other);
  simulation.Wipe(wiped);
  simulation.Start(wiped);
  simulation.RunFor(3000);
  // Alone with the owner it must not form a majority: the one that is down may know more.
  CHECK(simulation.replica(wiped)->role() != Replica::Role::kOwner);
  CHECK(simulation.replica(wiped)->epoch() <= simulation.replica(owner)->epoch());
  CHECK_FALSE(simulation.Owner());
  simulation.Start(other);
  simulation.RunFor(3000);
  const auto now_owner = simulation.Owner();
  REQUIRE(now_owner);
  const auto& members = simulation.replica(*now_owner)->committed().value.members;
  CHECK(std::ranges::find(members, simulation.replica(wiped)->self()) != members.end());
  CheckEnd(simulation);
}

TEST_CASE("replica: a machine that is gone is replaced by an empty one at another address") {
  for (const std::size_t machines : {3U, 5U}) {
    Simulation simulation({16, machines, machines / 2, 5, 0});
    simulation.RunFor(3000);
    simulation.Send(1, 0, 10);
    simulation.RunFor(500);
    simulation.Replace(0, 1000);
    simulation.RunFor(6000);
    const auto owner = simulation.Owner();
    REQUIRE(owner);
    const auto& members = simulation.replica(*owner)->committed().value.members;
    CHECK(members.size() == machines);
    std::set<std::string> addresses;
    for (const Member& member : members) addresses.insert(member.internal);
    CHECK(addresses.size() == members.size());
    const auto named = [&](std::size_t i) {
      return std::ranges::count(members, simulation.member(i).internal, &Member::internal) == 1;
    };
    CHECK(named(machines));
    CHECK_FALSE(named(0));
    // It now bears the loss of another one of the first.
    simulation.Crash(1);
    simulation.RunFor(2500);
    simulation.Send(2, 1, 20);
    simulation.RunFor(1500);
    CHECK(simulation.records()[1].acknowledged);
    CheckEnd(simulation);
  }
}

// Guards against a machine that is gone and waited for, told of and written to for ever: as a seed by those
// that were there, and by its successor, which was told of the group when it was in it.
TEST_CASE("replica: a member that was replaced belongs to nobody's group any more") {
  for (const std::size_t gone : {0U, 2U, 4U}) {
    Simulation simulation({21, 5, 2, 5, 0});
    simulation.RunFor(3000);
    simulation.Replace(gone, 500);
    simulation.RunFor(6000);
    for (std::size_t i = 0; i < simulation.size(); ++i) {
      if (!simulation.up(i)) continue;
      INFO("machine " << gone << " is gone, machine " << i << " tells");
      const std::vector<Member> group = simulation.replica(i)->Group();
      CHECK(group.size() == 4);
      CHECK(std::ranges::count(group, simulation.member(gone).internal, &Member::internal) == 0);
    }
    CheckEnd(simulation);
  }
}

// The successor may fail within the change: had a live member been exchanged, the new group would lack two.
TEST_CASE("replica: one that is gone is replaced before one that answers and is to stop") {
  for (const std::uint64_t seed : {17U, 18U, 19U, 20U}) {
    Simulation simulation({seed, 3, 1, 5, 0});
    simulation.RunFor(3000);
    simulation.Send(1, 0, 10);
    simulation.RunFor(500);
    constexpr std::size_t kGone = 0, kLeaver = 2, kSuccessor = 3;
    simulation.Replace(kGone, 200);
    simulation.Leave(kLeaver);
    const auto is_named = [&](const std::vector<Member>& members, std::size_t i) {
      return std::ranges::count(members, simulation.member(i).internal, &Member::internal) == 1;
    };
    std::optional<std::size_t> owner;
    const auto changed = [&] {
      owner = simulation.Owner();
      return owner && simulation.size() > kSuccessor &&
             is_named(simulation.replica(*owner)->committed().value.members, kSuccessor);
    };
    for (int step = 0; step < 400 && !changed(); ++step) simulation.RunFor(20);
    REQUIRE(changed());
    const auto& members = simulation.replica(*owner)->committed().value.members;
    CHECK_FALSE(is_named(members, kGone));
    CHECK(is_named(members, kLeaver));
    CheckEnd(simulation);
  }
}

TEST_CASE("replica: nothing acknowledged is lost when all lose power and one its disk") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    const bool five = seed % 2 == 0;
    const std::size_t machines = five ? 5 : 3, tolerated = five ? 2 : 1;
    Simulation simulation({seed, machines, tolerated, 5, 0.01});
    Operator orders(simulation);
    simulation.RunFor(4000);
    for (int i = 0; i < 8; ++i) {
      orders.Next();
      simulation.RunFor(30 + 120 * simulation.Unit());
    }
    for (std::size_t i = 0; i < machines; ++i) simulation.Crash(i);
    for (std::size_t i = 0; i < tolerated; ++i) simulation.Wipe((seed + i) % machines);
    simulation.RunFor(1000);
    INFO("seed " << seed);
    CheckEnd(simulation, 12000);
  }
}

TEST_CASE("replica: histories of random faults within what is tolerated") {
  for (std::uint64_t seed = 100; seed < 220; ++seed) {
    const bool five = seed % 3 == 0;
    const std::size_t machines = five ? 5 : 3, tolerated = five ? 2 : 1;
    Simulation simulation({seed, machines, tolerated, seed % 2 == 0 ? 5.0 : 0.5, 0.01});
    Operator orders(simulation);
    simulation.RunFor(3500);
    for (int step = 0; step < 8; ++step) {
      const std::size_t hit = simulation.Below(machines);
      const std::size_t kind = simulation.Below(6);
      if (kind == 0) simulation.Crash(hit);
      if (kind == 1) simulation.Isolate(hit, true);
      if (kind == 2) simulation.Cut(hit, (hit + 1) % machines, true);
      if (kind == 3) simulation.Stall(hit, 3500);
      if (kind == 4) {
        simulation.Crash(hit);
        simulation.Wipe(hit);
      }
      if (kind == 5) {
        for (std::size_t i = 0; i < machines; ++i) simulation.Crash(i);
      }
      for (int i = 0; i < 5; ++i) {
        orders.Next();
        simulation.RunFor(100 + 500 * simulation.Unit());
      }
      simulation.HealLinks();
      for (std::size_t i = 0; i < machines; ++i) simulation.Start(i);
      simulation.RunFor(5500);
    }
    INFO("seed " << seed);
    CheckEnd(simulation);
  }
}

TEST_CASE("replica: orders are decided while one machine after another fails") {
  std::size_t acknowledged = 0, sent = 0;
  for (std::uint64_t seed = 300; seed < 310; ++seed) {
    Simulation simulation({seed, 3, 1, 5, 0});
    Operator orders(simulation);
    simulation.RunFor(1500);
    for (std::size_t i = 0; i < 3; ++i) {
      simulation.Crash(i);
      simulation.RunFor(2500);
      orders.Next();
      simulation.RunFor(1500);
      simulation.Start(i);
      simulation.RunFor(4000);
    }
    for (const OrderRecord& record : simulation.records()) {
      ++sent;
      acknowledged += record.acknowledged ? 1 : 0;
    }
    CheckEnd(simulation);
  }
  CHECK(sent == 30);
  CHECK(acknowledged == sent);
}

TEST_CASE("replica: seeds that know nobody but each other are told of the group, and tell each other") {
  const Member member{"10.0.0.1:7000", "10.0.0.1:8000", 0}, seed{"10.0.0.2:7000", "10.0.0.2:8000", 0},
      other{"10.0.0.3:7000", "10.0.0.3:8000", 0};
  Replica owner({member, {member}, true, 1, 1, 5001}, std::nullopt, 0);
  owner.Saved(1, owner.TakeOutput().save->first);
  for (double now_ms = 0; now_ms < 2000; now_ms += 50) {
    owner.Tick(now_ms);
    const ReplicaOutput output = owner.TakeOutput();
    if (output.save) owner.Saved(now_ms + 1, output.save->first);
  }
  REQUIRE(owner.role() == Replica::Role::kOwner);
  owner.SetSeeds({seed, other});
  owner.Tick(4000);
  Replica first({seed, {seed, other}, false, 1, 2, 5002}, std::nullopt, 0);
  Replica second({other, {seed, other}, false, 1, 3, 5003}, std::nullopt, 0);
  for (const auto& [to, message] : owner.TakeOutput().sends) {
    if (to == seed.internal && std::holds_alternative<JoinReply>(message))
      first.Receive(4001, member.internal, message);
  }
  const auto knows = [&](const Replica& replica) {
    const auto peers = replica.Peers();
    return std::ranges::count(peers, member.internal, &Member::internal) == 1;
  };
  CHECK(knows(first));
  first.TakeOutput();
  first.Receive(4002, other.internal, JoinRequest{other, 3});
  for (const auto& [to, message] : first.TakeOutput().sends) second.Receive(4003, seed.internal, message);
  CHECK(knows(second));
}

TEST_CASE("replica: a read is answered by an owner that a majority confirms, and by no other") {
  const Member self{"10.0.0.1:7000", "10.0.0.1:8000", 0}, second{"10.0.0.2:7000", "10.0.0.2:8000", 0},
      third{"10.0.0.3:7000", "10.0.0.3:8000", 0};
  Replica replica({self, {self, second, third}, true, 3, 1, 5000}, std::nullopt, 0);
  replica.Read(1, 77);
  const ReplicaOutput output = replica.TakeOutput();
  REQUIRE(output.reads.size() == 1);
  CHECK_FALSE(output.reads[0].current);
}

}  // namespace bitternmux::fleet::test
