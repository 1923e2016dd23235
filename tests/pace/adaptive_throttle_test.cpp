#include "pace/adaptive_throttle.h"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace cartspring {
namespace {

double AdmittedShare(AdaptiveThrottle& throttle, int klass) {
  int admitted = 0;
  for (int i = 0; i < 300; ++i) {
    // The classes alternate, so that each is a third of the requests.
    for (int k = 0; k < 3; ++k) {
      const bool in = throttle.Admits(k, (i + 0.5) / 300);
      if (k == klass) admitted += in;
    }
  }
  return admitted / 300.0;
}

TEST_CASE("a member that sees no late answers accepts all requests") {
  AdaptiveThrottle throttle({2, 8, 5});
  for (int i = 0; i < 100; ++i) throttle.RecordAnswer(false);
  for (int k = 0; k < 3; ++k) CHECK(AdmittedShare(throttle, k) == 1);
}

TEST_CASE(
    "a few slow hosts leave the admitted share high, many late answers lower it, and it recovers by itself") {
  AdaptiveThrottle throttle({2, 8, 5});
  for (int i = 0; i < 400; ++i) throttle.RecordAnswer(i % 5 == 0);
  CHECK(throttle.admitted_share() > 0.7);
  for (int i = 0; i < 20; ++i) throttle.RecordAnswer(true);
  CHECK(throttle.admitted_share() < 0.1);
  CHECK(throttle.admitted_share() > 0);  // otherwise no further answers could be measured
  for (int i = 0; i < 12; ++i) throttle.RecordAnswer(false);
  CHECK(throttle.admitted_share() == 1);
}

TEST_CASE("the class of least worth is shed first, that of most worth last, and none is starved") {
  AdaptiveThrottle throttle({2, 8, 5});
  while (throttle.admitted_share() > 0.55) throttle.RecordAnswer(true);
  // The share is now 0.51: capacity for one and a half of the three classes.
  const double admitted_share = throttle.admitted_share(), cheapest = AdmittedShare(throttle, 0),
               dearest = AdmittedShare(throttle, 1), between = AdmittedShare(throttle, 2);
  CHECK(cheapest + dearest + between ==
        Approx(3 * admitted_share).margin(0.1));  // the total matches the admitted share
  CHECK(cheapest == Approx(0.7 * admitted_share).margin(0.05));
  CHECK(dearest > 1.5 * admitted_share);
  CHECK(between >= cheapest - 0.05);
  while (throttle.admitted_share() < 0.9)
    throttle.RecordAnswer(false);  // only part of the cheapest class must be shed
  CHECK(AdmittedShare(throttle, 1) == 1);
  CHECK(AdmittedShare(throttle, 2) == 1);
  CHECK(AdmittedShare(throttle, 0) > 0.7 * throttle.admitted_share() - 0.05);
}

// The hosts serve 600 requests per second; a hundred members together send 1,500. Each member sees only its
// own few answers, and only after the requests queued before them were served.
TEST_CASE("a hundred members in step settle near the capacity of the hosts, with a short queue") {
  constexpr int kMembers = 100, kSteps = 600;
  constexpr double kServed = 6, kOffered = 15, kLateAt = 18;  // in steps of 10 ms
  std::vector<AdaptiveThrottle> members(kMembers, AdaptiveThrottle({1}));
  std::mt19937 draw(1);
  std::uniform_real_distribution<double> unit(0, 1);
  double waiting = 0, served = 0, longest = 0;
  std::vector<std::vector<int>> late(kSteps + 200);  // per step: the members that notice a late answer
  std::vector<std::vector<int>> good(kSteps + 200);
  for (int step = 0; step < kSteps; ++step) {
    for (AdaptiveThrottle& member : members) {
      if (unit(draw) >= kOffered / kMembers || !member.Admits(0, unit(draw))) continue;
      waiting += 1;
      const int at = step + 1 + static_cast<int>(waiting / kServed);
      auto& notified = waiting > kLateAt ? late[static_cast<std::size_t>(std::min(at, step + 3))]
                                         : good[static_cast<std::size_t>(at)];
      notified.push_back(static_cast<int>(&member - members.data()));
    }
    const double now_served = std::min(waiting, kServed);
    waiting -= now_served;
    if (step >= kSteps / 2) {
      served += now_served;
      longest = std::max(longest, waiting);
    }
    for (const int at : late[static_cast<std::size_t>(step)])
      members[static_cast<std::size_t>(at)].RecordAnswer(true);
    for (const int at : good[static_cast<std::size_t>(step)])
      members[static_cast<std::size_t>(at)].RecordAnswer(false);
  }
  CHECK(served > 0.8 * kServed * kSteps / 2);
  CHECK(longest < 4 * kLateAt);
}

}  // namespace
}  // namespace cartspring
