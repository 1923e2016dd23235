// Stories of the built programs with a relay of ours between the control machines: cuts, in one direction or
// both, and slow links. Agents and operators reach all machines all the while. Nothing sleeps.
#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "support/story_fleet.h"

namespace bitternmux::lab::fleet {
namespace {

constexpr auto kPatience = std::chrono::seconds(20);
constexpr double kTenMbitPerS = 1250;  // bytes a ms

// A fleet whose control machines are told apart by their roles when it begins.
struct RelayedFleet {
  StoryFleet fleet{FleetStand::Ways::kRelayed};
  std::size_t owner = 0, second = 0, third = 0;

  RelayedFleet() {
    REQUIRE(fleet.Start());
    owner = fleet.Owner();
    REQUIRE(owner < FleetStand::kControls);
    second = (owner + 1) % FleetStand::kControls;
    third = (owner + 2) % FleetStand::kControls;
  }

  // To the two that were no owners, in turn, until there is a clear answer.
  int PutElsewhere(const std::string& text, std::uint64_t builds_on) {
    const auto until = std::chrono::steady_clock::now() + kPatience;
    Reply reply;
    for (int i = 0; std::chrono::steady_clock::now() < until; ++i) {
      reply = fleet.Put(text, builds_on, i % 2 == 0 ? second : third);
      if (reply.status != 0 && reply.status < 500) break;
    }
    return reply.status;
  }

  // What a machine's log says once exactly these, in the order of their addresses, are the group.
  std::string SaysGroup(const std::vector<std::size_t>& machines) const {
    std::vector<std::string> addresses;
    addresses.reserve(machines.size());
    for (const std::size_t machine : machines) addresses.push_back(fleet.InternalAddress(machine));
    std::ranges::sort(addresses);
    std::string line = "replica.members members=\"";
    for (const std::string& address : addresses) line += address + " ";
    return line + "\"";
  }

  bool ReadsSoon(std::size_t machine, const std::string& text) {
    const auto until = std::chrono::steady_clock::now() + kPatience;
    while (std::chrono::steady_clock::now() < until) {
      const Reply reply = fleet.Get("/config", machine);
      if (reply.status == 200 && reply.message.body == text) return true;
    }
    return false;
  }
};

bool IsClear(const Reply& reply) { return reply.status != 0 && reply.status < 500; }

std::string LargeConfiguration(std::uint64_t version) {
  constexpr std::size_t kPadding = 4'000'000;
  nlohmann::json configuration = nlohmann::json::parse(FleetStand::Configuration(version));
  configuration["comment"] = std::string(kPadding, 'x');
  return configuration.dump();
}

}  // namespace

TEST_CASE("relay story: an owner that is cut off hands out nothing old, refuses nothing, confirms nothing") {
  RelayedFleet world;
  FleetStand& fleet = world.fleet;
  const std::string own = fleet.InternalAddress(world.owner);

  SECTION("in both directions") { fleet.CutOff(world.owner); }
  SECTION("it is not heard") {
    for (const std::size_t other : {world.second, world.third})
      fleet.relay().Cut(own, fleet.InternalAddress(other));
  }
  SECTION("it hears nobody") {
    for (const std::size_t other : {world.second, world.third})
      fleet.relay().Cut(fleet.InternalAddress(other), own);
  }

  CHECK(world.PutElsewhere(FleetStand::Configuration(6), 4) == 200);
  CHECK(world.PutElsewhere(FleetStand::Configuration(7), 6) == 200);
  // The agent may have been fed by the one that is cut off.
  CHECK(fleet.router().Says("configuration.in_force version=7"));
  const Reply read = fleet.Get("/config", world.owner);
  if (read.status == 200) CHECK(read.message.body == FleetStand::Configuration(7));
  const Reply taken = fleet.Put(FleetStand::Configuration(7), 6, world.owner);
  CHECK((!IsClear(taken) || taken.status == 200));
  const Reply next = fleet.Put(FleetStand::Configuration(8), 7, world.owner);
  CHECK((!IsClear(next) || next.status == 200));

  fleet.relay().HealAll();
  const std::uint64_t newest = next.status == 200 ? 8 : 7;
  CHECK(world.ReadsSoon(world.owner, FleetStand::Configuration(newest)));
  CHECK(fleet.PutAnywhere(FleetStand::Configuration(7), 6).status == 200);  // it was taken
  CHECK(fleet.PutAnywhere(FleetStand::Configuration(9), newest).status == 200);
  CHECK(fleet.router().Says("configuration.in_force version=9"));
}

TEST_CASE("relay story: two operators under one number, one of them at an owner that is cut off") {
  RelayedFleet world;
  FleetStand& fleet = world.fleet;
  const std::string at_owner = FleetStand::Configuration(6, "/first/");
  const std::string elsewhere = FleetStand::Configuration(6, "/second/");
  fleet.CutOff(world.owner);
  Reply first;
  std::thread operator_at_owner([&] { first = fleet.Put(at_owner, 4, world.owner); });
  const int second = world.PutElsewhere(elsewhere, 4);
  fleet.relay().HealAll();
  operator_at_owner.join();
  CHECK(second == 200);
  CHECK(first.status != 200);
  CHECK(fleet.PutAnywhere(elsewhere, 4).status == 200);
  CHECK(fleet.PutAnywhere(at_owner, 4).status == 412);
  CHECK(world.ReadsSoon(world.owner, elsewhere));
}

TEST_CASE(
    "relay story: one that is cut off is replaced, others are lost right behind it, and it comes back") {
  RelayedFleet world;
  FleetStand& fleet = world.fleet;
  constexpr std::size_t kNew = FleetStand::kControls;
  fleet.CutOff(world.second);
  fleet.StartControl(kNew, false);
  REQUIRE(fleet.control(kNew).Says("role=follower"));
  REQUIRE(fleet.control(kNew).Says(world.SaysGroup({world.owner, world.third, kNew})));
  fleet.KillControl(world.third);
  CHECK(fleet.PutAnywhere(FleetStand::Configuration(6), 4).status == 200);
  // It learns that the group has gone on without it, and takes the place of the one that is gone.
  fleet.relay().HealAll();
  // What was held by the cut arrives with the rest: it may be a follower of the earlier group in between, and
  // hears of the group without it first.
  REQUIRE(fleet.control(world.second).Says("role=learner"));
  REQUIRE(fleet.control(world.second).Says("role=follower"));
  REQUIRE(fleet.control(world.second).Says(world.SaysGroup({world.owner, world.second, kNew})));
  fleet.KillControl(world.owner);
  CHECK(fleet.PutAnywhere(FleetStand::Configuration(7), 6).status == 200);
  CHECK(world.ReadsSoon(kNew, FleetStand::Configuration(7)));
  CHECK(world.ReadsSoon(world.second, FleetStand::Configuration(7)));
}

TEST_CASE("relay story: an empty machine behind a slow link catches up with 4 MB, and the owner stays") {
  RelayedFleet world;
  FleetStand& fleet = world.fleet;
  fleet.KillControl(world.second);
  std::filesystem::remove_all(fleet.DataFolder(world.second));
  const std::string large = LargeConfiguration(6);
  CHECK(fleet.PutAnywhere(large, 4).status == 200);
  fleet.relay().Slow(fleet.InternalAddress(world.second), kTenMbitPerS);
  const std::size_t roles = fleet.control(world.owner).log().size();
  fleet.StartControl(world.second, false);
  REQUIRE(fleet.control(world.second).Says("role=follower"));
  REQUIRE(fleet.control(world.second).Says("replica.members"));
  CHECK(fleet.relay().passed() > large.size());
  CHECK(fleet.Owner() == world.owner);
  CHECK(fleet.control(world.owner).log().find("role=", roles) == std::string::npos);
  fleet.KillControl(world.third);
  CHECK(fleet.PutAnywhere(FleetStand::Configuration(7), 6).status == 200);
  CHECK(world.ReadsSoon(world.second, FleetStand::Configuration(7)));
}

}  // namespace bitternmux::lab::fleet
