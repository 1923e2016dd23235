// Unit tests of the steps of a decision: the bounds that their headers state.
#include <gtest/gtest.h>

#include "cartspring/beliefs.h"
#include "cartspring/fixture.h"

namespace cartspring {
namespace {

TEST(Steps, TheHostTableHoldsNoMoreRowsThanWereInUseAtOnce) {
  Context ctx{TestSettings(), Random(1)};
  HostTable hosts(ctx);
  for (int day = 0; day < 50; ++day) {
    HostEntry entry;
    entry.host = "host-" + std::to_string(day);
    hosts.Update({entry}, true);
    if (day == 0) hosts[hosts.RowOf("host-0")].open_attempts = 1;  // an attempt of an unfinished request
  }
  EXPECT_EQ(hosts[hosts.RowOf("host-0")].entry.host, "host-0");
  EXPECT_LE(hosts.size(), 3);  // the one in use, the previous one and the one that replaces it
}

TEST(Steps, APauseStaysWithinOneAndAHalfTimesTheLongestDeadline) {
  Context ctx{TestSettings(), Random(1)};
  const Estimates estimates(ctx);
  Health health(ctx, estimates);
  Host host;
  for (int pause = 0; pause < 20; ++pause) {
    ctx.now = host.paused_until + 1;
    health.Pause(host);
    EXPECT_GT(host.paused_until, ctx.now);
    EXPECT_LE(host.paused_until - ctx.now, 1.5 * ctx.set.classes[kSafeClass].deadline_ms);
  }
}

TEST(Steps, OutcomesOfOneHostChangeItsEstimateWithinABoundThatFades) {
  Context ctx{TestSettings(), Random(1)};
  Estimates estimates(ctx);
  Host slow, other;
  for (int i = 0; i < 50; ++i) estimates.LearnTime(kSafeClass, other, 1, 1, 50);
  for (int i = 0; i < 50; ++i) estimates.LearnTime(kSafeClass, slow, 1, 1, 1e9);
  const auto ratio = [&] {
    return estimates.PerFigure(kSafeClass, slow) / estimates.PerFigure(kSafeClass, other);
  };
  EXPECT_GT(ratio(), 2);
  EXPECT_LE(ratio(), kMaxSlowness);
  ctx.now += 20 * ctx.set.warm_within_ms;
  EXPECT_NEAR(ratio(), 1, 1e-6);
}

// A fifth of the hosts of a kind are forty times slower than the others: this must be attributed to these
// hosts, not to their kind.
TEST(Steps, AFifthOfOutliersDoesNotMoveTheEstimateOfTheirKind) {
  Context ctx{TestSettings(), Random(1)};
  Estimates estimates(ctx);
  std::vector<Host> hosts(300);  // the instance sees only two outcomes of each
  for (std::size_t i = 0; i < 600; ++i)
    estimates.LearnTime(kSafeClass, hosts[i % hosts.size()], 1, 1, i % 5 == 0 ? 2000 : 50);
  EXPECT_LT(estimates.Expected(kSafeClass, Host(), 1, 1), 150);
}

// Otherwise the next attempts would time out after six times a very short expected time, and the time-outs
// would count against their hosts.
TEST(Steps, OneVeryQuickAnswerChangesTheEstimateWithinABound) {
  Context ctx{TestSettings(), Random(1)};
  Estimates estimates(ctx);
  HostTable hosts(ctx);
  hosts.Update(TestHosts(2), true);
  const double before = estimates.Expected(kSafeClass, hosts[0], 1, 1);
  estimates.LearnTime(kSafeClass, hosts[0], 1, 1, /*took=*/0.1);
  EXPECT_GT(estimates.Expected(kSafeClass, hosts[1], 1, 1), before / 2);
}

TEST(Steps, InALargeTierTrialsOfFailingHostsAreLimitedByRequests) {
  for (const int balancers : {2, 100}) {
    Settings settings = TestSettings();
    settings.balancers = balancers;
    Context ctx{settings, Random(1)};
    const Estimates estimates(ctx);
    Health health(ctx, estimates);
    HostTable hosts(ctx);
    hosts.Update(TestHosts(20), true);
    for (int i = 0; i < 8; ++i) {
      while (hosts[i].log_odds <= 0) health.RecordOutcome(hosts[i], /*failed=*/true);
      hosts[i].paused_until = 0;
    }
    int trials = 0;
    for (int request = 0; request < 500; ++request) {
      health.EarnToken();
      ctx.now += 60;
      const auto ready = health.Ready(hosts, /*safe=*/true);
      for (const int row : hosts.live()) {
        if (hosts[row].log_odds <= 0 || !ready(hosts[row])) continue;
        ++trials;
        health.Sent(hosts[row], 20);
        break;
      }
    }
    EXPECT_LE(trials, balancers == 2 ? 500 : 13);
    EXPECT_GE(trials, balancers == 2 ? 500 : 8);
  }
}

// Reference for Health::Ready(): which hosts are ready, computed by a scan over all of them.
std::vector<int> ReadyByFullScan(const Context& ctx, const HostTable& hosts, const Health& health) {
  std::vector<int> ready, all;
  std::size_t healthy = 0;
  for (const int i : hosts.live()) {
    const bool out = ctx.now < hosts[i].paused_until;
    if (!hosts[i].connect_failed || !out) all.push_back(i);
    if (out || health.Silent(hosts[i])) continue;
    healthy += hosts[i].log_odds <= 0;
    if (hosts[i].log_odds <= 0 || hosts[i].own == 0) ready.push_back(i);
  }
  return 2 * healthy < hosts.live().size() && !all.empty() ? all : ready;
}

TEST(Steps, CountsFromTheWatchedHostsEqualAFullScan) {
  Context ctx{TestSettings(), Random(3)};
  const Estimates estimates(ctx);
  Health health(ctx, estimates);
  HostTable hosts(ctx);
  int all_used = 0;
  for (int step = 0; step < 20000; ++step) {
    if (step % 50 == 0) hosts.Update(TestHosts(3 + static_cast<int>(ctx.random.Below(7))), true);
    ctx.now += 20 * ctx.random.Unit();
    Host& host = hosts[static_cast<int>(ctx.random.Below(static_cast<std::size_t>(hosts.size())))];
    if (ctx.random.Below(2) == 0) {
      health.Sent(host, 10);
      ++host.own;
    } else if (host.own > 0) {
      --host.own;
      health.RecordOutcome(host, host.connect_failed = ctx.random.Below(2 + step / 2000 % 4) == 0);
    } else if (ctx.random.Below(4) == 0) {
      health.RecordOutcome(host, true);  // an unanswered probe
    }
    const auto ready = health.Ready(hosts, /*safe=*/true);
    std::vector<int> ready_rows;
    std::ranges::copy_if(hosts.live(), std::back_inserter(ready_rows),
                         [&](int i) { return ready(hosts[i]); });
    const std::vector<int> by_full_scan = ReadyByFullScan(ctx, hosts, health);
    ASSERT_EQ(ready_rows, by_full_scan);
    const auto not_ready = [&](int i) { return hosts[i].Live() && (i == host.row || !ready(hosts[i])); };
    ASSERT_EQ(std::ssize(hosts.live()) - health.watched().CountIf(not_ready, {host.row}),
              std::ssize(by_full_scan) - std::ranges::count(by_full_scan, host.row));
    all_used += std::ranges::any_of(ready_rows, [&](int i) { return ctx.now < hosts[i].paused_until; });
  }
  EXPECT_GT(all_used, 100);
}

}  // namespace
}  // namespace cartspring
