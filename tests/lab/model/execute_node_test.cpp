// An execute node's rules, each by itself: times are milliseconds, work is on a standard core.
#include "lab/model/execute_node.h"

#include <catch2/catch.hpp>

#include "lab/model/random.h"

namespace bitternmux::lab::model {
namespace {

using What = NodeAction::What;

NodeFigures Plain() {
  NodeFigures figures;
  figures.slots = 2;
  figures.room = 1;
  figures.handshake_work_ms = 0;
  figures.reports = false;
  return figures;
}

// A node with what it did, by time.
struct Bench {
  explicit Bench(const NodeFigures& figures, double started_ms = -1)
      : node(figures, Seeds(7), 0, started_ms), now(std::max(0.0, started_ms)) {}

  // Lets time pass, with all that is due on the way.
  void Until(double at) {
    while (node.NextMs() <= at) {
      now = std::max(now, node.NextMs());
      node.Advance(now, out);
      Stamp();
    }
    now = at;
    node.Advance(now, out);
    Stamp();
  }
  ConnectionId Connect() {
    REQUIRE(node.Connect(now, ++connections, out));
    Stamp();
    return connections;
  }
  // A claim on a connection of its own.
  ClaimId Offer(double work_ms, double wait_ms = 0) {
    const ConnectionId connection = Connect();
    return OfferOn(connection, work_ms, wait_ms);
  }
  ClaimId OfferOn(ConnectionId connection, double work_ms, double wait_ms = 0) {
    node.Offer(now, {++claims, connection, work_ms, wait_ms}, out);
    Stamp();
    return claims;
  }
  void Apply(Step::What what, double amount = 0) {
    node.Apply(now, what, amount, out);
    Stamp();
  }
  void Stamp() {
    for (; times.size() < out.size();) times.push_back(now);
  }
  // What became of a claim, and when; null if nothing did.
  const NodeAction* Of(ClaimId claim, double* at = nullptr) const {
    for (std::size_t i = 0; i < out.size(); ++i) {
      if (out[i].claim != claim || out[i].what == What::kEffect) continue;
      if (at != nullptr) *at = times[i];
      return &out[i];
    }
    return nullptr;
  }
  bool TookEffect(ClaimId claim) const { return Count(What::kEffect, claim) == 1; }
  int Count(What what, ClaimId claim = 0) const {
    int count = 0;
    for (const NodeAction& action : out)
      count += action.what == what && (claim == 0 || action.claim == claim);
    return count;
  }

  ExecuteNode node;
  double now;
  NodeActions out;
  std::vector<double> times;
  ConnectionId connections = 0;
  ClaimId claims = 0;
};

double EndOf(const Bench& bench, ClaimId claim, ClaimEnd end) {
  double at = -1;
  const NodeAction* action = bench.Of(claim, &at);
  REQUIRE(action != nullptr);
  CHECK(action->end == end);
  return at;
}

TEST_CASE("claims in work share the cores, and others wait in turn") {
  NodeFigures figures = Plain();
  figures.speed = 2;
  Bench bench(figures);
  const ClaimId first = bench.Offer(20), second = bench.Offer(20), waits = bench.Offer(20);
  CHECK(bench.node.waiting() == 1);
  bench.Until(100);
  // Two share one core of speed 2 until both are done; the third has it alone.
  CHECK(EndOf(bench, first, ClaimEnd::kServed) == Approx(20));
  CHECK(EndOf(bench, second, ClaimEnd::kServed) == Approx(20));
  CHECK(EndOf(bench, waits, ClaimEnd::kServed) == Approx(30));
  CHECK(bench.TookEffect(waits));
}

TEST_CASE("what finds the waiting room full is declined unseen") {
  Bench bench(Plain());
  for (int i = 0; i < 3; ++i) bench.Offer(10);
  const ClaimId beyond = bench.Offer(10);
  CHECK(EndOf(bench, beyond, ClaimEnd::kDeclined) == 0);
  bench.Until(100);
  CHECK_FALSE(bench.TookEffect(beyond));
  CHECK(bench.Count(What::kAnswer) == 4);
}

TEST_CASE("a draining node finishes what it has and declines the rest") {
  Bench bench(Plain());
  const ClaimId before = bench.Offer(10);
  bench.Apply(Step::What::kDrain);
  CHECK(EndOf(bench, bench.Offer(10), ClaimEnd::kDeclined) == 0);
  bench.Until(20);
  CHECK(EndOf(bench, before, ClaimEnd::kServed) == Approx(10));
}

TEST_CASE("work stops when it is cancelled or overdue, as far as the node's figures say") {
  NodeFigures figures = Plain();
  SECTION("at once") {
    Bench bench(figures);
    const ClaimId cancelled = bench.Offer(50);
    const ClaimId overdue = bench.Offer(50, 30);
    bench.Until(20);
    bench.node.Disconnect(20, 1, bench.out);
    bench.Stamp();
    bench.Until(200);
    CHECK(EndOf(bench, cancelled, ClaimEnd::kCancelled) == 20);
    CHECK(EndOf(bench, overdue, ClaimEnd::kOverdue) == Approx(30));
    CHECK(bench.Count(What::kEffect) == 0);
  }
  SECTION("never: it goes on and takes effect") {
    figures.stops_on_close = StopsOnClose::kNothing;
    Bench bench(figures);
    const ClaimId cancelled = bench.Offer(50);
    bench.node.Disconnect(0, 1, bench.out);
    bench.Until(200);
    CHECK(bench.TookEffect(cancelled));
    CHECK(bench.Count(What::kAnswer) == 0);
  }
}

NodeFigures Cold() {
  NodeFigures figures = Plain();
  figures.room = 1000;
  figures.cold_from = 0.2;
  figures.warm_ms = 10000;
  figures.warm_within_ms = 20000;
  figures.fall_multiple = 2.5;
  figures.fall_ms = 3000;
  figures.fall_slack = 0;
  return figures;
}

TEST_CASE("a cold node that is overdriven falls, and one that is kept within does not") {
  // What it may be sent at first: 2.5 x 0.2 x 3000 ms = 1500 ms of work in 3 s.
  Bench kept(Cold(), 1000);
  for (int i = 0; i < 14; ++i) kept.Offer(100);
  CHECK(kept.node.reach() == ExecuteNode::Reach::kListens);

  Bench overdriven(Cold(), 1000);
  for (int i = 0; i < 16; ++i) overdriven.Offer(100);
  CHECK(overdriven.Count(What::kFell) == 1);
  CHECK(overdriven.node.reach() == ExecuteNode::Reach::kRefuses);
  CHECK(EndOf(overdriven, 1, ClaimEnd::kReset) == 1000);
  CHECK(overdriven.Count(What::kReset) == 16);  // each connection

  Bench declined(Cold(), 1000);  // what it declines counts, too
  declined.Apply(Step::What::kDrain);
  for (int i = 0; i < 16; ++i) declined.Offer(100);
  CHECK(declined.Count(What::kFell) == 1);

  Bench warm(Cold());
  for (int i = 0; i < 100; ++i) warm.Offer(100);
  CHECK(warm.Count(What::kFell) == 0);
}

TEST_CASE("the budget of a cold node is one for every window") {
  Bench bench(Cold(), 1000);
  for (int i = 0; i < 14; ++i) bench.Offer(100);
  bench.Until(3900);
  bench.Offer(300);  // the window still holds the first burst, and the node has warmed up a little
  CHECK(bench.Count(What::kFell) == 0);
  bench.Offer(2000);
  CHECK(bench.Count(What::kFell) == 1);
}

TEST_CASE("a cold node warms up with its work, and never slower than evenly over the stated time") {
  Bench busy(Cold(), 1000), idle(Cold(), 1000);
  // Always something to do, and never more than it may be sent.
  for (int second = 0; second < 10; ++second) {
    for (int i = 0; i < 4; ++i) busy.Offer(300 * busy.node.Warmth(busy.now));
    busy.Until(1000 + 1000 * (second + 1));
  }
  CHECK(busy.Count(What::kFell) == 0);
  CHECK(busy.node.Warmth(11000) > 0.9);
  CHECK(idle.node.Warmth(11000) == Approx(0.2 + 0.8 * 10 / 20));
  CHECK(idle.node.Warmth(21000) == 1);
}

TEST_CASE("a crowd slows a node down until it has rested") {
  NodeFigures figures = Plain();
  figures.room = 100;
  figures.tips = true;
  figures.crowd_at = 4;
  figures.crowd_ms = 1000;
  figures.crowd_slower = 4;
  figures.rest_below = 0.3;
  figures.rest_ms = 2000;
  Bench bench(figures);
  for (int i = 0; i < 16; ++i) bench.Offer(100);
  bench.Until(999);
  CHECK_FALSE(bench.node.crowded());
  CHECK(bench.node.Capacity() == 1);
  bench.Until(1001);
  CHECK(bench.node.crowded());
  CHECK(bench.node.Capacity() == Approx(0.25));
  bench.Until(3800);  // the last of it is done at 1000 + 600 x 4
  CHECK(bench.node.held() == 0);
  CHECK(bench.node.crowded());
  bench.Until(6000);
  CHECK_FALSE(bench.node.crowded());
}

TEST_CASE("connections cost work and capacity, and there are only so many") {
  NodeFigures figures = Plain();
  figures.connections = 2;
  figures.handshake_work_ms = 5;
  figures.full_tax = 0.5;
  Bench bench(figures);
  const ConnectionId used = bench.Connect();
  bench.Connect();
  CHECK_FALSE(bench.node.Connect(0, 3, bench.out));
  CHECK(bench.node.Capacity() == Approx(0.5));
  // Both handshakes come first, and all of it at half speed.
  const ClaimId claim = bench.OfferOn(used, 10);
  bench.Until(100);
  CHECK(EndOf(bench, claim, ClaimEnd::kServed) == Approx(40));
}

TEST_CASE("an idle connection ends after its time, in the way that the node has") {
  NodeFigures figures = Plain();
  figures.idle_ms = 100;
  const auto [end, what] =
      GENERATE(std::pair(IdleEnd::kClose, What::kClose), std::pair(IdleEnd::kReset, What::kReset),
               std::pair(IdleEnd::kForget, What::kForgot));
  figures.idle_end = end;
  Bench bench(figures);
  const ConnectionId connection = bench.Connect();
  bench.Until(60);
  bench.OfferOn(connection, 10);
  bench.Until(169);
  CHECK(bench.node.open() == 1);
  bench.Until(171);
  CHECK(bench.node.open() == 0);
  CHECK(bench.Count(what) == 1);
  // A request that crosses the end is answered with a reset, and did not run.
  const ClaimId late = bench.OfferOn(connection, 10);
  CHECK(EndOf(bench, late, ClaimEnd::kReset) == 171);
  CHECK(bench.out.back().what == What::kReset);
  bench.Until(300);
  CHECK_FALSE(bench.TookEffect(late));
}

TEST_CASE("a node that hangs does nothing, and goes on with what has come when it is over") {
  Bench bench(Plain());
  const ClaimId before = bench.Offer(20);
  bench.Until(10);
  bench.Apply(Step::What::kHang, 1);
  const ClaimId during = bench.Offer(10), overdue = bench.Offer(10, 50), gone = bench.Offer(10);
  bench.node.Disconnect(bench.now, 4, bench.out);
  bench.Stamp();
  bench.Until(1000);
  CHECK(bench.Count(What::kAnswer) == 0);
  bench.Apply(Step::What::kHang, 0);
  bench.Until(2000);
  CHECK(EndOf(bench, before, ClaimEnd::kServed) == Approx(1020));
  CHECK(EndOf(bench, during, ClaimEnd::kServed) == Approx(1020));
  CHECK(EndOf(bench, overdue, ClaimEnd::kDeclined) == 1000);
  CHECK(EndOf(bench, gone, ClaimEnd::kCancelled) == 10);
}

TEST_CASE("what is scripted to go wrong goes wrong") {
  Bench bench(Plain());
  const auto after = [&](Step::What what, double amount) {
    bench.Apply(what, amount);
    const ClaimId claim = bench.Offer(10);
    bench.Until(bench.now + 200);
    bench.Apply(what, what == Step::What::kSlow ? 1 : 0);
    return claim;
  };
  ClaimId claim = after(Step::What::kSlow, 4);
  CHECK(EndOf(bench, claim, ClaimEnd::kServed) == Approx(40));
  claim = after(Step::What::kFail, 1);
  CHECK(EndOf(bench, claim, ClaimEnd::kError) == Approx(200));
  CHECK_FALSE(bench.TookEffect(claim));
  claim = after(Step::What::kMute, 1);
  CHECK(bench.Of(claim)->end == ClaimEnd::kSilent);
  CHECK(bench.TookEffect(claim));
  claim = after(Step::What::kReset, 1);
  CHECK(bench.Of(claim)->end == ClaimEnd::kReset);
  claim = after(Step::What::kSpoil, 1);
  CHECK(bench.Of(claim)->spoil != Spoil::kNone);
  CHECK(bench.TookEffect(claim));
  CHECK(bench.Of(bench.Offer(10)) == nullptr);
  bench.Until(bench.now + 10);
  CHECK(bench.Of(bench.claims)->spoil == Spoil::kNone);
}

TEST_CASE("reports are refreshed now and then, and late") {
  NodeFigures figures = Plain();
  figures.reports = true;
  figures.room = 10;
  figures.report_period_ms = 1000;
  figures.report_delay_ms = 200;
  figures.report_noise = 0;
  Bench bench(figures);
  bench.Offer(10000);
  bench.Offer(10000);
  bench.Offer(10000);
  bench.Until(2500);
  bench.Apply(Step::What::kFail, 1);
  bench.Offer(1);
  CHECK(bench.out.back().report.inflight == 3);
  CHECK(bench.out.back().report.queue == 1);
  // Two more come: the last report does not know of them yet.
  bench.Apply(Step::What::kFail, 0);
  bench.Offer(10000);
  bench.Offer(10000);
  bench.Apply(Step::What::kFail, 1);
  bench.Offer(1);
  CHECK(bench.out.back().report.inflight == 3);
  bench.Until(3701);  // within a period and the delay, whatever the phase
  bench.Offer(1);
  CHECK(bench.out.back().report.inflight == 5);
}

}  // namespace
}  // namespace bitternmux::lab::model
