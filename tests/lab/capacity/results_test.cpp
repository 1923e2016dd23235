// Result files: what is read, what is refused, and how plays are found.
#include "lab/capacity/results.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace bitternmux::lab::capacity {
namespace {

using nlohmann::json;

json Good() {
  return json::parse(R"({"format": 1, "command": "bitternmux-lab scale", "commit": "abc",
    "machine": {"cores": 8}, "void": null, "plays": [
      {"part": "scale", "at": {"size": 80, "rate": 59}, "seed": 1, "figures": {"idle.core_share": 0.015}},
      {"part": "scale", "at": {"size": 160, "rate": 59}, "seed": 1, "figures": {"idle.core_share": 0.016}},
      {"part": "depth", "at": {"size": 80}, "seed": 1, "figures": {"attempts_per_call": 1}}]})");
}

std::string FaultOf(const json& file) {
  try {
    Results().Add("folder/one.json", file.dump());
  } catch (const ResultsError& error) {
    return error.what();
  }
  return "none";
}

json Without(const std::string& pointer) {
  json file = Good();
  const json::json_pointer at(pointer);
  file.at(at.parent_pointer()).erase(at.back());
  return file;
}

json With(const std::string& pointer, const json& value) {
  json file = Good();
  file[json::json_pointer(pointer)] = value;
  return file;
}

TEST_CASE("plays are found by part and by what was varied") {
  Results results;
  results.Add("folder/one.json", Good().dump());
  REQUIRE(results.sources.size() == 1);
  CHECK(results.sources[0].file == "one.json");
  CHECK(results.sources[0].cores == 8);
  CHECK(results.sources[0].plays == 3);
  CHECK(results.Find("scale", {}).size() == 2);
  CHECK(results.Find("scale", {{"rate", 59}}).size() == 2);
  REQUIRE(results.Find("scale", {{"rate", 59}, {"size", 160}}).size() == 1);
  CHECK(results.Find("scale", {{"size", 160}})[0]->figures.at("idle.core_share") == 0.016);
  CHECK(results.Find("scale", {{"hops", 1}}).empty());
  CHECK(results.Find("depth", {}).size() == 1);
}

TEST_CASE("what is wrong with a result file is told by file and key") {
  CHECK(FaultOf(Good()) == "none");
  CHECK_THROWS_WITH(Results().Add("one.json", "{"), "one.json: is no JSON");
  CHECK(FaultOf(Without("/commit")) == "folder/one.json: commit: is absent");
  CHECK(FaultOf(Without("/void")) == "folder/one.json: void: is absent");
  CHECK(FaultOf(Without("/machine/cores")) == "folder/one.json: machine.cores: is absent");
  CHECK(FaultOf(With("/format", 2)) == "folder/one.json: format: must be 1");
  CHECK(FaultOf(With("/command", "")) == "folder/one.json: command: must be a text");
  CHECK(FaultOf(With("/plays", 3)) == "folder/one.json: plays: must be a list");
  CHECK(FaultOf(With("/plays/1/seed", -1)) ==
        "folder/one.json: plays[1].seed: must be a whole number from 0 on");
  CHECK(FaultOf(With("/plays/1/at/size", "80")) == "folder/one.json: plays[1].at.size: must be a number");
  CHECK(FaultOf(With("/plays/0/figures/idle.core_share", nullptr)) ==
        "folder/one.json: plays[0].figures.idle.core_share: must be a number");
}

TEST_CASE("a void run gives no figures") {
  CHECK(FaultOf(With("/void", "late by 40 ms")) ==
        "folder/one.json: void: the run is void and gives no figures: late by 40 ms");
}

TEST_CASE("a play that is there twice is refused, in one file or in two, other figures of it are not") {
  json twice = Good();
  twice["plays"].push_back(twice["plays"][0]);
  CHECK(FaultOf(twice) ==
        "folder/one.json: plays[3]: 'idle.core_share' was already given for this part, at and seed, in "
        "one.json");
  Results results;
  results.Add("one.json", Good().dump());
  CHECK_THROWS_WITH(results.Add("two.json", Good().dump()), Catch::Contains("in one.json"));
  json other = Good();
  other["plays"] = json::array({other["plays"][0]});
  other["plays"][0]["figures"] = {{"idle.wakeups_per_s", 490}};
  Results both;
  both.Add("one.json", Good().dump());
  both.Add("two.json", other.dump());
  CHECK(both.plays.size() == 4);
}

TEST_CASE("a folder that is absent holds no results, and a file that is absent is an error") {
  CHECK(ResultFiles("/nonexistent/results").empty());
  CHECK_THROWS_WITH(ReadResults({"/nonexistent/one.json"}), "/nonexistent/one.json: cannot be read");
}

}  // namespace
}  // namespace bitternmux::lab::capacity
