#include "fleet/configuration/configuration.h"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace bitternmux::fleet {
namespace {

using Json = nlohmann::json;

// The value of a key, which null or its absence leave at `otherwise`.
template <class Value>
Value Get(const Json& object, const char* key, Value otherwise) {
  const auto found = object.find(key);
  return found == object.end() || found->is_null() ? otherwise : found->get<Value>();
}

RouteType TypeOf(const std::string& word) {
  if (word == "safe") return RouteType::kSafe;
  if (word == "streaming") return RouteType::kStreaming;
  return RouteType::kNonIdempotent;
}

Route ReadRoute(const Json& json) {
  Route route;
  route.name = json.at("name").get<std::string>();
  route.host = json.at("host").get<std::string>();
  route.path_prefix = json.at("path_prefix").get<std::string>();
  route.type = TypeOf(json.at("route_type").get<std::string>());
  route.timeout_ms = json.at("timeout_ms").get<double>();
  route.target_latency_ms = Get(json, "target_latency_ms", 0.0);
  route.gap_aim_ms = Get(json, "gap_aim_ms", 0.0);
  route.priority = Get(json, "priority", 0);
  route.max_attempts = Get(json, "max_attempts", 1);
  route.is_public = Get(json, "public", false);
  route.session_affinity = Get(json, "session_affinity", false);
  route.resumable = Get(json, "resumable", false);
  const auto split = json.find("traffic_split");
  if (split == json.end() || split->is_null()) {
    route.split.push_back({json.at("service").get<std::string>(), 1});
    return route;
  }
  for (const Json& part : *split) {
    route.split.push_back({part.at("service").get<std::string>(), part.at("weight").get<double>()});
  }
  return route;
}

Service ReadService(const Json& json) {
  Service service;
  service.name = json.at("name").get<std::string>();
  service.health_path = Get<std::string>(json, "health_path", "/");
  service.max_connections = Get(json, "max_connections", 0);
  service.cold_start_s = Get(json, "cold_start_s", 0.0);
  service.cold_rate_s = Get(json, "cold_rate_s", 0.0);
  const auto engine = json.find("engine");
  if (engine == json.end() || !engine->is_object()) return service;
  service.has_engine = true;
  service.engine.slots = Get(*engine, "slots", 0.0);
  service.engine.kv_tokens = Get(*engine, "kv_tokens", 0.0);
  return service;
}

Tenant ReadTenant(const Json& json) {
  Tenant tenant;
  tenant.name = json.at("name").get<std::string>();
  tenant.api_keys = json.at("api_keys").get<std::vector<std::string>>();
  tenant.priority = Get(json, "priority", 0);
  tenant.counts_tokens = Get<std::string>(json, "unit", "") == "token_count";
  tenant.uncached_tokens = Get(json, "uncached_tokens", 0.0);
  tenant.rate_per_s = Get(json, "rate_per_s", 0.0);
  tenant.burst = Get(json, "burst", 0.0);
  return tenant;
}

Limits ReadLimits(const Json& json) {
  Limits limits;
  limits.max_header_bytes = Get(json, "max_header_bytes", limits.max_header_bytes);
  limits.max_body_bytes = Get(json, "max_body_bytes", limits.max_body_bytes);
  limits.header_timeout_ms = Get(json, "header_timeout_ms", limits.header_timeout_ms);
  limits.idle_timeout_ms = Get(json, "idle_timeout_ms", limits.idle_timeout_ms);
  return limits;
}

void CheckRoutes(const Configuration& configuration) {
  std::set<std::string> services;
  for (const Service& service : configuration.services) services.insert(service.name);
  std::set<std::pair<std::string, std::string>> places;
  for (const Route& route : configuration.routes) {
    if (!places.emplace(route.host, route.path_prefix).second) {
      throw ConfigurationError("two routes at " + route.host + route.path_prefix);
    }
    if (!(route.timeout_ms > 0)) throw ConfigurationError("route " + route.name + ": timeout_ms is 0");
    double weights = 0;
    for (const WeightedService& part : route.split) {
      if (!services.contains(part.service)) {
        throw ConfigurationError("route " + route.name + ": unknown service " + part.service);
      }
      weights += part.weight;
    }
    if (!(weights > 0)) throw ConfigurationError("route " + route.name + ": the weights add up to 0");
  }
}

void CheckTenants(const Configuration& configuration) {
  std::map<std::string, std::string> owners;
  for (const Tenant& tenant : configuration.tenants) {
    for (const std::string& key : tenant.api_keys) {
      const auto [found, added] = owners.emplace(key, tenant.name);
      if (!added && found->second != tenant.name) {
        throw ConfigurationError("tenants " + found->second + " and " + tenant.name + " share a key");
      }
    }
  }
}

}  // namespace

Configuration ReadConfiguration(std::string_view text) {
  try {
    return ReadConfigurationDocument(Json::parse(text));
  } catch (const Json::exception& error) {
    throw ConfigurationError(error.what());
  }
}

Configuration ReadConfigurationDocument(const Json& json) {
  try {
    Configuration out;
    out.version = json.at("version").get<std::uint64_t>();
    for (const Json& route : json.at("routes")) out.routes.push_back(ReadRoute(route));
    for (const Json& service : json.at("services")) out.services.push_back(ReadService(service));
    const auto tenants = json.find("tenants");
    if (tenants != json.end() && tenants->is_array()) {
      for (const Json& tenant : *tenants) out.tenants.push_back(ReadTenant(tenant));
    }
    const auto limits = json.find("limits");
    if (limits != json.end() && limits->is_object()) out.limits = ReadLimits(*limits);
    CheckRoutes(out);
    CheckTenants(out);
    return out;
  } catch (const Json::exception& error) {
    throw ConfigurationError(error.what());
  }
}

std::uint64_t DigestOf(std::string_view text) {
  std::uint64_t value = 0xcbf29ce484222325u;
  for (const char byte : text) value = (value ^ static_cast<unsigned char>(byte)) * 0x100000001b3u;
  return value;
}

}  // namespace bitternmux::fleet
