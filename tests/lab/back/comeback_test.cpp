// The way back as the lab tells it: beside the same day without its troubles.
#include "lab/back/comeback.h"

#include <catch2/catch.hpp>

#include "lab/scenario/scenario.h"
#include "lab/virtual/day.h"

namespace bitternmux::lab {
namespace {

const std::string kDay = R"(name = "back"
length_s = 24
[servers]
count = 6
[sidecars]
count = 5
[clients]
rate = 120
impatient = 0
[[class]]
name = "rate-check"
repeat = "safe"
work_ms = 10
aim_ms = 200
deadline_ms = 900
[[class]]
name = "space-hold"
repeat = "never"
work_ms = 10
aim_ms = 200
deadline_ms = 900
)";

nlohmann::ordered_json Play(const std::string& text) {
  const model::Figures figures = scenario::Scenario(text, "test.toml").Draw(3);
  const model::Figures calm_figures = WithoutTroubles(figures);
  Comeback seen(figures), calm(calm_figures);
  Day(figures, {&seen}).Run();
  Day(calm_figures, {&calm}).Run();
  return seen.ToJson(calm);
}

TEST_CASE(
    "all sidecars down for two seconds: full service is back once they are, and what came at once is told") {
  const auto told = Play(kDay +
                         "[[trouble]]\nname = \"kill\"\nat_s = 8\nkind = \"restart_sidecars\"\n"
                         "signal = \"kill\"\ndown_s = 2\n");
  REQUIRE(told["full_service"].size() == 1);
  CHECK(told["full_service"][0]["trouble"] == "kill");
  // A window that begins with the second in which they are up again is the first that is full.
  CHECK(told["full_service"][0]["after_s"].get<double>() >= 2);
  CHECK(told["full_service"][0]["after_s"].get<double>() <= 4);
  CHECK(told["peaks"]["list_calls"]["count"] == 5);
  CHECK(told["peaks"]["list_calls"]["second"] == 10);
  CHECK(told["peaks"]["first_contacts"]["count"].get<int>() >= 5);
  CHECK(told["peaks"]["first_contacts"]["second"] == 10);
  CHECK(told["starts"]["first_answer_ms"]["p50"].get<double>() > 0);
  CHECK(told["starts"]["first_answer_ms"]["most"].get<double>() < 2000);
  CHECK(told["starts"]["first_binding_answer_ms"]["p50"] >= told["starts"]["first_answer_ms"]["p50"]);
}

TEST_CASE("a trouble that harms nothing takes no time, and one that does not end has no way back") {
  const auto told =
      Play(kDay +
           "[[trouble]]\nat_s = 4\nkind = \"reload\"\n[[trouble]]\nat_s = 12\nkind = \"hang\"\nlen_s = 60\n");
  REQUIRE(told["full_service"].size() == 2);
  CHECK(told["full_service"][0]["after_s"] == 0);
  CHECK(told["full_service"][1]["after_s"].is_null());
  CHECK(told["starts"]["first_answer_ms"]["p50"] == -1);
}

}  // namespace
}  // namespace bitternmux::lab
