// What one run came to, from its record alone: service, latency, outcomes and load by second, who failed and
// when, and the checker's verdict. The record of either mode gives the same figures.
//
// The result is a JSON document, which a sweep keeps and a report is made from:
//   format, scenario, mode, seed, build, length_s, entries   what was run
//   void         why nothing may be concluded from the run; absent if all is well
//   figures      the run in single numbers: what runs are compared by (kMeasures)
//   back         how the fleet came back after its troubles (back::Comeback), with full service where the
//   calm
//                run, the same day without its troubles, is there beside it
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

constexpr int kResultFormat = 2;

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
  bool of_back = false;  // tells how the fleet came back
};
constexpr std::array<Measure, 25> kMeasures = {
    {{"goal", "goal", true},
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
     {"breaches", "breaches", false},
     // Of several troubles the longest; one that was not over counts as long as was looked at.
     {"full_service_s", "full service after, s", false, true},
     {"never_full", "troubles without it", false, true},
     {"most_tries", "tries, most/s", false, true},
     {"most_dials", "dials, most/s", false, true},
     {"most_failed_dials", "failed dials, most/s", false, true},
     {"most_dials_of_one_server", "dials of one, most/s", false, true},
     {"most_first_contacts", "first contacts, most/s", false, true},
     {"most_list_calls", "list calls, most/s", false, true},
     {"first_answer_ms", "first answer of half, ms", false, true},
     {"first_binding_answer_ms", "first binding one, ms", false, true},
     {"full_ms", "instance full, half, ms", false, true},
     {"full_most_ms", "the slowest, ms", false, true},
     {"instances_never_full", "instances never full", false, true}}};

// Reads a whole record and checks it. Throws record::ReadError for one that cannot be read or trusted, and
// std::system_error where its bytes cannot be had.
// `calm`, which may be null, is the record of the same scenario and seed without its troubles; one of another
// day is a ReadError too.
nlohmann::ordered_json Analyse(record::Source& source, record::Source* calm = nullptr);

}  // namespace bitternmux::lab::report

#endif  // BITTERNMUX_LAB_REPORT_ANALYSIS_H_
