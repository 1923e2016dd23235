#include "fleet/settings/node_settings.h"

#include <arpa/inet.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <string_view>

namespace bitternmux::fleet {
namespace {

// The parts of the rules that this program was written for. Not among them: "places" (homes in regions).
constexpr std::array<std::string_view, 13> kKnownContracts = {
    "base", "drain", "config", "cost",   "retry",   "recover", "health",
    "pool", "apart", "engine", "stream", "tenants", "quota"};

std::vector<std::string> UnknownAmong(std::vector<std::string> contracts) {
  std::erase_if(contracts, [](const std::string& contract) {
    return std::ranges::find(kKnownContracts, contract) != kKnownContracts.end();
  });
  return contracts;
}

// Reads keys of one file, with the path of a key in each error.
class Reader {
 public:
  Reader(std::string file, const YAML::Node& node, std::string prefix = "")
      : file_(std::move(file)), node_(node), prefix_(std::move(prefix)) {}

  Reader Section(const char* key) const {
    const YAML::Node section = Find(key);
    if (section && !section.IsNull() && !section.IsMap()) Fail(key, "is no table");
    return Reader(file_, section && section.IsMap() ? section : YAML::Node(YAML::NodeType::Map),
                  prefix_ + key + ".");
  }

  template <class Value>
  Value Get(const char* key, Value otherwise) const {
    const YAML::Node value = Find(key);
    if (!value || value.IsNull()) return otherwise;
    try {
      return value.as<Value>();
    } catch (const YAML::Exception&) {
      Fail(key, "has a value of the wrong kind: " + Text(value));
    }
  }

  bool Has(const char* key) const {
    const YAML::Node value = Find(key);
    return value && !value.IsNull();
  }

  // The keys of a table, sorted; none if it is not there.
  std::vector<std::string> Keys(const char* key) const {
    std::vector<std::string> keys;
    for (const auto& entry : Section(key).node_) keys.push_back(entry.first.as<std::string>());
    std::ranges::sort(keys);
    return keys;
  }

  template <class Value>
  Value Need(const char* key) const {
    const YAML::Node value = Find(key);
    if (!value || value.IsNull()) Fail(key, "is missing");
    return Get<Value>(key, Value());
  }

  std::string Address(const char* key) const {
    const auto address = Get<std::string>(key, "");
    if (!address.empty()) CheckAddress(key, address);
    return address;
  }

  void CheckAddress(const char* key, const std::string& address) const {
    const auto colon = address.rfind(':');
    const std::string port = colon == std::string::npos ? "" : address.substr(colon + 1);
    constexpr unsigned long kMaxPort = 65'535;
    const bool digits =
        !port.empty() && port.size() <= 5 && port.find_first_not_of("0123456789") == std::string::npos;
    if (!digits || std::stoul(port) > kMaxPort) Fail(key, "is no ip:port: " + address);
  }

  // For addresses that are dialed without a resolver.
  void CheckIpAddress(const char* key, const std::string& address) const {
    CheckAddress(key, address);
    const std::string host = address.substr(0, address.rfind(':'));
    in6_addr bytes{};
    if (inet_pton(AF_INET, host.c_str(), &bytes) != 1 && inet_pton(AF_INET6, host.c_str(), &bytes) != 1)
      Fail(key, "is no ip:port: " + address);
  }

  [[noreturn]] void Fail(const char* key, const std::string& why) const {
    throw SettingsError(file_ + ": " + prefix_ + key + " " + why);
  }

 private:
  YAML::Node Find(const char* key) const { return static_cast<const YAML::Node&>(node_)[key]; }
  static std::string Text(const YAML::Node& value) {
    return value.IsScalar() ? value.Scalar() : std::string("no plain value");
  }

  std::string file_;
  YAML::Node node_;
  std::string prefix_;
};

YAML::Node Load(const std::string& path) {
  try {
    YAML::Node root = YAML::LoadFile(path);
    if (!root.IsMap()) throw SettingsError(path + ": is no table of settings");
    return root;
  } catch (const YAML::BadFile&) {
    throw SettingsError(path + ": cannot be read");
  } catch (const YAML::Exception& error) {
    throw SettingsError(path + ": " + error.what());
  }
}

}  // namespace

NodeSettings ReadNodeSettings(const std::string& path) {
  const Reader file(path, Load(path));
  NodeSettings out;
  out.node_name = file.Need<std::string>("node_name");
  out.ip = file.Need<std::string>("ip");
  out.zone = file.Get<std::string>("zone", "");
  out.zones = file.Keys("zones");
  const Reader listen = file.Section("listen");
  out.front = listen.Address("front");
  out.readiness = listen.Address("readiness");
  out.control = listen.Address("control");
  const auto ports = file.Need<std::vector<std::uint16_t>>("internal_ports");
  if (ports.size() != 2 || ports[0] == 0 || ports[0] > ports[1])
    file.Fail("internal_ports", "are not two rising ports");
  out.first_internal_port = ports[0];
  out.last_internal_port = ports[1];
  const Reader own = file.Section("bitternmux");
  out.internal_listen = own.Address("internal_listen");
  out.agent_listen = own.Address("agent_listen");
  if (out.agent_listen.empty()) out.agent_listen = "127.0.0.1:" + std::to_string(out.first_internal_port);
  out.seeds = file.Get<std::vector<std::string>>("seeds", {});
  for (const std::string& seed : out.seeds) file.CheckIpAddress("seeds", seed);
  out.bootstrap = file.Get<bool>("bootstrap", false);
  out.data_dir = file.Get<std::string>("data_dir", "");
  const Reader limits = file.Section("limits");
  out.memory_mb = limits.Get<std::size_t>("memory_mb", 256);
  out.max_fds = limits.Get<std::size_t>("max_fds", 1024);
  const Reader tolerance = file.Section("fault_tolerance");
  out.tolerated_machines = tolerance.Get<std::size_t>("machines", 1);
  out.tolerated_zones = tolerance.Get<std::size_t>("zones", 0);
  const Reader cloud = file.Section("cloud");
  out.platform_address = cloud.Address("address");
  out.platform_calls_per_s = cloud.Get<double>("rate_per_s", 10);
  const Reader bounds = file.Section("bounds");
  out.drain_ms = bounds.Get<double>("drain_ms", out.drain_ms);
  out.grace_s = bounds.Get<double>("grace_s", out.grace_s);
  out.loss_slack_ms = bounds.Get<double>("loss_slack_ms", out.loss_slack_ms);
  out.retry_budget_ratio = bounds.Get<double>("retry_budget_ratio", out.retry_budget_ratio);
  out.budget_window_s = bounds.Get<double>("budget_window_s", out.budget_window_s);
  out.budget_slack = bounds.Get<double>("budget_slack", out.budget_slack);
  out.quota_window_s = bounds.Get<double>("quota_window_s", out.quota_window_s);
  out.quota_overage = bounds.Get<double>("quota_overage", out.quota_overage);
  out.quota_slack = bounds.Get<double>("quota_slack", out.quota_slack);
  if (bounds.Has("cold_overage")) out.cold_overage = bounds.Need<double>("cold_overage");
  out.unknown_contracts = UnknownAmong(file.Get<std::vector<std::string>>("contracts", {}));
  out.cold_slack = bounds.Get<double>("cold_slack", out.cold_slack);
  return out;
}

std::string SettingsPath() {
  const char* path = std::getenv(kSettingsVariable);
  if (path == nullptr || *path == '\0') {
    throw SettingsError(std::string(kSettingsVariable) + " names no settings file");
  }
  return path;
}

}  // namespace bitternmux::fleet
