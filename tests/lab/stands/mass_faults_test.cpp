// Fleets of built sidecars on sockets with faults between the processes: mass restarts, standstills, a list
// that is wrong, late or kept back. Judged by rules and counts alone: waits are long, the load is small, and
// a lab that was slow to send changes no verdict.
#include <map>
#include <set>

#include "support/short_day.h"

namespace bitternmux::lab {
namespace {

using namespace short_day;
using record::Sidecar;

constexpr std::uint32_t kSidecars = 8;

const std::string kFleet = R"(name = "fleet"
length_s = 5
[sidecars]
count = 8
start_spread_ms = 10
boot_ms = 1500
[servers]
count = 6
[clients]
rate = 80
impatient = 0
[[class]]
name = "rate-check"
repeat = "safe"
aim_ms = 2000
deadline_ms = 4000
[[class]]
name = "space-hold"
repeat = "never"
aim_ms = 2000
deadline_ms = 4000
[discovery]
notice_s = 0.2
add_s = 0.2
period_ms = 200
told_within_s = 2
[rules]
ask_within_s = 2
answer_slack_ms = 10000
)";

std::string At(double s, const std::string& rest) {
  return "[[trouble]]\nat_s = " + std::to_string(s) + "\n" + rest;
}

// What became of each sidecar.
struct Lives {
  explicit Lives(const Run& run) {
    std::map<std::uint64_t, std::uint32_t> taken;  // tries, by sidecar
    std::set<std::uint32_t> heard;                 // were told something since their start
    for (const Entry& e : run.entries) {
      if (e.has_sidecar()) {
        const std::uint32_t s = e.sidecar().sidecar();
        if (e.sidecar().what() == Sidecar::STARTED) served[s] = unheard[s] = 0, heard.erase(s);
        if (e.sidecar().what() == Sidecar::LET_GO) to_let_go[s].clear();
        whats[e.sidecar().what()].insert(s);
        killed += e.sidecar().what() == Sidecar::KILLED;
      }
      if (e.has_told()) heard.insert(e.told().sidecar());
      if (e.has_told()) told[e.told().sidecar()][e.told().machine()] = e.told().state();
      if (e.has_try_sent()) taken[e.try_sent().try_id()] = e.try_sent().sidecar();
      if (e.has_try_ended() && e.try_ended().how() == TryEnded::SERVED) {
        const std::uint32_t s = taken[e.try_ended().try_id()];
        ++served[s];
        unheard[s] += heard.count(s) == 0;
      }
      if (e.has_claim_begun()) to_let_go[e.claim_begun().sidecar()].insert(e.claim_begun().machine());
    }
  }
  bool AllServe() const {
    for (std::uint32_t s = 0; s < kSidecars; ++s) {
      if (served.count(s) == 0 || served.at(s) == 0) return false;
    }
    return true;
  }
  // Sidecars that were told last that this machine is so.
  int Told(std::uint32_t machine, record::MachineChanged::State state) const {
    int count = 0;
    for (const auto& [sidecar, machines] : told) {
      const auto found = machines.find(machine);
      count += found != machines.end() && found->second == state;
    }
    return count;
  }

  std::map<std::uint32_t, std::map<std::uint32_t, record::MachineChanged::State>> told;
  std::map<std::uint32_t, int> served;                         // since its process started last
  std::map<std::uint32_t, int> unheard;                        // of these, before it was told anything
  std::map<std::uint32_t, std::set<std::uint32_t>> to_let_go;  // machines sent to since it was let go
  std::map<Sidecar::What, std::set<std::uint32_t>> whats;
  int killed = 0;
};

TEST_CASE("frozen with requests waiting and let go: a drain told meanwhile holds for the first claim") {
  const Run run = Play(kFleet + At(0.5, "kind = \"freeze\"\nsidecars = [0, 1, 2, 3]\nlen_s = 3\n") +
                           At(0.6, "kind = \"drain\"\nmachines = [0, 1]\ndrain_s = 20\n"),
                       Pace::kAny);
  const Lives lives(run);
  CHECK(run.breaches == "");
  CHECK(lives.AllServe());
  REQUIRE(lives.whats.at(Sidecar::LET_GO).size() == 4);
  for (const std::uint32_t s : lives.whats.at(Sidecar::LET_GO)) {
    CHECK(lives.to_let_go.at(s).size() > 0);
    CHECK(lives.to_let_go.at(s).count(0) + lives.to_let_go.at(s).count(1) == 0);
  }
}

TEST_CASE("all killed with lists that are wrong, behind a cut: they serve by them and ask until they know") {
  const Run run = Play(kFleet + At(0.3, "kind = \"cut\"\nbetween = \"discovery\"\nlen_s = 2.7\n") +
                           At(0.4, "kind = \"replace\"\nmachines = [0, 1]\ndrain_s = 0.2\ndown_s = 0.2\n") +
                           At(0.8, "kind = \"restart_sidecars\"\nsignal = \"kill\"\ndown_s = 0.1\n"),
                       Pace::kAny);
  const Lives lives(run);
  CHECK(run.breaches == "");
  CHECK(lives.AllServe());
  for (std::uint32_t s = 0; s < kSidecars; ++s) CHECK(lives.unheard.at(s) > 0);
  for (const std::uint32_t machine : {6, 7}) {
    CHECK(lives.Told(machine, record::MachineChanged::UP) == static_cast<int>(kSidecars));
  }
}

TEST_CASE(
    "a release while discovery refuses, leaves waiting or is cut short: each asks again until it hears") {
  const std::string how = GENERATE("discovery_refuses", "discovery_ignores", "cut_short");
  const std::string between = how == "cut_short" ? "between = \"discovery\"\n" : "";
  const Run run =
      Play(kFleet + At(0.3, "kind = \"" + how + "\"\nshare = 1\nlen_s = 2.2\n" + between) +
               At(0.5, "kind = \"restart_sidecars\"\nsignal = \"term\"\nwaves = 4\nevery_s = 0.1\n") +
               At(2, "kind = \"add\"\n"),
           Pace::kAny);
  const Lives lives(run);
  CHECK(run.breaches == "");
  CHECK(lives.AllServe());
  CHECK(lives.Told(6, record::MachineChanged::UP) == static_cast<int>(kSidecars));
}

TEST_CASE("a drain behind a cut between half of the sidecars and discovery is heard when it ends") {
  const Run run = Play(kFleet +
                           At(0.3,
                              "kind = \"cut_from\"\nbetween = \"discovery\"\nlen_s = 1.5\n"
                              "sidecars = [0, 1, 2, 3]\n") +
                           At(0.4, "kind = \"drain\"\nmachines = [0]\ndrain_s = 20\n"),
                       Pace::kAny);
  const Lives lives(run);
  CHECK(run.breaches == "");
  CHECK(lives.AllServe());
  CHECK(lives.Told(0, record::MachineChanged::DRAINING) == static_cast<int>(kSidecars));
}

TEST_CASE(
    "two processes die time and again while discovery is down: the others serve, and so do they in the end") {
  const Run run = Play(kFleet + At(0.3, "kind = \"discovery_down\"\nlen_s = 20\n") +
                           At(0.5,
                              "kind = \"restart_sidecars\"\nsignal = \"kill\"\nsidecars = [0, 1]\n"
                              "down_s = 0.1\nstarts_killed = 6\nalive_ms = [20, 200]\n"),
                       Pace::kAny);
  const Lives lives(run);
  CHECK(run.breaches == "");
  CHECK(lives.killed == 2 * 7);
  CHECK(lives.AllServe());
}

}  // namespace
}  // namespace bitternmux::lab
