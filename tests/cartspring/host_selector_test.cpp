// Host selection: ranking, ties, the probability of passing over a host, and ranking with few or no
// load reports.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "cartspring/fixture.h"

namespace cartspring {
namespace {

Settings ProbeSettings() {
  Settings settings = TestSettings();
  settings.reporting = Reporting::kProbe;
  return settings;
}

// Sends one request while probes answer with the given loads; returns the host that it went to, if any.
std::string SendWithLoads(TestBed& bed, const std::map<std::string, double>& loads) {
  bed.now += 1000;  // older reports are no longer fresh
  bed.out.timers.clear();
  const std::size_t probed = bed.out.probes.size();
  const RequestId id = bed.Request(kSafeClass);
  for (std::size_t i = probed; i < bed.out.probes.size(); ++i) {
    const std::string host = bed.out.probes[i];
    bed.ReportProbe(host, loads.at(host));
  }
  if (bed.out.sends.empty() || bed.out.sends.back().id != id) return "";
  bed.EndAttempt(id, 0, Outcome::kServed, true, 100);
  return bed.out.sends.back().host;
}

TEST(HostSelection, HostsAreChosenInOrderOfLoadEachSkippedWithAFixedProbability) {
  TestBed bed(ProbeSettings());
  bed.SetHosts(TestHosts(3));
  std::map<std::string, int> chosen;
  const int requests = 20000;
  for (int i = 0; i < requests; ++i) ++chosen[SendWithLoads(bed, {{"a", 5}, {"b", 1}, {"c", 20}})];
  // Each host is passed over with r = 0.1 and the selection starts over after the last: the k-th host gets a
  // share of (1 - r) r^k / (1 - r^3).
  EXPECT_NEAR(chosen["b"] / double(requests), 0.9 / 0.999, 0.01);
  EXPECT_NEAR(chosen["a"] / double(requests), 0.09 / 0.999, 0.01);
  EXPECT_NEAR(chosen["c"] / double(requests), 0.009 / 0.999, 0.004);
}

TEST(HostSelection, TheSkipProbabilityDoesNotDependOnTheLoad) {
  for (const double worse : {2.0, 12.0}) {
    TestBed bed(ProbeSettings());
    bed.SetHosts(TestHosts(2));
    int skipped = 0;
    for (int i = 0; i < 10000; ++i) skipped += SendWithLoads(bed, {{"a", 1}, {"b", worse}}) == "b";
    EXPECT_NEAR(skipped / 10000.0, 0.09 / 0.99, 0.012) << worse;
  }
}

TEST(HostSelection, TiesAreInRandomOrder) {
  TestBed bed(ProbeSettings());
  bed.SetHosts(TestHosts(4));
  std::map<std::string, int> chosen;
  for (int i = 0; i < 8000; ++i) ++chosen[SendWithLoads(bed, {{"a", 3}, {"b", 3}, {"c", 3}, {"d", 3}})];
  for (const auto& [host, count] : chosen) EXPECT_NEAR(count, 2000, 200) << host;
  EXPECT_EQ(chosen.size(), 4u);
}

TEST(HostSelection, ASingleHostIsAlwaysChosen) {
  TestBed bed(ProbeSettings());
  bed.SetHosts(TestHosts(1));
  for (int i = 0; i < 2000; ++i) EXPECT_EQ(SendWithLoads(bed, {{"a", 3}}), "a");
}

TEST(HostSelection, LoadIsDividedByTheWeightWhereWeightsAreKnown) {
  for (const bool known : {false, true}) {
    Settings settings = ProbeSettings();
    settings.weights_known = known;
    TestBed bed(settings);
    auto hosts = TestHosts(2);
    hosts[0].weight = 4;
    bed.SetHosts(hosts);
    int large = 0;
    for (int i = 0; i < 1000; ++i) large += SendWithLoads(bed, {{"a", 6}, {"b", 4}}) == "a";
    EXPECT_EQ(large > 500, known);
  }
}

TEST(HostSelection, QueueLengthRanksWhereNoInFlightIsReported) {
  TestBed bed(ProbeSettings());
  bed.SetHosts(TestHosts(2));
  int chosen = 0;
  for (int i = 0; i < 1000; ++i) {
    bed.now += 1000;
    const RequestId id = bed.Request(kSafeClass);
    for (const char* host : {"a", "b"}) {
      const LoadReport report{-1, host[0] == 'a' ? 7.0 : 1.0};
      bed.balancer.OnProbeResult(bed.now, host, true, 1, &report);
    }
    chosen += bed.out.sends.back().host == "b";
    bed.EndAttempt(id, 0, Outcome::kServed, true, 100);
  }
  EXPECT_GT(chosen, 850);
}

TEST(HostSelection, WithoutAnyReportTheRequestIsSentAfterTheProbeWait) {
  TestBed bed(ProbeSettings());
  bed.SetHosts(TestHosts(3));
  bed.Request(kSafeClass);
  EXPECT_TRUE(bed.out.sends.empty());
  bed.AdvanceTo(bed.now + 10);
  EXPECT_EQ(bed.out.sends.size(), 1u);
}

TEST(HostSelection, AHostWhoseProbeDoesNotAnswerIsNotRankedBesideOthersThatDo) {
  TestBed bed(ProbeSettings());
  bed.SetHosts(TestHosts(3));
  for (int i = 0; i < 50; ++i) {
    bed.now += 1000;
    const std::size_t probed = bed.out.probes.size();
    const RequestId id = bed.Request(kSafeClass);
    for (std::size_t k = probed; k < bed.out.probes.size(); ++k) {
      if (bed.out.probes[k] == "a") bed.balancer.OnProbeResult(bed.now, "a", false, 1, nullptr);
      if (bed.out.probes[k] != "a") bed.ReportProbe(bed.out.probes[k], 3);
    }
    ASSERT_FALSE(bed.out.sends.empty());
    ASSERT_EQ(bed.out.sends.back().id, id);
    EXPECT_NE(bed.out.sends.back().host, "a");
    bed.EndAttempt(id, 0, Outcome::kServed, true, 100);
  }
}

TEST(HostSelection, OwnSendsSinceTheReportCount) {
  // Reports come only with answers: between two reports the instance's own sends must spread the load.
  TestBed bed(TestSettings());
  bed.SetHosts(TestHosts(4));
  std::map<std::string, int> chosen;
  for (int i = 0; i < 20; ++i) {
    bed.Request(kSafeClass);
    ++chosen[bed.out.sends.back().host];
  }
  for (const auto& [host, count] : chosen) EXPECT_NEAR(count, 5, 2) << host;
}

TEST(HostSelection, WithoutReportsOrProbesOwnSendsAloneSpreadTheLoad) {
  Settings settings = TestSettings();
  settings.reporting = Reporting::kNone;
  settings.may_probe = false;
  TestBed bed(settings);
  bed.SetHosts(TestHosts(5));
  std::map<std::string, int> chosen;
  for (int i = 0; i < 25; ++i) {
    bed.Request(kSafeClass);
    ++chosen[bed.out.sends.back().host];
  }
  EXPECT_TRUE(bed.out.probes.empty());
  for (const auto& [host, count] : chosen) EXPECT_NEAR(count, 5, 2) << host;
}

TEST(HostSelection, ProbesNeverGoOutWhereTheyAreNotAllowed) {
  Settings settings = ProbeSettings();
  settings.may_probe = false;
  TestBed bed(settings);
  bed.SetHosts(TestHosts(3));
  for (int i = 0; i < 12; ++i) bed.Request(kSafeClass);
  EXPECT_TRUE(bed.out.probes.empty());
  EXPECT_EQ(bed.out.sends.size(), 12u);
}

TEST(HostSelection, TheProbePriceBoundsTheSampleSize) {
  for (const auto& [price, probes] :
       std::map<double, std::size_t>{{0.001, 5}, {0.004, 3}, {0.008, 2}, {0.5, 2}}) {
    Settings settings = ProbeSettings();
    settings.probe_price = price;
    TestBed bed(settings);
    bed.SetHosts(TestHosts(20));
    bed.Request(kSafeClass);
    EXPECT_EQ(bed.out.probes.size(), probes) << price;
  }
}

TEST(HostSelection, HalfOfTheSampleHasAnIdleConnectionWhereThereAreAny) {
  Settings settings = ProbeSettings();
  settings.connection_idle_ms = 100000;
  TestBed bed(settings);
  bed.SetHosts(TestHosts(26));
  std::set<std::string> connected;
  for (int i = 0; i < 60; ++i) {
    bed.now += 1000;
    bed.out.timers.clear();
    const std::size_t probed = bed.out.probes.size();
    const RequestId id = bed.Request(kSafeClass);
    ASSERT_EQ(bed.out.probes.size(), probed + 5);
    int of_connected = 0;
    for (std::size_t k = probed; k < probed + 5; ++k) {
      of_connected += static_cast<int>(connected.count(bed.out.probes[k]));
      bed.ReportProbe(bed.out.probes[k], 3);
    }
    EXPECT_GE(of_connected, std::min<int>(2, static_cast<int>(connected.size())));
    bed.EndAttempt(id, 0, Outcome::kServed, true, 100);
    connected.insert(bed.out.sends.back().host);
  }
}

}  // namespace

// The hosts that an instance uses for this many requests, sent one after another.
std::set<std::string> HostsUsed(TestBed& bed, int requests) {
  std::set<std::string> used;
  for (int i = 0; i < requests; ++i) {
    bed.now += 1000;  // older reports are no longer fresh
    const RequestId id = bed.Request(kSafeClass);
    if (bed.out.sends.empty() || bed.out.sends.back().id != id) continue;
    used.insert(bed.out.sends.back().host);
    bed.EndAttempt(id, 0, Outcome::kServed, true, 20, 1);
  }
  return used;
}

TEST(Subset, AnInstanceOfALargeTierUsesFewHostsAndTogetherTheyUseAll) {
  Settings settings = TestSettings();
  settings.balancers = 300;
  std::set<std::string> all;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    TestBed bed(settings, seed);
    bed.SetHosts(TestHosts(20));
    const std::set<std::string> used = HostsUsed(bed, 60);
    EXPECT_EQ(used.size(), 3u) << seed;
    all.insert(used.begin(), used.end());
  }
  EXPECT_EQ(all.size(), 20u);
}

TEST(Subset, ARemovedHostIsReplacedAndTheOthersStay) {
  Settings settings = TestSettings();
  settings.balancers = 300;
  TestBed bed(settings);
  bed.SetHosts(TestHosts(20));
  const std::set<std::string> before = HostsUsed(bed, 60);
  auto hosts = TestHosts(20);
  std::erase_if(hosts, [&](const HostEntry& entry) { return entry.host == *before.begin(); });
  bed.SetHosts(hosts);
  const std::set<std::string> after = HostsUsed(bed, 60);
  EXPECT_EQ(after.size(), 3u);
  EXPECT_EQ(after.count(*before.begin()), 0u);
  EXPECT_TRUE(std::includes(after.begin(), after.end(), std::next(before.begin()), before.end()));
}

TEST(NewConnections, AreMadeBySafeRequestsAndNotByUnsafeOnes) {
  // Host "a" has an open connection and some requests in flight; "b" was idle when last seen, but its
  // connection has been closed since.
  const auto contacts = [](int klass) {
    Settings settings = TestSettings();
    settings.handshake_price = 0.05;
    settings.connection_idle_ms = 100;
    int out = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
      TestBed bed(settings, seed);
      bed.now = 1000;
      auto hosts = TestHosts(2);
      bed.SetHosts(hosts);
      for (const int only : {1, 0}) {
        for (const int i : {0, 1}) hosts[i].state = i == only ? HostState::kLive : HostState::kDraining;
        bed.balancer.OnHostChanges(bed.now, hosts);
        bed.EndAttempt(bed.Request(kSafeClass), 0, Outcome::kServed, true, 20, only == 0 ? 2 : 0);
        if (only == 1) bed.now += 150;
      }
      hosts[1].state = HostState::kLive;
      bed.balancer.OnHostChanges(bed.now, hosts);
      bed.Request(klass);
      out += bed.out.sends.back().host == "b";
    }
    return out;
  };
  EXPECT_GT(contacts(kSafeClass), 75);
  EXPECT_LT(contacts(kUnsafeClass), 25);  // "a" is passed over with chance 0.1
}

}  // namespace cartspring
