#include "lab/capacity/page.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <set>
#include <sstream>
#include <vector>

#include "lab/capacity/worked.h"

namespace bitternmux::lab::capacity {
namespace {

const std::string kBegin = "<!-- table: ";
const std::string kBeginEnds = " -->";
const std::string kEnd = "<!-- end -->";
const std::string kNoise = "the slope is not told from chance";
constexpr std::size_t kCommitLength = 12;

// Plain decimals with so many significant digits.
std::string Digits(double value, int digits) {
  if (value == 0) return "0";
  if (!std::isfinite(value)) return value > 0 ? "without bound" : "no number";
  char scientific[64];
  std::snprintf(scientific, sizeof(scientific), "%.*e", digits - 1, value);
  const int exponent =
      std::atoi(std::string(scientific).substr(std::string(scientific).find('e') + 1).c_str());
  // Rounded in decimals, so that 9.999 is 10 and not 10.00.
  const int decimals = std::max(0, digits - 1 - exponent);
  char text[512];
  std::snprintf(text, sizeof(text), "%.*f", decimals, std::strtod(scientific, nullptr));
  std::string out = text;
  if (decimals > 0) {
    out.erase(out.find_last_not_of('0') + 1);
    if (out.back() == '.') out.pop_back();
  }
  const std::size_t first = out[0] == '-' ? 1 : 0;
  for (std::size_t at = std::min(out.find('.'), out.size()); at > first + 3; at -= 3) out.insert(at - 3, ",");
  return out;
}

std::string Cell(std::string text) {
  for (std::size_t at = 0; (at = text.find('|', at)) != std::string::npos; at += 2) text.insert(at, "\\");
  return text;
}

std::string Line(const std::vector<std::string>& cells) {
  std::string line = "|";
  for (const std::string& cell : cells) line += " " + Cell(cell) + " |";
  return line + "\n";
}

std::string Head(const std::vector<std::string>& cells) {
  std::string line = Line(cells) + "|";
  for (std::size_t i = 0; i < cells.size(); ++i) line += " --- |";
  return line + "\n";
}

std::string Bold(const std::string& text, bool bold) { return bold ? "**" + text + "**" : text; }

// From how far a fit was taken, where it was.
std::string ReachText(const Worked& worked) {
  if (worked.reach <= 1) return "";
  if (!worked.fit) return " (worked out to " + Number(worked.reach) + " times what was measured)";
  return " (worked out from " + Number(worked.fit->largest) + ", " + Number(worked.reach) + " times as far)";
}

std::string FigureText(const Rows& rows, const Row& row, const Worked& worked) {
  if (!worked.missing.empty()) return worked.missing;
  return Bold(Number(worked.value) + " " + row.unit, OverLine(rows, row, worked.value)) + ReachText(worked) +
         (worked.stand_in ? ", on the stand-in alone" : "");
}

std::string TermText(const Term& term) { return term.name.empty() ? Exact(term.number) : term.name; }

std::string TermsText(const std::vector<Term>& terms, const std::string& between) {
  std::string text;
  for (const Term& term : terms) text += (text.empty() ? "" : between) + TermText(term);
  return text;
}

std::string PlaceText(const Rows& rows, const Row& row) {
  std::string text;
  for (const auto& [key, term] : row.where) {
    text += (text.empty() ? "" : ", ") + key + " " + Number(rows.Of(term, 1));
  }
  return text;
}

std::string FitText(const Row& row, const Fit& fit) {
  std::string text = Number(fit.slope) + " for each of " + row.over;
  if (fit.curve) text += " and " + Number(fit.square) + " for its square";
  text += ", from " + Number(fit.intercept) + "; residual " + Number(fit.residual) + ", " +
          Number(fit.residual_share * 100) + "%; R² " + Number(fit.r_squared);
  if (!fit.shown) return text + "; too few plays to show a line";
  if (!fit.rises) {
    return text + "; " + kNoise + " (F " + Number(fit.f_slope) + ", not over " +
           Number(fit.f_slope_critical) + ")";
  }
  return text + "; " + (fit.curve ? "a curve" : "a line") + " (F of the square " + Number(fit.f_square) +
         (fit.curve ? " over " : ", not over ") + Number(fit.f_critical) + ")";
}

std::string WayText(const Rows& rows, const Row& row, const Worked& worked) {
  std::string text;
  if (worked.fit) {
    text = FitText(row, *worked.fit);
  } else if (worked.spread) {
    text = "as measured";
  } else if (row.way == Way::kProduct) {
    text = TermsText(row.product, " × ");
    if (row.factor != 1) text += " × " + Exact(row.factor);
    if (!row.per.empty())
      text += " / " + (row.per.size() > 1 ? "(" + TermsText(row.per, " × ") + ")" : TermText(row.per[0]));
  } else if (row.way == Way::kSum) {
    text = TermsText(row.product, " + ");
    if (row.factor != 1) text = "(" + text + ") × " + Exact(row.factor);
  }
  const std::string place = PlaceText(rows, row);
  return text.empty() || place.empty() ? text : text + "; at " + place;
}

std::string SpreadText(const Spread& spread) {
  std::string text = std::to_string(spread.plays) + (spread.plays == 1 ? " play, " : " plays, ");
  if (spread.plays == 1) return text + Number(spread.mean);
  return text + Number(spread.least) + " to " + Number(spread.most) + ", sd " + Number(spread.deviation);
}

std::string SpreadsText(const Worked& worked) {
  if (worked.spread) return SpreadText(*worked.spread);
  std::string text;
  if (!worked.fit) return text;
  for (const Spread& spread : worked.fit->spreads) {
    text += (text.empty() ? "" : "; ") + Number(spread.n) + ": " + SpreadText(spread);
  }
  return text;
}

std::string LineText(const Rows& rows, const Row& row) {
  if (!row.line) return "";
  return std::string(row.line_is_least ? "at least " : "at most ") +
         Number(rows.Of(*row.line, 1) * row.line_factor) + " " + row.unit;
}

std::string MechanismText(const Row& row) {
  return row.mechanism == "none" ? row.mechanism : "`" + row.mechanism + "`";
}

std::string Commit(const Source& source) { return source.commit.substr(0, kCommitLength); }

std::string SourcesText(const Results& results, const Worked& worked) {
  std::string text;
  if (!worked.missing.empty()) return text;
  for (const std::size_t at : worked.sources) {
    text += (text.empty() ? "" : ", ") + std::to_string(at + 1) + ": " + Commit(results.sources[at]);
  }
  return text;
}

std::string SizeTable(const Rows& rows) {
  std::string table = Head({"the size", "", "in `rows.toml`"});
  for (const SizeKey& key : SizeKeys()) {
    table += Line({key.what, Exact(rows.size.at(key.name)), "`" + key.name + "`"});
  }
  return table;
}

std::string RowTable(const Rows& rows, const std::vector<const Row*>& of, const Results& results) {
  std::string table = Head({"what", "at the operators' size", "slope and residual", "plays, spread",
                            "operators' line", "carried by", "command, commit"});
  for (const Row* row : of) {
    const Worked worked = WorkOut(rows, *row, results);
    table += Line({row->quantity + ": " + row->what + " (`" + row->name + "`)",
                   FigureText(rows, *row, worked), WayText(rows, *row, worked), SpreadsText(worked),
                   LineText(rows, *row), MechanismText(*row), SourcesText(results, worked)});
  }
  return table;
}

// A row with a line, as the fleet grows.
struct Grown {
  const Row* row = nullptr;
  Worked now;
  std::optional<double> crosses;
  double share = 0;  // of its line at the furthest
};

std::string GrownText(const Rows& rows, const Row& row, const Results& results, double growth) {
  const Worked worked = WorkOut(rows, row, results, growth);
  return Bold(Number(worked.value), OverLine(rows, row, worked.value)) + ReachText(worked);
}

std::string GrowthTable(const Rows& rows, const Results& results) {
  std::vector<Grown> grown;
  for (const Row& row : rows.rows) {
    if (!row.line) continue;
    Grown one{&row, WorkOut(rows, row, results), std::nullopt, 0};
    if (one.now.missing.empty()) {
      one.crosses = CrossesAt(rows, row, results);
      const double line = rows.Of(*row.line, 1) * row.line_factor;
      const double furthest = WorkOut(rows, row, results, kFurthestGrowth).value;
      one.share = row.line_is_least ? (furthest == 0 ? INFINITY : line / furthest)
                                    : (line == 0 ? INFINITY : furthest / line);
    }
    grown.push_back(one);
  }
  // First what crosses first, then what comes nearest, then what has no figure.
  std::stable_sort(grown.begin(), grown.end(), [](const Grown& a, const Grown& b) {
    const bool a_there = a.now.missing.empty(), b_there = b.now.missing.empty();
    if (a_there != b_there) return a_there;
    const double a_at = a.crosses.value_or(INFINITY), b_at = b.crosses.value_or(INFINITY);
    return a_at != b_at ? a_at < b_at : a.share > b.share;
  });
  std::string table = Head({"what", "unit", "at the operators' size", "at twice", "at ten times",
                            "operators' line", "over it from", "carried by"});
  for (const Grown& one : grown) {
    const Row& row = *one.row;
    const std::string name = row.role + ": " + row.what + " (`" + row.name + "`)";
    if (!one.now.missing.empty()) {
      table += Line({name, row.unit, one.now.missing, "", "", LineText(rows, row), "", MechanismText(row)});
      continue;
    }
    const bool noise = one.now.fit && one.now.fit->shown && !one.now.fit->rises;
    const std::string from = one.crosses     ? Number(*one.crosses) + " times the size"
                             : one.now.grows ? "not up to " + Number(kFurthestGrowth) + " times"
                                             : "nothing measured makes it grow";
    table += Line({name, row.unit, GrownText(rows, row, results, 1), GrownText(rows, row, results, 2),
                   GrownText(rows, row, results, kFurthestGrowth), LineText(rows, row),
                   from + (noise ? "; " + kNoise : ""), MechanismText(row)});
  }
  return table;
}

std::string NotMeasuredTable(const Rows& rows, const Results& results) {
  std::string table = Head({"what", "why"});
  for (const Row& row : rows.rows) {
    const Worked worked = WorkOut(rows, row, results);
    std::vector<std::string> why;
    if (!worked.missing.empty()) why.push_back(worked.missing);
    if (worked.stand_in) why.push_back("rests on what stands in for discovery alone");
    if (worked.missing.empty() && worked.reach > 1) {
      why.push_back("extrapolated, " + Number(worked.reach) + " times as far as measured");
    }
    std::string text;
    for (const std::string& one : why) text += (text.empty() ? "" : "; ") + one;
    if (!why.empty()) table += Line({row.role + ": " + row.what + " (`" + row.name + "`)", text});
  }
  return table;
}

std::string ResultsTable(const Results& results) {
  std::string table = Head({"", "command", "commit", "cores", "plays", "file"});
  for (std::size_t i = 0; i < results.sources.size(); ++i) {
    const Source& source = results.sources[i];
    table += Line({std::to_string(i + 1), "`" + source.command + "`", Commit(source),
                   std::to_string(source.cores), std::to_string(source.plays), "`" + source.file + "`"});
  }
  if (results.sources.empty()) table += Line({"", "not measured yet", "", "", "", ""});
  return table;
}

std::string TableName(const std::string& role) {
  std::string name;
  for (const char c : role) {
    if (c != '\'') name += c == ' ' ? '-' : c;
  }
  return name;
}

std::vector<std::string> LinesOf(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) lines.push_back(line);
  return lines;
}

[[noreturn]] void Fail(std::size_t line, const std::string& what) {
  throw PageError("line " + std::to_string(line) + ": " + what);
}

}  // namespace

std::string Number(double value) { return Digits(value, 3); }

std::string Exact(double value) { return Digits(value, 6); }

std::map<std::string, std::string> Tables(const Rows& rows, const Results& results) {
  std::map<std::string, std::string> tables;
  const auto add = [&](const std::string& name, const auto& belongs) {
    std::vector<const Row*> of;
    for (const Row& row : rows.rows) {
      if (belongs(row)) of.push_back(&row);
    }
    tables[name] = RowTable(rows, of, results);
  };
  for (const std::string& role : Roles()) {
    add(TableName(role), [&](const Row& row) { return row.section.empty() && row.role == role; });
  }
  for (const std::string& section : Sections()) {
    add(section, [&](const Row& row) { return row.section == section; });
  }
  tables["size"] = SizeTable(rows);
  tables["growth"] = GrowthTable(rows, results);
  tables["not-measured"] = NotMeasuredTable(rows, results);
  tables["results"] = ResultsTable(results);
  return tables;
}

std::string Placed(const std::string& page, const std::map<std::string, std::string>& tables) {
  std::string out;
  std::set<std::string> placed;
  std::size_t number = 0, begun = 0;  // the line of the marker that is open; 0: none is
  for (const std::string& line : LinesOf(page)) {
    ++number;
    if (line == kEnd) {
      if (begun == 0) Fail(number, "the marker ends no table");
      begun = 0;
    } else if (line.compare(0, kBegin.size(), kBegin) == 0) {
      if (begun != 0) Fail(begun, "the table has no end marker before the next begins");
      const std::size_t ends = line.find(kBeginEnds, kBegin.size());
      if (ends == std::string::npos) Fail(number, "the marker has no end");
      const std::string name = line.substr(kBegin.size(), ends - kBegin.size());
      const auto table = tables.find(name);
      if (table == tables.end()) Fail(number, "there is no table '" + name + "'");
      if (!placed.insert(name).second) Fail(number, "the table '" + name + "' is there twice");
      begun = number;
      out += line + "\n" + table->second;
      continue;
    }
    if (begun == 0) out += line + "\n";
  }
  if (begun != 0) Fail(begun, "the table has no end marker");
  for (const auto& table : tables) {
    if (placed.count(table.first) == 0) {
      throw PageError("line " + std::to_string(number) + ": the page has no table '" + table.first + "'");
    }
  }
  return out;
}

std::optional<std::string> FirstDifference(const std::string& is, const std::string& wanted) {
  if (is == wanted) return std::nullopt;
  const std::vector<std::string> these = LinesOf(is), those = LinesOf(wanted);
  for (std::size_t i = 0; i < std::max(these.size(), those.size()); ++i) {
    const std::string here = i < these.size() ? "\"" + these[i] + "\"" : "the end";
    const std::string there = i < those.size() ? "\"" + those[i] + "\"" : "the end";
    if (here == there) continue;
    return "line " + std::to_string(i + 1) + ": is " + here + " and should be " + there;
  }
  return "line " + std::to_string(these.size()) + ": the last line break";
}

}  // namespace bitternmux::lab::capacity
