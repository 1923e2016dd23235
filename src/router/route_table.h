// What a configuration says of a request: its route, its tenant, its service. Plain look-ups, made once for
// each version; a request holds the table that it was admitted by for as long as it lives.
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

  // Among the routes of that host, the one with the longest prefix that begins the path; null: none does.
  const fleet::Route* Match(std::string_view host, std::string_view path) const;
  // Null: nobody holds the key.
  const fleet::Tenant* TenantOf(std::string_view api_key) const;
  const fleet::Service* ServiceOf(const std::string& name) const;
  // The service that a request goes to; `draw` is from 0 to below 1.
  static const std::string& Split(const fleet::Route& route, double draw);

  bool has_tenants() const { return !configuration_.tenants.empty(); }
  std::uint64_t version() const { return configuration_.version; }
  const fleet::Configuration& configuration() const { return configuration_; }

 private:
  const fleet::Configuration configuration_;
  // By host, then the prefix, longest look-up first by cutting the path at its slashes.
  std::unordered_map<std::string, std::unordered_map<std::string, const fleet::Route*>> routes_;
  std::unordered_map<std::string, const fleet::Tenant*> tenants_;  // by key
  std::unordered_map<std::string, const fleet::Service*> services_;
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_ROUTE_TABLE_H_
