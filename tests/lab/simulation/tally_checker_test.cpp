// The checker of tallies itself: histories with one fault planted in each.
#include "lab/simulation/tally_checker.h"

#include <catch2/catch.hpp>

namespace bitternmux::lab::simulation {
namespace {

TallyTry Call(const std::string& machine, double sent_ms, TallyEnd end, std::uint64_t life = 1) {
  return {machine, life, sent_ms, sent_ms + 10, end, false};
}

TallyReadRecord Read(const std::string& machine, double sent_ms, std::int64_t total, std::uint64_t life = 1) {
  return {"t", Call(machine, sent_ms, TallyEnd::kTotal, life), total, false};
}

// 5 acknowledged by a at 10,000 ms, 7 refused, 2 of which nobody knows; three machines, no faults.
TallyHistory Sound() {
  TallyHistory history;
  history.tolerated = 1;
  history.machines = {{"a"}, {"b"}, {"c"}};
  history.adds = {{"1", "t", 5, {Call("a", 10'000, TallyEnd::kAcknowledged)}},
                  {"2", "t", 7, {Call("a", 10'000, TallyEnd::kRefused)}},
                  {"3", "t", 2, {Call("b", 10'000, TallyEnd::kUnknown)}}};
  history.reads = {Read("a", 10'020, 5), Read("b", 10'020, 0), Read("b", 14'000, 5), Read("c", 14'000, 7)};
  return history;
}

std::vector<int> Invariants(TallyHistory history) {
  std::vector<int> found;
  TallyChecker checker(history, [&](int invariant, const std::string&) { found.push_back(invariant); });
  checker.Check();
  return found;
}

}  // namespace

TEST_CASE("tally checker: a sound history has no violation") { CHECK(Invariants(Sound()).empty()); }

TEST_CASE("tally checker: each planted fault is found by its number") {
  TallyHistory history = Sound();
  SECTION("the machine that acknowledged an add does not know it") {
    history.reads.push_back(Read("a", 10'020, 0));
    CHECK(Invariants(history) == std::vector<int>{kTallyMissesAdd});
  }
  SECTION("another machine does not know it after a span without fault") {
    history.reads.push_back(Read("b", 13'100, 0));
    CHECK(Invariants(history) == std::vector<int>{kTallyMissesAdd});
  }
  SECTION("an id counts twice") {
    history.reads.push_back(Read("a", 14'000, 10));
    CHECK(Invariants(history) == std::vector<int>{kTallyHoldsTooMuch});
  }
  SECTION("a refused add counts") {
    history.reads.push_back(Read("a", 14'000, 12));
    CHECK(Invariants(history) == std::vector<int>{kTallyHoldsTooMuch});
  }
  SECTION("a machine behind a cut that has lasted refuses an add of its own zone") {
    history.cuts = {{"a", "b", 5'000, 12'000}};
    history.adds.push_back({"4", "t", 1, {Call("a", 10'000, TallyEnd::kRefused)}});
    history.adds.back().tries[0].in_own_zone = true;
    CHECK(Invariants(history) == std::vector<int>{kTallyNotServed});
  }
  SECTION("a machine answers no read after all trouble") {
    history.reads.push_back({"t", Call("c", 20'000, TallyEnd::kRefused), 0, true});
    CHECK(Invariants(history) == std::vector<int>{kTallyLost});
  }
  SECTION("an add that was acknowledged in connection is gone with one disk") {
    history.disk_losses = {{"a", 10'020, 10'100}};
    history.reads.push_back({"t", Call("c", 20'000, TallyEnd::kTotal), 0, true});
    CHECK(Invariants(history) == std::vector<int>{kTallyLost});
  }
}

// Guards against a total of a machine that lost its disk and has heard of nobody.
TEST_CASE("tally checker: a machine that lost its disk serves no total by itself, however long it is alone") {
  TallyHistory history = Sound();
  history.disk_losses = {{"b", 14'000, 14'100}};
  history.cuts = {{"a", "b", 14'000, 40'000}};
  history.reads = {Read("b", 23'000, 0)};
  CHECK(Invariants(history) == std::vector<int>{kTallyMissesAdd});
}

TEST_CASE("tally checker: what nobody owes is no violation") {
  TallyHistory history = Sound();
  history.reads.clear();
  SECTION("another life, or another machine before the span without fault has passed") {
    history.reads = {Read("a", 10'020, 0, 2), Read("b", 12'900, 0)};
  }
  SECTION("a machine that is cut off from all others loses its disk before it has told them") {
    history.cuts = {{"a", "b", 9'000, 12'000}, {"c", "a", 9'000, 12'000}};
    history.disk_losses = {{"a", 13'000, 13'100}};
    history.reads = {Read("c", 30'000, 0)};
  }
  SECTION("a machine whose connections were cut a moment ago answers an add late") {
    history.cuts = {{"a", "b", 9'500, 12'000}};
    history.adds.push_back({"4", "t", 1, {Call("a", 10'000, TallyEnd::kUnknown)}});
    history.adds.back().tries[0].in_own_zone = true;
  }
  SECTION("more disks are lost at once than may be") {
    history.disk_losses = {{"a", 10'020, 10'100}, {"b", 10'020, 10'100}};
    history.reads = {Read("c", 30'000, 0)};
  }
  CHECK(Invariants(history).empty());
}

TEST_CASE("tally checker: cut off from some, with as many left as may be lost, an add is owed") {
  TallyHistory history = Sound();
  history.cuts = {{"a", "b", 9'000, 12'000}};
  history.disk_losses = {{"a", 10'500, 10'600}};
  history.reads = {Read("c", 30'000, 0)};
  CHECK(Invariants(history) == std::vector<int>{kTallyMissesAdd});
}

}  // namespace bitternmux::lab::simulation
