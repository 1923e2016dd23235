// The figures add up, whatever comes.
#include "core/stats.h"

#include <catch2/catch.hpp>
#include <random>

#include "admin/figures.h"
#include "cartspring/settings.h"
#include "config/config.h"
#include "core/job_table.h"
#include "core/left_out.h"
#include "support/peers.h"

namespace bitternmux {

TEST_CASE("taken is what ended, what was left and what is outstanding, over random events") {
  struct Runner : ClaimRunner {
    void Start(const Claim& claim, const Job&) override { out.push_back(claim); }
    void GiveUp(JobId job, int number) override {
      std::erase_if(out, [&](const Claim& claim) { return claim.job == job && claim.number == number; });
    }
    void Withdraw(JobId, int) override {}
    void Probe(const std::string&, const std::string&) override {}
    std::vector<Claim> out;
  };
  using cartspring::Outcome;
  const auto settings = cartspring::ReadSettings(JsonFields(peers::TestSettings()));
  Facade facade{settings, 1};
  MachineList machines{settings};
  JobTable jobs{settings, facade, machines};
  Runner runner;
  jobs.Attach(runner, [] {});
  facade.MachinesRemembered(0, machines.Apply({1, true, {{"a", "127.0.0.1:1", "porto", "novo"}}}, 0));
  std::mt19937 random(7);
  std::uint64_t answers = 0, written = 0;
  std::vector<JobId> ids;
  double now = 0;
  for (int i = 0; i < 5000; ++i, now += static_cast<double>(random() % 40)) {
    const auto what = random() % 8;
    if (what < 3) {
      Job job;
      job.request_id = std::to_string(i);
      job.klass = static_cast<int>(random() % 2);
      job.patience_ms = static_cast<double>(1 + random() % 3000);
      ids.push_back(jobs.Take(now, job, [&](const Answer&) { ++answers; }));
    } else if (what == 3 && !ids.empty()) {
      jobs.SubmitterLeft(now, ids[random() % ids.size()]);
    } else if (what == 4) {
      jobs.Tick(now);
    } else if (!runner.out.empty()) {
      const std::size_t at = random() % runner.out.size();
      const Claim claim = runner.out[at];
      runner.out.erase(runner.out.begin() + static_cast<std::ptrdiff_t>(at));
      jobs.ClaimWritten();
      ++written;
      ClaimEnd end;
      end.outcome = std::vector{Outcome::kServed, Outcome::kError, Outcome::kRefusedByHost,
                                Outcome::kConnectionLost}[random() % 4];
      jobs.ClaimEnded(now, claim, end);
    }
    const Stats& stats = jobs.stats();
    std::uint64_t ended = 0;
    for (const auto& [name, ends] : stats.classes) ended += ends.succeeded + ends.declined + ends.aborted;
    REQUIRE(stats.taken == ended + stats.left + jobs.held());
    REQUIRE(ended == answers);
    REQUIRE(stats.forwards == written);
  }
  CHECK(jobs.stats().left > 0);
  const auto& ends = jobs.stats().classes.at("space-hold");
  CHECK((ends.succeeded > 0 && ends.declined > 0 && ends.aborted > 0));
}

TEST_CASE("a node counts as left out once it was so at every look for a while") {
  LeftOut left_out(500);
  for (double now = 0; now <= 400; now += 100) left_out.Look(now, {"a", now < 300 ? "b" : "c"});
  CHECK(left_out.count() == 0);
  left_out.Look(500, {"a", "b", "c"});
  CHECK(left_out.count() == 1);
  left_out.Look(800, {"b", "c"});
  CHECK(left_out.count() == 1);
  left_out.Look(900, {});
  CHECK(left_out.count() == 0);
}

TEST_CASE("each class is listed from the start, and the names are the operators'") {
  Stats stats;
  stats.classes["space-hold"] = {3, 2, 1};
  stats.classes["rate-check"];
  CHECK(
      admin::WriteFigures(stats, {4, 5, 6, 7, 8, "full", 9}) ==
      R"({"succeeded":{"rate-check":0,"space-hold":3},"declined":{"rate-check":0,"space-hold":2},)"
      R"("aborted":{"rate-check":0,"space-hold":1},"forwards":0,"outstanding":4,"discovered":5,"ejected":6,)"
      "\"sighup_applied\":7,\"sighup_rejected\":8,\"state\":\"full\",\"state_ms\":9}\n");
}

}  // namespace bitternmux
