// The operator's configuration: its form, its checks, and the values that the data plane goes by.
#ifndef BITTERNMUX_SRC_FLEET_CONFIGURATION_CONFIGURATION_H_
#define BITTERNMUX_SRC_FLEET_CONFIGURATION_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace bitternmux::fleet {

// Says what is invalid, by its place in the text.
class ConfigurationError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

enum class RouteType { kSafe, kNonIdempotent, kStreaming };

struct WeightedService {
  std::string service;
  double weight = 0;
};

struct Route {
  std::string name, host, path_prefix;
  RouteType type = RouteType::kNonIdempotent;
  double timeout_ms = 0, target_latency_ms = 0, gap_aim_ms = 0;
  int priority = 0;
  int max_attempts = 1;
  bool is_public = false, session_affinity = false, resumable = false;
  std::vector<WeightedService> split;  // one entry where the route names a service

  // May a request of it run more than once?
  bool Repeatable() const { return type == RouteType::kSafe || (type == RouteType::kStreaming && resumable); }
};

struct Engine {
  double slots = 0, kv_tokens = 0;
};

struct Service {
  std::string name, health_path;
  int max_connections = 0;
  bool has_engine = false;
  Engine engine;
  // A server stays cold for so long after its start, and bears so many requests a second meanwhile; rate 0:
  // as many as a warm one.
  double cold_start_s = 0, cold_rate_s = 0;
};

struct Tenant {
  std::string name;
  std::vector<std::string> api_keys;
  int priority = 0;
  bool counts_tokens = false;        // else requests
  double uncached_tokens = 0;        // of a request that tells no tokens
  double rate_per_s = 0, burst = 0;  // rate 0: no limit
};

struct Limits {
  std::size_t max_header_bytes = 16 * 1024, max_body_bytes = 4 * 1024 * 1024;
  double header_timeout_ms = 3000, idle_timeout_ms = 15000;
};

struct Configuration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Tenant> tenants;
  Limits limits;
};

// Reads a whole configuration and checks what its parts say of each other. Throws ConfigurationError. Whether
// its version is above the current one is for the shard's owner to say.
Configuration ReadConfiguration(std::string_view text);
// The same of a text that was read already.
Configuration ReadConfigurationDocument(const nlohmann::json& json);

// 64-bit FNV-1a: whether two orders are the same to the byte.
std::uint64_t DigestOf(std::string_view text);

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_CONFIGURATION_CONFIGURATION_H_
