// Who reads the platform's list: the owner's assignments and the readers that go by them.
#include <catch2/catch.hpp>

#include "fleet/discovery/list_assigner.h"
#include "fleet/discovery/list_reader.h"
#include "fleet/discovery/list_view.h"

namespace bitternmux::fleet {
namespace {

const Epoch kFirst{3, 1}, kSecond{4, 2};
const LiveProcess kA{"a", 10}, kB{"b", 20}, kC{"c", 30};
const std::vector<LiveProcess> kAll = {kA, kB, kC};

ServerMap Servers(const std::string& id) { return {{id, {id, "model", "10.0.0.1:80", "z", 4, false}}}; }

}  // namespace

TEST_CASE("list assigner: the owner reads first, the next live member when nothing is heard for 0.9 s") {
  ListAssigner assigner;
  assigner.Begin(0, kFirst, kB);
  CHECK(assigner.assignment() == ListAssignment{kFirst, 1, "b", 20});
  CHECK(assigner.Heard(500, {kFirst, 1, "b", 20}));
  CHECK_FALSE(assigner.Tick(500 + kListSilentMs, kAll));
  CHECK(assigner.Tick(501 + kListSilentMs, kAll));
  CHECK(assigner.assignment() == ListAssignment{kFirst, 2, "c", 30});
  // What the former reader still reads is not taken.
  CHECK_FALSE(assigner.Heard(2000, {kFirst, 1, "b", 20}));
  CHECK(assigner.Tick(2400, kAll));
  CHECK(assigner.assignment() == ListAssignment{kFirst, 3, "a", 10});
}

TEST_CASE("list assigner: a reader whose process was restarted is assigned anew at once") {
  ListAssigner assigner;
  assigner.Begin(0, kFirst, kA);
  assigner.Heard(100, assigner.assignment());
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
    REQUIRE(reader.Ended());
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
  CHECK_FALSE(reader.Ended());
  // Assigned anew meanwhile: it is a reading of the former assignment all the same.
  reader.Assigned({kFirst, 3, "a", 10});
  REQUIRE(reader.ShouldRead(30, kFirst, true));
  reader.Assigned({kFirst, 4, "a", 10});
  CHECK_FALSE(reader.Ended());
}

TEST_CASE("list reader: an older assignment does not take the place of a newer one") {
  ListReader reader("a", 10);
  reader.Assigned({kSecond, 1, "a", 10});
  reader.Assigned({kFirst, 9, "b", 20});
  CHECK(reader.ShouldRead(0, kSecond, true));
}

TEST_CASE("list reader: one reading at a time, also where one takes long") {
  ListReader reader("a", 10);
  reader.Assigned({kFirst, 1, "a", 10});
  REQUIRE(reader.ShouldRead(0, kFirst, true));
  CHECK_FALSE(reader.ShouldRead(2000, kFirst, true));
  CHECK(reader.Ended());
  CHECK(reader.ShouldRead(2001, kFirst, true));
}

TEST_CASE("list view: after all control machines were killed the first reading is above all before") {
  ListView before, after;
  ListPosition last;
  for (double now_ms = 0; now_ms < 20'000; now_ms += 400) {
    last = before.Publish(now_ms, kFirst, Servers("a")).position;
  }
  CHECK(after.Publish(0, kSecond, Servers("b")).position > last);
}

TEST_CASE("list view: readings are taken in order, and only where their content is known") {
  ListView owner, other;
  const ListReading first = owner.Publish(0, kFirst, Servers("a"));
  const ListReading changed = owner.Publish(400, kFirst, Servers("b"));
  const ListReading same = owner.Publish(800, kFirst, Servers("b"));
  CHECK_FALSE(same.change);
  CHECK(same.content == changed.position);
  CHECK(other.Take(2, first));
  CHECK_FALSE(other.Take(3, first));
  // It has missed the second reading, and must not take its own content for the third one's.
  CHECK_FALSE(other.Take(802, same));
  CHECK(other.newest() == first.position);
  CHECK(other.servers() == Servers("a"));
  CHECK(other.Take(803, changed));
  CHECK(other.Take(804, same));
  CHECK(other.servers() == Servers("b"));
  CHECK_FALSE(other.Take(805, changed));
}

TEST_CASE("list view: a reading of an older epoch is not taken") {
  ListView former, present, other;
  const ListReading late = former.Publish(0, kFirst, Servers("a"));
  CHECK(other.Take(1, present.Publish(0, kSecond, Servers("b"))));
  CHECK_FALSE(other.Take(2, late));
  CHECK(other.servers() == Servers("b"));
}

TEST_CASE("list view: the whole list is told with each change, and again now and then") {
  ListView owner;
  std::uint64_t whole = 0;
  for (double now_ms = 0; now_ms < 400.0 * 24; now_ms += 400) {
    whole += owner.Publish(now_ms, kFirst, Servers("a")).change ? 1 : 0;
  }
  CHECK(whole == 1 + 24 / kWholeEvery);
  CHECK(owner.Publish(10'000, kFirst, Servers("b")).change);
}

}  // namespace bitternmux::fleet
