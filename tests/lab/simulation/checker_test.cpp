// The checker itself: histories with one fault planted in each.
#include "lab/simulation/checker.h"

#include <catch2/catch.hpp>

namespace bitternmux::lab::simulation {
namespace {

CallRecord Put(std::uint64_t version, std::uint64_t builds_on, double began_ms, double ended_ms,
               CallEnd end) {
  return {CallKind::kPut, "operator", version, builds_on, 100 + version, began_ms, ended_ms, end, false, "m"};
}

CallRecord Get(std::uint64_t version, double began_ms, double ended_ms) {
  return {CallKind::kGet, "reader", version, 0, 0, began_ms, ended_ms, CallEnd::kRead, false, "m"};
}

// Versions 1, 2 and 4 in force, one on top of the other.
History Sound() {
  History history;
  fleet::ShardValue value;
  value.history = {{1, 101}, {2, 102}, {4, 104}};
  value.version = 4;
  history.committed[3] = value;
  history.calls = {Put(1, 0, 0, 10, CallEnd::kTaken),
                   Put(2, 1, 20, 30, CallEnd::kTaken),
                   Put(3, 1, 40, 50, CallEnd::kRefused),
                   Put(4, 2, 60, 90, CallEnd::kTaken),
                   Get(2, 40, 45),
                   Get(4, 65, 80),
                   Get(2, 62, 70),
                   Get(4, 100, 110)};
  return history;
}

std::vector<int> Invariants(History history) {
  const Clock clock(1);
  Checker checker(clock, history);
  checker.CheckCalls();
  std::vector<int> found;
  for (const Violation& violation : history.violations) found.push_back(violation.invariant);
  return found;
}

}  // namespace

TEST_CASE("checker: a sound history, also with calls that overlap, has no violation") {
  CHECK(Invariants(Sound()).empty());
}

TEST_CASE("checker: each planted fault is found by its number") {
  History history = Sound();
  SECTION("acknowledged and lost") {
    history.calls.push_back(Put(5, 4, 120, 130, CallEnd::kTaken));
    CHECK(Invariants(history) == std::vector<int>{4});
  }
  SECTION("another content under a number that is in force") {
    CallRecord other = Put(4, 2, 60, 90, CallEnd::kTaken);
    other.digest = 999;
    history.calls.push_back(other);
    CHECK(Invariants(history) == std::vector<int>{4});
  }
  SECTION("refused and in force") {
    history.calls.push_back(Put(2, 1, 35, 38, CallEnd::kRefused));
    CHECK(Invariants(history) == std::vector<int>{5});
  }
  SECTION("refused though it built on the newest") {
    history.calls.push_back(Put(6, 4, 120, 130, CallEnd::kRefused));
    CHECK(Invariants(history) == std::vector<int>{5});
  }
  SECTION("in force on another version than it was sent for") {
    history.calls[3].builds_on = 1;
    CHECK(Invariants(history) == std::vector<int>{6});
  }
  SECTION("versions that do not rise") {
    history.committed[3].history = {{1, 101}, {4, 104}, {2, 102}};
    const auto found = Invariants(history);
    CHECK(std::ranges::count(found, 6) > 0);
  }
  SECTION("an old state was read") {
    history.calls.push_back(Get(2, 100, 110));
    CHECK(Invariants(history) == std::vector<int>{7});
  }
  SECTION("a read that goes back behind another one") {
    history.calls.push_back(Get(2, 85, 88));  // a read that ended at 80 had seen version 4
    CHECK(Invariants(history) == std::vector<int>{7});
  }
  SECTION("a state was read before anybody had sent it") {
    history.calls.push_back(Get(4, 50, 55));
    // What was read after it has gone back behind it.
    CHECK(Invariants(history) == std::vector<int>{7, 7});
  }
  SECTION("a state was read that never was") {
    history.calls.push_back(Get(3, 100, 110));
    CHECK(Invariants(history) == std::vector<int>{7});
  }
}

TEST_CASE("checker: what is granted or let through beyond the limit in some window is found") {
  Clock clock(1);
  History history;
  Checker checker(clock, history);
  checker.UseQuota({100, 100, 0, 0, 8000});
  const auto count = GENERATE(&Checker::Granted, &Checker::Admitted);
  for (int i = 0; i < 9; ++i) {
    (checker.*count)(100);
    clock.RunUntil(clock.now_ms() + 1000);
  }
  checker.CheckQuota();
  CHECK(history.violations.empty());
  (checker.*count)(150);
  checker.CheckQuota();
  REQUIRE(history.violations.size() == 1);
  CHECK(history.violations[0].invariant == 11);
}

}  // namespace bitternmux::lab::simulation
