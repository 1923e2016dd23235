// New settings over those in use: which class has which row, and what requests under way keep.
#include "core/retune.h"

#include <catch2/catch.hpp>
#include <set>

#include "cartspring/settings.h"
#include "config/config.h"
#include "core/job_table.h"
#include "support/peers.h"

namespace bitternmux {
namespace {

using cartspring::Effect;

cartspring::Settings Settings() { return cartspring::ReadSettings(JsonFields(peers::TestSettings())); }

cartspring::RequestClass Named(const std::string& name, Effect effect) {
  cartspring::RequestClass klass = Settings().classes[0];
  klass.name = name;
  klass.effect = effect;
  return klass;
}

}  // namespace

TEST_CASE("a class keeps its row, others get new ones, and a row is used again once no job is in it") {
  const auto first = Settings();  // rate-check, space-hold
  std::set<int> held = {0};
  const auto in_use = [&](int row) { return held.count(row) > 0; };
  auto next = first;
  next.classes = {first.classes[1], Named("rate-check", Effect::kUnsafe), Named("late", Effect::kSafe)};
  const Retuned second = Retune(first, next, in_use);
  REQUIRE(second.settings.classes.size() == 4);
  // The one under way keeps its effect in its own row; the changed one goes on from what its name had
  // learned.
  CHECK((second.settings.classes[0].retired && second.settings.classes[0].effect == Effect::kSafe));
  CHECK((!second.settings.classes[1].retired && second.settings.classes[1].name == "space-hold"));
  CHECK((second.settings.classes[2].name == "rate-check" &&
         second.settings.classes[2].effect == Effect::kUnsafe));
  CHECK(second.like == std::vector<int>{0, 1, 0, -1});
  held.clear();
  const Retuned third = Retune(second.settings, first, in_use);
  REQUIRE(third.settings.classes.size() == 4);
  CHECK(
      (third.settings.classes[0].name == "rate-check" && third.settings.classes[0].effect == Effect::kSafe));
  CHECK(third.like[0] == 2);
  CHECK((third.settings.classes[2].retired && third.settings.classes[3].retired));
  // However often they change, rows do not pile up.
  Retuned last = third;
  for (int i = 0; i < 50; ++i) {
    next.classes[2].name = "late" + std::to_string(i);
    last = Retune(last.settings, next, in_use);
  }
  CHECK(last.settings.classes.size() <= 5);
}

TEST_CASE("zones and kinds keep their indexes, and the own zone its name") {
  const auto first = Settings();  // porto, lisboa; novo, velho
  auto next = first;
  next.zones = {"faro", "lisboa"};
  next.own_zone = 0;
  const Retuned retuned = Retune(first, next, [](int) { return false; });
  CHECK(retuned.settings.zones == std::vector<std::string>{"porto", "lisboa", "faro"});
  CHECK(retuned.settings.own_zone == 2);
  CHECK(retuned.settings.kinds == first.kinds);
}

TEST_CASE("a job under way is ended by the class that it came with") {
  struct Runner : ClaimRunner {
    void Start(const Claim& claim, const Job&) override { started.push_back(claim); }
    void GiveUp(JobId, int) override {}
    void Withdraw(JobId, int) override {}
    void Probe(const std::string&, const std::string&) override {}
    std::vector<Claim> started;
  } runner;
  cartspring::Settings settings = Settings();
  Facade facade{settings, 1};
  MachineList machines{settings};
  JobTable jobs{settings, facade, machines};
  jobs.Attach(runner, [] {});
  facade.MachinesRemembered(
      0, machines.Apply(
             {1, true, {{"a", "127.0.0.1:1", "porto", "novo"}, {"b", "127.0.0.1:2", "porto", "novo"}}}, 0));
  std::vector<Answer::Kind> answers;
  const auto take = [&](double now, int klass) {
    Job job;
    job.request_id = std::to_string(now);
    job.klass = klass;
    job.patience_ms = 5000;
    jobs.Take(now, job, [&](const Answer& answer) { answers.push_back(answer.kind); });
  };
  take(0, 0);  // may run again
  take(0.5, 1);
  REQUIRE(runner.started.size() == 2);
  auto next = settings;
  next.classes = {Named("rate-check", Effect::kUnsafe)};  // stricter, and space-hold is gone
  const Retuned retuned = Retune(settings, next, [&](int row) { return jobs.Holds(row); });
  facade.Retune(retuned.settings, retuned.like);
  settings = retuned.settings;
  jobs.Retuned();
  ClaimEnd broken;
  broken.outcome = cartspring::Outcome::kConnectionLost;
  jobs.ClaimEnded(10, runner.started[0], broken);
  REQUIRE(runner.started.size() == 3);  // sent again, as its class then allowed
  jobs.ClaimEnded(10, runner.started[1], broken);
  CHECK(answers == std::vector<Answer::Kind>{Answer::Kind::kFailed});
  CHECK(jobs.stats().classes.at("space-hold").aborted == 1);
  // One that comes now is of the new class, and what may have run is not sent again.
  take(20, 2);
  REQUIRE(runner.started.size() == 4);
  jobs.ClaimEnded(30, runner.started[3], broken);
  CHECK(runner.started.size() == 4);
  CHECK(answers.size() == 2);
}

}  // namespace bitternmux
