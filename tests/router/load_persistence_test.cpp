#include "router/load_persistence.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>

namespace bitternmux::router {
namespace {

constexpr int kServers = 60;

// The persistence learned from loads of which `left_after_interval` remains after each update and the rest
// is drawn anew.
LoadPersistence LearnPersistence(double interval_ms, double left_after_interval, unsigned seed) {
  std::mt19937 random(seed);
  std::normal_distribution<double> draw(0, 1);
  std::vector<double> loads(kServers);
  for (double& load : loads) load = 10 + 3 * draw(random);
  LoadPersistence persistence;
  for (int update = 0; update < 200; ++update) {
    std::vector<LoadPersistence::Pair> pairs;
    for (double& load : loads) {
      const double drawn = std::sqrt(1 - left_after_interval * left_after_interval) * 3 * draw(random);
      const double later = 10 + left_after_interval * (load - 10) + drawn;
      pairs.push_back({load, later});
      load = later;
    }
    persistence.Learn(interval_ms, pairs);
  }
  return persistence;
}

}  // namespace

TEST_CASE("load persistence: learned from successive updates, at any interval") {
  for (const double interval_ms : {50.0, 200.0, 460.0}) {
    for (const double left : {0.9, 0.6, 0.2}) {
      const LoadPersistence persistence = LearnPersistence(interval_ms, left, 7);
      INFO(interval_ms << " ms, " << left);
      CHECK(persistence.After(interval_ms) == Approx(left).margin(0.05));
      CHECK(persistence.After(2 * interval_ms) == Approx(left * left).margin(0.08));
      CHECK(persistence.After(0) == 1);
    }
  }
}

TEST_CASE("load persistence: near 0 for independent loads, near 1 for constant loads") {
  CHECK(LearnPersistence(460, 0, 3).After(460) < 0.1);
  CHECK(LearnPersistence(50, 1, 3).After(5000) == Approx(1).margin(0.01));
}

TEST_CASE("load persistence: decays before anything was learned, ignores updates far apart") {
  LoadPersistence persistence;
  const double before = persistence.After(300);
  CHECK(before > 0.2);
  CHECK(before < 0.6);
  persistence.Learn(60'000, {{1, 9}, {9, 1}, {5, 5}});
  persistence.Learn(50, {{1, 1}});
  CHECK(persistence.After(300) == before);
}

TEST_CASE("load persistence: between 0 and 1 for any input") {
  LoadPersistence persistence;
  for (int update = 0; update < 50; ++update) persistence.Learn(50, {{1, 90}, {90, 1}, {1, 80}});
  CHECK(persistence.After(100) == 0);
  for (int update = 0; update < 500; ++update) persistence.Learn(50, {{1, 2}, {2, 900}, {0, 0}});
  CHECK(persistence.After(100) == 1);
}

}  // namespace bitternmux::router
