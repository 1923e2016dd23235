// The states from a start to full service: each row of the table in docs/design/comeback.md by its number,
// and the invariants under random events.
#include "startup/startup_tracker.h"

#include <catch2/catch.hpp>
#include <random>
#include <utility>

namespace cartspring {
namespace {

using enum ServiceState;
using Names = std::vector<std::string>;

struct TrackerFixture {
  Settings settings;
  StartupTracker startup{settings};
  double now = 1000;

  TrackerFixture& Remembered(const Names& hosts) { return ListReceived(hosts, true); }
  TrackerFixture& FromDiscovery(const Names& hosts) { return ListReceived(hosts, false); }
  TrackerFixture& ListReceived(const Names& hosts, bool remembered) {
    startup.ListReceived(
        now, hosts, [](const std::string& name) -> const std::string& { return name; }, remembered);
    return *this;
  }
  TrackerFixture& HostAnswered(int count, const Names& hosts) {
    for (int i = 0; i < count; ++i)
      startup.HostAnswered(now, hosts[static_cast<std::size_t>(i) % hosts.size()]);
    return *this;
  }
  TrackerFixture& Wait(double ms) { return now += ms, *this; }
  // The states entered so far, in order.
  std::vector<ServiceState> States() {
    std::vector<ServiceState> out;
    for (const StateChange& change : startup.Changes(now, 0)) out.push_back(change.state);
    return out;
  }
};
using States = std::vector<ServiceState>;

const Names kAll = {"a", "b", "c"};

}  // namespace

TEST_CASE("each row of the table of transitions") {
  TrackerFixture fixture;
  SECTION("1 and 2: hosts are remembered, or none") {
    CHECK(fixture.Remembered(GENERATE(Names(), kAll)).States() == States{kRemembering});
  }
  SECTION("3: discovery sends its list, whether hosts have answered or not") {
    fixture.Remembered(kAll).HostAnswered(GENERATE(0, 20), kAll).FromDiscovery(kAll);
    CHECK(fixture.States() == States{kRemembering, kListed});
  }
  SECTION("4: failed or unanswered calls and a broken watch change no state") {
    const bool listed = GENERATE(false, true);
    fixture.Remembered(kAll);
    if (listed) fixture.FromDiscovery(kAll);
    fixture.startup.CallSent(fixture.now, 0.5);
    fixture.startup.CallFailed(fixture.now, 0.5);
    CHECK(fixture.States() == (listed ? States{kRemembering, kListed} : States{kRemembering}));
  }
  SECTION("5: discovery never answers") {
    CHECK(fixture.Remembered(kAll).Wait(29'999).States() == States{kRemembering});
    CHECK(fixture.Wait(1).States() == States{kRemembering, kLearning});
  }
  SECTION("6: a host of the list answers") {
    fixture.Remembered(kAll).FromDiscovery(kAll).HostAnswered(1, kAll);
    CHECK(fixture.States() == States{kRemembering, kListed, kLearning});
  }
  SECTION("7: listed, without requests") {
    CHECK(fixture.Remembered(kAll).FromDiscovery(kAll).Wait(9'999).States() == States{kRemembering, kListed});
    CHECK(fixture.Wait(1).States() == States{kRemembering, kListed, kLearning});
  }
  SECTION("8: enough answers from two hosts, or from the only one") {
    const Names some = GENERATE(Names{"a"}, Names{"a", "b"});
    fixture.Remembered(some).FromDiscovery(some).HostAnswered(8, some);
    CHECK(fixture.States().back() == kLearning);
    CHECK(fixture.HostAnswered(1, some).States() == States{kRemembering, kListed, kLearning, kFull});
  }
  SECTION("8: answers from one of several hosts are not enough") {
    CHECK(fixture.Remembered(kAll).FromDiscovery(kAll).HostAnswered(50, {"b"}).States().back() == kLearning);
  }
  SECTION("9: low traffic") {
    fixture.Remembered(kAll).FromDiscovery(kAll).HostAnswered(1, kAll);
    CHECK(fixture.Wait(19'999).States().back() == kLearning);
    CHECK(fixture.Wait(1).States().back() == kFull);
  }
  SECTION("10: a list without any of the hosts that have answered") {
    const int answers = GENERATE(3, 20);
    fixture.Remembered(kAll).FromDiscovery(kAll).HostAnswered(answers, kAll).FromDiscovery({"x", "y"});
    CHECK(fixture.States().back() == kListed);
    CHECK(fixture.HostAnswered(9, {"x", "y"}).States().back() == kFull);
  }
  SECTION("11: a list with one of the hosts that have answered, or the same list again") {
    fixture.Remembered(kAll).FromDiscovery(kAll).HostAnswered(20, kAll);
    const auto before = fixture.States();
    CHECK(fixture.FromDiscovery(GENERATE(Names{"x", "a"}, kAll)).States() == before);
  }
  SECTION("12: the first list arrives after transitions by time alone") {
    CHECK(fixture.Remembered(kAll).Wait(50'000).States().back() == kFull);
    CHECK(fixture.FromDiscovery(kAll).States() == States{kRemembering, kLearning, kFull, kListed});
  }
  SECTION("13: without hosts there are no transitions by time; a stay counts from the first host on") {
    CHECK(fixture.Remembered({}).Wait(100'000).States() == States{kRemembering});
    CHECK(fixture.FromDiscovery({}).Wait(100'000).States() == States{kRemembering, kListed});
    CHECK(fixture.FromDiscovery(kAll).Wait(9'999).States() == States{kRemembering, kListed});
    CHECK(fixture.Wait(1).States().back() == kLearning);
  }
}

TEST_CASE("random events cause only transitions of the table, no stay over its limit, and bounded memory") {
  const std::vector<std::pair<ServiceState, ServiceState>> allowed = {
      {kRemembering, kListed}, {kRemembering, kLearning}, {kListed, kLearning},
      {kLearning, kListed},    {kLearning, kFull},        {kFull, kListed}};
  for (unsigned seed = 1; seed <= 200; ++seed) {
    INFO(seed);
    std::mt19937 draw(seed);
    TrackerFixture fixture;
    fixture.Remembered(kAll);
    std::uint64_t seen = 0;
    StateChange last;
    for (int i = 0; i < 300; ++i) {
      fixture.Wait(draw() % 4 == 0 ? draw() % 15'000 : draw() % 50);
      Names some;
      for (const char* name : {"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"})
        if (draw() % 3 == 0) some.push_back(name);
      if (some.empty()) some = kAll;
      switch (draw() % 6) {
        case 0:
          fixture.FromDiscovery(some);
          break;
        case 1:
          fixture.startup.CallFailed(fixture.now, 0.5);
          break;
        default:
          fixture.HostAnswered(1, some);
      }
      const auto changes = fixture.startup.Changes(fixture.now, seen);
      REQUIRE(changes.size() <= StartupTracker::kMaxChanges);
      for (const StateChange& change : changes) {
        REQUIRE(change.number == seen + 1);
        REQUIRE(change.at_ms <= fixture.now);
        if (seen > 0) {
          REQUIRE(std::ranges::find(allowed, std::pair(last.state, change.state)) != allowed.end());
          REQUIRE(change.at_ms - last.at_ms <= StartupTracker::MaxStayMs(last.state));
        }
        seen = change.number;
        last = change;
      }
      REQUIRE(fixture.now - last.at_ms < StartupTracker::MaxStayMs(last.state));
    }
  }
}

}  // namespace cartspring
