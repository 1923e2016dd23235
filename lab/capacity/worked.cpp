#include "lab/capacity/worked.h"

#include <algorithm>
#include <utility>

namespace bitternmux::lab::capacity {
namespace {

constexpr const char* kNotYet = "not measured yet";
constexpr double kCrossingWithin = 1e-3;

bool Grows(const Term& term) {
  const auto& keys = SizeKeys();
  return std::any_of(keys.begin(), keys.end(),
                     [&](const SizeKey& key) { return key.grows && key.name == term.name; });
}

// What was measured is of the operators' size or below; only what is fitted or worked out looks further.
std::map<std::string, double> WhereOf(const Rows& rows, const Row& row) {
  std::map<std::string, double> where;
  for (const auto& [key, term] : row.where) where[key] = rows.Of(term, 1);
  return where;
}

void FromPlays(const Rows& rows, const Row& row, const Results& results, double growth, Worked& out) {
  std::vector<Point> points;
  for (const Play* play : results.Find(row.part, WhereOf(rows, row))) {
    const auto figure = play->figures.find(row.figure);
    const auto n = play->at.find(row.over);
    if (figure == play->figures.end() || (!row.over.empty() && n == play->at.end())) continue;
    points.push_back({row.over.empty() ? 0 : n->second, figure->second * row.factor});
    out.sources.insert(play->source);
  }
  if (points.empty()) {
    out.missing = kNotYet;
  } else if (row.way == Way::kMeasured) {
    out.spread = SpreadsOf(points).front();
    out.value = out.spread->mean;
  } else {
    try {
      out.fit = FitOf(points);
      const double at = rows.Of(row.at, growth);
      out.value = out.fit->At(at);
      out.reach = out.fit->Reach(at);
      out.grows = Grows(row.at);
    } catch (const FitError& error) {
      out.missing = std::string(kNotYet) + ": " + error.what();
    }
  }
}

// Takes a term into the figure: its value, in `growth`.
double FromTerm(const Rows& rows, const Term& term, const Results& results, double growth, Worked& out) {
  const Row* other = rows.Find(term.name);
  if (other == nullptr) {
    out.grows = out.grows || Grows(term);
    return rows.Of(term, growth);
  }
  const Worked part = WorkOut(rows, *other, results, growth);
  if (!part.missing.empty()) out.missing = std::string(kNotYet) + ": it needs " + term.name;
  out.reach = std::max(out.reach, part.reach);
  out.stand_in = out.stand_in || part.stand_in;
  out.grows = out.grows || part.grows;
  out.sources.insert(part.sources.begin(), part.sources.end());
  return part.value;
}

}  // namespace

Worked WorkOut(const Rows& rows, const Row& row, const Results& results, double growth) {
  Worked out;
  out.stand_in = row.stand_in;
  switch (row.way) {
    case Way::kNotMeasured:
      out.missing = "not measured: " + row.not_measured;
      break;
    case Way::kFitted:
    case Way::kMeasured:
      FromPlays(rows, row, results, growth, out);
      break;
    case Way::kProduct:
      out.value = row.factor;
      for (const Term& term : row.product) out.value *= FromTerm(rows, term, results, growth, out);
      for (const Term& term : row.per) {
        const double divisor = FromTerm(rows, term, results, growth, out);
        if (divisor == 0 && out.missing.empty()) out.missing = "not worked out: it divides by 0";
        if (divisor != 0) out.value /= divisor;
      }
      break;
    case Way::kSum:
      for (const Term& term : row.product) {
        out.value += row.factor * FromTerm(rows, term, results, growth, out);
      }
      break;
  }
  return out;
}

bool OverLine(const Rows& rows, const Row& row, double value) {
  if (!row.line) return false;
  const double line = rows.Of(*row.line, 1) * row.line_factor;
  return row.line_is_least ? value < line : value > line;
}

std::optional<double> CrossesAt(const Rows& rows, const Row& row, const Results& results) {
  const auto over = [&](double growth) {
    return OverLine(rows, row, WorkOut(rows, row, results, growth).value);
  };
  if (over(1)) return 1;
  if (!over(kFurthestGrowth)) return std::nullopt;
  double below = 1, above = kFurthestGrowth;
  while (above - below > kCrossingWithin) {
    const double middle = (below + above) / 2;
    (over(middle) ? above : below) = middle;
  }
  return above;
}

std::vector<std::string> Unmatched(const Rows& rows, const Results& results) {
  std::set<std::pair<std::string, std::string>> there, taken;
  for (const Play& play : results.plays) {
    for (const auto& figure : play.figures) there.insert({play.part, figure.first});
  }
  std::vector<std::string> lines;
  for (const Row& row : rows.rows) {
    if (row.figure.empty()) continue;
    taken.insert({row.part, row.figure});
    if (WorkOut(rows, row, results).missing.empty()) continue;
    lines.push_back("row " + row.name + ": no figure from " + row.figure + " of part " + row.part);
  }
  for (const auto& [part, figure] : there) {
    if (taken.count({part, figure}) == 0)
      lines.push_back("figure " + figure + " of part " + part + ": no row");
  }
  return lines;
}

}  // namespace bitternmux::lab::capacity
