#include "standstill/standstill.h"

#include <catch2/catch.hpp>

namespace bitternmux {
namespace {

TEST_CASE("a process that looks often never stood still, whenever it began") {
  Standstill still(5e9);
  for (double now = 5e9; now < 5e9 + 2000; now += 2) CHECK_FALSE(still.Woke(now));
  CHECK(still.UnreadFor(5e9 + 2000) == 0);
}

TEST_CASE("a standstill is told once, and what is read then may be as old as it is long") {
  Standstill still(100);
  CHECK_FALSE(still.Woke(100 + Standstill::kLeastMs - 1));
  const double from = 100 + Standstill::kLeastMs - 1;
  CHECK(still.Woke(from + 4000));
  CHECK(still.lasted_ms() == 4000);
  CHECK_FALSE(still.Woke(from + 4001));
  CHECK(still.UnreadFor(from + 4001) == 4001);
  // Later, what comes has just come.
  CHECK(still.UnreadFor(from + 4300) == 0);
  CHECK_FALSE(still.Woke(from + 4200));
  CHECK(still.Woke(from + 4200 + Standstill::kLeastMs));
}

}  // namespace
}  // namespace bitternmux
