// Who reads the platform's list of servers: a decider of the owner of the configuration shard.
//
// The owner assigns the reading to one process at a time, itself first, and to the next live member in the
// agreed order when no reading has come to it for kListSilentMs (the reader is gone, frozen, or cut off from
// the platform alone) or when the reader's process was restarted. What another one reads, or reads under an
// earlier assignment, is not taken: a reading that is published began after the assignment it was made under,
// and so after all that was published before that.
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
  // A report has come. False: it was not made under the assignment in force.
  bool Heard(double now_ms, const ListAssignment& under);
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
