// Whole days in virtual time: the same again, judged by the checker, and with each trouble in the record.
#include "lab/virtual/day.h"

#include <catch2/catch.hpp>
#include <map>

#include "lab/record/reader.h"
#include "lab/record/writer.h"
#include "lab/rules/checker.h"
#include "lab/scenario/scenario.h"
#include "lab/virtual/recorder.h"
#include "lab/virtual/summary.h"

namespace bitternmux::lab {
namespace {

using record::ClaimEnded;
using record::Entry;
using record::MachineChanged;

// A small fleet, quickly through: two sites, six servers, three sidecars.
const std::string kSmall = R"(name = "small"
length_s = 12
[sites]
names = ["porto", "lisboa"]
[servers]
count = 6
[sidecars]
count = 3
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
[discovery]
notice_s = 0.5
silent_notice_s = 2
add_s = 0.3
lines_per_s = 2000
)";

struct Run {
  model::Figures figures;
  std::string bytes;
  double worth = 0;
  std::vector<Entry> entries;

  // All entries between two times of the scenario, in seconds.
  template <class Take>
  int Count(double from_s, double until_s, Take take) const {
    int count = 0;
    for (const Entry& entry : entries) {
      const double at = (static_cast<double>(entry.at_us()) / 1000 - figures.first_ms) / 1000;
      count += at >= from_s && at < until_s && take(entry);
    }
    return count;
  }
  int Ends(double from_s, double until_s, int machine, ClaimEnded::How how) const {
    return Count(from_s, until_s, [&](const Entry& entry) {
      return entry.has_claim_ended() && entry.claim_ended().how() == how &&
             machine_of.at(entry.claim_ended().claim_id()) == machine;
    });
  }
  int Changes(double from_s, double until_s, int machine, MachineChanged::State state) const {
    return Count(from_s, until_s, [&](const Entry& entry) {
      return entry.has_machine_changed() && static_cast<int>(entry.machine_changed().machine()) == machine &&
             entry.machine_changed().state() == state;
    });
  }
  int Sidecars(double from_s, double until_s, record::Sidecar::What what) const {
    return Count(from_s, until_s,
                 [&](const Entry& entry) { return entry.has_sidecar() && entry.sidecar().what() == what; });
  }
  std::map<std::uint64_t, int> machine_of;  // by claim
};

Run Play(const scenario::Scenario& scenario, std::uint64_t seed) {
  Run run;
  run.figures = scenario.Draw(seed);
  record::MemorySink sink;
  record::Writer writer(sink, HeaderOf(run.figures, "virtual", "test", scenario.text()));
  Recorder recorder(run.figures, writer);
  Summary summary(run.figures);
  Day(run.figures, {&recorder, &summary}).Run();
  run.bytes = sink.bytes();
  run.worth = summary.WorthShare();
  record::MemorySource source(run.bytes);
  record::Reader reader(source);
  while (const Entry* entry = reader.Next()) {
    run.entries.push_back(*entry);
    if (entry->has_claim_begun()) {
      run.machine_of[entry->claim_begun().claim_id()] = static_cast<int>(entry->claim_begun().machine());
    }
  }
  return run;
}

Run Play(const std::string& text, std::uint64_t seed = 1) {
  return Play(scenario::Scenario(text, "test.toml"), seed);
}

std::string Breaches(const Run& run) {
  record::MemorySource source(run.bytes);
  const rules::Verdict verdict = rules::Check(source);
  std::string text = verdict.unreadable;
  for (const rules::Breach& breach : verdict.breaches) text += rules::LineOf(breach) + "\n";
  return text;
}

std::string Trouble(const std::string& rest) { return kSmall + "[[trouble]]\nat_s = 4\n" + rest; }

TEST_CASE("the same scenario and seed give the same record, and another seed another") {
  const std::string busy = Trouble("kind = \"spoilt\"\nlen_s = 4\nshare = 0.2\n") +
                           "[[trouble]]\nat_s = 5\nkind = \"restart\"\nevery_s = 1\n" +
                           "[[trouble]]\nat_s = 6\nkind = \"restart_sidecars\"\nsignal = \"kill\"\n";
  const Run a = Play(busy);
  CHECK(a.bytes == Play(busy).bytes);
  CHECK(a.bytes != Play(busy, 2).bytes);
}

TEST_CASE("a calm day is served, and the checker finds nothing") {
  const Run run = Play(kSmall);
  CHECK(Breaches(run) == "");
  CHECK(run.worth > 0.99);
}

TEST_CASE("the checker finds nothing in the days that are shipped for it") {
  const std::string name = GENERATE("surcharge", "silent-fifth", "flooded-newcomer", "rolled",
                                    "discovery-down", "all-sidecars", "burst", "churn");
  const auto scenario = scenario::Scenario::Read(std::string(BITTERNMUX_SCENARIOS) + "/" + name + ".toml");
  const Run run = Play(scenario, scenario.seed());
  INFO(name);
  CHECK(Breaches(run) == "");
}

TEST_CASE("a server that hangs answers nothing, and one that is mute works for nothing") {
  const bool mute = GENERATE(false, true);
  const Run run = Play(Trouble("machines = [2]\nlen_s = 4\nkind = ") + (mute ? "\"mute\"" : "\"hang\""));
  CHECK(run.Ends(4.1, 8, 2, ClaimEnded::SERVED) == 0);
  CHECK(run.Ends(4.1, 9, 2, ClaimEnded::CANCELLED) > 0);
  CHECK(run.Ends(0, 4, 2, ClaimEnded::SERVED) > 10);
  const int effects = run.Count(4.2, 8, [&](const Entry& entry) {
    return entry.has_effect() && run.machine_of.at(entry.effect().claim_id()) == 2;
  });
  CHECK((effects > 0) == mute);
  const int marks = run.Count(4, 8.1, [](const Entry& entry) {
    return entry.has_trouble() && entry.trouble().machines_size() == 1 && entry.trouble().machines(0) == 2;
  });
  CHECK(marks == 2);
  CHECK(Breaches(run) == "");
}

TEST_CASE("errors, resets and spoilt answers come from the servers and at the times that are scripted") {
  const auto [kind, how] =
      GENERATE(std::pair("fast_errors", ClaimEnded::ERROR), std::pair("resets", ClaimEnded::RESET),
               std::pair("spoilt", ClaimEnded::SPOILT));
  const Run run = Play(Trouble("machines = [1]\nlen_s = 4\nshare = 1\nkind = ") + "\"" + kind + "\"");
  CHECK(run.Ends(4, 8.5, 1, how) > 0);
  CHECK(run.Ends(0, 4, 1, how) + run.Ends(9, 99, 1, how) == 0);
  for (const int other : {0, 2, 3, 4, 5}) CHECK(run.Ends(0, 99, other, how) == 0);
  CHECK(Breaches(run) == "");
}

TEST_CASE("a dial that comes to nothing is told, and what was refused upon it was not held back") {
  const auto reload = scenario::Scenario::Read(std::string(BITTERNMUX_SCENARIOS) + "/reload.toml");
  const Run run = Play(reload, 136);
  const auto lost = [](const Entry& entry) {
    return entry.has_dial_failed() && entry.dial_failed().try_id() > 0;
  };
  CHECK(run.Count(0, 7.5, lost) == 0);
  CHECK(run.Count(7.5, 20, lost) > 0);
  CHECK(Breaches(run) == "");
}

TEST_CASE("a slow server takes longer") {
  const Run run = Play(Trouble("kind = \"slow\"\nfactor = 6\nlen_s = 4\n"));
  CHECK(run.worth < Play(kSmall).worth);
}

TEST_CASE("a server that restarts drains, stops and is up again as another process, cold") {
  const Run run = Play(Trouble("kind = \"restart\"\nmachines = [3]\ndrain_s = 2\ndown_s = 1\n"));
  CHECK(run.Changes(4, 4.1, 3, MachineChanged::DRAINING) == 1);
  CHECK(run.Changes(6, 6.1, 3, MachineChanged::GONE) == 1);
  CHECK(run.Changes(7, 7.1, 6, MachineChanged::UP) == 1);
  CHECK(run.Ends(6.1, 99, 3, ClaimEnded::SERVED) == 0);
  CHECK(run.Ends(7, 99, 6, ClaimEnded::SERVED) > 0);
  const int warmed = run.Count(7, 9, [](const Entry& entry) { return entry.has_warmed(); });
  CHECK(warmed >= 8);
  CHECK(Breaches(run) == "");
}

TEST_CASE("a server that is back before anyone knows is sent too much and falls, and nobody is to blame") {
  const std::string crash =
      "kind = \"kill\"\nmachines = [3]\nback_s = 0.05\n[rules]\nfall_multiple = 0.5\nfall_s = 0.5\n";
  const Run fell = Play(Trouble(crash) + "[[kind]]\nname = \"plain\"\nspeed = 0.3\n");
  CHECK(fell.Changes(4, 12, 6, MachineChanged::UP) == 1);
  CHECK(fell.Changes(4, 12, 6, MachineChanged::FELL) == 1);
  CHECK(fell.Ends(11, 99, 6, ClaimEnded::SERVED) == 0);
  CHECK(Breaches(fell) == "");
}

TEST_CASE("servers that are killed or vanish are found out late, and replaced ones have a new id") {
  const Run killed = Play(Trouble("kind = \"kill\"\nmachines = [3]\n"));
  const Run vanished = Play(Trouble("kind = \"vanish\"\nmachines = [3]\n"));
  const auto reset = [](const Entry& entry) {
    return entry.has_connection() && entry.connection().machine() == 3 && entry.connection().by_node();
  };
  CHECK(killed.Count(4, 4.1, reset) > 0);
  CHECK(vanished.Count(4, 99, reset) == 0);
  CHECK(vanished.Ends(4, 99, 3, ClaimEnded::CANCELLED) > 0);
  const int told = vanished.Count(5.5, 99, [](const Entry& entry) {
    return entry.has_told() && entry.told().machine() == 3 && entry.told().state() == MachineChanged::GONE;
  });
  CHECK(told == 3);
  const Run replaced = Play(Trouble("kind = \"replace\"\nmachines = [3]\nsame_address = true\ndown_s = 1\n"));
  const auto& machines = replaced.figures.machines;
  CHECK(machines[6].id != machines[3].id);
  CHECK(machines[6].place == machines[3].place);
  CHECK(replaced.Ends(7, 99, 6, ClaimEnded::SERVED) > 0);
}

TEST_CASE("a cut between sites lets nothing across, and a stall holds answers back") {
  const auto crossing = [](const Run& run, double from, double until) {
    int served = 0;
    for (int machine = 0; machine < 6; ++machine) {
      if (run.figures.machines[static_cast<std::size_t>(machine)].zone == 0) continue;
      served += run.Ends(from, until, machine, ClaimEnded::SERVED);
    }
    return served;
  };
  // The only sidecar is in porto: what lisboa's machines serve has crossed.
  const std::string one = kSmall.substr(0, kSmall.find("count = 3")) + "count = 1" +
                          kSmall.substr(kSmall.find("count = 3") + 9) + "[[trouble]]\nat_s = 4\nlen_s = 3\n" +
                          "sites = [\"porto\", \"lisboa\"]\nkind = ";
  const Run cut = Play(one + "\"cut\"");
  CHECK(crossing(cut, 0, 4) > 0);
  CHECK(crossing(cut, 4.1, 7) == 0);
  CHECK(crossing(cut, 8, 99) > 0);
  const Run stalled = Play(one + "\"stall_from\"");
  CHECK(crossing(stalled, 4.1, 7) == 0);
  CHECK(Breaches(stalled) == "");
}

TEST_CASE("sidecars that are told to stop answer what they hold, those that are killed owe it") {
  const Run term = Play(Trouble("kind = \"restart_sidecars\"\nsignal = \"term\"\ndown_s = 0.3\n"));
  CHECK(term.Sidecars(4, 4.1, record::Sidecar::TERM) == 3);
  CHECK(term.Sidecars(4.5, 5.5, record::Sidecar::EXITED) == 3);
  CHECK(term.Sidecars(4.8, 6, record::Sidecar::READY) == 3);
  CHECK(Breaches(term) == "");
  const Run kill = Play(Trouble("kind = \"restart_sidecars\"\nsignal = \"kill\"\ndown_s = 0.3\n"));
  CHECK(kill.Sidecars(4, 4.1, record::Sidecar::KILLED) == 3);
  const int lost = kill.Count(4, 4.1, [](const Entry& entry) {
    return entry.has_try_ended() && entry.try_ended().how() == record::TryEnded::LOST;
  });
  CHECK(lost > 0);
  CHECK(Breaches(kill) == "");
}

TEST_CASE("discovery that is down fails calls, and one that moves is followed on SIGHUP") {
  const Run down = Play(Trouble("kind = \"discovery_down\"\nlen_s = 4\n"));
  const auto failed = [](const Entry& entry) { return entry.has_asked() && entry.asked().failed(); };
  CHECK(down.Count(4, 4.1, failed) == 3);    // the watches
  CHECK(down.Count(4.1, 8.1, failed) >= 3);  // and those that asked again
  CHECK(down.Count(0, 4, failed) == 0);
  const Run moved =
      Play(Trouble("kind = \"reload\"\n") + "[[trouble]]\nat_s = 6\nkind = \"drain\"\nmachines = [0]\n");
  CHECK(moved.Sidecars(4, 4.3, record::Sidecar::HUP) == 3);
  const int told = moved.Count(6, 9, [](const Entry& entry) {
    return entry.has_told() && entry.told().machine() == 0 &&
           entry.told().state() == MachineChanged::DRAINING;
  });
  CHECK(told == 3);
  CHECK(Breaches(moved) == "");
}

TEST_CASE("discovery that lies or is out of reach: nobody is blamed for what it was not told") {
  const std::string drains = "[[trouble]]\nat_s = 5\nkind = \"drain\"\nmachines = [0]\ndrain_s = 30\n";
  const auto told = [](const Run& run) {
    return run.Count(5, 12, [](const Entry& entry) {
      return entry.has_told() && entry.told().machine() == 0 && entry.told().state() != MachineChanged::UP;
    });
  };
  const std::string kind = GENERATE("cut_from\"\nbetween = \"discovery\"", "discovery_stale\"\nage_s = 60",
                                    "drop\"\nshare = 1\nbetween = \"discovery\"");
  const Run run = Play(Trouble("len_s = 30\nkind = \"" + kind + "\n") + drains);
  CHECK(told(run) == (kind[0] == 'd' && kind[1] == 'r' ? 3 : 0));  // watches that stand go on
  CHECK(Breaches(run) == "");
  const Run empty = Play(Trouble("len_s = 3\nkind = \"discovery_forgets\"\nkeeps = 0\n"));
  CHECK(empty.Count(4, 6, [](const Entry& entry) {
    return entry.has_told() && entry.told().state() == MachineChanged::GONE;
  }) == 18);
  CHECK(Breaches(empty) == "");
  CHECK(empty.worth < 0.9);
}

TEST_CASE("what only sockets can have is turned down in virtual time") {
  CHECK_THROWS_WITH(Play(Trouble("kind = \"double\"\nname = \"twice\"\nlen_s = 1\nshare = 1\n")),
                    "trouble 'twice' is there on sockets only: run --mode loopback");
}

TEST_CASE("connections that servers drop early show as closed by them") {
  const Run run = Play(Trouble("kind = \"short_idle\"\nlen_s = 4\nkeep_ms = 20\n"));
  const auto by_node = [](const Entry& entry) {
    return entry.has_connection() && !entry.connection().opened() && entry.connection().by_node();
  };
  CHECK(run.Count(0, 4, by_node) == 0);
  CHECK(run.Count(4, 8, by_node) > 20);
}

TEST_CASE("a frozen sidecar answers nothing, and then reads first what discovery told") {
  const std::string text = Trouble(
      "kind = \"freeze\"\nsidecars = [0]\nlen_s = 4\n"
      "[[trouble.then]]\nkind = \"drain\"\nfrom = \"begin\"\nafter_s = 0.2\nmachines = [0, 1]\n");
  const Run run = Play(text);
  CHECK(Breaches(run) == "");
  CHECK(run.bytes == Play(text).bytes);
  CHECK(run.Sidecars(3.9, 4.1, record::Sidecar::FROZEN) == 1);
  CHECK(run.Sidecars(7.9, 8.1, record::Sidecar::LET_GO) == 1);
  const auto claims = [](const Entry& e) { return e.has_claim_begun() && e.claim_begun().sidecar() == 0; };
  CHECK(run.Count(4, 8, claims) == 0);
  CHECK(run.Count(8, 12, claims) > 20);
  // It was told while it stood still.
  CHECK(run.Count(4, 8, [](const Entry& e) { return e.has_told() && e.told().sidecar() == 0; }) > 1);
}

TEST_CASE("sidecars are starved, killed while they stand still, and killed as they start") {
  const Run run = Play(Trouble("kind = \"starve\"\nsidecars = [0]\nlen_s = 4\nshare = 0.5\n") +
                       "[[trouble]]\nat_s = 4\nkind = \"freeze\"\nsidecars = [1]\nlen_s = 4\n"
                       "[[trouble.then]]\nkind = \"restart_sidecars\"\nfrom = \"begin\"\nafter_s = 1\n"
                       "same_sidecars = true\nsignal = \"kill\"\nstarts_killed = 3\nalive_ms = [20, 200]\n");
  CHECK(Breaches(run) == "");
  CHECK(run.Sidecars(4, 8.1, record::Sidecar::LET_GO) == 40);
  CHECK(run.Sidecars(4, 8, record::Sidecar::KILLED) == 4);
  CHECK(run.Sidecars(4, 8, record::Sidecar::STARTED) == 4);
}

}  // namespace
}  // namespace bitternmux::lab
