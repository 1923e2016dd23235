// Evacuations from the owner to the routers, in simulated time with the programs' own deciders.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "lab/simulation/day.h"

namespace bitternmux::lab::simulation {
namespace {

using Zones = std::vector<std::string>;
constexpr double kStartedMs = 3000;
constexpr double kEvacuationMs = 5000;  // in which all routers have to go by it

WorldOptions Options(std::uint64_t seed) {
  WorldOptions options;
  options.seed = seed;
  options.machines = 3;
  options.tolerated = 1;
  return options;
}

void Order(World& world, const std::string& zone, bool begins) {
  const auto owner = world.ActingOwner();
  REQUIRE(owner);
  const std::size_t call = world.EvacuateAt(*owner, {zone, begins});
  for (int ms = 0; ms < 1000 && world.open(call); ++ms) world.RunFor(1);
  REQUIRE(world.call(call).end == CallEnd::kTaken);
}

bool AllRoutersHold(World& world, const Zones& zones) {
  for (std::size_t i = 0; i < world.edges(); ++i) {
    if (world.edge(i).router_state().evacuations.zones != zones) return false;
  }
  return true;
}

void CheckNoViolation(World& world) {
  world.checker().CheckEvacuations();
  for (const Violation& violation : world.history().violations)
    FAIL_CHECK("invariant " << violation.invariant << ": " << violation.what);
}

}  // namespace

TEST_CASE("evacuations: all routers have heard of one, and of its end, within a second") {
  World world(Options(31));
  world.RunFor(kStartedMs);
  Order(world, "maia", true);
  world.RunFor(1000);
  CHECK(AllRoutersHold(world, {"maia"}));
  Order(world, "maia", false);
  world.RunFor(1000);
  CHECK(AllRoutersHold(world, {}));
  CheckNoViolation(world);
}

TEST_CASE("evacuations: one that was acknowledged is there after all lose power at that moment") {
  for (const bool edges_too : {false, true}) {
    World world(Options(32));
    world.RunFor(kStartedMs);
    Order(world, "maia", true);
    world.KillAll(1000, /*power=*/true, edges_too);
    world.RunFor(1000 + kEvacuationMs);
    CHECK(AllRoutersHold(world, {"maia"}));
    CheckNoViolation(world);
  }
}

TEST_CASE(
    "evacuations: taken back and begun again while a control machine is cut off, then known everywhere") {
  for (std::uint64_t seed = 41; seed <= 60; ++seed) {
    World world(Options(seed));
    world.RunFor(kStartedMs);
    Order(world, "maia", true);
    world.RunFor(1000);
    // Cut off so shortly that agents still take it for one in contact with the owner.
    constexpr double kCutMs = 900;
    const std::size_t owner = *world.ActingOwner();
    const std::size_t cut_off = (owner + 1) % 3;
    world.CutPair(cut_off, owner, /*both_ways=*/true, kCutMs);
    world.CutPair(cut_off, (owner + 2) % 3, /*both_ways=*/true, kCutMs);
    Order(world, "maia", false);
    world.RunFor(400);
    // The routers keep what they heard; agents may come back to the machine that is cut off.
    for (std::size_t i = 0; i < world.edges(); ++i) world.KillEdge(i, /*down_ms=*/50, /*both=*/false);
    world.RunFor(200);
    Order(world, "maia", true);
    world.RunFor(kEvacuationMs);
    INFO("seed " << seed);
    CHECK(AllRoutersHold(world, {"maia"}));
    CheckNoViolation(world);
  }
}

}  // namespace bitternmux::lab::simulation
