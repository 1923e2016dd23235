// The rows of the page on capacity: what is told of each role, how its figure is worked out, and the
// operators' line.
//
// Written in TOML (docs/capacity/rows.toml). `[size]` holds the operators' size, all keys of SizeKeys(). Each
// `[[row]]`:
//
//   name          of the row, by which others name it
//   role          "sidecar", "quote server", "discovery", "operators' door" or "control machines"
//   section       "added", "in-force" or "days": it stands in that table in place of its role's
//   quantity      "state", "messages", "processor time", "memory" or "time"
//   what          a plain sentence
//   unit, factor  of the figure as shown, and how many of them make one of the result file's (1)
//   mechanism     the file that carries it, or "none"
//   rests_on      "stand-in": it rests on what stands in for discovery alone
//   line          the operators' limit: a number or a size key, times `line_factor` (1) in the row's unit
//   line_is       "most", as if absent, or "least"
//
// and one of these ways to its figure:
//
//   figure, part, where, over, at  fitted: `figure` of the plays of `part` in which the variables have the
//                                  values of the table `where`, against the variable `over`, wanted at `at`
//   figure, part, where, measured  with measured = true: the mean of those plays, without a fit
//   product, per                   terms multiplied, and terms that divide them: numbers, size keys, names of
//                                  rows above. The product names one row at least: what comes of the size
//                                  alone was not measured
//   sum                            likewise, added
//   not_measured                   why there is none
//
// A value of `where` and `at` is a number or a size key. What is given as a size key that grows with the
// fleet grows in the table of twice and ten times. Bounds: kMostRows rows.
#ifndef BITTERNMUX_LAB_CAPACITY_ROWS_H_
#define BITTERNMUX_LAB_CAPACITY_ROWS_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bitternmux::lab::capacity {

constexpr std::size_t kMostRows = 500;

struct SizeKey {
  std::string name, what;
  bool grows = false;  // with the fleet
};
const std::vector<SizeKey>& SizeKeys();
const std::vector<std::string>& Roles();
const std::vector<std::string>& Sections();
const std::vector<std::string>& Quantities();

// A number, or the name of a size key or (in products and sums) of a row.
struct Term {
  double number = 0;
  std::string name;  // '': the number
};

enum class Way { kFitted, kMeasured, kProduct, kSum, kNotMeasured };

struct Row {
  std::string name, role, section, quantity, what, unit;
  double factor = 1;
  Way way = Way::kNotMeasured;
  std::string figure, part, over;
  std::map<std::string, Term> where;
  Term at;
  std::vector<Term> product, per;  // of a sum, the rows are in `product`
  std::string not_measured;
  std::optional<Term> line;
  double line_factor = 1;
  bool line_is_least = false;
  std::string mechanism;
  bool stand_in = false;
};

struct Rows {
  std::map<std::string, double> size;
  std::vector<Row> rows;

  // Throws scenario::ScenarioError with 'file:line: row.NAME.key: what' for each fault. A row names only rows
  // above it in products and sums, so that none rests on itself.
  static Rows Parse(const std::string& text, const std::string& file);
  static Rows Read(const std::string& file);

  const Row* Find(const std::string& name) const;
  // A number or size key, in a fleet that has grown by `growth`.
  double Of(const Term& term, double growth) const;
  // The mechanisms that are no file below `root`: 'row: file'.
  std::vector<std::string> MissingMechanisms(const std::string& root) const;
};

}  // namespace bitternmux::lab::capacity

#endif  // BITTERNMUX_LAB_CAPACITY_ROWS_H_
