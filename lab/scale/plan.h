// What one play of a scale run is made of, drawn from its seed alone: who the quote servers are, which
// sidecars are real, what their configuration is, and how many descriptors all that takes. One seed, one
// plan.
#ifndef BITTERNMUX_LAB_SCALE_PLAN_H_
#define BITTERNMUX_LAB_SCALE_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/scale/scenario.h"

namespace bitternmux::lab::scale {

struct Server {
  std::string id, zone, kind;
  int region = 0;  // of its zone; the protocol does not tell it
  int cell = 0;
};

struct Plan {
  int size = 0, services = 0, real = 0, hollow = 0;
  int instances = 0;  // of the tier, as the settings tell a sidecar
  std::uint64_t seed = 0;
  std::vector<Server> servers;
  std::vector<std::string> zones;
  std::vector<int> changed;        // servers in the order in which single changes meet them
  std::vector<int> sidecar_zones;  // of each sidecar, the real ones first
};

Plan MakePlan(const Scenario& scenario, int size, std::uint64_t seed);

// The settings of a sidecar of the plan, as the platform's configuration words them.
nlohmann::json SettingsOf(const Plan& plan, int sidecar);
// Its whole configuration. `door`: empty for none.
nlohmann::json ConfigOf(const Scenario& scenario, const Plan& plan, int sidecar, const std::string& listen,
                        const std::string& discovery, const std::string& door);

// The most descriptors that this process may come to hold.
std::size_t DescriptorsFor(const Scenario& scenario, const Plan& plan);
// Throws std::runtime_error that names the limit if there are fewer than the plan may take, and if it takes
// more processes than a scale run may.
void CheckLimits(const Scenario& scenario, const Plan& plan, std::size_t descriptors);

}  // namespace bitternmux::lab::scale

#endif  // BITTERNMUX_LAB_SCALE_PLAN_H_
