// Works out the rows' figures from the plays.
#ifndef BITTERNMUX_LAB_CAPACITY_WORKED_H_
#define BITTERNMUX_LAB_CAPACITY_WORKED_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lab/capacity/fit.h"
#include "lab/capacity/results.h"
#include "lab/capacity/rows.h"

namespace bitternmux::lab::capacity {

// How far ahead the page looks, in times the operators' size.
constexpr double kFurthestGrowth = 10;

// A row's figure in the row's unit, or why there is none.
struct Worked {
  std::string missing;  // '': there is one
  double value = 0;
  std::optional<Fit> fit;        // of a fitted one; in the row's unit
  std::optional<Spread> spread;  // of one taken as measured
  double reach = 1;              // how many times further than measured it was worked out, at most
  bool stand_in = false;         // it, or a row that it is worked out of, rests on the stand-in
  bool grows = false;            // with the fleet
  std::set<std::size_t> sources;
};

// In a fleet that has grown by `growth`. A row without plays gives `missing`; so does one with too few to
// fit.
Worked WorkOut(const Rows& rows, const Row& row, const Results& results, double growth = 1);

bool OverLine(const Rows& rows, const Row& row, double value);
// The growth from which on a row with a figure is over its line, to within 1 in 1000; 1 if it is now, none if
// it is not up to kFurthestGrowth. For figures that go one way as the fleet grows.
std::optional<double> CrossesAt(const Rows& rows, const Row& row, const Results& results);

// What rows and results have not in common: rows whose figure the plays do not give, and figures of the plays
// that no row takes.
std::vector<std::string> Unmatched(const Rows& rows, const Results& results);

}  // namespace bitternmux::lab::capacity

#endif  // BITTERNMUX_LAB_CAPACITY_WORKED_H_
