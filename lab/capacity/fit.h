// What a figure costs as its variable grows: least squares, with what shows whether a line is one.
//
// Two forms are tried over all plays: the line y = a + b n, and the curve y = a + b n + c n^2. The line
// stands unless the square's part is told from chance at 1 in 100 (F test with 1 and plays - 3 degrees of
// freedom); with under three distinct n, or under four plays, there is nothing to tell it by, and the fit
// says that the line is not shown to be one. Whether the figure moves with n at all is told likewise, and a
// slope that is not told from chance is kept and called so. No I/O; the cost grows with the plays alone.
#ifndef BITTERNMUX_LAB_CAPACITY_FIT_H_
#define BITTERNMUX_LAB_CAPACITY_FIT_H_

#include <stdexcept>
#include <string>
#include <vector>

namespace bitternmux::lab::capacity {

// What was to be fitted cannot be.
class FitError : public std::invalid_argument {
 public:
  using std::invalid_argument::invalid_argument;
};

struct Point {
  double n = 0, y = 0;  // one play's
};

// The plays at one n.
struct Spread {
  double n = 0;
  std::size_t plays = 0;
  double mean = 0, least = 0, most = 0;
  double deviation = 0;  // standard, of a sample; 0 for a single play
};

struct Fit {
  bool curve = false;           // the square's part is in it
  bool shown = false;           // there were plays enough to tell a line from a curve
  double intercept = 0;         // a
  double slope = 0;             // b, for each one of n
  double square = 0;            // c; 0 in a line
  double residual = 0;          // root of the mean square, in the figure's unit
  double residual_share = 0;    // of the fitted value at the largest n; 0 if that is 0
  double r_squared = 0;         // share of the variance that the fit explains; 1 if there is none
  double f_square = 0;          // F of the square's part; infinite if the curve is exact; 0 unless `shown`
  double f_critical = 0;        // above which it is told from chance; 0 unless `shown`
  bool rises = false;           // a part that grows with n is told from chance; else the slope is noise's
  double f_slope = 0;           // F of the line against a constant; infinite if the line is exact
  double f_slope_critical = 0;  // with 1 and plays - 2 degrees of freedom; 0 with under three plays
  double largest = 0;           // the largest n measured
  std::vector<Spread> spreads;  // by n

  double At(double n) const { return intercept + slope * n + square * n * n; }
  // How many times further than the largest n measured that is; 1 within what was measured.
  double Reach(double n) const;
};

// By n. Throws FitError if there is no point, or one is no finite number.
std::vector<Spread> SpreadsOf(const std::vector<Point>& points);

// Throws FitError if a point is no finite number or there are under two distinct n.
Fit FitOf(const std::vector<Point>& points);

}  // namespace bitternmux::lab::capacity

#endif  // BITTERNMUX_LAB_CAPACITY_FIT_H_
