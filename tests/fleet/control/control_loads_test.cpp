// What control machines make of the loads that their subscribers tell.
#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>

#include "fleet/control/control_core.h"

namespace bitternmux::fleet {
namespace {

const Member kSelf = {"10.0.0.1:1", "10.0.0.1:2", 0};
const Member kOther = {"10.0.0.2:1", "10.0.0.2:2", 0};
constexpr SubscriberId kSubscriber = 5;

ControlCore Core() {
  ControlCore::Options options;
  options.replica.self = kSelf;
  options.replica.seeds = {kSelf, kOther};
  options.replica.bootstrap = true;
  options.replica.new_store = Replica::kMaxFirstStore + 1;
  return {std::move(options), std::nullopt, 0};
}

std::optional<ServerLoads> LoadsTo(const ControlOutput& output, const std::string& control) {
  for (const ControlSend& send : output.sends) {
    if (send.control != control) continue;
    if (const auto* loads = std::get_if<ServerLoads>(&send.message)) return *loads;
  }
  return std::nullopt;
}

}  // namespace

TEST_CASE("control loads: the routers' are summed up, told to the others, and those of all to subscribers") {
  ControlCore core = Core();
  core.Subscribed(0, kSubscriber, Subscribe{});
  core.Subscribed(0, kSubscriber + 1, Subscribe{});
  core.Tick(0);
  core.TakeOutput(0);
  core.LoadsTold(kSubscriber, {false, {{7, 2, 100, 0}}});
  core.LoadsTold(kSubscriber + 1, {false, {{7, 1, 0, 1}}});
  core.FromControl(10, kOther.internal, ServerLoads{false, {{7, 10, 5000, 0}}});
  core.Tick(100);
  ControlOutput output = core.TakeOutput(100);
  const auto to_other = LoadsTo(output, kOther.internal);
  REQUIRE(to_other);
  CHECK(to_other->rows == std::vector<ServerLoad>{{7, 3, 100, 1}});
  const auto to_subscribers = LoadsTo(output, "");
  REQUIRE(to_subscribers);
  CHECK(to_subscribers->rows == std::vector<ServerLoad>{{7, 13, 5100, 1}});

  // Nothing has changed: nothing is told, until all is told again.
  core.Tick(200);
  CHECK_FALSE(LoadsTo(core.TakeOutput(200), ""));
  core.FromControl(1200, kOther.internal, ServerLoads{true, {{7, 10, 5000, 0}}});
  core.Tick(1300);
  output = core.TakeOutput(1300);
  REQUIRE(LoadsTo(output, ""));
  CHECK(LoadsTo(output, "")->whole);

  // A subscriber that goes takes its rows with it, and so does a machine that falls silent.
  core.Unsubscribed(kSubscriber);
  core.Tick(5000);
  output = core.TakeOutput(5000);
  REQUIRE(LoadsTo(output, ""));
  CHECK(LoadsTo(output, "")->rows == std::vector<ServerLoad>{{7, 1, 0, 1}});
  // What nobody subscribed for is passed over.
  core.LoadsTold(99, {false, {{7, 50, 0, 0}}});
  core.Tick(6500);
  CHECK(LoadsTo(core.TakeOutput(6500), "")->rows == std::vector<ServerLoad>{{7, 1, 0, 1}});
}

}  // namespace bitternmux::fleet
