// How the requests of a run ended, and what they were worth.
#ifndef BITTERNMUX_LAB_REPORT_SERVICE_TALLY_H_
#define BITTERNMUX_LAB_REPORT_SERVICE_TALLY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "lab/report/analysis.h"

namespace bitternmux::lab::report {

// In the order of kOutcomes.
enum RequestEnd : std::size_t { kInTime, kLate, kRefused, kFailed, kLost, kLeft, kNotTaken, kOpen };

// One request of a client, with all tries at it.
struct RequestRecord {
  std::size_t second = 0;  // in which it was first due
  std::int64_t due_us = 0;
  std::uint32_t klass = 0;
  double worth = 0;
  float took_ms = 0;
  std::size_t end = kOpen;
};

// Sums over requests: of a second, of a class, or of a run.
struct ServiceTally {
  std::array<double, kOutcomes.size()> ends{};
  double asked = 0, worth = 0, earned = 0, with_late = 0;
  std::vector<float> took_ms;

  // `late_worth`: the share of its worth that an answer earns after its aim.
  void Add(const RequestRecord& request, double late_worth) {
    ++asked;
    ++ends[request.end];
    worth += request.worth;
    if (request.end == kInTime) earned += request.worth;
    if (request.end != kInTime && request.end != kLate) return;
    with_late += request.worth * (request.end == kInTime ? 1 : late_worth);
    took_ms.push_back(request.took_ms);
  }
};

}  // namespace bitternmux::lab::report

#endif  // BITTERNMUX_LAB_REPORT_SERVICE_TALLY_H_
