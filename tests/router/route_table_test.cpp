#include "router/route_table.h"

#include <catch2/catch.hpp>

namespace bitternmux::router {
namespace {

fleet::Configuration SampleConfiguration() {
  fleet::Configuration configuration;
  const auto add = [&](const char* name, const char* host, const char* prefix) {
    fleet::Route route;
    route.name = name;
    route.host = host;
    route.path_prefix = prefix;
    route.split = {{"s1", 90}, {"s2", 10}};
    configuration.routes.push_back(route);
  };
  add("short", "a.example", "/x/");
  add("long", "a.example", "/x/y/");
  add("other", "b.example", "/x/");
  add("all", "c.example", "/");
  configuration.tenants = {{"t1", {"k1", "k2"}, 0, false, 0, 0, 0}, {"t2", {"k3"}, 0, false, 0, 0, 0}};
  configuration.services = {{"s1", "/h", 10, false, {}}};
  return configuration;
}

std::string NameOf(const fleet::Route* route) { return route == nullptr ? "" : route->name; }

}  // namespace

TEST_CASE("route table: matches the host and the longest prefix") {
  const RouteTable table(SampleConfiguration());
  CHECK(NameOf(table.Match("a.example", "/x/1")) == "short");
  CHECK(NameOf(table.Match("a.example", "/x/y/1?q=/z/")) == "long");
  CHECK(NameOf(table.Match("A.Example:8080", "/x/y/")) == "long");
  CHECK(NameOf(table.Match("b.example", "/x/y/1")) == "other");
  CHECK(NameOf(table.Match("c.example", "/anything")) == "all");
  CHECK(table.Match("a.example", "/x") == nullptr);
  CHECK(table.Match("a.example", "/xy/1") == nullptr);
  CHECK(table.Match("a.example", "") == nullptr);
  CHECK(table.Match("d.example", "/x/1") == nullptr);
}

TEST_CASE("route table: looks up tenants by key, and services by name") {
  const RouteTable table(SampleConfiguration());
  CHECK(table.TenantOf("k2")->name == "t1");
  CHECK(table.TenantOf("k9") == nullptr);
  CHECK(table.ServiceOf("s1") != nullptr);
  CHECK(table.ServiceOf("s9") == nullptr);
}

TEST_CASE("route table: picks services by weight, never one with weight 0") {
  const RouteTable table(SampleConfiguration());
  fleet::Route route = *table.Match("a.example", "/x/");
  CHECK(RouteTable::PickService(route, 0.0) == "s1");
  CHECK(RouteTable::PickService(route, 0.89) == "s1");
  CHECK(RouteTable::PickService(route, 0.91) == "s2");
  route.split = {{"s1", 0}, {"s2", 5}};
  CHECK(RouteTable::PickService(route, 0.0) == "s2");
  CHECK(RouteTable::PickService(route, 0.999999) == "s2");
}

}  // namespace bitternmux::router
