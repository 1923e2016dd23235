// What is wrong with a scenario is named by file, line and key; what is right becomes exact figures.
#include "lab/scenario/scenario.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <map>

#include "lab/model/figures.h"

namespace bitternmux::lab::scenario {
namespace {

using model::Figures;
using model::Step;

const std::string kStart = R"(name = "day"
seed = 3
[sidecars]
count = 2
[servers]
count = [4, 6]
[[class]]
name = "ask"
)";

Figures Drawn(const std::string& rest, std::optional<std::uint64_t> seed = std::nullopt) {
  return Scenario(kStart + rest, "day.toml").Draw(seed);
}

std::string FaultOf(const std::string& rest) {
  try {
    Drawn(rest);
  } catch (const ScenarioError& error) {
    REQUIRE(error.faults().size() == 1);
    return error.faults()[0];
  }
  return "none";
}

TEST_CASE("each fault is named by file, line and key") {
  // The rest begins in line 9.
  CHECK(FaultOf("worht = 3") == "day.toml:9: class.ask.worht: is not known");
  CHECK(FaultOf("worth = \"much\"") ==
        "day.toml:9: class.ask.worth: must be a number or a range [low, high] of such");
  CHECK(FaultOf("[clients]\nretries = 1.5") ==
        "day.toml:10: clients.retries: must be a whole number or a range [low, high] of such");
  CHECK(FaultOf("[clients]\nrate = [9, 3]") ==
        "day.toml:10: clients.rate: the range is the wrong way round: 9 is above 3");
  CHECK(FaultOf("[rules]\ncold_from = 1.5") == "day.toml:10: rules.cold_from: must be from 0.001 to 1");
  CHECK(FaultOf("repeat = \"maybe\"") == "day.toml:9: class.ask.repeat: must be one of safe, never");
  CHECK(FaultOf("[clients]\nload = 1\nrate = 3") ==
        "day.toml:10: clients.load: stands beside rate: only one of them can be");
  CHECK(FaultOf("[[trouble]]\nkind = \"hang\"\nlen_s = 1") == "day.toml:9: trouble.0.at_s: must be there");
  CHECK(FaultOf("[[trouble]]\nkind = \"hang\"\nat_s = 1\nlen_s = 1\nmachines = [4]") ==
        "day.toml:13: trouble.0.machines: there is no machine 4: the day may have 4 only, counted from 0");
  CHECK(FaultOf("[[trouble]]\nkind = \"restart_sidecars\"\nat_s = 1\nsidecars = [2]") ==
        "day.toml:12: trouble.0.sidecars: there is no sidecar 2: the day may have 2 only, counted from 0");
  CHECK(FaultOf("[[trouble]]\nkind = \"cut\"\nat_s = 1\nlen_s = 1\nsites = [\"here\", \"nowhere\"]") ==
        "day.toml:13: trouble.0.sites: there is no site 'nowhere'");
  CHECK(FaultOf("[[trouble]]\nkind = \"hang\"\nat_s = 1\nlen_s = 1\n[[trouble.then]]\nkind = \"slow\"\nlen_s "
                "= 1") == "day.toml:13: trouble.0.then.0.factor: must be there");
  CHECK(FaultOf("[[trouble]").rfind("day.toml:9: no TOML: ", 0) == 0);
}

TEST_CASE("troubles of the ways and of discovery's word are read, and their faults named") {
  const std::string trouble = "[[trouble]]\nat_s = 1\nlen_s = 2\n";
  const Figures figures = Drawn(trouble + "kind = \"cut_to\"\nbetween = \"discovery\"\nsidecars = [0]\n" +
                                trouble + "kind = \"slow_bytes\"\nmachines = [1]\nbytes_per_s = 100\n" +
                                trouble + "kind = \"discovery_stale\"\nage_s = 30\n");
  REQUIRE(figures.network.troubles.size() == 2);
  CHECK(figures.network.troubles[0].discovery);
  CHECK(figures.network.troubles[0].sidecars == std::vector<int>{0});
  CHECK(figures.network.troubles[1].amount == 100);
  CHECK(figures.network.troubles[1].machines == std::vector<int>{1});
  CHECK(figures.troubles[0].hides_list);
  CHECK_FALSE(figures.troubles[0].sockets_only);
  CHECK(figures.troubles[1].sockets_only);
  REQUIRE(figures.discovery.troubles.size() == 1);
  CHECK(figures.discovery.troubles[0].age_ms == 30000);
  CHECK(FaultOf(trouble + "kind = \"drop\"") == "day.toml:9: trouble.0.share: must be there");
  CHECK(FaultOf(trouble + "kind = \"delay\"\nms = 5\nbetween = \"clients\"") ==
        "day.toml:14: trouble.0.between: must be one of servers, discovery");
  CHECK(FaultOf(trouble + "kind = \"discovery_refuses\"\nshare = 2") ==
        "day.toml:13: trouble.0.share: must be from 0 to 1");
}

TEST_CASE("all faults are told at once, by line") {
  try {
    Drawn("worht = 3\n[clients]\nrate = \"x\"\n[rules]\nfall_s = -1");
    FAIL("no fault");
  } catch (const ScenarioError& error) {
    REQUIRE(error.faults().size() == 3);
    CHECK(error.faults()[0].rfind("day.toml:9:", 0) == 0);
    CHECK(error.faults()[2].rfind("day.toml:13:", 0) == 0);
  }
}

TEST_CASE("figures are drawn from their ranges by the seed, and one more moves no other") {
  const Figures a = Drawn("work_ms = [10, 30]\n[clients]\nbackoff_ms = [100, 200]", 1);
  const Figures b = Drawn("work_ms = [10, 30]\naim_ms = [80, 90]\n[clients]\nbackoff_ms = [100, 200]", 1);
  const Figures c = Drawn("work_ms = [10, 30]\n[clients]\nbackoff_ms = [100, 200]", 2);
  CHECK((a.classes[0].work_ms >= 10 && a.classes[0].work_ms < 30));
  CHECK(a.classes[0].work_ms == b.classes[0].work_ms);
  CHECK(a.clients.backoff_ms == b.clients.backoff_ms);
  CHECK(a.machines.size() == b.machines.size());
  CHECK(a.classes[0].work_ms != c.classes[0].work_ms);
  CHECK(Drawn("work_ms = 12").classes[0].work_ms == 12);
}

std::vector<Step> Of(const Figures& figures, Step::What what) {
  std::vector<Step> steps;
  for (const Step& step : figures.steps) {
    if (step.what == what) steps.push_back(step);
  }
  return steps;
}

TEST_CASE("a server that restarts or is replaced is another process from then on") {
  const Figures figures = Drawn(R"([[trouble]]
kind = "restart"
machines = [1]
at_s = 5
drain_s = 2
down_s = 1
[[trouble]]
kind = "replace"
machines = [1]
at_s = 10
same_address = true
[[trouble]]
kind = "slow"
machines = [1]
factor = 2
at_s = 20
len_s = 5
)",
                                1);
  const auto count = figures.machines.size() - 2;
  const auto& machines = figures.machines;
  CHECK(machines[count].id == machines[1].id);
  CHECK(machines[count + 1].id != machines[1].id);
  CHECK(machines[count + 1].place == machines[1].place);
  const auto starts = Of(figures, Step::What::kStart), stops = Of(figures, Step::What::kStop);
  REQUIRE(starts.size() == 2);
  CHECK(starts[0].at_ms == figures.first_ms + 8000);
  CHECK(starts[0].target == static_cast<int>(count));
  CHECK(stops[1].target == static_cast<int>(count));
  CHECK(Of(figures, Step::What::kSlow)[0].target == static_cast<int>(count + 1));
  CHECK(figures.troubles[2].machines == std::vector<int>{static_cast<int>(count + 1)});
}

TEST_CASE("troubles follow one another, on the same machines and again") {
  const Figures figures = Drawn(R"([[trouble]]
kind = "hang"
part = 0.5
at_s = 5
len_s = 2
times = 2
again_s = 10
[[trouble.then]]
kind = "slow"
same_machines = true
after_s = 1
len_s = 3
factor = 2
)",
                                1);
  REQUIRE(figures.troubles.size() == 4);
  CHECK(figures.troubles[1].from_ms == figures.first_ms + 8000);
  CHECK(figures.troubles[1].machines == figures.troubles[0].machines);
  CHECK(figures.troubles[2].from_ms == figures.first_ms + 15000);
}

TEST_CASE("a scenario may extend another, and faults name the file that they are in") {
  const auto folder = std::filesystem::temp_directory_path() / ("scenario-" + std::to_string(getpid()));
  std::filesystem::create_directory(folder);
  std::ofstream(folder / "base.toml") << kStart << "work_ms = 12\n[clients]\nrate = 5\nretries = 7\n";
  std::ofstream(folder / "own.toml") << "name = \"own\"\nextends = \"base.toml\"\n[clients]\nrate = 9\n";
  std::ofstream(folder / "bad.toml")
      << "name = \"bad\"\nextends = \"base.toml\"\n[clients]\nrate = -1\n[rules]\nx = 1\n";
  const Scenario own = Scenario::Read((folder / "own.toml").string());
  const Figures figures = own.Draw();
  CHECK(figures.name == "own");
  CHECK(figures.clients.rate == 9);
  CHECK(figures.clients.retries == 7);
  CHECK(figures.classes[0].work_ms == 12);
  // What it reads as stands by itself.
  CHECK(Scenario(own.text(), "again.toml").Draw().clients.retries == 7);
  std::ofstream(folder / "base.toml", std::ios::app) << "wrong = 1\n";
  try {
    Scenario::Read((folder / "bad.toml").string());
    FAIL("no fault");
  } catch (const ScenarioError& error) {
    REQUIRE(error.faults().size() == 3);
    CHECK(error.faults()[0].find("bad.toml:4: clients.rate") != std::string::npos);
    CHECK(error.faults()[2].find("base.toml:13: clients.wrong") != std::string::npos);
  }
  std::filesystem::remove_all(folder);
}

TEST_CASE("the scenarios that are shipped can be drawn, whatever the seed") {
  int shipped = 0;
  for (const auto& entry : std::filesystem::directory_iterator(BITTERNMUX_SCENARIOS)) {
    INFO(entry.path());
    const Scenario scenario = Scenario::Read(entry.path().string());
    CHECK_FALSE(scenario.about().empty());
    for (std::uint64_t seed = 1; seed <= 5; ++seed) CHECK_NOTHROW(scenario.Draw(seed));
    ++shipped;
  }
  CHECK(shipped >= 12);
}

TEST_CASE("which sidecars a trouble takes: a share, those before or the others, in waves") {
  const std::string fleet = "[sidecars]\ncount = 20\n";
  const std::string day = "name = \"day\"\n[[class]]\nname = \"ask\"\n" + fleet;
  const std::string troubles =
      "[[trouble]]\nkind = \"restart_sidecars\"\nat_s = 1\nsidecar_part = 0.7\nwaves = 7\nevery_s = 1\n"
      "starts_killed = 2\nalive_ms = [20, 200]\n"
      "[[trouble.then]]\nkind = \"freeze\"\nlen_s = 1\nsame_sidecars = true\nsidecar_part = 0.5\n"
      "[[trouble.then]]\nkind = \"starve\"\nlen_s = 1\nshare = 0.5\ndescriptors = 40\nother_sidecars = "
      "true\n";
  const Figures figures = Scenario(day + troubles, "day.toml").Draw(5);
  const std::vector<int>&killed = figures.troubles[0].sidecars, &frozen = figures.troubles[1].sidecars;
  CHECK(killed.size() == 14);
  CHECK(frozen.size() == 7);
  CHECK(std::includes(killed.begin(), killed.end(), frozen.begin(), frozen.end()));
  CHECK(figures.troubles[2].sidecars.size() == 6);
  std::map<Step::What, std::map<double, int>> at;
  for (const Step& step : figures.steps) ++at[step.what][step.at_ms];
  CHECK(at[Step::What::kTerm].size() == 7);
  CHECK(at[Step::What::kTerm].begin()->second == 2);
  CHECK(at[Step::What::kShortLife].begin()->second == 4);
  // Slices of sidecars are not in step.
  CHECK(at[Step::What::kFreeze].size() > 6 * 9);
  CHECK(at[Step::What::kDescriptors].size() == 2);
  const std::string one = "[[trouble]]\nat_s = 1\nlen_s = 1\n";
  CHECK(FaultOf(one + "kind = \"freeze\"\nsame_sidecars = true") ==
        "day.toml:13: trouble.0.same_sidecars: no trouble of sidecars stands before this one");
  CHECK(FaultOf(one + "kind = \"starve\"\n").find("share or descriptors must be there") != std::string::npos);
  CHECK(FaultOf("[[trouble]]\nat_s = 1\nkind = \"restart_sidecars\"\nstarts_killed = 3\nalive_ms = [9, -1]")
            .find("alive_ms: the range is the wrong way round") != std::string::npos);
}

}  // namespace
}  // namespace bitternmux::lab::scenario
