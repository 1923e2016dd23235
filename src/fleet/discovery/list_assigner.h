// Who reads the platform's list of servers: a decider of the owner of the configuration shard.
//
// The owner assigns the reading to one process at a time, itself first, and to the next live member in the
// agreed order when it has heard of no reading for kListSilentMs (the reader is gone, frozen, or cut off from
// the platform alone) or when the reader's process was restarted. Each assignment has a number of its own in
// the owner's epoch. Since a majority has that epoch on disk before the owner acts, positions of readings
// rise for good: also when all control machines were killed at once, and with them all that they had in
// memory.
#ifndef BITTERNMUX_SRC_FLEET_DISCOVERY_LIST_ASSIGNER_H_
#define BITTERNMUX_SRC_FLEET_DISCOVERY_LIST_ASSIGNER_H_

#include <vector>

#include "fleet/messages/messages.h"
#include "fleet/replication/replica.h"

namespace bitternmux::fleet {

constexpr double kListSilentMs = 900;

class ListAssigner {
 public:
  // The machine acts as the owner of that epoch from now on.
  void Begin(double now_ms, const Epoch& epoch, const LiveProcess& self);
  // A reading was heard of, or made here.
  void Heard(double now_ms, const ListPosition& position);
  // Assigns anew where that is due. `live`: the members that may read, in the agreed order.
  // True: the assignment has changed.
  bool Tick(double now_ms, const std::vector<LiveProcess>& live);

  const ListAssignment& assignment() const { return assignment_; }

 private:
  void Assign(double now_ms, const LiveProcess& reader);

  ListAssignment assignment_;
  double heard_ms_ = kNeverMs;
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_DISCOVERY_LIST_ASSIGNER_H_
