// Faults that are aimed at one mechanism of the replica each: sequences that chance brings about too rarely.
// What is lost in them is borne, so that all invariants hold.
#ifndef BITTERNMUX_LAB_SIMULATION_TARGETED_FAULTS_H_
#define BITTERNMUX_LAB_SIMULATION_TARGETED_FAULTS_H_

#include <cstddef>
#include <functional>
#include <optional>

#include "lab/simulation/world.h"

namespace bitternmux::lab::simulation {

class TargetedFaults {
 public:
  explicit TargetedFaults(World& world) : world_(world) {}

  // One of them, drawn; `left_ms`: until the end of trouble. Nothing where it does not fit what is there.
  void Strike(double left_ms);

 private:
  // The owner and two others of a group of three.
  struct Group {
    std::size_t owner, second, third;
  };
  std::optional<Group> DrawGroup();
  void WithSuccessor(std::function<void(const Group&, std::size_t successor)> then);
  void OnceExchanging(const Group& group, std::size_t successor, std::function<void()> then);
  void PutAtOwner(const Group& group);

  void ReplaceByUnknown();
  void LosePromise();
  void ReadBehindSuccessor();
  void LoseOwnersWrite();
  void SplitExchange();
  void LoseSuccessor();
  void LoseSuccessorInStandstill();
  void LoseEndOfExchange();

  World& world_;
};

}  // namespace bitternmux::lab::simulation

#endif  // BITTERNMUX_LAB_SIMULATION_TARGETED_FAULTS_H_
