// The states from a start to full service: each line of the table in docs/design/comeback.md by its number,
// and what holds whatever happens.
#include "comeback/comeback.h"

#include <catch2/catch.hpp>
#include <random>
#include <utility>

namespace cartspring {
namespace {

using enum ServiceState;
using Names = std::vector<std::string>;

struct Life {
  Settings settings;
  Comeback comeback{settings};
  double now = 1000;

  Life& Remembered(const Names& hosts) { return Told(hosts, true); }
  Life& Listed(const Names& hosts) { return Told(hosts, false); }
  Life& Told(const Names& hosts, bool remembered) {
    comeback.Told(
        now, hosts, [](const std::string& name) -> const std::string& { return name; }, remembered);
    return *this;
  }
  Life& Answered(int count, const Names& hosts) {
    for (int i = 0; i < count; ++i) comeback.Answered(now, hosts[static_cast<std::size_t>(i) % hosts.size()]);
    return *this;
  }
  Life& Wait(double ms) { return now += ms, *this; }
  // The states passed so far, and that each was entered in time.
  std::vector<ServiceState> States() {
    std::vector<ServiceState> out;
    for (const StateChange& change : comeback.Changes(now, 0)) out.push_back(change.state);
    return out;
  }
};
using States = std::vector<ServiceState>;

const Names kAll = {"a", "b", "c"};

}  // namespace

TEST_CASE("each line of the table of states") {
  Life life;
  SECTION("1 and 2: remembered, or nothing remembered") {
    CHECK(life.Remembered(GENERATE(Names(), kAll)).States() == States{kRemembering});
  }
  SECTION("3: discovery tells its list, whether hosts have answered or not") {
    life.Remembered(kAll).Answered(GENERATE(0, 20), kAll).Listed(kAll);
    CHECK(life.States() == States{kRemembering, kListed});
  }
  SECTION("4: refused or unanswered calls, and a watch that breaks, move nothing") {
    const bool listed = GENERATE(false, true);
    life.Remembered(kAll);
    if (listed) life.Listed(kAll);
    life.comeback.Asked(life.now, 0.5);
    life.comeback.Refused(life.now, 0.5);
    CHECK(life.States() == (listed ? States{kRemembering, kListed} : States{kRemembering}));
  }
  SECTION("5: discovery never answers") {
    CHECK(life.Remembered(kAll).Wait(29'999).States() == States{kRemembering});
    CHECK(life.Wait(1).States() == States{kRemembering, kLearning});
  }
  SECTION("6: a host of the list answers") {
    life.Remembered(kAll).Listed(kAll).Answered(1, kAll);
    CHECK(life.States() == States{kRemembering, kListed, kLearning});
  }
  SECTION("7: listed, and nothing is asked") {
    CHECK(life.Remembered(kAll).Listed(kAll).Wait(9'999).States() == States{kRemembering, kListed});
    CHECK(life.Wait(1).States() == States{kRemembering, kListed, kLearning});
  }
  SECTION("8: enough answers of two hosts, or of the only one") {
    const Names some = GENERATE(Names{"a"}, Names{"a", "b"});
    life.Remembered(some).Listed(some).Answered(8, some);
    CHECK(life.States().back() == kLearning);
    CHECK(life.Answered(1, some).States() == States{kRemembering, kListed, kLearning, kFull});
  }
  SECTION("8: not by the answers of one of many") {
    CHECK(life.Remembered(kAll).Listed(kAll).Answered(50, {"b"}).States().back() == kLearning);
  }
  SECTION("9: thin traffic") {
    life.Remembered(kAll).Listed(kAll).Answered(1, kAll);
    CHECK(life.Wait(19'999).States().back() == kLearning);
    CHECK(life.Wait(1).States().back() == kFull);
  }
  SECTION("10: a list without any of the hosts that have answered") {
    const int answers = GENERATE(3, 20);
    life.Remembered(kAll).Listed(kAll).Answered(answers, kAll).Listed({"x", "y"});
    CHECK(life.States().back() == kListed);
    CHECK(life.Answered(9, {"x", "y"}).States().back() == kFull);
  }
  SECTION("11: a list with one of them, or the same again") {
    life.Remembered(kAll).Listed(kAll).Answered(20, kAll);
    const auto before = life.States();
    CHECK(life.Listed(GENERATE(Names{"x", "a"}, kAll)).States() == before);
  }
  SECTION("12: the first list comes when time alone has led on") {
    CHECK(life.Remembered(kAll).Wait(50'000).States().back() == kFull);
    CHECK(life.Listed(kAll).States() == States{kRemembering, kLearning, kFull, kListed});
  }
  SECTION("13: without a host no time leads on, and a stay counts from when there is one") {
    CHECK(life.Remembered({}).Wait(100'000).States() == States{kRemembering});
    CHECK(life.Listed({}).Wait(100'000).States() == States{kRemembering, kListed});
    CHECK(life.Listed(kAll).Wait(9'999).States() == States{kRemembering, kListed});
    CHECK(life.Wait(1).States().back() == kLearning);
  }
}

TEST_CASE("whatever happens, no step but the table's, no stay that is too long, and a bounded memory") {
  const std::vector<std::pair<ServiceState, ServiceState>> allowed = {
      {kRemembering, kListed}, {kRemembering, kLearning}, {kListed, kLearning},
      {kLearning, kListed},    {kLearning, kFull},        {kFull, kListed}};
  for (unsigned seed = 1; seed <= 200; ++seed) {
    INFO(seed);
    std::mt19937 draw(seed);
    Life life;
    life.Remembered(kAll);
    std::uint64_t seen = 0;
    StateChange last;
    for (int i = 0; i < 300; ++i) {
      life.Wait(draw() % 4 == 0 ? draw() % 15'000 : draw() % 50);
      Names some;
      for (const char* name : {"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"})
        if (draw() % 3 == 0) some.push_back(name);
      if (some.empty()) some = kAll;
      switch (draw() % 6) {
        case 0:
          life.Listed(some);
          break;
        case 1:
          life.comeback.Refused(life.now, 0.5);
          break;
        default:
          life.Answered(1, some);
      }
      const auto changes = life.comeback.Changes(life.now, seen);
      REQUIRE(changes.size() <= Comeback::kChanges);
      for (const StateChange& change : changes) {
        REQUIRE(change.number == seen + 1);
        REQUIRE(change.at_ms <= life.now);
        if (seen > 0) {
          REQUIRE(std::ranges::find(allowed, std::pair(last.state, change.state)) != allowed.end());
          REQUIRE(change.at_ms - last.at_ms <= Comeback::LongestStay(last.state));
        }
        seen = change.number;
        last = change;
      }
      REQUIRE(life.now - last.at_ms < Comeback::LongestStay(last.state));
    }
  }
}

}  // namespace cartspring
