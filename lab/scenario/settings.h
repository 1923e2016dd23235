// The settings that the platform gives a sidecar on a day, as its configuration file words them. Both ways to
// run a scenario use these, so that they cannot differ.
#ifndef BITTERNMUX_LAB_SCENARIO_SETTINGS_H_
#define BITTERNMUX_LAB_SCENARIO_SETTINGS_H_

#include <nlohmann/json.hpp>

#include "lab/model/figures.h"

namespace bitternmux::lab::scenario {

// The value of the key `settings`. `sidecar` is its number.
nlohmann::json SettingsOf(const model::Figures& figures, int sidecar);

}  // namespace bitternmux::lab::scenario

#endif  // BITTERNMUX_LAB_SCENARIO_SETTINGS_H_
