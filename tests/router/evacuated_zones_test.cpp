#include "router/evacuated_zones.h"

#include <catch2/catch.hpp>

namespace bitternmux::router {
namespace {

bool Drains(const EvacuatedZones& zones, const std::string& zone) {
  const fleet::ServerMap servers = {{"i", {"i", "s", "10.0.0.1:80", zone, 4, false}}};
  return zones.Drained(servers).at("i").draining;
}

}  // namespace

TEST_CASE("evacuated zones: the servers of one are taken as draining, those of others are left as they are") {
  EvacuatedZones zones;
  CHECK_FALSE(zones.Set(0, {}));
  CHECK_FALSE(Drains(zones, "maia"));
  CHECK(zones.Set(10, {"maia"}));
  CHECK_FALSE(zones.Set(20, {"maia"}));
  CHECK(Drains(zones, "maia"));
  CHECK_FALSE(Drains(zones, "braga"));
  const fleet::ServerMap leaving = {{"i", {"i", "s", "10.0.0.1:80", "braga", 4, true}}};
  CHECK(zones.Drained(leaving).at("i").draining);
}

TEST_CASE("evacuated zones: one that was taken back stays out for a time") {
  EvacuatedZones zones;
  zones.Set(0, {"maia", "braga"});
  CHECK(zones.Set(1000, {"braga"}));
  CHECK_FALSE(zones.Tick(1000 + kAfterEvacuationMs - 1));
  CHECK(Drains(zones, "maia"));
  CHECK(zones.Tick(1000 + kAfterEvacuationMs));
  CHECK_FALSE(Drains(zones, "maia"));
  CHECK(Drains(zones, "braga"));
  CHECK_FALSE(zones.Tick(1000 + kAfterEvacuationMs));
}

TEST_CASE(
    "evacuated zones: one that is evacuated again while it returns is out until it is taken back again") {
  EvacuatedZones zones;
  zones.Set(0, {"maia"});
  zones.Set(1000, {});
  zones.Set(2000, {"maia"});
  zones.Tick(9000);
  CHECK(zones.IsOut("maia"));
  zones.Set(10'000, {});
  zones.Tick(10'000 + kAfterEvacuationMs - 1);
  CHECK(zones.IsOut("maia"));
  zones.Tick(10'000 + kAfterEvacuationMs);
  CHECK_FALSE(zones.IsOut("maia"));
}

}  // namespace bitternmux::router
