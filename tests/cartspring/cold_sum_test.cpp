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

struct ColdPlan {
  int instances = 20;
  int hosts = 12, cold = 2;
  double calls = 4;     // calls per second that an average warm host can serve
  double load = 1.5;    // offered load as a share of the capacity of all hosts
  bool retries = true;  // every third request is a client's retry, with less time left
};

// `worst`: the largest excess of a cold host over its budget of N calls in any window of `fall_ms`, as a
// share of the 2 * sqrt(N) + 2 that random variation accounts for. `sent`: the calls sent to all cold hosts.
struct ColdSum {
  double worst = -1e9;
  int sent = 0, allowed = 0;
};

ColdSum Play(const ColdPlan& plan, std::uint64_t seed) {
  Settings settings = TestSettings();
  settings.balancers = plan.instances;
  std::vector<std::unique_ptr<Bed>> members;
  auto hosts = TestHosts(plan.hosts);
  constexpr double kFrom = 100'000;
  for (int i = 0; i < plan.cold; ++i) hosts[static_cast<std::size_t>(i)].started_ms = kFrom;
  for (int i = 0; i < plan.instances; ++i) {
    members.push_back(std::make_unique<Bed>(settings, seed * 1000 + static_cast<std::uint64_t>(i)));
    members.back()->now = kFrom;
    members.back()->Hosts(hosts);
  }
  std::mt19937_64 draw(seed);
  std::exponential_distribution<double> gap(plan.hosts * plan.calls * plan.load / 1000);
  struct Out {
    double at;
    std::size_t member;
    RequestId id;
    int attempt;
    bool cold;
  };
  const auto later = [](const Out& a, const Out& b) { return a.at > b.at; };
  std::priority_queue<Out, std::vector<Out>, decltype(later)> out(later);
  std::vector<std::deque<double>> sent(static_cast<std::size_t>(plan.cold));
  std::vector<std::size_t> seen(members.size());
  std::vector<std::map<RequestId, int>> attempts(members.size());
  ColdSum sum;
  const auto look = [&](std::size_t m, double now) {
    auto& sends = members[m]->out.sends;
    for (; seen[m] < sends.size(); ++seen[m]) {
      const auto& send = sends[seen[m]];
      const int host = send.host[0] - 'a';
      const bool cold = host < plan.cold;
      out.push({now + (cold ? 60.0 : 20.0), m, send.id, attempts[m][send.id]++, cold});
      if (!cold) continue;
      ++sum.sent;
      auto& window = sent[static_cast<std::size_t>(host)];
      window.push_back(now);
      while (window.front() <= now - settings.fall_ms) window.pop_front();
      const double age = now - kFrom;
      const double warmth = std::min(1.0, settings.cold_from + (1 - settings.cold_from) *
                                                                   std::max(0.0, age - settings.fall_ms) /
                                                                   settings.warm_within_ms);
      const double n = settings.fall_multiple * warmth * plan.calls * settings.fall_ms / 1000;
      sum.worst = std::max(sum.worst, (static_cast<double>(window.size()) - n) / (2 * std::sqrt(n) + 2));
    }
  };
  int asked = 0;
  for (double now = kFrom; now < kFrom + settings.warm_within_ms;) {
    now += gap(draw);
    while (!out.empty() && out.top().at <= now) {
      const Out end = out.top();
      out.pop();
      members[end.member]->PassTo(end.at);
      members[end.member]->End(end.id, end.attempt, Outcome::kServed, true, end.cold ? 60 : 20, 1);
      look(end.member, end.at);
    }
    const auto m = static_cast<std::size_t>(draw() % members.size());
    members[m]->PassTo(now);
    members[m]->Request(kSafeClass, plan.retries && ++asked % 3 == 0 ? 500 : 800);
    look(m, now);
  }
  return sum;
}

class ColdSumOf : public testing::TestWithParam<std::tuple<int, int, double>> {};

TEST_P(ColdSumOf, AllInstancesStaysWithinTheBudgetAndItsChanceUnderABurst) {
  const auto [instances, cold, calls] = GetParam();
  int sent = 0;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    ColdPlan plan;
    plan.instances = instances;
    plan.cold = cold;
    plan.calls = calls;
    plan.retries = seed % 2 == 0;
    const ColdSum sum = Play(plan, seed);
    EXPECT_LE(sum.worst, 1) << "seed " << seed;
    RecordProperty("worst" + std::to_string(seed), std::to_string(sum.worst));
    sent += sum.sent;
  }
  EXPECT_GT(sent, 0);  // cold hosts are used
}

INSTANTIATE_TEST_SUITE_P(Members, ColdSumOf,
                         testing::Combine(testing::Values(20, 30), testing::Values(1, 2, 6, 12),
                                          testing::Values(5.0, 10.0, 50.0)));

}  // namespace
}  // namespace cartspring
