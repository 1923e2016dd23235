// The settings file of a process (YAML): read and checked in one place.
#ifndef BITTERNMUX_SRC_FLEET_SETTINGS_NODE_SETTINGS_H_
#define BITTERNMUX_SRC_FLEET_SETTINGS_NODE_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace bitternmux::fleet {

constexpr const char* kSettingsVariable = "BITTERNMUX_NODE_FILE";

// Names file, key and value.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct NodeSettings {
  std::string node_name, ip, zone;
  std::vector<std::string> zones;         // of the deployment, in order of their names
  std::string front, readiness, control;  // ip:port to listen on; empty: not this role's
  std::uint16_t first_internal_port = 0, last_internal_port = 0;
  // Where a control machine listens for links, if others reach it at another address than its own: behind a
  // forwarded port. Empty: at `control`'s address and the first internal port.
  std::string internal_listen;
  // Where the agent of an edge machine listens for the router beside it (ip:port): loopback at the first
  // internal port, unless several edge machines share a host.
  std::string agent_listen;
  std::vector<std::string> seeds;  // control addresses
  bool bootstrap = false;
  std::string data_dir;  // empty: no disk
  std::size_t memory_mb = 0, max_fds = 0;
  std::size_t tolerated_machines = 0;  // control machines that may be lost at once with all rules kept
  std::size_t tolerated_zones = 0;     // or zones, with all that stands there
  std::string platform_address;
  double platform_calls_per_s = 0;
  double drain_ms = 3000, grace_s = 8, loss_slack_ms = 200;
  double retry_budget_ratio = 0.2, budget_window_s = 10, budget_slack = 0;
  double quota_window_s = 8, quota_overage = 0, quota_slack = 0;
  // What cold servers may get, as a multiple of what they bear and beyond it; none: no bound.
  std::optional<double> cold_overage;
  double cold_slack = 0;
  // Parts of the rules that the deployment has in force, and that this program was not written for.
  std::vector<std::string> unknown_contracts;
};

// Fields that it does not know are passed over. Throws SettingsError.
NodeSettings ReadNodeSettings(const std::string& path);

// The path that kSettingsVariable holds. Throws SettingsError.
std::string SettingsPath();

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_SETTINGS_NODE_SETTINGS_H_
