// Estimates how much of a server's received load is still present some time later, learned from successive
// received loads; pure decision logic without I/O.
//
// The fleet load that routers receive is out of date (fleet/load/load_board.h): by some 10 ms in a small
// fleet and by some 100 ms in a large one, where a prompt is prefilled within 50 ms. How fast a server's
// load returns to the mean is learned by comparing each update with the one before. Their correlation over
// the servers of a service gives the best linear estimate of the present load:
//
//   mean + persistence(age) x (received - mean),   persistence(age) = correlation ^ (age / update interval)
//
// A received load that predicts the present load poorly therefore has little effect, whatever the size of
// the fleet.
//
// Bounds: the persistence is between 0 and 1. Times in milliseconds. Not thread-safe.
#ifndef BITTERNMUX_SRC_ROUTER_LOAD_PERSISTENCE_H_
#define BITTERNMUX_SRC_ROUTER_LOAD_PERSISTENCE_H_

#include <vector>

namespace bitternmux::router {

class LoadPersistence {
 public:
  // A server's load in two successive updates.
  struct Pair {
    double earlier = 0, later = 0;
  };

  void Learn(double interval_ms, const std::vector<Pair>& servers);
  // The share of a deviation from the mean that remains after `age_ms`.
  double After(double age_ms) const;

 private:
  static constexpr double kMemoryUpdates = 40;    // learned values are forgotten over about this many updates
  static constexpr double kPriorLifeMs = 300;     // decay time until something has been learned
  static constexpr double kPriorVariance = 1;     // weight of the prior
  static constexpr double kMaxIntervalMs = 3000;  // updates further apart are not compared

  double covariance_ = 0, variance_ = 0;
  double interval_ms_ = 0, weight_ = 0;
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_LOAD_PERSISTENCE_H_
