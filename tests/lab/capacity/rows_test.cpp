// The rows' file: what is wrong with it is told by file, line, row and key; and how figures are worked out.
#include "lab/capacity/rows.h"

#include <catch2/catch.hpp>

#include "lab/capacity/worked.h"
#include "lab/scenario/scenario.h"

namespace bitternmux::lab::capacity {
namespace {

const std::string kSize = R"([size]
servers = 630
services = 67
calls_per_s = 37000
depth = 25
regions = 2
zones = 7
changes_per_day = 1600
change_in_force_s = 4
added_p99_ms = 0.87
control_core_share = 0.019
control_mb = 64
control_bytes_per_s = 26000
control_machines = 7
machines_failing_per_day = 2
machines_replaced_per_day = 110
)";

const std::string kHead = R"([[row]]
name = "idle"
role = "sidecar"
quantity = "processor time"
what = "idle"
mechanism = "src/a.cpp"
)";
const std::string kFitted =
    "figure = \"f\"\npart = \"scale\"\nover = \"size\"\nat = \"servers\"\nunit = \"ms\"\n";

std::string Second(const std::string& rest) {
  return "[[row]]\nname = \"second\"\nrole = \"discovery\"\nquantity = \"state\"\nwhat = \"w\"\n"
         "mechanism = \"none\"\nunit = \"u\"\n" +
         rest;
}

std::string FaultOf(const std::string& text) {
  try {
    Rows::Parse(text, "rows.toml");
  } catch (const scenario::ScenarioError& error) {
    REQUIRE(error.faults().size() == 1);
    return error.faults()[0];
  }
  return "none";
}

std::string Replaced(std::string text, const std::string& what, const std::string& by) {
  const std::size_t at = text.find(what);
  REQUIRE(at != std::string::npos);
  return text.replace(at, what.size(), by);
}

Results Plays(const std::vector<Point>& points) {
  Results results;
  results.sources.push_back({"one.json", "c", "abc", 8, points.size()});
  for (const Point& point : points) {
    results.plays.push_back({0, "scale", {{"size", point.n}, {"rate", 59}}, 1, {{"f", point.y}}});
  }
  return results;
}

TEST_CASE("what is wrong with the rows is told by file, line, row and key") {
  const std::string good = kSize + kHead + kFitted;
  CHECK(FaultOf(good) == "none");
  CHECK(FaultOf(Replaced(good, "zones = 7\n", "")) == "rows.toml:1: size.zones: must be there");
  CHECK(FaultOf(Replaced(good, "zones = 7", "zones = [6, 7]")) ==
        "rows.toml:7: size.zones: must be a number");
  CHECK(FaultOf(Replaced(good, "zones = 7", "zones = 7\nracks = 70")) ==
        "rows.toml:8: size.racks: is not known");
  CHECK(FaultOf(Replaced(good, "role = \"sidecar\"\n", "")) == "rows.toml:17: row.idle.role: must be there");
  CHECK(FaultOf(Replaced(good, "\"sidecar\"", "\"proxy\"")) ==
        "rows.toml:19: row.idle.role: must be one of sidecar, quote server, discovery, operators' door, "
        "control machines");
  CHECK(FaultOf(Replaced(good, "unit = \"ms\"\n", "")) ==
        "rows.toml:17: row.idle.unit: must be there, a text");
  CHECK(FaultOf(Replaced(good, "\"servers\"", "\"machines\"")) ==
        "rows.toml:26: row.idle.at: 'machines' is no key of size");
  CHECK(FaultOf(good + "not_measured = \"no\"\n") ==
        "rows.toml:23: row.idle.figure: one of figure, product, sum and not_measured must be there, and only "
        "one");
  CHECK(FaultOf(good + "where = { rate = true }\n") ==
        "rows.toml:28: row.idle.where: rate: must be a number or a name");
  CHECK(FaultOf(good + "line = \"speed\"\n") == "rows.toml:28: row.idle.line: 'speed' is no key of size");
  CHECK(FaultOf(good + "limit = 3\n") == "rows.toml:28: row.idle.limit: is not known");
  CHECK(FaultOf(good + "rests_on = \"hope\"\n") ==
        "rows.toml:28: row.idle.rests_on: must be one of stand-in");
  CHECK(FaultOf(good + kHead + kFitted) == "rows.toml:29: row.idle.name: is there twice");
  CHECK(FaultOf(kSize) == "rows.toml:1: row: there must be rows");
}

TEST_CASE("products and sums name rows above, and none comes of the size alone") {
  const std::string good = kSize + kHead + kFitted;
  CHECK(FaultOf(good + Second("product = [\"idle\", \"servers\", 2]\nper = [7]\n")) == "none");
  CHECK(FaultOf(good + Second("product = [\"second\"]\n"))
            .find("'second' is no key of size and no row above") != std::string::npos);
  CHECK(FaultOf(good + Second("product = [\"servers\", 2]\n")) ==
        "rows.toml:35: row.second.product: must name a row above: what comes of the size alone was not "
        "measured");
  CHECK(FaultOf(good + Second("sum = []\n")) ==
        "rows.toml:35: row.second.sum: must be a list of numbers and names");
}

TEST_CASE("a fitted row is worked out at the size, and grows with it") {
  const Rows rows = Rows::Parse(kSize + kHead + kFitted + "factor = 10\nline = 20\n", "rows.toml");
  const Row& row = rows.rows[0];
  const Results results = Plays({{80, 0.08}, {160, 0.16}, {315, 0.315}});
  const Worked now = WorkOut(rows, row, results);
  CHECK(now.missing.empty());
  CHECK(now.value == Approx(6.3));
  CHECK(now.reach == Approx(2));
  CHECK(now.grows);
  CHECK(WorkOut(rows, row, results, 2).value == Approx(12.6));
  CHECK_FALSE(OverLine(rows, row, now.value));
  REQUIRE(CrossesAt(rows, row, results));
  CHECK(*CrossesAt(rows, row, results) == Approx(20 / 6.3).epsilon(0.001));
  CHECK(WorkOut(rows, row, Plays({})).missing == "not measured yet");
  CHECK(WorkOut(rows, row, Plays({{80, 1}, {80, 2}})).missing.find("under two distinct n") !=
        std::string::npos);
}

TEST_CASE("a line can be the least, and a row that does not grow crosses none") {
  const Rows rows =
      Rows::Parse(kSize + kHead +
                      "figure = \"f\"\npart = \"scale\"\nmeasured = true\nunit = \"ms\"\n"
                      "where = { rate = 59, size = \"servers\" }\nline = 5\nline_is = \"least\"\n",
                  "rows.toml");
  const Row& row = rows.rows[0];
  const Results results = Plays({{630, 6}, {630, 8}, {80, 100}});
  const Worked worked = WorkOut(rows, row, results);
  CHECK(worked.value == Approx(7));
  REQUIRE(worked.spread);
  CHECK(worked.spread->plays == 2);
  CHECK(worked.spread->most == 8);
  CHECK_FALSE(worked.grows);
  CHECK_FALSE(CrossesAt(rows, row, results));
  CHECK(OverLine(rows, row, 4.9));
}

TEST_CASE("what is worked out of other rows takes over how far, on what and from which files") {
  const std::string first =
      Replaced(kSize + kHead + kFitted, "mechanism", "rests_on = \"stand-in\"\nmechanism");
  const Rows rows = Rows::Parse(first + Second("product = [\"idle\", \"zones\"]\nper = [2]\nfactor = 3\n") +
                                    Replaced(Second("sum = [\"idle\", 1]\n"), "second", "third"),
                                "rows.toml");
  const Results results = Plays({{80, 0.08}, {160, 0.16}, {315, 0.315}});
  const Worked product = WorkOut(rows, rows.rows[1], results);
  CHECK(product.value == Approx(0.63 * 7 / 2 * 3));
  CHECK(product.reach == Approx(2));
  CHECK(product.stand_in);
  CHECK(product.grows);
  CHECK(product.sources == std::set<std::size_t>{0});
  CHECK(WorkOut(rows, rows.rows[2], results).value == Approx(1.63));
  CHECK(WorkOut(rows, rows.rows[1], Plays({})).missing == "not measured yet: it needs idle");
}

TEST_CASE("rows without plays and figures without rows are named") {
  const Rows rows = Rows::Parse(kSize + kHead + kFitted, "rows.toml");
  Results results = Plays({{80, 1}});
  results.plays[0].figures = {{"g", 1}};
  CHECK(Unmatched(rows, results) == std::vector<std::string>{"row idle: no figure from f of part scale",
                                                             "figure g of part scale: no row"});
}

TEST_CASE("a mechanism that is no file is named, and none is none") {
  const Rows rows = Rows::Parse(kSize + kHead + kFitted + Second("product = [\"idle\"]\n"), "rows.toml");
  CHECK(rows.MissingMechanisms("/nonexistent") == std::vector<std::string>{"idle: src/a.cpp"});
}

}  // namespace
}  // namespace bitternmux::lab::capacity
