#include "fleet/discovery/list_role.h"

#include <catch2/catch.hpp>

namespace bitternmux::fleet {

TEST_CASE("list role: the first in order reads at once, the others only when it falls silent") {
  ListRole first(0), second(0);
  CHECK(first.ShouldRead(1, 0));
  CHECK_FALSE(second.ShouldRead(1, 1));
  const ListPosition position = first.Read(3);
  CHECK(second.Hear(4, position));
  CHECK_FALSE(second.ShouldRead(900, 1));
  CHECK(second.ShouldRead(4 + kListSilentMs + kListStaggerMs, 1));
  CHECK(second.acting());
}

TEST_CASE("list role: a reader that was frozen is refused and gives the role up") {
  ListRole first(0), second(0), third(0);
  REQUIRE(first.ShouldRead(0, 0));
  second.Hear(2, first.Read(1));
  third.Hear(2, first.newest());
  REQUIRE(first.ShouldRead(500, 0));  // a reading is under way as it freezes
  REQUIRE(second.ShouldRead(2000, 1));
  const ListPosition newer = second.Read(2001);
  CHECK(third.Hear(2002, newer));
  const ListPosition late = first.Read(3000);  // what it read is past
  CHECK_FALSE(third.Hear(3001, late));
  CHECK(first.Hear(3002, newer));
  CHECK_FALSE(first.acting());
  CHECK_FALSE(first.ShouldRead(3003, 0));
}

TEST_CASE("list role: a reader that the platform does not answer is succeeded") {
  ListRole first(0), second(0);
  REQUIRE(first.ShouldRead(0, 0));
  second.Hear(1, first.Read(1));
  for (double now_ms = 400; now_ms < 1100; now_ms += 400) {
    REQUIRE(first.ShouldRead(now_ms, 0));
    first.Failed();
  }
  CHECK(second.ShouldRead(1200, 1));
}

TEST_CASE("list role: terms of two that take over at the same moment differ") {
  ListRole second(0), third(0);
  const ListPosition seen{256, 7};
  second.Hear(0, seen);
  third.Hear(0, seen);
  REQUIRE(second.ShouldRead(5000, 1));
  REQUIRE(third.ShouldRead(5000, 2));
  const ListPosition one = second.Read(5001), other = third.Read(5001);
  CHECK(one.term != other.term);
  // The one with the lower term gives way.
  CHECK(second.Hear(5002, other));
  CHECK_FALSE(third.Hear(5002, one));
  CHECK_FALSE(second.acting());
  CHECK(third.acting());
}

TEST_CASE("list role: readings keep their pace") {
  ListRole role(0);
  int readings = 0;
  for (double now_ms = 0; now_ms < 4000; now_ms += 10) {
    if (!role.ShouldRead(now_ms, 0)) continue;
    ++readings;
    role.Read(now_ms + 1);
  }
  CHECK(readings == 10);
}

}  // namespace bitternmux::fleet
