#include "lab/report/compare.h"

#include <algorithm>
#include <boost/math/distributions/binomial.hpp>
#include <cmath>
#include <limits>
#include <numeric>

namespace bitternmux::lab::report {
namespace {

constexpr double kNaN = std::numeric_limits<double>::quiet_NaN();
// Results are kept to six digits: what is nearer than half of the last is the same.
constexpr double kSame = 5e-7;

double Quantile(const std::vector<double>& sorted, double share) {
  const double place = share * static_cast<double>(sorted.size() - 1);
  const auto below = static_cast<std::size_t>(place);
  const auto above = std::min(below + 1, sorted.size() - 1);
  return sorted[below] + (place - static_cast<double>(below)) * (sorted[above] - sorted[below]);
}

}  // namespace

double SignTest(std::size_t more, std::size_t less) {
  if (more + less == 0) return 1;
  const boost::math::binomial_distribution<double> even(static_cast<double>(more + less), 0.5);
  return std::min(1.0, 2 * boost::math::cdf(even, static_cast<double>(std::min(more, less))));
}

Spread SpreadOf(std::vector<double> values) {
  if (values.empty()) return {kNaN, kNaN, kNaN, kNaN, kNaN, kNaN, kNaN};
  std::sort(values.begin(), values.end());
  const auto count = static_cast<double>(values.size());
  const double mean = std::accumulate(values.begin(), values.end(), 0.0) / count;
  double squares = 0;
  for (const double value : values) squares += (value - mean) * (value - mean);
  return {mean,
          values.size() > 1 ? std::sqrt(squares / (count - 1)) : kNaN,
          values.front(),
          Quantile(values, 0.25),
          Quantile(values, 0.5),
          Quantile(values, 0.75),
          values.back()};
}

Comparison Compare(const std::vector<double>& from, const std::vector<double>& to) {
  Comparison out;
  out.pairs = from.size();
  std::vector<double> differences;
  for (std::size_t i = 0; i < from.size(); ++i) {
    const double difference = to[i] - from[i];
    differences.push_back(difference);
    if (std::abs(difference) < kSame) {
      ++out.same;
    } else {
      ++(difference > 0 ? out.more : out.less);
    }
  }
  out.from = SpreadOf(from);
  out.to = SpreadOf(to);
  out.difference = SpreadOf(std::move(differences));
  out.p = SignTest(out.more, out.less);
  return out;
}

}  // namespace bitternmux::lab::report
