#include "router/route_table.h"

#include <algorithm>
#include <utility>

namespace bitternmux::router {
namespace {

std::string HostName(std::string_view host) {
  const auto colon = host.rfind(':');
  std::string name(colon == std::string_view::npos ? host : host.substr(0, colon));
  std::ranges::transform(name, name.begin(),
                         [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
  return name;
}

}  // namespace

RouteTable::RouteTable(fleet::Configuration configuration) : configuration_(std::move(configuration)) {
  for (const fleet::Route& route : configuration_.routes)
    routes_[HostName(route.host)][route.path_prefix] = &route;
  for (const fleet::Tenant& tenant : configuration_.tenants) {
    for (const std::string& key : tenant.api_keys) tenants_[key] = &tenant;
  }
  for (const fleet::Service& service : configuration_.services) services_[service.name] = &service;
}

const fleet::Route* RouteTable::Match(std::string_view host, std::string_view path) const {
  const auto of_host = routes_.find(HostName(host));
  if (of_host == routes_.end()) return nullptr;
  path = path.substr(0, path.find('?'));
  while (true) {
    const auto slash = path.rfind('/');
    if (slash == std::string_view::npos) return nullptr;
    path = path.substr(0, slash + 1);
    const auto found = of_host->second.find(std::string(path));
    if (found != of_host->second.end()) return found->second;
    path = path.substr(0, slash);
  }
}

const fleet::Tenant* RouteTable::TenantOf(std::string_view api_key) const {
  const auto found = tenants_.find(std::string(api_key));
  return found == tenants_.end() ? nullptr : found->second;
}

const fleet::Service* RouteTable::ServiceOf(const std::string& name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : found->second;
}

const std::string& RouteTable::PickService(const fleet::Route& route, double draw) {
  double sum = 0;
  for (const fleet::WeightedService& part : route.split) sum += part.weight;
  double left = draw * sum;
  for (const fleet::WeightedService& part : route.split) {
    left -= part.weight;
    if (left < 0 && part.weight > 0) return part.service;
  }
  const auto fallback = std::ranges::find_if(route.split, [](const auto& part) { return part.weight > 0; });
  return fallback->service;
}

}  // namespace bitternmux::router
