#include "router/zone_reach.h"

#include <catch2/catch.hpp>

namespace bitternmux::router {

TEST_CASE("zone reach: one unresponsive server may be down, two in a zone without responses mean a cut") {
  ZoneReach reach;
  reach.OnNoResponse(700, "far", "i1", 0);
  reach.OnNoResponse(1500, "far", "i1", 800);
  CHECK_FALSE(reach.IsCutOff("far"));
  reach.OnNoResponse(1600, "far", "i2", 900);
  CHECK(reach.IsCutOff("far"));
  CHECK_FALSE(reach.IsCutOff("near"));
  CHECK(reach.MayTry(1600, "near"));
}

TEST_CASE("zone reach: a response since the attempt began shows that only the server is unresponsive") {
  ZoneReach reach;
  reach.OnNoResponse(700, "far", "i1", 0);
  reach.OnResponse(800, "far");
  reach.OnNoResponse(900, "far", "i2", 200);
  reach.OnNoResponse(1600, "far", "i3", 900);
  CHECK_FALSE(reach.IsCutOff("far"));
  reach.OnNoResponse(1700, "far", "i4", 1000);
  CHECK(reach.IsCutOff("far"));
}

TEST_CASE("zone reach: one trial at a time, at growing intervals, until a response arrives") {
  ZoneReach reach;
  for (const char* server : {"i1", "i2"}) reach.OnNoResponse(700, "far", server, 0);
  int trials = 0;
  for (double now_ms = 700; now_ms < 20'700; now_ms += 10) {
    if (!reach.MayTry(now_ms, "far")) continue;
    reach.OnSent(now_ms, "far");
    ++trials;
    reach.OnNoResponse(now_ms + 700, "far", "i3", now_ms);
  }
  CHECK(trials >= 5);
  CHECK(trials <= 8);
  reach.OnResponse(20'700, "far");
  CHECK(reach.MayTry(20'700, "far"));
  // The next cut starts with the initial pause again.
  for (const char* server : {"i1", "i2"}) reach.OnNoResponse(30'000, "far", server, 29'300);
  CHECK_FALSE(reach.MayTry(30'400, "far"));
  CHECK(reach.MayTry(30'600, "far"));
}

}  // namespace bitternmux::router
