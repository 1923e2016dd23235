// The faults of a day, drawn from its seed. Each has its counterpart among the bench's kinds of trouble
// (docs/design/control-review.md has the table). They overlap and repeat, also beyond what the fleet
// tolerates; only disks are not lost beyond it.
#ifndef BITTERNMUX_LAB_SIMULATION_FAULTS_H_
#define BITTERNMUX_LAB_SIMULATION_FAULTS_H_

#include <cstddef>

#include "lab/simulation/operators.h"
#include "lab/simulation/targeted_faults.h"
#include "lab/simulation/world.h"

namespace bitternmux::lab::simulation {

class Faults {
 public:
  Faults(World& world, Operators& operators) : world_(world), operators_(operators), targeted_(world) {}

  // Plans faults over the next `for_ms`.
  void Draw(double for_ms);
  // A final fault right after an acknowledgement, or none.
  void Close();
  // The same after an add to a tally.
  void CloseOnTallies();

 private:
  void StrikeOnce(double left_ms);
  void StrikeProcess(std::size_t hit, std::size_t kind);
  void StrikeNetwork(std::size_t hit, std::size_t kind, double for_ms);
  void StrikeDisk(std::size_t hit, std::size_t kind, double for_ms);
  void StrikeGroup(std::size_t hit, std::size_t kind, double left_ms);
  void StrikeEdge(std::size_t kind, double for_ms);
  void StrikeAll(std::size_t kind);
  void StrikeZone(std::size_t kind);
  void StrikeAfterAcknowledgement();
  void StrikeAfterAdd(std::size_t machine, std::size_t kind);
  void LoseDisks(std::size_t first);
  void StrikeDuringElection();
  void LeaveOneBehind(std::size_t hit, double for_ms);
  std::size_t Target();
  double Span();

  World& world_;
  Operators& operators_;
  TargetedFaults targeted_;
};

}  // namespace bitternmux::lab::simulation

#endif  // BITTERNMUX_LAB_SIMULATION_FAULTS_H_
