// Look-up of the route, tenant and service of a request in a configuration. The tables are built once for
// each version; a request keeps the table by which it was admitted until it ends.
#ifndef BITTERNMUX_SRC_ROUTER_ROUTE_TABLE_H_
#define BITTERNMUX_SRC_ROUTER_ROUTE_TABLE_H_

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fleet/configuration/configuration.h"

namespace bitternmux::router {

class RouteTable {
 public:
  explicit RouteTable(fleet::Configuration configuration);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  // The route of that host with the longest prefix that the path begins with; null: none matches.
  const fleet::Route* Match(std::string_view host, std::string_view path) const;
  // Null: no tenant has the key.
  const fleet::Tenant* TenantOf(std::string_view api_key) const;
  const fleet::Service* ServiceOf(const std::string& name) const;
  // Picks the service for a request by the weights of the route; `draw` is at least 0 and below 1.
  static const std::string& PickService(const fleet::Route& route, double draw);

  bool has_tenants() const { return !configuration_.tenants.empty(); }
  std::uint64_t version() const { return configuration_.version; }
  const fleet::Configuration& configuration() const { return configuration_; }

 private:
  const fleet::Configuration configuration_;
  // By host, then by prefix. The longest match is found by cutting the path at its slashes from the end.
  std::unordered_map<std::string, std::unordered_map<std::string, const fleet::Route*>> routes_;
  std::unordered_map<std::string, const fleet::Tenant*> tenants_;  // by key
  std::unordered_map<std::string, const fleet::Service*> services_;
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_ROUTE_TABLE_H_
