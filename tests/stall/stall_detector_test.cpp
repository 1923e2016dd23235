#include "stall/stall_detector.h"

#include <catch2/catch.hpp>

namespace bitternmux {
namespace {

TEST_CASE("frequent checks detect no stall, whatever the start time") {
  StallDetector detector(5e9);
  for (double now = 5e9; now < 5e9 + 2000; now += 2) CHECK_FALSE(detector.DetectStall(now));
  CHECK(detector.MaxUnreadMs(5e9 + 2000) == 0);
}

TEST_CASE("a stall is reported once, and data read right after it may be as old as the stall is long") {
  StallDetector detector(100);
  CHECK_FALSE(detector.DetectStall(100 + StallDetector::kMinStallMs - 1));
  const double from = 100 + StallDetector::kMinStallMs - 1;
  CHECK(detector.DetectStall(from + 4000));
  CHECK(detector.last_stall_ms() == 4000);
  CHECK_FALSE(detector.DetectStall(from + 4001));
  CHECK(detector.MaxUnreadMs(from + 4001) == 4001);
  // Once the backlog is read, data is new when it is read.
  CHECK(detector.MaxUnreadMs(from + 4300) == 0);
  CHECK_FALSE(detector.DetectStall(from + 4200));
  CHECK(detector.DetectStall(from + 4200 + StallDetector::kMinStallMs));
}

}  // namespace
}  // namespace bitternmux
