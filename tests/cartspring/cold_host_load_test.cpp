// A cold (recently started) host fails under the total load that all instances send to it. Here many
// instances, each of which knows only how many there are, decide independently under a burst, in
// simulated time.
#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <tuple>

#include "fixture.h"

namespace cartspring {
namespace {

struct ColdScenario {
  int instances = 20;
  int hosts = 12, cold = 2;
  double calls_per_s = 4;  // calls per second that an average warm host can serve
  double load = 1.5;       // offered load as a share of the capacity of all hosts
  bool retries = true;     // every third request is a client's retry, with less time left
};

// `worst_excess`: the largest excess of a cold host over its budget of N calls in any window of `fall_ms`, as
// a share of 2 * sqrt(N) + 2, the allowance for random variation. `sent`: the calls to all cold hosts.
struct ColdLoad {
  double worst_excess = -1e9;
  int sent = 0, allowed = 0;
};

ColdLoad Simulate(const ColdScenario& scenario, std::uint64_t seed) {
  Settings settings = TestSettings();
  settings.balancers = scenario.instances;
  std::vector<std::unique_ptr<TestBed>> members;
  auto hosts = TestHosts(scenario.hosts);
  constexpr double kStartMs = 100'000;
  for (int i = 0; i < scenario.cold; ++i) hosts[static_cast<std::size_t>(i)].started_ms = kStartMs;
  for (int i = 0; i < scenario.instances; ++i) {
    members.push_back(std::make_unique<TestBed>(settings, seed * 1000 + static_cast<std::uint64_t>(i)));
    members.back()->now = kStartMs;
    members.back()->SetHosts(hosts);
  }
  std::mt19937_64 draw(seed);
  std::exponential_distribution<double> gap(scenario.hosts * scenario.calls_per_s * scenario.load / 1000);
  struct AttemptInFlight {
    double at;
    std::size_t member;
    RequestId id;
    int attempt;
    bool cold;
  };
  const auto later = [](const AttemptInFlight& a, const AttemptInFlight& b) { return a.at > b.at; };
  std::priority_queue<AttemptInFlight, std::vector<AttemptInFlight>, decltype(later)> out(later);
  std::vector<std::deque<double>> sent(static_cast<std::size_t>(scenario.cold));
  std::vector<std::size_t> seen(members.size());
  std::vector<std::map<RequestId, int>> attempts(members.size());
  ColdLoad result;
  const auto collect_sends = [&](std::size_t m, double now) {
    auto& sends = members[m]->out.sends;
    for (; seen[m] < sends.size(); ++seen[m]) {
      const auto& send = sends[seen[m]];
      const int host = send.host[0] - 'a';
      const bool cold = host < scenario.cold;
      out.push({now + (cold ? 60.0 : 20.0), m, send.id, attempts[m][send.id]++, cold});
      if (!cold) continue;
      ++result.sent;
      auto& window = sent[static_cast<std::size_t>(host)];
      window.push_back(now);
      while (window.front() <= now - settings.fall_ms) window.pop_front();
      const double age = now - kStartMs;
      const double warmth = std::min(1.0, settings.cold_from + (1 - settings.cold_from) *
                                                                   std::max(0.0, age - settings.fall_ms) /
                                                                   settings.warm_within_ms);
      const double n = settings.fall_multiple * warmth * scenario.calls_per_s * settings.fall_ms / 1000;
      result.worst_excess =
          std::max(result.worst_excess, (static_cast<double>(window.size()) - n) / (2 * std::sqrt(n) + 2));
    }
  };
  int asked = 0;
  for (double now = kStartMs; now < kStartMs + settings.warm_within_ms;) {
    now += gap(draw);
    while (!out.empty() && out.top().at <= now) {
      const AttemptInFlight end = out.top();
      out.pop();
      members[end.member]->AdvanceTo(end.at);
      members[end.member]->EndAttempt(end.id, end.attempt, Outcome::kServed, true, end.cold ? 60 : 20, 1);
      collect_sends(end.member, end.at);
    }
    const auto m = static_cast<std::size_t>(draw() % members.size());
    members[m]->AdvanceTo(now);
    members[m]->Request(kSafeClass, scenario.retries && ++asked % 3 == 0 ? 500 : 800);
    collect_sends(m, now);
  }
  return result;
}

class ColdHostLoad : public testing::TestWithParam<std::tuple<int, int, double>> {};

TEST_P(ColdHostLoad, OfAllInstancesStaysWithinTheBudgetUnderABurst) {
  const auto [instances, cold, calls_per_s] = GetParam();
  int sent = 0;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    ColdScenario scenario;
    scenario.instances = instances;
    scenario.cold = cold;
    scenario.calls_per_s = calls_per_s;
    scenario.retries = seed % 2 == 0;
    const ColdLoad result = Simulate(scenario, seed);
    EXPECT_LE(result.worst_excess, 1) << "seed " << seed;
    RecordProperty("worst" + std::to_string(seed), std::to_string(result.worst_excess));
    sent += result.sent;
  }
  EXPECT_GT(sent, 0);  // cold hosts are used
}

INSTANTIATE_TEST_SUITE_P(Members, ColdHostLoad,
                         testing::Combine(testing::Values(20, 30), testing::Values(1, 2, 6, 12),
                                          testing::Values(5.0, 10.0, 50.0)));

}  // namespace
}  // namespace cartspring
