// Who reads the platform's list: the owner's assignments and the readers that go by them.
#include <catch2/catch.hpp>

#include "fleet/discovery/list_assigner.h"
#include "fleet/discovery/list_reader.h"

namespace bitternmux::fleet {
namespace {

const Epoch kFirst{3, 1}, kSecond{4, 2};
const LiveProcess kA{"a", 10}, kB{"b", 20}, kC{"c", 30};
const std::vector<LiveProcess> kAll = {kA, kB, kC};

ListReading ReadingAt(const ListReader::Told& told) {
  ListReading reading = told.reading;
  if (told.whole) reading.change.emplace();
  return reading;
}

}  // namespace

TEST_CASE("list assigner: the owner reads first, the next live member when nothing is heard for 0.9 s") {
  ListAssigner assigner;
  assigner.Begin(0, kFirst, kB);
  CHECK(assigner.assignment() == ListAssignment{kFirst, 1, "b", 20});
  assigner.Heard(500, {kFirst, 1, 1});
  CHECK_FALSE(assigner.Tick(500 + kListSilentMs, kAll));
  CHECK(assigner.Tick(501 + kListSilentMs, kAll));
  CHECK(assigner.assignment() == ListAssignment{kFirst, 2, "c", 30});
  // What the former reader still tells does not count.
  assigner.Heard(2000, {kFirst, 1, 2});
  CHECK(assigner.Tick(2400, kAll));
  CHECK(assigner.assignment() == ListAssignment{kFirst, 3, "a", 10});
}

TEST_CASE("list assigner: a reader whose process was restarted is assigned anew at once") {
  ListAssigner assigner;
  assigner.Begin(0, kFirst, kA);
  assigner.Heard(100, {kFirst, 1, 1});
  CHECK(assigner.Tick(150, {{"a", 11}, kB}));
  CHECK(assigner.assignment() == ListAssignment{kFirst, 2, "a", 11});
}

TEST_CASE("list assigner: a new epoch begins anew, the same one does not") {
  ListAssigner assigner;
  assigner.Begin(0, kFirst, kA);
  assigner.Tick(2000, kAll);
  const ListAssignment before = assigner.assignment();
  assigner.Begin(2000, kFirst, kA);
  CHECK(assigner.assignment() == before);
  assigner.Begin(3000, kSecond, kC);
  CHECK(assigner.assignment() == ListAssignment{kSecond, 1, "c", 30});
}

TEST_CASE(
    "list reader: reads every 0.4 s while it is assigned, in contact, and in the epoch of its assignment") {
  ListReader reader("a", 10);
  CHECK_FALSE(reader.ShouldRead(0, kFirst, true));
  reader.Assigned({kFirst, 1, "a", 10});
  int readings = 0;
  for (double now_ms = 0; now_ms < 4000; now_ms += 10) {
    if (!reader.ShouldRead(now_ms, kFirst, true)) continue;
    ++readings;
    REQUIRE(reader.Read(now_ms + 1, false));
  }
  CHECK(readings == 10);
  CHECK_FALSE(reader.ShouldRead(5000, kFirst, false));
  CHECK_FALSE(reader.ShouldRead(5000, kSecond, true));
  reader.Assigned({kFirst, 2, "b", 20});
  CHECK_FALSE(reader.ShouldRead(5000, kFirst, true));
  CHECK_FALSE(reader.acting());
}

TEST_CASE("list reader: an assignment to an earlier life of the process is none of its") {
  ListReader reader("a", 11);
  reader.Assigned({kFirst, 1, "a", 10});
  CHECK_FALSE(reader.ShouldRead(0, kFirst, true));
}

TEST_CASE("list reader: what ends after another assignment has come is dropped") {
  ListReader reader("a", 10);
  reader.Assigned({kFirst, 1, "a", 10});
  REQUIRE(reader.ShouldRead(0, kFirst, true));
  reader.Assigned({kFirst, 2, "b", 20});
  reader.ShouldRead(10, kFirst, true);
  CHECK_FALSE(reader.Read(20, true));
  // Assigned anew meanwhile: it is a reading of the former assignment all the same.
  reader.Assigned({kFirst, 3, "a", 10});
  REQUIRE(reader.ShouldRead(30, kFirst, true));
  reader.Assigned({kFirst, 4, "a", 10});
  CHECK_FALSE(reader.Read(40, true));
}

TEST_CASE("list reader: an older assignment does not take the place of a newer one") {
  ListReader reader("a", 10);
  reader.Assigned({kSecond, 1, "a", 10});
  reader.Assigned({kFirst, 9, "b", 20});
  CHECK(reader.ShouldRead(0, kSecond, true));
}

TEST_CASE("list reader: after all control machines were killed the first reading is above all before") {
  ListReader before("a", 10), after("a", 11);
  before.Assigned({kFirst, 1, "a", 10});
  ListPosition last;
  for (double now_ms = 0; now_ms < 20'000; now_ms += 400) {
    REQUIRE(before.ShouldRead(now_ms, kFirst, true));
    last = before.Read(now_ms, false)->reading.position;
  }
  after.Assigned({kSecond, 1, "a", 11});
  REQUIRE(after.ShouldRead(0, kSecond, true));
  CHECK(after.Read(1, true)->reading.position > last);
}

TEST_CASE("list reader: readings of others are taken in order, and only where their content is known") {
  ListReader reader("a", 10), other("b", 20);
  reader.Assigned({kFirst, 1, "a", 10});
  REQUIRE(reader.ShouldRead(0, kFirst, true));
  const ListReading first = ReadingAt(*reader.Read(1, true));
  REQUIRE(reader.ShouldRead(400, kFirst, true));
  const ListReading changed = ReadingAt(*reader.Read(401, true));
  REQUIRE(reader.ShouldRead(800, kFirst, true));
  const ListReading same = ReadingAt(*reader.Read(801, false));
  CHECK_FALSE(same.change);
  CHECK(other.Hear(2, first));
  CHECK_FALSE(other.Hear(3, first));
  // It has missed the second reading, and must not take its own content for the third one's.
  CHECK_FALSE(other.Hear(802, same));
  CHECK(other.newest() == first.position);
  CHECK(other.Hear(803, changed));
  CHECK(other.Hear(804, same));
  CHECK_FALSE(other.Hear(805, changed));
}

TEST_CASE("list reader: the whole list is told again now and then") {
  ListReader reader("a", 10);
  reader.Assigned({kFirst, 1, "a", 10});
  std::uint64_t whole = 0;
  for (double now_ms = 0; now_ms < 400.0 * 24; now_ms += 400) {
    REQUIRE(reader.ShouldRead(now_ms, kFirst, true));
    whole += reader.Read(now_ms, false)->whole ? 1 : 0;
  }
  CHECK(whole == 1 + 24 / kWholeEvery);
}

}  // namespace bitternmux::fleet
