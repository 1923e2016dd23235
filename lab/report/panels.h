// The figures of one run, one under another on the same axis of time. Inside the package only.
#ifndef BITTERNMUX_LAB_REPORT_PANELS_H_
#define BITTERNMUX_LAB_REPORT_PANELS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/report/figure.h"

namespace bitternmux::lab::report {

// `result` as Analyse gives it; `prefix` begins the figures' names.
std::vector<Figure> PanelsOf(const nlohmann::ordered_json& result, const std::string& prefix);

// Curves over the first column, one for each further column: columns `from` to `until`, which are counted
// from 1 as gnuplot does. Those that are nothing but 0 are left out, unless all are. `with` is the kind of
// plot.
std::string Curves(const Table& table, std::size_t from, std::size_t until, const std::string& with,
                   const std::string& more = "");

// A logarithmic axis from one power of ten to another that holds all columns but the first; zero is not on
// it.
std::string LogAxis(const Table& table);

}  // namespace bitternmux::lab::report

#endif  // BITTERNMUX_LAB_REPORT_PANELS_H_
