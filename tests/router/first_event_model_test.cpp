// Tests the model with simulated engines of several speeds.
#include "router/first_event_model.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>

#include "router/server_choice.h"

namespace bitternmux::router {
namespace {

struct Engine {
  double base_ms = 12, ms_per_token = 0.03, ms_per_request = 1.5;
  double FirstEventMs(const WorkAhead& work) const {
    return base_ms + ms_per_token * work.tokens + ms_per_request * work.requests;
  }
};

Engine EngineWithFactor(double factor) {
  const Engine usual;
  return {usual.base_ms * factor, usual.ms_per_token * factor, usual.ms_per_request * factor};
}

WorkAhead RandomWork(std::mt19937& random) {
  return {std::uniform_real_distribution<double>(50, 9000)(random),
          std::uniform_real_distribution<double>(0, 30)(random)};
}

}  // namespace

TEST_CASE("first event model: learns a service three times as slow or as fast as the prior") {
  const double factor = GENERATE(1.0 / 3, 1.0, 3.0);
  const Engine engine = EngineWithFactor(factor);
  std::mt19937 random(5);
  std::uniform_real_distribution<double> noise(0.8, 1.2);
  FirstEventModel model;
  for (int i = 0; i < 1200; ++i) {
    const WorkAhead work = RandomWork(random);
    model.Learn(work, engine.FirstEventMs(work) * noise(random));
  }
  for (const WorkAhead& work : {WorkAhead{200, 2}, WorkAhead{3000, 5}, WorkAhead{9000, 20}}) {
    CAPTURE(factor, work.tokens);
    CHECK(model.Expected(work) == Approx(engine.FirstEventMs(work)).epsilon(0.25));
  }
}

TEST_CASE("first event model: follows a change of speed, a single hang has little influence") {
  std::mt19937 random(6);
  FirstEventModel model;
  const WorkAhead probe = {3000, 5};
  for (int i = 0; i < 300; ++i) {
    const WorkAhead work = RandomWork(random);
    model.Learn(work, EngineWithFactor(1).FirstEventMs(work));
  }
  const double before_ms = model.Expected(probe);
  model.Learn(probe, 5000);
  CHECK(model.Expected(probe) < 1.2 * before_ms);
  for (int i = 0; i < 1500; ++i) {
    const WorkAhead work = RandomWork(random);
    model.Learn(work, EngineWithFactor(3).FirstEventMs(work));
  }
  CHECK(model.Expected(probe) == Approx(EngineWithFactor(3).FirstEventMs(probe)).epsilon(0.2));
}

TEST_CASE("first event model: coefficients stay valid when all answers are alike") {
  FirstEventModel model;
  for (int i = 0; i < 2000; ++i) model.Learn({0, 0}, 60);
  CHECK(model.Expected({0, 0}) == Approx(60).epsilon(0.2));
  CHECK(model.MsPerToken() >= 0);
  CHECK(model.MsPerRequest() >= 0);
}

TEST_CASE("pace factor: a slow server is detected by its answers, without answers the factor decays to 1") {
  PaceFactor pace;
  CHECK(pace.At(0) == 1);
  pace.Learn(0, 100, 700);  // one outlier is not enough
  CHECK(pace.At(0) < 1.5);
  for (int i = 1; i <= 100; ++i) pace.Learn(100.0 * i, 100, 300);
  CHECK(pace.At(10'000) > 2);
  CHECK(pace.At(60'000) == Approx(1).margin(0.05));
  CHECK(PaceFactor().At(0) == 1);
}

// A single router with three servers, one a third as fast and one three times as fast as usual. The fast
// one becomes slow in the middle of the run.
TEST_CASE("server choice: prefers the fastest of three engines, and follows a change of speed") {
  constexpr double kRunMs = 120'000, kRequestIntervalMs = 60, kHalfMs = kRunMs / 2;
  std::map<std::string, double> factors = {{"i0", 1.0}, {"i1", 3.0}, {"i2", 1.0 / 3}};
  fleet::ServerMap servers;
  for (const auto& [id, factor] : factors) servers[id] = {id, "s", "10.0.0.1:80", "z", 64, false};
  ServerChoice choice({0.0015, 4}, "z", 4);
  choice.Update(0, servers);
  Prompt prompt;
  prompt.tokens_in = 1000;  // unique to the request: nothing is cached
  ServerQuery query;
  query.service = "s";
  query.prompt = &prompt;
  std::map<std::string, int> first_half, last_quarter;
  for (double now_ms = 0; now_ms < kRunMs; now_ms += kRequestIntervalMs) {
    if (now_ms >= kHalfMs) factors["i2"] = 3.0;
    const auto chosen = choice.Choose(now_ms, query).chosen;
    REQUIRE(chosen);
    choice.OnSent(now_ms, chosen->id, *chosen, &prompt);
    const double observed_ms = EngineWithFactor(factors[chosen->id]).FirstEventMs(chosen->work);
    choice.OnFirstEvent(now_ms + observed_ms, chosen->id, *chosen, observed_ms);
    choice.OnEnded(now_ms + observed_ms, chosen->id, true, chosen->uncached_tokens, ServerOutcome::kAnswered);
    if (now_ms > 5000 && now_ms < kHalfMs) ++first_half[chosen->id];
    if (now_ms > 0.75 * kRunMs) ++last_quarter[chosen->id];
  }
  CHECK(first_half["i2"] > 0.8 * (first_half["i0"] + first_half["i1"] + first_half["i2"]));
  CHECK(last_quarter["i0"] > 0.6 * (last_quarter["i0"] + last_quarter["i1"] + last_quarter["i2"]));
}

}  // namespace bitternmux::router
