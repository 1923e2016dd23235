#include "lab/capacity/fit.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <map>

namespace bitternmux::lab::capacity {
namespace {

constexpr std::size_t kMostTerms = 3;
// Of the sum of squares: what rounding leaves of an exact fit.
constexpr double kRounding = 1e-20;
// Likewise of a coefficient, which is told as the 0 that it is.
constexpr double kRoundingOfOne = 1e-11;

// F above which 1 in 100 lies by chance, with 1 and `freedom` degrees. Between entries the smaller freedom's,
// which is the stricter.
double CriticalF(std::size_t freedom) {
  struct Entry {
    std::size_t freedom;
    double f;
  };
  static constexpr Entry kTable[] = {{1, 4052},  {2, 98.5},  {3, 34.1},  {4, 21.2},  {5, 16.3},  {6, 13.7},
                                     {7, 12.2},  {8, 11.3},  {9, 10.6},  {10, 10.0}, {12, 9.33}, {15, 8.68},
                                     {20, 8.10}, {25, 7.77}, {30, 7.56}, {60, 7.08}, {120, 6.85}};
  double f = kTable[0].f;
  for (const Entry& entry : kTable) {
    if (entry.freedom <= freedom) f = entry.f;
  }
  return f;
}

// F of what one more term takes off the squares left; 0 if nothing was left, infinite if nothing is now.
double GainF(double before, double after, std::size_t freedom, double all) {
  if (before <= kRounding * all) return 0;
  if (after <= kRounding * all) return std::numeric_limits<double>::infinity();
  return std::max(0.0, (before - after) / (after / static_cast<double>(freedom)));
}

using Coefficients = std::array<double, kMostTerms>;

// Least squares of y over 1, u, u^2, as far as `terms`; u is n over the largest n, so that the powers are of
// one size.
Coefficients Solve(const std::vector<Point>& points, double largest, std::size_t terms) {
  std::array<std::array<double, kMostTerms + 1>, kMostTerms> rows{};
  for (const Point& point : points) {
    const double u = point.n / largest;
    const std::array<double, kMostTerms> powers{1, u, u * u};
    for (std::size_t i = 0; i < terms; ++i) {
      for (std::size_t k = 0; k < terms; ++k) rows[i][k] += powers[i] * powers[k];
      rows[i][terms] += powers[i] * point.y;
    }
  }
  for (std::size_t i = 0; i < terms; ++i) {
    std::size_t pivot = i;
    for (std::size_t k = i + 1; k < terms; ++k) {
      if (std::abs(rows[k][i]) > std::abs(rows[pivot][i])) pivot = k;
    }
    std::swap(rows[i], rows[pivot]);
    for (std::size_t k = 0; k < terms; ++k) {
      if (k == i) continue;
      const double factor = rows[k][i] / rows[i][i];
      for (std::size_t j = i; j <= terms; ++j) rows[k][j] -= factor * rows[i][j];
    }
  }
  Coefficients out{};
  for (std::size_t i = 0; i < terms; ++i) out[i] = rows[i][terms] / rows[i][i];
  return out;
}

double SquaresLeft(const std::vector<Point>& points, double largest, const Coefficients& of) {
  double sum = 0;
  for (const Point& point : points) {
    const double u = point.n / largest;
    const double off = point.y - (of[0] + of[1] * u + of[2] * u * u);
    sum += off * off;
  }
  return sum;
}

}  // namespace

double Fit::Reach(double n) const { return n > largest && largest > 0 ? n / largest : 1; }

std::vector<Spread> SpreadsOf(const std::vector<Point>& points) {
  if (points.empty()) throw FitError("no play to take a figure from");
  std::map<double, std::vector<double>> by_n;
  for (const Point& point : points) {
    if (!std::isfinite(point.n) || !std::isfinite(point.y)) throw FitError("a play's figure is no number");
    by_n[point.n].push_back(point.y);
  }
  std::vector<Spread> spreads;
  for (const auto& [n, values] : by_n) {
    Spread spread;
    spread.n = n;
    spread.plays = values.size();
    spread.least = *std::min_element(values.begin(), values.end());
    spread.most = *std::max_element(values.begin(), values.end());
    for (const double value : values) spread.mean += value / static_cast<double>(values.size());
    double squares = 0;
    for (const double value : values) squares += (value - spread.mean) * (value - spread.mean);
    if (values.size() > 1) spread.deviation = std::sqrt(squares / static_cast<double>(values.size() - 1));
    spreads.push_back(spread);
  }
  return spreads;
}

Fit FitOf(const std::vector<Point>& points) {
  Fit fit;
  fit.spreads = SpreadsOf(points);
  if (fit.spreads.size() < 2) throw FitError("under two distinct n: nothing to draw a line through");
  fit.largest = fit.spreads.back().n;
  // What the powers are scaled by; not the largest itself, which may be 0.
  const double scale = std::max(std::abs(fit.spreads.front().n), std::abs(fit.largest));
  double all = 0, mean = 0;
  for (const Point& point : points) {
    all += point.y * point.y;
    mean += point.y / static_cast<double>(points.size());
  }
  double variance = 0;
  for (const Point& point : points) variance += (point.y - mean) * (point.y - mean);
  Coefficients chosen = Solve(points, scale, 2);
  double left = SquaresLeft(points, scale, chosen);
  if (points.size() >= 3) {
    fit.f_slope = GainF(variance, left, points.size() - 2, all);
    fit.f_slope_critical = CriticalF(points.size() - 2);
    fit.rises = fit.f_slope > fit.f_slope_critical;
  }
  if (fit.spreads.size() >= 3 && points.size() >= 4) {
    fit.shown = true;
    const std::size_t freedom = points.size() - 3;
    fit.f_critical = CriticalF(freedom);
    const Coefficients curve = Solve(points, scale, 3);
    const double curve_left = SquaresLeft(points, scale, curve);
    fit.f_square = GainF(left, curve_left, freedom, all);
    if (fit.f_square > fit.f_critical) {
      fit.curve = true;
      fit.rises = true;
      chosen = curve;
      left = curve_left;
    }
  }
  double tallest = 0;
  for (const Point& point : points) tallest = std::max(tallest, std::abs(point.y));
  for (double& coefficient : chosen) {
    if (std::abs(coefficient) <= kRoundingOfOne * tallest) coefficient = 0;
  }
  if (left <= kRounding * all) left = 0;
  fit.intercept = chosen[0];
  fit.slope = chosen[1] / scale;
  fit.square = chosen[2] / (scale * scale);
  fit.residual = std::sqrt(left / static_cast<double>(points.size()));
  const double top = fit.At(fit.largest);
  fit.residual_share = top == 0 ? 0 : fit.residual / std::abs(top);
  fit.r_squared = variance > kRounding * all ? 1 - left / variance : 1;
  return fit;
}

}  // namespace bitternmux::lab::capacity
