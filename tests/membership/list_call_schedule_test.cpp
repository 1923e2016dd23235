#include "membership/list_call_schedule.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace cartspring {
namespace {

TEST_CASE("an unanswered call is repeated within half of the allowed time") {
  double ask_within_ms = 10000;
  ListCallSchedule calls(ask_within_ms);
  const double due = calls.CallSent(1000, 0.5);
  CHECK(due == 1000 + 5000 * 0.875);
  CHECK_FALSE(calls.Due(due - 1));
  CHECK(calls.Due(due));
  calls.ListReceived();
  CHECK_FALSE(calls.Due(due));
  ask_within_ms = 4000;  // new settings apply at once
  CHECK(calls.CallSent(1000, 0.999) <= 3000);
}

TEST_CASE("a hundred members whose simultaneous calls stay unanswered retry spread out, and in time") {
  std::mt19937 draw(1);
  std::uniform_real_distribution<double> unit(0, 1);
  std::vector<double> due;
  const double ask_within_ms = 10000;
  for (int i = 0; i < 100; ++i) due.push_back(ListCallSchedule(ask_within_ms).CallSent(0, unit(draw)));
  std::sort(due.begin(), due.end());
  CHECK(due.back() <= 5000);
  std::ptrdiff_t peak = 0;  // the most calls in any 100 ms
  for (const double from : due) {
    peak = std::max(peak, std::count_if(due.begin(), due.end(),
                                        [&](double at) { return at >= from && at < from + 100; }));
  }
  CHECK(peak <= 20);
}

TEST_CASE("a hundred members refused simultaneously retry spread out, with a growing backoff") {
  std::mt19937 draw(1);
  std::uniform_real_distribution<double> unit(0, 1);
  const double ask_within_ms = 10000;
  std::vector<ListCallSchedule> members(100, ListCallSchedule(ask_within_ms));
  double longest_before = 0;
  for (int refusal = 0; refusal < 3; ++refusal) {
    std::vector<double> due;
    for (ListCallSchedule& member : members) {
      member.CallSent(0, unit(draw));
      due.push_back(member.CallFailed(0, unit(draw)));
    }
    std::sort(due.begin(), due.end());
    CHECK(due.back() <= 5000);
    CHECK(due.back() >= longest_before);
    // Any tenth of the spread has at most a quarter of the calls.
    const double tenth = (due.back() - due.front()) / 10;
    for (double from = due.front(); from < due.back(); from += tenth) {
      CHECK(std::count_if(due.begin(), due.end(),
                          [&](double at) { return at >= from && at < from + tenth; }) <= 25);
    }
    longest_before = due.back();
  }
}

TEST_CASE("whatever the outcome of a call and the settings, the next call follows within 5 s") {
  std::mt19937 draw(1);
  std::uniform_real_distribution<double> unit(0, 1);
  const double ask_within_ms = GENERATE(500.0, 4000.0, 10'000.0, 12'000.0, 60'000.0, 3'600'000.0);
  for (int sequence = 0; sequence < 200; ++sequence) {
    ListCallSchedule calls(ask_within_ms);
    double now = 1000;
    for (int call = 0; call < 40; ++call) {
      const double asked = now;
      double due = calls.CallSent(now, unit(draw));
      const int outcome =
          static_cast<int>(unit(draw) * 4);  // 0: no answer, 1: refused, 2: given up, 3: the watch breaks
      if (outcome == 1) due = calls.CallFailed(now, unit(draw));
      if (outcome == 2) due = calls.CallFailed(now += std::min(due - now, 4000 * unit(draw)), unit(draw));
      CHECK(due <= asked + ListCallSchedule::kMaxCallIntervalMs);
      if (outcome == 3) {
        calls.ListReceived();
        now += 100'000 * unit(draw);
        due = calls.CallFailed(now, unit(draw));
        CHECK(due <= now + ListCallSchedule::kMaxFirstRetryMs);
      }
      CHECK(due >= now);
      CHECK(calls.Due(due));
      now = due;
    }
  }
}

}  // namespace
}  // namespace cartspring
