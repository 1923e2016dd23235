// A short day on sockets: built sidecars between stand-ins, and what the checker and the record say of it.
#ifndef BITTERNMUX_TESTS_SUPPORT_SHORT_DAY_H_
#define BITTERNMUX_TESTS_SUPPORT_SHORT_DAY_H_

#include <catch2/catch.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "lab/record/reader.h"
#include "lab/record/writer.h"
#include "lab/rules/checker.h"
#include "lab/scenario/scenario.h"
#include "lab/stands/loopback.h"
#include "lab/virtual/recorder.h"
#include "lab/virtual/summary.h"

namespace bitternmux::lab::short_day {

using record::ClaimEnded;
using record::Entry;
using record::TryEnded;

constexpr int kPlays = 5;  // of a day on which the lab ran late

// Whether it counts that the lab sent over 1% of its tries late. It does not where a story goes by counts.
enum class Pace { kTold, kAny };

struct Run {
  model::Figures figures;
  std::string breaches;
  double worth = 0;
  std::vector<Entry> entries;

  template <class Take>
  int Count(Take take) const {
    int count = 0;
    for (const Entry& entry : entries) count += take(entry);
    return count;
  }
  int Claims(ClaimEnded::How how) const {
    return Count([&](const Entry& e) { return e.has_claim_ended() && e.claim_ended().how() == how; });
  }
  int ClosedByNodes() const {
    return Count([](const Entry& e) {
      return e.has_connection() && !e.connection().opened() && e.connection().by_node();
    });
  }
};

inline Run Play(const std::string& text, Pace pace = Pace::kTold) {
  const scenario::Scenario scenario(text, "test.toml");
  for (int plays = 0; plays < kPlays; ++plays) {
    Run run;
    run.figures = scenario.Draw();
    record::MemorySink sink;
    record::Writer writer(sink, HeaderOf(run.figures, "loopback", "test", scenario.text()));
    Recorder recorder(run.figures, writer);
    Summary summary(run.figures, "loopback");
    const Played played = PlayOnLoopback(run.figures, BITTERNMUX_PROGRAM, {&recorder, &summary});
    const auto has = [&](const char* part) { return played.void_reason.find(part) != std::string::npos; };
    if (!(pace == Pace::kAny && has("tries were sent over"))) {
      if (has("ran late")) continue;
      REQUIRE(played.void_reason == "");
    }
    run.worth = summary.WorthShare();
    // As rules::Check does, but that a run which is void for its pace is judged too.
    record::MemorySource source(sink.bytes());
    record::Reader reader(source);
    rules::Checker checker(reader.header());
    while (const Entry* entry = reader.Next()) {
      checker.Take(*entry);
      run.entries.push_back(*entry);
    }
    checker.Finish();
    for (const rules::Breach& breach : checker.Breaches()) run.breaches += rules::LineOf(breach) + "\n";
    return run;
  }
  throw std::runtime_error("the lab ran late each time");
}

inline std::string Trouble(const std::string& rest) { return "[[trouble]]\nat_s = 0.5\n" + rest; }

}  // namespace bitternmux::lab::short_day

#endif  // BITTERNMUX_TESTS_SUPPORT_SHORT_DAY_H_
