#include "router/retry_budget.h"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace bitternmux::router {

TEST_CASE("retry budget: over all routers no window holds more repeats than are allowed") {
  constexpr double kRatio = 0.2, kSlack = 52, kWindowMs = 10'000;
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    std::mt19937 random(seed);
    std::vector<RetryBudget> routers(6, RetryBudget({kRatio, kSlack, kWindowMs}));
    for (RetryBudget& router : routers) router.SetRouters(routers.size());
    std::vector<double> requests, repeats;
    for (double now_ms = 0; now_ms < 40'000; now_ms += 10) {
      // Everything fails, on some routers more than on others.
      RetryBudget& router = routers[std::min<std::size_t>(random() % 9, 5)];
      const bool quiet = now_ms > 15'000 && now_ms < 25'000;
      if (quiet && random() % 10 != 0) continue;
      router.Count(now_ms, "s");
      requests.push_back(now_ms);
      for (int i = 0; i < 3; ++i) {
        if (router.Spend(now_ms, "s")) repeats.push_back(now_ms);
      }
    }
    CHECK(repeats.size() > 0.1 * static_cast<double>(requests.size()));
    for (double end = kWindowMs; end < 40'000; end += 100) {
      const auto in = [&](const std::vector<double>& times) {
        double count = 0;
        for (const double at : times) count += at > end - kWindowMs && at <= end ? 1 : 0;
        return count;
      };
      CHECK(in(repeats) <= kRatio * in(requests) + kSlack);
    }
  }
}

TEST_CASE("retry budget: services have budgets of their own") {
  RetryBudget budget({0.2, 2, 1000});
  int first = 0;
  while (budget.Spend(1, "a")) ++first;
  CHECK(first >= 1);
  CHECK(budget.Spend(1, "b"));
}

}  // namespace bitternmux::router
