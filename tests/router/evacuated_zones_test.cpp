#include "router/evacuated_zones.h"

#include <catch2/catch.hpp>

namespace bitternmux::router {
namespace {

bool IsMarkedDraining(const EvacuatedZones& zones, const std::string& zone) {
  const fleet::ServerMap servers = {{"i", {"i", "s", "10.0.0.1:80", zone, 4, false}}};
  return zones.MarkDraining(servers).at("i").draining;
}

}  // namespace

TEST_CASE("evacuated zones: marks their servers as draining, and leaves other servers unchanged") {
  EvacuatedZones zones;
  CHECK_FALSE(zones.Set(0, {}));
  CHECK_FALSE(IsMarkedDraining(zones, "maia"));
  CHECK(zones.Set(10, {"maia"}));
  CHECK_FALSE(zones.Set(20, {"maia"}));
  CHECK(IsMarkedDraining(zones, "maia"));
  CHECK_FALSE(IsMarkedDraining(zones, "braga"));
  const fleet::ServerMap leaving = {{"i", {"i", "s", "10.0.0.1:80", "braga", 4, true}}};
  CHECK(zones.MarkDraining(leaving).at("i").draining);
}

TEST_CASE("evacuated zones: a zone stays excluded for a delay after its evacuation has ended") {
  EvacuatedZones zones;
  zones.Set(0, {"maia", "braga"});
  CHECK(zones.Set(1000, {"braga"}));
  CHECK_FALSE(zones.Tick(1000 + kReturnDelayMs - 1));
  CHECK(IsMarkedDraining(zones, "maia"));
  CHECK(zones.Tick(1000 + kReturnDelayMs));
  CHECK_FALSE(IsMarkedDraining(zones, "maia"));
  CHECK(IsMarkedDraining(zones, "braga"));
  CHECK_FALSE(zones.Tick(1000 + kReturnDelayMs));
}

TEST_CASE(
    "evacuated zones: a zone evacuated again during the delay stays excluded until that evacuation ends") {
  EvacuatedZones zones;
  zones.Set(0, {"maia"});
  zones.Set(1000, {});
  zones.Set(2000, {"maia"});
  zones.Tick(9000);
  CHECK(zones.IsExcluded("maia"));
  zones.Set(10'000, {});
  zones.Tick(10'000 + kReturnDelayMs - 1);
  CHECK(zones.IsExcluded("maia"));
  zones.Tick(10'000 + kReturnDelayMs);
  CHECK_FALSE(zones.IsExcluded("maia"));
}

}  // namespace bitternmux::router
