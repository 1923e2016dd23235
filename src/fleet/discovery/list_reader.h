// Reads the platform's list when the owner has assigned the reading to this process: a decider of each
// control machine. It reads while it is in contact with the owner of the epoch that the assignment was made
// in; what it reads goes to the owner, who alone publishes it (list_view.h).
#ifndef BITTERNMUX_SRC_FLEET_DISCOVERY_LIST_READER_H_
#define BITTERNMUX_SRC_FLEET_DISCOVERY_LIST_READER_H_

#include <optional>
#include <string>

#include "fleet/messages/messages.h"

namespace bitternmux::fleet {

constexpr double kListEveryMs = 400;

class ListReader {
 public:
  ListReader(std::string self, std::uint64_t incarnation)
      : self_(std::move(self)), incarnation_(incarnation) {}

  void Assigned(const ListAssignment& assignment);
  // Is a reading to begin now? `epoch`: the newest that this machine knows; `fresh`: it is in contact with
  // its owner.
  bool ShouldRead(double now_ms, const Epoch& epoch, bool fresh);
  // A reading has ended, whole or not. The assignment that it began under; none if another one has come.
  std::optional<ListAssignment> Ended();

  bool acting() const { return acting_; }

 private:
  const std::string self_;
  const std::uint64_t incarnation_;
  ListAssignment assignment_;
  ListAssignment began_under_;
  double began_ms_ = kNeverMs;
  bool acting_ = false;
  bool reading_ = false;
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_DISCOVERY_LIST_READER_H_
