// An operator who evacuates zones and takes them back on a part of the days, a few orders a day. Some of them
// cross faults: one strikes just before an order is decided, or in the moment of its acknowledgement.
//
// All of it is drawn from a stream of random numbers of its own, so that the other days stay as they were.
#ifndef BITTERNMUX_LAB_SIMULATION_ZONE_OPERATOR_H_
#define BITTERNMUX_LAB_SIMULATION_ZONE_OPERATOR_H_

#include <cstddef>
#include <cstdint>
#include <set>

#include "lab/simulation/clock.h"
#include "lab/simulation/world.h"

namespace bitternmux::lab::simulation {

class ZoneOperator {
 public:
  explicit ZoneOperator(World& world);

  // Whether there are orders on the day of that seed.
  static bool WorksOn(std::uint64_t seed);
  // Plans orders over the next `for_ms`.
  void Draw(double for_ms);
  // On a part of the days one more, and a final fault in the moment of its acknowledgement.
  void Close();

 private:
  std::size_t Send(World::Acknowledged acknowledged);
  void Order();
  void StrikeOwnerSoon();
  void Strike(std::size_t machine, std::size_t kind);

  World& world_;
  Clock draws_;                      // for its random numbers alone
  std::set<std::size_t> evacuated_;  // zones, by the newest order about each
  std::size_t number_ = 0;
};

}  // namespace bitternmux::lab::simulation

#endif  // BITTERNMUX_LAB_SIMULATION_ZONE_OPERATOR_H_
