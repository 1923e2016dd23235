// What one run came to, from its record alone: service, latency, outcomes and load by second, who failed and
// when, and the checker's verdict. The record of either mode gives the same figures.
//
// The result is a JSON document, which a sweep keeps and a report is made from:
//   format, scenario, mode, seed, build, length_s, entries   what was run
//   void         why nothing may be concluded from the run; absent if all is well
//   figures      the run in single numbers: what runs are compared by (kMeasures)
//   worst_window, worst_class, outcomes, claim_ends, classes   the whole run
//   seconds      columns by second: an array each, of the same length, null where there is nothing to tell
//   machines     each with its claims, failures and silence by second
//   blame        when which machine failed or was silent, and when the sidecars turned away from it
//   troubles, events   what was done to the run, and what happened to processes and lists
//   counts, breaches   what the checker found, the first kMostLines of them
// Seconds count from the first arrival. Worth is counted as the platform does: a wish's class's worth, times
// its work where the day says so, in full within the aim of when it was first due, its late share after that.
#ifndef BITTERNMUX_LAB_REPORT_ANALYSIS_H_
#define BITTERNMUX_LAB_REPORT_ANALYSIS_H_

#include <array>
#include <cstddef>
#include <nlohmann/json.hpp>

#include "lab/record/reader.h"

namespace bitternmux::lab::report {

constexpr int kResultFormat = 1;

// Breaches and events that a result holds at the most; the rest is only counted.
constexpr std::size_t kMostLines = 500;

// The names of outcomes, as `run --json` has them.
constexpr std::array<const char*, 8> kOutcomes = {"in_time", "late", "refused",   "failed",
                                                  "lost",    "left", "not_taken", "open"};

// A number that runs are compared by.
struct Measure {
  const char* name;
  const char* title;
  bool more_is_better;
};
constexpr std::array<Measure, 12> kMeasures = {{{"goal", "goal", true},
                                                {"worth", "worth", true},
                                                {"in_time", "worth in time", true},
                                                {"worst_window", "worst 10 s", true},
                                                {"worst_class", "worst class", true},
                                                {"p50_ms", "p50, ms", false},
                                                {"p99_ms", "p99, ms", false},
                                                {"refused", "refused, share", false},
                                                {"tries", "tries a wish", false},
                                                {"claims", "claims a wish", false},
                                                {"dials", "dials a wish", false},
                                                {"breaches", "breaches", false}}};

// Reads a whole record and checks it. Throws record::ReadError for one that cannot be read or trusted, and
// std::system_error where its bytes cannot be had.
nlohmann::ordered_json Analyse(record::Source& source);

}  // namespace bitternmux::lab::report

#endif  // BITTERNMUX_LAB_REPORT_ANALYSIS_H_
