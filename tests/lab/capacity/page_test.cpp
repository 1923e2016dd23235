// How tables look, where they stand, and that docs/CAPACITY.md is what rows and results come to.
#include "lab/capacity/page.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>

namespace bitternmux::lab::capacity {
namespace {

const std::string kDocs = BITTERNMUX_DOCS;

std::string Contents(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  REQUIRE(in);
  return text.str();
}

Rows OurRows() { return Rows::Read(kDocs + "/capacity/rows.toml"); }
std::string OurPage() { return Contents(kDocs + "/CAPACITY.md"); }
Results OurResults() { return ReadResults(ResultFiles(kDocs + "/capacity/results")); }

// One row of each kind, at the size of ours.
Rows ThreeRows() {
  Rows rows;
  rows.size = OurRows().size;
  Row fitted;
  fitted.name = "idle";
  fitted.role = "sidecar";
  fitted.quantity = "processor time";
  fitted.what = "idle";
  fitted.unit = "%";
  fitted.factor = 100;
  fitted.way = Way::kFitted;
  fitted.figure = "core";
  fitted.part = "scale";
  fitted.over = "size";
  fitted.at = {0, "servers"};
  fitted.line = Term{0, "control_core_share"};
  fitted.line_factor = 100;
  fitted.mechanism = "src/a.cpp";
  Row product = fitted;
  product.name = "twofold";
  product.role = "discovery";
  product.way = Way::kProduct;
  product.figure.clear();
  product.factor = 1;
  product.product = {{0, "idle"}, {2, ""}};
  product.line.reset();
  product.stand_in = true;
  Row none = product;
  none.name = "door";
  none.role = "operators' door";
  none.way = Way::kNotMeasured;
  none.not_measured = "no run asks it";
  none.stand_in = false;
  none.mechanism = "none";
  rows.rows = {fitted, product, none};
  return rows;
}

Results Plays(double at_80, double at_315) {
  Results results;
  results.sources.push_back({"one.json", "bitternmux-lab scale", "0123456789abcdef", 8, 2});
  results.plays.push_back({0, "scale", {{"size", 80}}, 1, {{"core", at_80}}});
  results.plays.push_back({0, "scale", {{"size", 315}}, 1, {{"core", at_315}}});
  return results;
}

bool Holds(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

TEST_CASE("numbers have three significant digits and no more, and sizes stand as they were written") {
  CHECK(Number(0) == "0");
  CHECK(Number(0.0151949) == "0.0152");
  CHECK(Number(1.5) == "1.5");
  CHECK(Number(9.999) == "10");
  CHECK(Number(0.9999) == "1");
  CHECK(Number(-12.34) == "-12.3");
  CHECK(Number(630) == "630");
  CHECK(Number(999.6) == "1,000");
  CHECK(Number(91234) == "91,200");
  CHECK(Number(-1234567) == "-1,230,000");
  CHECK(Number(0.0000012345) == "0.00000123");
  CHECK(Exact(37000) == "37,000");
  CHECK(Exact(0.019) == "0.019");
}

TEST_CASE("a row tells figure, fit, spread, line, mechanism, file and commit") {
  const auto tables = Tables(ThreeRows(), Plays(0.008, 0.0315));
  CHECK(Holds(tables.at("sidecar"),
              "| processor time: idle (`idle`) | **6.3 %** (worked out from 315, 2 times as far) | "
              "0.01 for each of size, from 0; residual 0, 0%; R² 1; too few plays to show a line | "
              "80: 1 play, 0.8; 315: 1 play, 3.15 | at most 1.9 % | `src/a.cpp` | 1: 0123456789ab |\n"));
  INFO(tables.at("sidecar"));
  CHECK(Holds(tables.at("results"), "| 1 | `bitternmux-lab scale` | 0123456789ab | 8 | 2 | `one.json` |\n"));
}

TEST_CASE("a slope that noise made is called so, with the figure and as the fleet grows") {
  Results results = Plays(0.0101, 0.0101);
  for (const double size : {160.0, 630.0}) {
    for (const double core : {0.01, 0.0102}) {
      results.plays.push_back({0, "scale", {{"size", size}}, results.plays.size(), {{"core", core}}});
    }
  }
  const auto tables = Tables(ThreeRows(), results);
  CHECK(Holds(tables.at("sidecar"), "; the slope is not told from chance (F 0, not over 21.2) |"));
  CHECK(Holds(tables.at("growth"), "| not up to 10 times; the slope is not told from chance |"));
}

TEST_CASE("over the line is bold, and under it is not") {
  CHECK(Holds(Tables(ThreeRows(), Plays(0.02, 0.02)).at("sidecar"), "**2 %**"));
  CHECK_FALSE(Holds(Tables(ThreeRows(), Plays(0.018, 0.018)).at("sidecar"), "**"));
}

TEST_CASE("what was not measured, rests on the stand-in or is extrapolated is called so") {
  const auto tables = Tables(ThreeRows(), Plays(0.001, 0.00315));
  CHECK(Holds(tables.at("operators-door"), "| not measured: no run asks it |"));
  CHECK(Holds(tables.at("discovery"), "times what was measured), on the stand-in alone |"));
  const std::string& listed = tables.at("not-measured");
  CHECK(Holds(listed, "(`idle`) | extrapolated, 2 times as far as measured |"));
  CHECK(Holds(listed, "(`twofold`) | rests on what stands in for discovery alone; extrapolated, 2 times"));
  CHECK(Holds(listed, "(`door`) | not measured: no run asks it |"));
  const auto empty = Tables(ThreeRows(), {});
  CHECK(Holds(empty.at("sidecar"), "| not measured yet |"));
  CHECK(Holds(empty.at("discovery"), "| not measured yet: it needs idle |"));
  CHECK(Holds(empty.at("results"), "not measured yet"));
}

TEST_CASE("what crosses its line first stands first, and what has no figure last") {
  Rows rows = ThreeRows();
  Row never = rows.rows[0], late = rows.rows[0], missing = rows.rows[0];
  never.name = "never";
  never.line = Term{1000, ""};
  late.name = "late";
  late.line = Term{0.03, ""};
  missing.name = "missing";
  missing.figure = "absent";
  rows.rows = {missing, never, late, rows.rows[0]};
  // 0.63% at the size: over 1.9% from 3.02 times on, over 3% from 4.76 times on.
  const std::string table = Tables(rows, Plays(0.0008, 0.00315)).at("growth");
  const std::size_t first = table.find("`idle`"), second = table.find("`late`");
  CHECK(first < second);
  CHECK(second < table.find("`never`"));
  CHECK(table.find("`never`") < table.find("`missing`"));
  CHECK(Holds(table, "| 3.02 times the size |"));
  CHECK(Holds(table, "| 4.76 times the size |"));
  CHECK(Holds(table, "| not up to 10 times |"));
  CHECK(Holds(table, "| **6.3** (worked out from 315, 20 times as far) |"));
}

TEST_CASE("markers must pair, name each table once, and leave none out") {
  const std::map<std::string, std::string> tables = {{"a", "| x |\n"}, {"b", "| y |\n"}};
  const std::string a = "<!-- table: a -->\nold\n<!-- end -->\n", b = "<!-- table: b -->\n<!-- end -->\n";
  CHECK(Placed("one\n" + a + "two\n" + b, tables) ==
        "one\n<!-- table: a -->\n| x |\n<!-- end -->\ntwo\n<!-- table: b -->\n| y |\n<!-- end -->\n");
  CHECK_THROWS_WITH(Placed(a, tables), "line 3: the page has no table 'b'");
  CHECK_THROWS_WITH(Placed(a + b + a, tables), "line 6: the table 'a' is there twice");
  CHECK_THROWS_WITH(Placed("<!-- table: a -->\n" + b, tables),
                    "line 1: the table has no end marker before the next begins");
  CHECK_THROWS_WITH(Placed(b + "<!-- table: a -->\n", tables), "line 3: the table has no end marker");
  CHECK_THROWS_WITH(Placed(a + "<!-- end -->\n" + b, tables), "line 4: the marker ends no table");
  CHECK_THROWS_WITH(Placed("<!-- table: c -->\n<!-- end -->\n", tables), "line 1: there is no table 'c'");
  CHECK_THROWS_WITH(Placed("<!-- table: a\n", tables), "line 1: the marker has no end");
}

TEST_CASE("docs/CAPACITY.md is what rows and results come to") {
  const std::string page = OurPage();
  const auto difference = FirstDifference(page, Placed(page, Tables(OurRows(), OurResults())));
  INFO("docs/CAPACITY.md: " << difference.value_or("") << "; bitternmux-lab capacity --write puts it right");
  CHECK_FALSE(difference);
}

TEST_CASE("each mechanism that docs/CAPACITY.md names is a file of the program") {
  CHECK(OurRows().MissingMechanisms(kDocs + "/..") == std::vector<std::string>{});
}

TEST_CASE(
    "docs/CAPACITY.md has each row of the size, each role's quantities and each of the operators' lines") {
  const std::string page = OurPage();
  const Rows rows = OurRows();
  for (const SizeKey& key : SizeKeys()) {
    const std::string line =
        "| " + key.what + " | " + Exact(rows.size.at(key.name)) + " | `" + key.name + "` |\n";
    INFO(line);
    CHECK(Holds(page, line));
  }
  std::set<std::pair<std::string, std::string>> told;
  std::set<std::string> lines;
  for (const Row& row : rows.rows) {
    told.insert({row.role, row.quantity});
    if (row.line) lines.insert(row.line->name);
    CHECK(Holds(page, "(`" + row.name + "`)"));
  }
  for (const std::string& role : Roles()) {
    for (const char* quantity : {"state", "messages", "processor time", "memory"}) {
      INFO(role << ": " << quantity);
      CHECK(told.count({role, quantity}) == 1);
    }
  }
  for (const char* limit :
       {"change_in_force_s", "added_p99_ms", "control_core_share", "control_mb", "control_bytes_per_s"}) {
    INFO(limit);
    CHECK(lines.count(limit) == 1);
  }
}

TEST_CASE("a digit that changes in a table of a copy of the page is found, and its line named") {
  const auto tables = Tables(OurRows(), OurResults());
  const std::string page = Placed(OurPage(), tables);
  std::size_t changed = 0;
  bool inside = false;
  std::istringstream lines(page);
  std::size_t number = 0, offset = 0;
  for (std::string line; std::getline(lines, line); offset += line.size() + 1) {
    ++number;
    if (line.rfind("<!-- ", 0) == 0) inside = line != "<!-- end -->";
    const std::size_t at = line.find_first_of("0123456789");
    if (!inside || line[0] != '|' || at == std::string::npos) continue;
    std::string copy = page;
    copy[offset + at] = copy[offset + at] == '9' ? '8' : static_cast<char>(copy[offset + at] + 1);
    const auto difference = FirstDifference(copy, Placed(copy, tables));
    REQUIRE(difference);
    CHECK(difference->rfind("line " + std::to_string(number) + ": is ", 0) == 0);
    ++changed;
  }
  CHECK(changed >= SizeKeys().size() - 1);
}

}  // namespace
}  // namespace bitternmux::lab::capacity
