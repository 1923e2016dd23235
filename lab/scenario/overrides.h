// A scenario with some of its keys set anew, as experiments vary them.
#ifndef BITTERNMUX_LAB_SCENARIO_OVERRIDES_H_
#define BITTERNMUX_LAB_SCENARIO_OVERRIDES_H_

#include <toml++/toml.h>

#include <string>

#include "lab/scenario/scenario.h"

namespace bitternmux::lab::scenario {

// The scenario in `file`, in which the keys of `set` have its values, table by table. A table that stands
// where the scenario has a list of tables names entries of that list by their `name` or their place, as keys
// do in errors: `trouble.0.factor = 3` changes one key of the first trouble. Throws ScenarioError; a fault of
// what was set names the file and line that `set` was read from.
Scenario ReadWith(const std::string& file, toml::table&& set);

}  // namespace bitternmux::lab::scenario

#endif  // BITTERNMUX_LAB_SCENARIO_OVERRIDES_H_
