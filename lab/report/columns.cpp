#include "lab/report/columns.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>

namespace bitternmux::lab::report {

nlohmann::ordered_json Number(double value) {
  if (!std::isfinite(value)) return nullptr;
  if (value == std::trunc(value) && std::abs(value) < 1e15) return static_cast<std::int64_t>(value);
  return std::round(value * 1e6) / 1e6;
}

double Share(double part, double whole) { return whole > 0 ? part / whole : 1; }

double Percentile(std::vector<float>& values, double share) {
  if (values.empty()) return std::numeric_limits<double>::quiet_NaN();
  const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
  const auto at = values.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
  std::nth_element(values.begin(), at, values.end());
  return std::round(static_cast<double>(*at) * 1000) / 1000;  // of milliseconds
}

double& Column::At(std::size_t second) {
  if (second >= values_.size()) values_.resize(second + 1);
  return values_[second];
}

double Column::Sum() const {
  double sum = 0;
  for (const double value : values_) sum += value;
  return sum;
}

double Column::Mean(std::size_t from, std::size_t until) const {
  double sum = 0;
  for (std::size_t second = from; second < until; ++second) sum += Get(second);
  return until > from ? sum / static_cast<double>(until - from) : 0;
}

nlohmann::ordered_json Column::Json(std::size_t length) const {
  nlohmann::ordered_json out = nlohmann::ordered_json::array();
  for (std::size_t second = 0; second < length; ++second) out.push_back(Number(Get(second)));
  return out;
}

}  // namespace bitternmux::lab::report
