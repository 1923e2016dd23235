// The scale run, small: counts and bytes, never times.
#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "lab/scale/discovery.h"
#include "lab/scale/hollow_sidecar.h"
#include "lab/scale/plan.h"
#include "lab/scale/play.h"
#include "lab/scale/quote_servers.h"
#include "lab/scale/real_sidecars.h"
#include "lab/scale/scenario.h"

using namespace bitternmux::lab::scale;

namespace {

// One real sidecar and six hollow ones, whatever the number of names.
Scenario Small() {
  Scenario scenario;
  scenario.sizes = {8, 63};
  scenario.real = 1;
  scenario.most_hollow = 6;
  scenario.services_most = 12;
  return scenario;
}

bool Comes(const std::function<bool()>& condition) {
  for (int i = 0; i < 3000; ++i) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

// A small fleet whose sidecars all have the list.
struct Fleet {
  Fleet(const Scenario& its_scenario, int size)
      : scenario(its_scenario),
        plan(MakePlan(scenario, size, 1)),
        servers(size),
        discovery(plan, servers.Addresses()),
        hollow(scenario, plan, discovery.AddressOf(kHollow)),
        real(scenario, plan, BITTERNMUX_PROGRAM, discovery.AddressOf(kReal)) {
    REQUIRE(Comes([&] { return Watches() == 7 && Listed(size); }));
  }
  std::uint64_t Watches() {
    const Counts counts = discovery.Count();
    return counts[kReal].watches + counts[kHollow].watches;
  }
  bool Listed(int names) {
    return hollow.ReachedMs(discovery.Revision()).size() == 6 && real.Figure(0, "discovered") == names;
  }

  const Scenario scenario;
  const Plan plan;
  QuoteServers servers;
  Discovery discovery;
  HollowFleet hollow;
  RealSidecars real;
};

}  // namespace

TEST_CASE("one seed, one plan") {
  const Scenario scenario;
  const Plan one = MakePlan(scenario, 160, 7), again = MakePlan(scenario, 160, 7),
             other = MakePlan(scenario, 160, 8);
  const auto ids = [](const Plan& plan) {
    std::vector<std::string> out;
    for (const auto& server : plan.servers) out.push_back(server.id + server.zone + server.kind);
    return out;
  };
  CHECK(ids(one) == ids(again));
  CHECK(one.changed == again.changed);
  CHECK(SettingsOf(one, 3) == SettingsOf(again, 3));
  CHECK(ids(one) != ids(other));
  CHECK(one.changed != other.changed);
}

TEST_CASE("a plan has the operators' proportions") {
  const Scenario scenario;
  const Plan least = MakePlan(scenario, 80, 1), most = MakePlan(scenario, 630, 1);
  CHECK(least.services == 8);
  CHECK(most.services == 67);
  CHECK(most.real + most.hollow == 630);
  CHECK(most.zones.size() == 7);
  std::vector<int> by_region(2);
  for (const Server& server : most.servers) ++by_region[static_cast<std::size_t>(server.region)];
  CHECK(by_region == std::vector<int>{360, 270});
}

TEST_CASE("too few descriptors are told before anything starts, with the limit's name") {
  Scenario scenario;
  const Plan plan = MakePlan(scenario, 630, 1);
  const std::size_t needed = DescriptorsFor(scenario, plan);
  CHECK_NOTHROW(CheckLimits(scenario, plan, needed));
  CHECK_THROWS_WITH(CheckLimits(scenario, plan, needed - 1),
                    Catch::Contains("RLIMIT_NOFILE") && Catch::Contains(std::to_string(needed)));
  scenario.hollow_calls_per_s = 1;
  CHECK(DescriptorsFor(scenario, plan) > needed);
}

TEST_CASE("a scenario's faulty key is named") {
  const std::string path = std::string(BITTERNMUX_SCENARIOS) + "/../scale/scale.toml";
  CHECK_NOTHROW(ReadScenario(path));
  const auto faulty =
      std::filesystem::temp_directory_path() /
      ("scale-test-" + std::to_string(std::hash<std::thread::id>()(std::this_thread::get_id())));
  const auto check = [&](const std::string& text, const std::string& key) {
    std::ofstream(faulty) << text;
    CHECK_THROWS_WITH(ReadScenario(faulty), Catch::StartsWith(key + ":"));
  };
  check("real = 31\n", "real");
  check("real = 1.5\n", "real");
  check("sizes = []\n", "sizes");
  check("sizes = [80, 'x']\n", "sizes");
  check("regions = 9\n", "regions");
  check("reel = 8\n", "reel");
  std::filesystem::remove(faulty);
}

TEST_CASE("a change is one message of the same bytes to each sidecar, whatever the number of names") {
  std::vector<std::uint64_t> bytes;
  for (const int size : {8, 63}) {
    Fleet fleet(Small(), size);
    const Counts before = fleet.discovery.Count();
    fleet.discovery.Change({1}, "DELETED");
    REQUIRE(Comes([&] { return fleet.Listed(size - 1); }));
    const Counts after = fleet.discovery.Count();
    CHECK(after[kReal].messages - before[kReal].messages == 1);
    CHECK(after[kHollow].messages - before[kHollow].messages == 6);
    CHECK(after[kReal].calls == before[kReal].calls);
    CHECK(after[kHollow].calls == before[kHollow].calls);
    // Less the empty lines, 6 bytes each, that may have fallen in between.
    bytes.push_back(after[kReal].bytes_out - before[kReal].bytes_out -
                    6 * (after[kReal].blanks - before[kReal].blanks));
  }
  CHECK(bytes[0] == bytes[1]);
}

TEST_CASE("after a break each sidecar asks once, and is told only what changed") {
  Fleet fleet(Small(), 63);
  const auto restored = [&](bool whole) {
    fleet.discovery.AlwaysWhole(whole);
    const Counts before = fleet.discovery.Count();
    fleet.discovery.BreakAll(kReal);
    fleet.discovery.BreakAll(kHollow);
    REQUIRE(Comes([&] { return fleet.Watches() == 7; }));
    const Counts after = fleet.discovery.Count();
    CHECK(after[kReal].calls - before[kReal].calls == 1);
    CHECK(after[kHollow].calls - before[kHollow].calls == 6);
    CHECK(after[kReal].whole_lists - before[kReal].whole_lists == (whole ? 1 : 0));
    return after[kReal].bytes_out - before[kReal].bytes_out;
  };
  const std::size_t list = fleet.discovery.ListBytes();
  const std::uint64_t changed = restored(false), whole = restored(true);
  CHECK(list > 63 * 100);
  CHECK(whole >= list);
  CHECK(whole < list + 500);
  CHECK(changed < 500);
}

TEST_CASE("a hollow sidecar and a real one send the same to discovery") {
  Fleet fleet(Small(), 8);
  fleet.discovery.BreakAll(kReal);
  fleet.discovery.BreakAll(kHollow);
  REQUIRE(Comes([&] { return fleet.Watches() == 7; }));
  const Counts counts = fleet.discovery.Count();
  CHECK(counts[kHollow].calls == 6 * counts[kReal].calls);
  // The addresses have as many letters, and versions as many digits.
  REQUIRE(fleet.discovery.AddressOf(kReal).size() == fleet.discovery.AddressOf(kHollow).size());
  CHECK(counts[kHollow].bytes_in == 6 * counts[kReal].bytes_in);
  CHECK(counts[kHollow].messages == 6 * counts[kReal].messages);
  CHECK(counts[kHollow].whole_lists == 6 * counts[kReal].whole_lists);
}

TEST_CASE("a hollow sidecar's calls are served over connections of its own") {
  Scenario scenario = Small();
  scenario.hollow_calls_per_s = 5;
  Fleet fleet(scenario, 8);
  REQUIRE(Comes([&] { return fleet.hollow.answered() >= 30; }));
  const ServerCounts counts = fleet.servers.Count();
  CHECK(counts.requests >= 30);
  CHECK(counts.open_in_all() >= 6);
  CHECK(counts.open_in_all() <= 6 * 16);
}
