// Short days on sockets: built sidecars between stand-ins, judged by the checker, with what only sockets can
// do to them in the record. A run in which the lab ran late says nothing, and is played again.
#include "lab/stands/loopback.h"

#include <catch2/catch.hpp>
#include <set>

#include "lab/stands/answer.h"
#include "lab/virtual/day.h"
#include "support/short_day.h"

namespace bitternmux::lab {
namespace {

using namespace short_day;

// A second of slack: on a machine that is busy with other things an answer may be late without anyone's
// fault.
const std::string kSmall = R"(name = "small"
length_s = 2.5
[sidecars]
count = 2
start_spread_ms = 10
[servers]
count = 5
[clients]
rate = 80
impatient = 0
[[class]]
name = "rate-check"
repeat = "safe"
work_ms = 10
aim_ms = 500
deadline_ms = 900
[[class]]
name = "space-hold"
repeat = "never"
work_ms = 10
aim_ms = 500
deadline_ms = 900
[discovery]
notice_s = 0.3
silent_notice_s = 1
add_s = 0.2
period_ms = 200
[rules]
answer_slack_ms = 1000
)";

TEST_CASE("a calm day brings on sockets what it brings in virtual time, within a twentieth") {
  const Run run = Play(kSmall);
  CHECK(run.breaches == "");
  Summary virtually(run.figures);
  Day(run.figures, {&virtually}).Run();
  CHECK(run.worth == Approx(virtually.WorthShare()).margin(0.05));
  CHECK(run.Count([](const Entry& e) { return e.has_sample() && e.sample().memory_bytes() > 0; }) > 0);
}

TEST_CASE("a fifth silent and a fifth failing fast: the checker finds nothing") {
  const Run run = Play(kSmall + Trouble("kind = \"hang\"\nmachines = [0]\nlen_s = 1.5\n") +
                       Trouble("kind = \"fast_errors\"\nmachines = [1]\nlen_s = 1.5\nshare = 0.8\n"));
  CHECK(run.breaches == "");
  CHECK(run.Claims(ClaimEnded::CANCELLED) > 0);
  CHECK(run.Claims(ClaimEnded::ERROR) > 0);
}

TEST_CASE("idle connections are closed, reset or forgotten") {
  const std::string how = GENERATE("close", "reset", "forget");
  const Run run = Play(kSmall + "[servers.connections]\nidle_s = 0.05\nidle_end = \"" + how + "\"\n");
  CHECK(run.breaches == "");
  CHECK(run.ClosedByNodes() > 0);
  // Only one that says nothing is met by requests time and again.
  if (how == "forget") CHECK(run.Claims(ClaimEnded::RESET) > 0);
}

TEST_CASE("spoilt answers are written, and none is passed on") {
  const Run run = Play(kSmall + Trouble("kind = \"spoilt\"\nlen_s = 1.5\nshare = 0.6\n"));
  CHECK(run.breaches == "");
  CHECK(run.Claims(ClaimEnded::SPOILT) > 0);
}

TEST_CASE("a machine that vanishes takes no dial and answers nothing") {
  const Run run = Play(kSmall + Trouble("kind = \"vanish\"\nmachines = [2]\n"));
  CHECK(run.breaches == "");
  bool gone = false;
  std::set<std::uint64_t> held;
  int after = 0;
  for (const Entry& e : run.entries) {
    gone |= e.has_machine_changed() && e.machine_changed().machine() == 2 &&
            e.machine_changed().state() == record::MachineChanged::GONE;
    if (gone && e.has_connection() && e.connection().opened()) after += e.connection().machine() == 2;
    if (gone && e.has_claim_begun() && e.claim_begun().machine() == 2)
      held.insert(e.claim_begun().claim_id());
    if (e.has_claim_ended() && held.count(e.claim_ended().claim_id()) > 0) {
      CHECK(e.claim_ended().how() != ClaimEnded::SERVED);
    }
  }
  CHECK(gone);
  CHECK(after == 0);
}

TEST_CASE("what a killed sidecar owed stays in the record") {
  const Run run = Play(kSmall + Trouble("kind = \"hang\"\nlen_s = 1\n") +
                       "[[trouble]]\nat_s = 1\nkind = \"restart_sidecars\"\nsidecars = [0]\n"
                       "signal = \"kill\"\ndown_s = 0.3\n");
  CHECK(run.breaches == "");
  std::set<std::uint64_t> owed;
  bool killed = false;
  int lost = 0;
  for (const Entry& e : run.entries) {
    killed |= e.has_sidecar() && e.sidecar().what() == record::Sidecar::KILLED && e.sidecar().sidecar() == 0;
    if (!killed && e.has_try_sent() && e.try_sent().sidecar() == 0) owed.insert(e.try_sent().try_id());
    if (!e.has_try_ended()) continue;
    if (killed && owed.erase(e.try_ended().try_id()) > 0) lost += e.try_ended().how() == TryEnded::LOST;
    if (!killed) owed.erase(e.try_ended().try_id());
  }
  CHECK(lost > 0);
  CHECK(owed.empty());
  // It is up again, and its end was seen.
  CHECK(run.Count([](const Entry& e) {
    return e.has_sidecar() && e.sidecar().what() == record::Sidecar::READY && e.sidecar().sidecar() == 0;
  }) == 2);
}

TEST_CASE("SIGHUP moves the sidecars to discovery's new address") {
  const Run run = Play(kSmall + Trouble("kind = \"reload\"\nspread_s = 0\n") +
                       "[[trouble]]\nat_s = 1\nkind = \"add\"\ncount = 1\n");
  CHECK(run.breaches == "");
  CHECK(run.Count([](const Entry& e) {
    return e.has_sidecar() && e.sidecar().what() == record::Sidecar::HUP;
  }) == 2);
  // Who had stayed at the old one would not hear of the new machine.
  std::set<std::uint32_t> told;
  for (const Entry& e : run.entries) {
    if (e.has_told() && e.told().machine() == 5) told.insert(e.told().sidecar());
  }
  CHECK(told.size() == 2);
}

TEST_CASE("no list reaches a sidecar through a cut, and its requests go on") {
  const Run run =
      Play(kSmall + Trouble("kind = \"cut_from\"\nbetween = \"discovery\"\nlen_s = 9\nsidecars = [0]\n") +
           "[[trouble]]\nat_s = 0.7\nkind = \"drain\"\nmachines = [0]\ndrain_s = 9\n");
  const auto told = [&](std::uint32_t sidecar) {
    return run.Count([&](const Entry& e) {
      return e.has_told() && e.told().sidecar() == sidecar &&
             e.told().state() == record::MachineChanged::DRAINING;
    });
  };
  CHECK(told(0) == 0);
  CHECK(told(1) == 1);
  CHECK(run.breaches == "");
  CHECK(run.worth > 0.9);
}

TEST_CASE("answers that are cut short, doubled or slow, and dials that are dropped: no rule is broken") {
  const std::string kind = GENERATE("cut_short", "double", "slow_bytes", "drop");
  const std::string key = kind == "slow_bytes" ? "bytes_per_s = 3000" : "share = 0.5";
  const std::string idle = kind == "drop" ? "[servers.connections]\nidle_s = 0.02\n" : "";  // many dials
  const Run run = Play(kSmall + idle + Trouble("kind = \"" + kind + "\"\nlen_s = 1.5\n" + key + "\n"));
  CHECK(run.breaches == "");
  if (kind == "cut_short") CHECK(run.Claims(ClaimEnded::RESET) > 0);
}

TEST_CASE("a frozen process is let go and serves again, and one that is starved serves on") {
  const Run run =
      Play(kSmall + Trouble("kind = \"freeze\"\nsidecars = [0]\nlen_s = 1\n") +
           Trouble("kind = \"starve\"\nsidecars = [1]\nlen_s = 1\nshare = 0.5\ndescriptors = 200\n"));
  CHECK(run.breaches == "");
  bool frozen = false, let_go = false;
  int during = 0, after = 0;
  for (const Entry& e : run.entries) {
    const bool own = e.has_sidecar() && e.sidecar().sidecar() == 0;
    frozen |= own && e.sidecar().what() == record::Sidecar::FROZEN;
    let_go |= own && e.sidecar().what() == record::Sidecar::LET_GO;
    const bool claim = e.has_claim_begun() && e.claim_begun().sidecar() == 0;
    during += claim && frozen && !let_go;
    after += claim && let_go;
  }
  // What it had written lies at the stand-ins' sockets.
  CHECK(frozen);
  CHECK(during < 3);
  CHECK(after > 10);
}

TEST_CASE("seven in ten processes are killed, half of these again as they start, and all serve in the end") {
  std::string many = kSmall;
  many.replace(many.find("count = 2"), 9, "count = 10");
  const Run run =
      Play(many + Trouble("kind = \"restart_sidecars\"\nsignal = \"kill\"\nsidecar_part = 0.7\ndown_s = 0.1\n"
                          "[[trouble.then]]\nkind = \"restart_sidecars\"\nsignal = \"kill\"\n"
                          "after_s = 0.3\nsame_sidecars = true\nsidecar_part = 0.5\ndown_s = 0.1\n"
                          "starts_killed = 1\nalive_ms = 5\n"));
  CHECK(run.breaches == "");
  const auto count = [&](record::Sidecar::What what) {
    return run.Count([&](const Entry& e) { return e.has_sidecar() && e.sidecar().what() == what; });
  };
  CHECK(count(record::Sidecar::KILLED) == 7 + 4 + 4);
  CHECK(count(record::Sidecar::STARTED) == 10 + 7 + 4 + 4);
}

TEST_CASE("a body tells who made it for whom") {
  const Made made = ReadMade(BodyOf({7, "00ab"}, "s-1"));
  CHECK(made.claim == 7);
  CHECK(made.request == "00ab");
  CHECK(ReadMade("{}").claim == 0);
  // A client chooses the id of its request: the server lives on, and the id does not match.
  CHECK(ReadMade(BodyOf({8, "\xff"}, "s-1")).claim == 8);
}

}  // namespace
}  // namespace bitternmux::lab
