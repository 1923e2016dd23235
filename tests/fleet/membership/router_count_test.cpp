#include "fleet/membership/router_count.h"

#include <catch2/catch.hpp>

namespace bitternmux::fleet {

TEST_CASE("router count: the sum over control machines, which rises at once and falls late") {
  RouterCount count;
  CHECK(count.Total(0) == 0);
  count.Told(1, "a", 4);
  count.Told(1, "b", 3);
  CHECK(count.Total(2) == 7);
  count.Told(100, "b", 30);
  CHECK(count.Total(101) == 34);
  // A control machine dies, and its agents turn to the other one.
  count.Told(4000, "a", 34);
  CHECK(count.Total(4001) == 34);
  // A part of them is gone for good.
  for (double now_ms = 5000; now_ms < 4000 + RouterCount::kHoldMs; now_ms += 400) {
    count.Told(now_ms, "a", 20);
    CHECK(count.Total(now_ms) == 34);
  }
  for (double now_ms = 4000 + RouterCount::kHoldMs; now_ms < 70'000; now_ms += 400) {
    count.Told(now_ms, "a", 20);
    count.Total(now_ms);
  }
  CHECK(count.Total(70'000) == 20);
}

}  // namespace bitternmux::fleet
