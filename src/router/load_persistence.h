// How much of a load that was told still holds some time later, learned from the sums themselves: a decider.
//
// What routers are told of the fleet's load is old (fleet/load/load_board.h): some ten milliseconds in a
// small fleet, some hundred in a large one, where a prompt is read within fifty. How long a server that is
// above the mean stays there is seen by comparing each word with the one before it: the correlation over the
// servers of a service, and with it the best linear estimate of the present load,
//
//   mean + persistence(age) x (told - mean),   persistence(age) = correlation ^ (age / time between words)
//
// so that a sum that says little moves little, whatever the size of the fleet.
//
// Bounds: the persistence is between 0 and 1. Times in milliseconds. Not thread-safe.
#ifndef BITTERNMUX_SRC_ROUTER_LOAD_PERSISTENCE_H_
#define BITTERNMUX_SRC_ROUTER_LOAD_PERSISTENCE_H_

#include <vector>

namespace bitternmux::router {

class LoadPersistence {
 public:
  // A server's load as told one time and the next.
  struct Pair {
    double earlier = 0, later = 0;
  };

  void Learn(double interval_ms, const std::vector<Pair>& servers);
  // The share of a deviation from the mean that is left after that time.
  double After(double age_ms) const;

 private:
  static constexpr double kMemory = 40;               // words
  static constexpr double kStartLifeMs = 300;         // until something has been learned
  static constexpr double kStartVariance = 1;         // that speaks for it
  static constexpr double kLongestIntervalMs = 3000;  // beyond which two words are not compared

  double covariance_ = 0, variance_ = 0;
  double interval_ms_ = 0, weight_ = 0;
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_LOAD_PERSISTENCE_H_
