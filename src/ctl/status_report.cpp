#include "ctl/status_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>

#include "json/json_text.h"

namespace bitternmux::ctl {
namespace {

using Json = nlohmann::json;

std::optional<Json> Read(const MachineStatus& machine) {
  if (machine.result.status != 200) return std::nullopt;
  Json json = Json::parse(machine.result.body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) return std::nullopt;
  return json;
}

// The value of a key; `otherwise` if it is absent or of another type.
template <class Value>
Value Get(const Json& object, const char* key, Value otherwise) {
  const auto found = object.find(key);
  if (found == object.end()) return otherwise;
  try {
    return found->get<Value>();
  } catch (const Json::type_error&) {
    return otherwise;
  }
}

bool IsOwner(const MachineStatus& machine) {
  const auto json = Read(machine);
  return json && Get<std::string>(*json, "role", "") == "owner" && Get(*json, "fresh", false);
}

// What a machine says of tallies; an empty object if it says nothing.
Json TalliesOf(const Json& status) {
  const auto tallies = status.find("tallies");
  return tallies != status.end() && tallies->is_object() ? *tallies : Json::object();
}

std::vector<Json> PeersOf(const Json& tallies) {
  std::vector<Json> peers;
  const auto found = tallies.find("peers");
  if (found == tallies.end() || !found->is_array()) return peers;
  std::ranges::copy_if(*found, std::back_inserter(peers), [](const Json& peer) { return peer.is_object(); });
  return peers;
}

bool IsReached(const Json& peer) { return Get(peer, "reached", false); }

bool ReachesAllOthers(const MachineStatus& machine) {
  const auto json = Read(machine);
  if (!json) return true;  // it has a line of its own
  const Json tallies = TalliesOf(*json);
  if (tallies.empty()) return true;
  return Get(tallies, "settled", false) && std::ranges::all_of(PeersOf(tallies), IsReached);
}

std::string WritePeer(const std::string& control, const Json& peer) {
  const auto address = Get<std::string>(peer, "address", "?");
  const auto here = Get(peer, "missing_here", std::uint64_t{0});
  const auto there = Get(peer, "missing_there", std::uint64_t{0});
  std::string out;
  if (!IsReached(peer)) out += fmt::format("{} and {} do not reach each other\n", control, address);
  if (here + there > 0)
    out += fmt::format("{} lacks {} adds to tallies that {} has, which lacks {}{}\n", control, here, address,
                       there, IsReached(peer) ? "" : ", by what it told last");
  return out;
}

// What there is to say of a machine's tallies; nothing if all is well.
std::string WriteTallies(const MachineStatus& machine) {
  const auto json = Read(machine);
  if (!json) return "";
  const Json tallies = TalliesOf(*json);
  if (tallies.empty()) return "";
  std::string out;
  if (!Get(tallies, "settled", false))
    out += machine.control + " does not answer reads of tallies yet: it has to catch up with the others\n";
  for (const Json& peer : PeersOf(tallies)) out += WritePeer(machine.control, peer);
  return out;
}

}  // namespace

bool IsHealthy(const std::vector<MachineStatus>& machines) {
  return std::ranges::count_if(machines, IsOwner) == 1;
}

bool IsConnected(const std::vector<MachineStatus>& machines) {
  return std::ranges::all_of(machines, ReachesAllOthers);
}

std::string WriteStatus(const std::vector<MachineStatus>& machines) {
  std::string out = fmt::format("{:<22} {:<11} {:>6} {:>8} {:>7} {:>6} {:>9} {:>8} {:>7}\n", "control",
                                "role", "epoch", "version", "agents", "list", "list age", "fresh", "adds");
  for (const MachineStatus& machine : machines) {
    const auto json = Read(machine);
    if (!json) {
      const std::string why = machine.result.status == 0 ? machine.result.body
                                                         : "status " + std::to_string(machine.result.status);
      out += fmt::format("{:<22} no answer: {}\n", machine.control, why);
      continue;
    }
    out += fmt::format(
        "{:<22} {:<11} {:>6} {:>8} {:>7} {:>6} {:>6.1f} s {:>8} {:>7}\n", machine.control,
        Get<std::string>(*json, "role", "?"), Get(*json, "epoch", std::uint64_t{0}),
        Get(*json, "version", std::uint64_t{0}), Get(*json, "subscribers", std::uint64_t{0}),
        Get(*json, "servers", std::uint64_t{0}), Get(*json, "platform_list_age_ms", 0.0) / 1000,
        Get(*json, "fresh", false) ? "yes" : "no", Get(TalliesOf(*json), "adds", std::uint64_t{0}));
  }
  for (const MachineStatus& machine : machines) out += WriteTallies(machine);
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
  constexpr int kIndent = 2;
  return JsonText(all, kIndent) + "\n";
}

}  // namespace bitternmux::ctl
