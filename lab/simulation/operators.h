// Operators who work through a day: they send changes on top of what they know, read, race each other, and
// send again what had no clear answer.
#ifndef BITTERNMUX_LAB_SIMULATION_OPERATORS_H_
#define BITTERNMUX_LAB_SIMULATION_OPERATORS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lab/simulation/world.h"

namespace bitternmux::lab::simulation {

class Operators {
 public:
  Operators(World& world, std::size_t count) : world_(world), operators_(count) {}

  void Begin();
  void End() { working_ = false; }
  // A change each `gap_ms` for a while.
  void Storm(double for_ms, double gap_ms);

 private:
  struct Operator {
    std::uint64_t current = 0;
    std::optional<std::size_t> call;  // the last one
  };
  void Work(std::size_t i);
  void Learn(Operator& one);
  void Act(std::size_t i);

  World& world_;
  std::vector<Operator> operators_;
  bool working_ = false;
  double storm_until_ms_ = 0, storm_gap_ms_ = 0;
  std::vector<std::size_t> sent_;  // calls with orders
  std::uint64_t number_ = 0;
};

}  // namespace bitternmux::lab::simulation

#endif  // BITTERNMUX_LAB_SIMULATION_OPERATORS_H_
