// Recovery without intervention: bursts do not overload hosts for good, wrong estimates correct themselves,
// and a request that cannot be served is refused early.
#include <gtest/gtest.h>

#include <limits>

#include "cartspring/fleet.h"

namespace cartspring {
namespace {

// The bound on recovery: this many service times after the fault has ended, a fleet that can carry its load
// refuses fewer than 1% of the requests, whatever the balancers had estimated before.
constexpr double kAnswerTimes = 400;
constexpr double kServiceMs = 8;

Settings FleetSettings() {
  Settings s = TestSettings();
  RequestClass check{.name = "check", .aim_ms = 300, .deadline_ms = 1340, .worth = 2, .late_worth = 0.2};
  RequestClass hold{.name = "hold", .aim_ms = 200, .deadline_ms = 1340, .worth = 8, .late_worth = 0.5};
  RequestClass issue{.name = "issue", .aim_ms = 380, .deadline_ms = 1000, .worth = 5, .late_worth = 0.25};
  hold.effect = issue.effect = Effect::kUnsafe;
  s.classes = {check, hold, issue};
  s.max_attempts = 3;
  s.worth_by_work = true;
  return s;
}

FleetPlan Plan(double load, std::uint32_t seed) {
  FleetPlan plan;
  plan.service_ms = kServiceMs;
  plan.load = load;
  plan.tip_at = 6;
  plan.seed = seed;
  return plan;
}

void ExpectWellAfterT(Fleet& fleet, const std::string& what) {
  fleet.PassTo(fleet.now() + kAnswerTimes * kServiceMs);
  const Fleet::Counts counts = fleet.PassTo(fleet.now() + 5000);
  EXPECT_GT(counts.asked, 1000) << what;
  EXPECT_LT(counts.refused_share(), 0.01) << what;
  EXPECT_GT(counts.in_time_share(), 0.97) << what;
}

TEST(Recovery, ABurstBeyondWhatHostsCanDoTipsNoneAndLeavesNothingBehind) {
  for (const std::uint32_t seed : {1u, 2u, 3u}) {
    Fleet fleet(Plan(0.6, seed), FleetSettings());
    fleet.PassTo(fleet.now() + 3000);
    fleet.plan().load = 2;
    for (int second = 0; second < 5; ++second) {
      const Fleet::Counts counts = fleet.PassTo(fleet.now() + 1000);
      EXPECT_GT(counts.in_time_share(), 0.4) << "seed " << seed << ", second " << second;
    }
    EXPECT_EQ(fleet.tipped(), 0) << "seed " << seed;
    fleet.plan().load = 0.6;
    ExpectWellAfterT(fleet, "seed " + std::to_string(seed));
  }
}

TEST(Recovery, ManyInstancesWithASmallShareEachRefuseNothingThatTheFleetCanCarry) {
  FleetPlan plan = Plan(0.7, 5);
  plan.instances = 8;
  Fleet fleet(plan, FleetSettings());
  fleet.PassTo(fleet.now() + 3000);
  const Fleet::Counts counts = fleet.PassTo(fleet.now() + 20000);
  EXPECT_GT(counts.asked, 5000);
  EXPECT_LT(counts.refused_share(), 0.01);
  EXPECT_EQ(fleet.tipped(), 0);
}

TEST(Recovery, AnswersLostInSilenceDoNotFillTheirHosts) {
  Fleet fleet(Plan(0.55, 9), FleetSettings());
  fleet.PassTo(fleet.now() + 3000);
  int answers = 0;
  fleet.loses = [&] { return ++answers % 4 == 0; };
  fleet.PassTo(fleet.now() + 2000);
  const Fleet::Counts counts = fleet.PassTo(fleet.now() + 8000);
  EXPECT_GT(counts.failed, 500);  // not refused, since they may have run
  EXPECT_LT(counts.refused, 0.02 * counts.asked);
}

TEST(Recovery, NoBeliefHoldsItselfInPlace) {
  constexpr double kInf = std::numeric_limits<double>::infinity();
  constexpr double kNan = std::numeric_limits<double>::quiet_NaN();
  struct Lie {
    std::string what;
    std::function<void(Fleet&)> tell, stop;
  };
  const auto outcome = [](const char* what, Outcome spoilt) {
    return Lie{what, [spoilt](Fleet& f) { f.spoil = [spoilt](int) { return spoilt; }; },
               [](Fleet& f) { f.spoil = nullptr; }};
  };
  const auto took = [](const char* what, std::function<double(double)> told) {
    return Lie{what, [told](Fleet& f) { f.took_of = told; }, [](Fleet& f) { f.took_of = nullptr; }};
  };
  const auto report = [](const char* what, std::function<double(double)> told) {
    return Lie{what, [told](Fleet& f) { f.report = told; }, [](Fleet& f) { f.report = nullptr; }};
  };
  const std::vector<Lie> lies = {
      outcome("every answer an error", Outcome::kError),
      outcome("all turned away", Outcome::kRefusedByHost),
      outcome("no connection", Outcome::kConnectFailed),
      outcome("every connection lost", Outcome::kConnectionLost),
      took("answers in no time", [](double) { return 0; }),
      took("answers a thousand times later", [](double t) { return 1000 * t; }),
      took("endless answers", [kInf](double) { return kInf; }),
      took("answers after no number", [kNan](double) { return kNan; }),
      report("a million held", [](double) { return 1e6; }),
      report("endless held", [kInf](double) { return kInf; }),
      report("no number held", [kNan](double) { return kNan; }),
      report("nothing held by full hosts", [](double) { return 0; }),
      {"no reports", [](Fleet& f) { f.plan().reports = false; }, [](Fleet& f) { f.plan().reports = true; }},
      {"thirty times slower",
       [](Fleet& f) {
         f.plan().service_ms *= 30;
         f.plan().load *= 30;
       },
       [](Fleet& f) {
         f.plan().service_ms /= 30;
         f.plan().load /= 30;
       }},
      {"nothing asked for an hour", [](Fleet& f) { f.plan().load = 1e-6; },
       [](Fleet& f) {
         f.PassTo(f.now() + 3.6e6);
         f.plan().load = 0.5;
         f.Wake();
       }},
      {"all instances started again", [](Fleet& f) { f.plan().load = 1.5; },
       [](Fleet& f) {
         f.plan().load = 0.5;
         f.Restart(0);
         f.Restart(1);
       }},
  };
  for (const Lie& lie : lies) {
    Fleet fleet(Plan(0.5, 7), FleetSettings());
    fleet.PassTo(fleet.now() + 3000);
    lie.tell(fleet);
    fleet.PassTo(fleet.now() + 5000);
    lie.stop(fleet);
    ExpectWellAfterT(fleet, lie.what);
  }
}

TEST(Recovery, ARequestThatEveryHostPassedOverIsGivenUpAtOnce) {
  Settings s = TestSettings();
  s.cold_from = 0.1;
  Bed bed(s);
  auto hosts = TestHosts(3);
  for (HostEntry& host : hosts) host.started_ms = bed.now - 1;
  bed.Hosts(hosts);
  for (int i = 0; i < 200; ++i) bed.Request(kUnsafeClass);
  EXPECT_EQ(bed.out.refused.size() + bed.out.sends.size(), 200u);  // none is left waiting
  EXPECT_GT(bed.out.refused.size(), 100u);
}

TEST(Recovery, WhatNobodyTookIsGivenUpByHalfOfItsTime) {
  Bed bed(TestSettings());
  const RequestId id = bed.Request(kUnsafeClass, 800);
  bed.PassTo(bed.now + 400);
  EXPECT_EQ(bed.out.refused, std::vector<RequestId>{id});
}

TEST(Recovery, RefusalsSayWhenToComeBackSpreadOutAndOnlyWhereThatIsAllowed) {
  const auto advice = [](bool allowed, double longest) {
    Settings s = TestSettings();
    s.may_advise_retry = allowed;
    s.max_retry_after_ms = longest;
    Bed bed(s);
    bed.Hosts(TestHosts(1));
    for (int i = 0; i < 100; ++i) bed.Request(kUnsafeClass);  // more than the host may have in flight
    EXPECT_GT(bed.out.advice.size(), 50u);
    return bed.out.advice;
  };
  const auto given = advice(true, 2000);
  const auto [least, most] = std::minmax_element(given.begin(), given.end());
  EXPECT_GT(*least, 0);
  EXPECT_GT(*most, 2 * *least);
  EXPECT_LT(*most, 500);
  for (const double ms : advice(true, 20)) EXPECT_LE(ms, 20);
  for (const double ms : advice(false, 2000)) EXPECT_EQ(ms, 0);
}

}  // namespace
}  // namespace cartspring
