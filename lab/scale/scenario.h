// A scale run's scenario: what grows with the size, and how long each phase of a play lasts.
#ifndef BITTERNMUX_LAB_SCALE_SCENARIO_H_
#define BITTERNMUX_LAB_SCALE_SCENARIO_H_

#include <cstdint>
#include <string>
#include <vector>

namespace bitternmux::lab::scale {

struct Scenario {
  std::string name = "scale";
  std::uint64_t seed = 1;
  std::vector<int> sizes = {80, 160, 315, 630};  // quote servers, which are as many names and sidecars
  int real = 8;                                  // sidecars that are the built program, 1 to 30
  int most_hollow = 622;                         // hollow ones at most, whatever the size
  int zones = 7, regions = 2;
  int services_least = 8, services_most = 67;  // in proportion to the size, the most at the largest
  int memory_mb = 64, sockets = 1024;          // of a real sidecar
  int hollow_turn_ms = 20;                     // between two turns of a hollow sidecar's wheel
  double hollow_calls_per_s = 0;               // of each
  int tries = 3;                               // of a play that was void
  double slack_ms = 250;  // a stand-in's timer that was later than this makes the play void

  double idle_s = 4, load_s = 2, changes_s = 3;
  std::vector<double> calls_per_s = {59, 295, 1180};
  double most_calls_per_s = 3000;  // of all real sidecars; above it fewer of them get calls
  std::vector<double> changes_per_s = {2, 5};
  std::vector<int> connections = {50, 150, 300};
  int lists = 3;      // whole lists of each real sidecar
  int in_force = 10;  // changes whose way to the last sidecar is timed
};

// Throws std::invalid_argument that names the faulty key.
Scenario ReadScenario(const std::string& path);

}  // namespace bitternmux::lab::scale

#endif  // BITTERNMUX_LAB_SCALE_SCENARIO_H_
