// A wheel that need not turn while nothing is due, and when its process wakes.
#include "core/timer_wheel.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>
#include <optional>
#include <random>
#include <vector>

#include "cartspring/settings.h"
#include "config/config.h"
#include "core/facade.h"
#include "core/wake_times.h"
#include "support/peers.h"

namespace bitternmux {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();

TEST_CASE("a wheel says when it is due next, and no later than it is asked for") {
  TimerWheel wheel(1000, 2);
  CHECK(wheel.NextDueMs(50) == 1050);
  wheel.Add(1200, [] {});
  CHECK(wheel.NextDueMs(50) == 1050);
  CHECK(wheel.NextDueMs(500) == 1200);
  const auto sooner = wheel.Add(1007, [] {});
  CHECK(wheel.NextDueMs(50) == 1008);
  wheel.Cancel(sooner);
  CHECK(wheel.NextDueMs(50) == 1050);
  // Due in the past, or now: at the next tick.
  wheel.Turn(1100);
  wheel.Add(0, [] {});
  CHECK(wheel.NextDueMs(50) == 1102);
  CHECK(wheel.NextDueMs(0) == 1102);
}

TEST_CASE("what is due in a later round of the wheel is not due in this one") {
  TimerWheel wheel(0, 2);
  wheel.Add(2 * 1024 + 10, [] {});  // shares its slot with 10
  CHECK(wheel.NextDueMs(50) == 50);
  CHECK(wheel.NextDueMs(1e9) == 2 * 1024);  // it looks no further than once round
  wheel.Turn(2 * 1024);
  CHECK(wheel.NextDueMs(50) == 2 * 1024 + 10);
}

TEST_CASE("a wheel tells of each time limit by when it is due") {
  std::vector<double> told;
  TimerWheel wheel(100, 2, [&](double due_ms) { told.push_back(due_ms); });
  wheel.Add(105, [] {});
  wheel.Add(3, [] {});
  CHECK(told == std::vector<double>{106, 102});
}

TEST_CASE("a process wakes for what is due first, on a tick, and sleeps no longer than told") {
  WakeTimes wakes(1000, 2, 50);
  wakes.Turning();
  CHECK_FALSE(wakes.Due(1000, 1001));  // asked for at the turn's end
  CHECK(wakes.Turned(1000, kNever) == 1050);
  CHECK_FALSE(wakes.Due(1001, 1050));
  CHECK_FALSE(wakes.Due(1001, 1049.5));  // the same tick
  CHECK(*wakes.Due(1001, 1020.5) == 1022);
  CHECK_FALSE(wakes.Due(1001, 1030));
  CHECK(*wakes.Due(1003, 900) == 1004);  // what is overdue: at the next tick
  CHECK_FALSE(wakes.Due(1003, 900));
  wakes.Turning();
  CHECK(wakes.Turned(1004.2, 1000) == 1006);
}

TEST_CASE("before its first turn a process is not told to wake") {
  WakeTimes wakes(0, 2, 50);
  CHECK_FALSE(wakes.Due(0, 0));
  CHECK(wakes.Turned(0, 7) == 8);
}

TEST_CASE("a wheel that turns only when it is told to is never late by more than a tick") {
  std::mt19937_64 random(5);
  const auto draw = [&](double most) { return std::uniform_real_distribution<double>(0, most)(random); };
  double now = 1000, wake = kNever;
  WakeTimes wakes(now, 2, 50);
  const auto set = [&](std::optional<double> at) { wake = at.value_or(wake); };
  TimerWheel wheel(now, 2, [&](double due_ms) { set(wakes.Due(now, due_ms)); });
  std::size_t rung = 0, added = 0, turns = 0;
  const auto add = [&](double in_ms) {
    const double due = now + in_ms;
    ++added;
    wheel.Add(due, [&, due] {
      ++rung;
      CHECK(now >= due);
      CHECK(now <= due + 4);  // its own tick, and the one that a callback waits for
    });
  };
  set(wakes.Turned(now, wheel.NextDueMs(50)));
  const double end = 61'000;
  for (double next_add = now; now < end;) {
    if (next_add < wake) {
      now = next_add;
      add(draw(draw(1) < 0.5 ? 30 : 4000));
      next_add += draw(400);
      continue;
    }
    now = wake;
    ++turns;
    wakes.Turning();
    wheel.Turn(now);
    if (draw(1) < 0.1) add(draw(20));
    set(wakes.Turned(now, wheel.NextDueMs(50)));
  }
  CHECK(rung + 40 > added);  // but for those due behind the end
  CHECK(turns < 2'500);      // 60 s, where one that always turns does so 30,000 times
}

TEST_CASE("the facade tells of the module's timers") {
  const cartspring::Settings settings = cartspring::ReadSettings(JsonFields(peers::TestSettings()));
  Facade facade(settings, 1);
  std::vector<double> told;
  facade.WhenTimerSet([&](double at_ms) { told.push_back(at_ms); });
  cartspring::Request job;
  job.id = 1;
  job.give_up_ms = 400;
  facade.Pick(0, job);
  REQUIRE_FALSE(told.empty());
  CHECK(*std::min_element(told.begin(), told.end()) == facade.NextTimerMs());
}

}  // namespace
}  // namespace bitternmux
