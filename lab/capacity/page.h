// The tables of docs/CAPACITY.md. A table stands between the lines `<!-- table: NAME -->` and `<!-- end -->`;
// what is between them is ours, all else the writer's. Every number is rendered by Number(), so that a check
// is equality of text.
#ifndef BITTERNMUX_LAB_CAPACITY_PAGE_H_
#define BITTERNMUX_LAB_CAPACITY_PAGE_H_

#include <map>
#include <optional>
#include <stdexcept>
#include <string>

#include "lab/capacity/results.h"
#include "lab/capacity/rows.h"

namespace bitternmux::lab::capacity {

// 'line N: what' of a page whose markers are not as they must be.
class PageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Three significant digits, thousands grouped by commas, without trailing zeros.
std::string Number(double value);
// As the operators wrote it: six significant digits.
std::string Exact(double value);

// By name: "size"; one for each role, named as it is with - for blanks and without '; one for each section;
// "growth", "not-measured", "results". Each ends with a line break.
std::map<std::string, std::string> Tables(const Rows& rows, const Results& results);

// The page with the tables in their places. Throws PageError if a marker is unpaired, names no table or one
// twice, or a table has no place.
std::string Placed(const std::string& page, const std::map<std::string, std::string>& tables);

// 'line N: is "..." and should be "..."' of the first line that differs.
std::optional<std::string> FirstDifference(const std::string& is, const std::string& wanted);

}  // namespace bitternmux::lab::capacity

#endif  // BITTERNMUX_LAB_CAPACITY_PAGE_H_
