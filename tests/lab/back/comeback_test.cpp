// The way back as the lab tells it: beside the same day without its troubles.
#include "lab/back/comeback.h"

#include <catch2/catch.hpp>

#include "lab/scenario/scenario.h"
#include "lab/virtual/day.h"
#include "lab/virtual/recorder.h"

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

struct Seen {
  Seen(const model::Figures& figures, const std::string& text)
      : comeback(HeaderOf(figures, "virtual", "test", text),
                 static_cast<std::int64_t>(figures.first_ms * 1000)),
        feed(comeback),
        recorder(figures, feed) {
    Day(figures, {&recorder}).Run();
  }
  back::Comeback comeback;
  back::Feed feed;
  Recorder recorder;
};

nlohmann::ordered_json Play(const std::string& text) {
  const model::Figures figures = scenario::Scenario(text, "test.toml").Draw(3);
  const Seen seen(figures, text), calm(model::WithoutTroubles(figures), text);
  return seen.comeback.ToJson(&calm.comeback);
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

TEST_CASE("what harms nothing takes no time, what does not end has no way back, and a burst is no trouble") {
  const auto told =
      Play(kDay +
           "[[trouble]]\nat_s = 4\nkind = \"reload\"\n[[trouble]]\nat_s = 5\nkind = \"burst\"\nfactor = "
           "2\nlen_s = 2\n[[trouble]]\nat_s = 12\nkind = \"hang\"\nlen_s = 60\n");
  REQUIRE(told["full_service"].size() == 2);
  CHECK(told["bursts"] == 1);
  CHECK(told["full_service"][0]["after_s"] == 0);
  CHECK(told["full_service"][0]["looked_s"] == 4);  // the next window would reach into the next trouble
  CHECK(told["full_service"][0]["before"] == "hang");
  CHECK(told["full_service"][1]["after_s"].is_null());
  CHECK(told["starts"]["count"] == 0);
}

TEST_CASE("sidecars that never answer and dials that come to nothing are counted") {
  const auto told = Play(kDay +
                         "[[trouble]]\nat_s = 8\nkind = \"kill\"\n[[trouble]]\nat_s = 9\nkind = "
                         "\"restart_sidecars\"\nsignal = \"kill\"\n");
  const auto& starts = told["starts"];
  CHECK(starts["count"] == 5);
  for (const char* times : {"first_answer_ms", "first_binding_answer_ms", "full_ms"}) {
    CHECK(starts[times]["never"] == 5);
    CHECK(starts[times]["p50"].is_null());
  }
  CHECK(told["peaks"]["failed_dials"]["count"].get<int>() > 0);
}

TEST_CASE("an instance is full from the window on that serves as the calm day does") {
  // The second sidecar asks too little for a window.
  const auto told = Play(kDay +
                         "[[trouble]]\nat_s = 4\nkind = \"restart_sidecars\"\nsignal = \"kill\"\nsidecars = "
                         "[0]\n[[trouble]]\nat_s = 4\nkind = \"hang\"\nlen_s = 6\n[[trouble]]\nat_s = 21\n"
                         "kind = \"restart_sidecars\"\nsignal = \"kill\"\nsidecars = [1]\n");
  const auto& full = told["starts"]["full_ms"];
  CHECK(full["untold"] == 1);
  CHECK(full["never"] == 0);
  CHECK(full["p50"].get<double>() > 4000);
  CHECK(full["p50"].get<double>() < 7000);
}

}  // namespace
}  // namespace bitternmux::lab
