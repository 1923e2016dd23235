#include "ctl/status_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

namespace bitternmux::ctl {
namespace {

using Json = nlohmann::json;

std::optional<Json> Read(const MachineStatus& machine) {
  if (machine.result.status != 200) return std::nullopt;
  Json json = Json::parse(machine.result.body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) return std::nullopt;
  return json;
}

bool IsOwner(const MachineStatus& machine) {
  const auto json = Read(machine);
  return json && json->value("role", "") == "owner" && json->value("fresh", false);
}

}  // namespace

bool IsHealthy(const std::vector<MachineStatus>& machines) {
  return std::ranges::count_if(machines, IsOwner) == 1;
}

std::string WriteStatus(const std::vector<MachineStatus>& machines) {
  std::string out = fmt::format("{:<22} {:<11} {:>6} {:>8} {:>7} {:>6} {:>9} {:>8}\n", "control", "role",
                                "epoch", "version", "agents", "list", "list age", "fresh");
  for (const MachineStatus& machine : machines) {
    const auto json = Read(machine);
    if (!json) {
      const std::string why = machine.result.status == 0 ? machine.result.body
                                                         : "status " + std::to_string(machine.result.status);
      out += fmt::format("{:<22} no answer: {}\n", machine.control, why);
      continue;
    }
    out += fmt::format(
        "{:<22} {:<11} {:>6} {:>8} {:>7} {:>6} {:>6.1f} s {:>8}\n", machine.control, json->value("role", "?"),
        json->value("epoch", std::uint64_t{0}), json->value("version", std::uint64_t{0}),
        json->value("subscribers", std::uint64_t{0}), json->value("servers", std::uint64_t{0}),
        json->value("platform_list_age_ms", 0.0) / 1000, json->value("fresh", false) ? "yes" : "no");
  }
  if (!IsHealthy(machines))
    out += "no machine asked owns the configuration: changes are not taken until one does\n";
  return out;
}

std::string WriteStatusJson(const std::vector<MachineStatus>& machines) {
  Json all = Json::array();
  for (const MachineStatus& machine : machines) {
    Json json = Read(machine).value_or(Json{{"error", machine.result.body}});
    json["control"] = machine.control;
    all.push_back(std::move(json));
  }
  return all.dump(2) + "\n";
}

}  // namespace bitternmux::ctl
