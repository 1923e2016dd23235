// A load's result, for people and for programs.
#ifndef BITTERNMUX_LAB_LOAD_REPORT_H_
#define BITTERNMUX_LAB_LOAD_REPORT_H_

#include <nlohmann/json.hpp>
#include <string>

#include "lab/load/generator.h"

namespace bitternmux::lab::load {

// A line for each class and outcome that occurred, and what there is to say about the load itself.
std::string TextOf(const Plan& plan, const Result& result);
nlohmann::json JsonOf(const Plan& plan, const Result& result);

}  // namespace bitternmux::lab::load

#endif  // BITTERNMUX_LAB_LOAD_REPORT_H_
