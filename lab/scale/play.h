// One play of a scale run: the stands and sidecars of a plan, led through its phases, and what was measured.
#ifndef BITTERNMUX_LAB_SCALE_PLAY_H_
#define BITTERNMUX_LAB_SCALE_PLAY_H_

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/scale/plan.h"

namespace bitternmux::lab::scale {

// What was measured at one point. `sweep`: what the figures depend on beside the size, by name.
struct Entry {
  std::map<std::string, double> sweep;
  std::map<std::string, double> figures;  // docs/operators/lab-scale.md explains each
};

struct Played {
  std::vector<Entry> entries;
  std::string void_reason;  // empty: the play counts
};

// `program` is the built bitternmux; `tell` hears the name of each phase as it begins. Ends all that it has
// started. Throws std::runtime_error where a limit is too low or a sidecar does not come up.
Played RunPlay(const Scenario& scenario, const Plan& plan, const std::string& program,
               const std::function<void(const std::string& phase)>& tell);

// The result as others read it.
nlohmann::ordered_json JsonOf(const Plan& plan, const Played& played);

}  // namespace bitternmux::lab::scale

#endif  // BITTERNMUX_LAB_SCALE_PLAY_H_
