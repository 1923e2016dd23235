// Figures by second, and numbers as a result's JSON has them.
#ifndef BITTERNMUX_LAB_REPORT_COLUMNS_H_
#define BITTERNMUX_LAB_REPORT_COLUMNS_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <vector>

namespace bitternmux::lab::report {

// To six digits after the point: more is noise. Null for what is no number.
nlohmann::ordered_json Number(double value);

// `part` of `whole`; 1 of nothing.
double Share(double part, double whole);

// By the nearest rank, `share` from 0 to 1; NaN of none. Reorders the values, which are milliseconds.
double Percentile(std::vector<float>& values, double share);

// A figure by second that grows as it is counted in.
class Column {
 public:
  double& At(std::size_t second);
  double Get(std::size_t second) const { return second < values_.size() ? values_[second] : 0; }
  std::size_t size() const { return values_.size(); }
  double Sum() const;
  // The mean over [from, until).
  double Mean(std::size_t from, std::size_t until) const;
  // An array of the first `length` seconds.
  nlohmann::ordered_json Json(std::size_t length) const;

 private:
  std::vector<double> values_;
};

}  // namespace bitternmux::lab::report

#endif  // BITTERNMUX_LAB_REPORT_COLUMNS_H_
