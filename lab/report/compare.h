// What two ways of doing a thing differ by, over the same seeds. No I/O.
#ifndef BITTERNMUX_LAB_REPORT_COMPARE_H_
#define BITTERNMUX_LAB_REPORT_COMPARE_H_

#include <cstddef>
#include <vector>

namespace bitternmux::lab::report {

// The two-sided sign test, exact: how likely is a split at least this uneven if more and less were equally
// likely? Ties are left out before (Dixon and Mood, 1946). 1 where there is nothing to tell.
double SignTest(std::size_t more, std::size_t less);

// All NaN of no values; `deviation` is the sample's, NaN below two. Quartiles by linear interpolation.
struct Spread {
  double mean, deviation, least, lower, median, upper, most;
};
Spread SpreadOf(std::vector<double> values);

struct Comparison {
  std::size_t pairs = 0;
  Spread from, to, difference;  // to - from, pair by pair
  std::size_t more = 0, less = 0, same = 0;
  double p = 1;
};
// Pair by pair; both of one length.
Comparison Compare(const std::vector<double>& from, const std::vector<double>& to);

}  // namespace bitternmux::lab::report

#endif  // BITTERNMUX_LAB_REPORT_COMPARE_H_
