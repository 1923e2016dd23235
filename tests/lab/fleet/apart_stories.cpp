// Stories of the built programs while their machines cannot reach each other, and of what they keep.
#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>

#include "lab/fleet/fleet_stand.h"

namespace bitternmux::lab::fleet {
namespace {

Programs Built() { return {BITTERNMUX_ROUTER, BITTERNMUX_AGENT, BITTERNMUX_CONTROL}; }

int Add(FleetStand& fleet, const std::string& tally, const std::string& id, int amount, std::size_t control) {
  const nlohmann::json body = {{"id", id}, {"owner", amount}};
  return fleet.Post("/tallies/" + tally, body.dump(), control).status;
}

// From one machine to the next until one tells it; -1 if none does within the users' merge_ms. A machine that
// has just started may say that it is to be asked elsewhere.
std::int64_t Total(FleetStand& fleet, const std::string& tally) {
  constexpr auto kMergeTime = std::chrono::milliseconds(3000);
  const auto until = std::chrono::steady_clock::now() + kMergeTime;
  for (std::size_t i = 0; std::chrono::steady_clock::now() < until; ++i) {
    const Reply reply = fleet.Get("/tallies/" + tally, i % FleetStand::kControls);
    if (reply.status == 200) return nlohmann::json::parse(reply.message.body).at("total").get<std::int64_t>();
  }
  return -1;
}

}  // namespace

// Guards against LOST and SHORT of 2026-12-03: calls on tallies were answered 404, so that nothing was kept
// or read.
TEST_CASE(
    "apart story: adds to tallies are acknowledged, counted once by id, and there after a kill of all") {
  FleetStand fleet(Built());
  REQUIRE(fleet.Start());
  CHECK(Add(fleet, "t1", "a", 4, 0) == 200);
  CHECK(Add(fleet, "t1", "a", 4, 1) == 200);
  CHECK(Add(fleet, "t1", "b", 3, 2) == 200);
  CHECK(Total(fleet, "t1") == 7);
  CHECK(Total(fleet, "none") == 0);
  for (std::size_t i = 0; i < FleetStand::kControls; ++i) fleet.KillControl(i);
  for (std::size_t i = 0; i < FleetStand::kControls; ++i) fleet.StartControl(i, /*bootstrap=*/false);
  REQUIRE(fleet.control(0).Says("process.started"));
  CHECK(Total(fleet, "t1") == 7);
  CHECK(Add(fleet, "t1", "b", 3, 0) == 200);
  CHECK(Total(fleet, "t1") == 7);
}

}  // namespace bitternmux::lab::fleet
