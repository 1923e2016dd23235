// Who reads the platform's list of servers: a decider. Exactly one control machine should, and a successor
// has to be reading within a second when it is gone, frozen, or cut off from the platform alone.
//
// Each control machine knows the position of the newest reading it has heard of and when. The first in the
// agreed order that has heard of none for kListSilentMs takes over, the others wait for longer by their rank.
// A reader's term is above all terms it has seen and belongs to it alone; whoever has seen a newer term
// refuses readings of an older one, so that a reader that was frozen cannot bring back what is past. A reader
// that reads nothing publishes nothing, and is succeeded by that alone.
#ifndef BITTERNMUX_SRC_FLEET_DISCOVERY_LIST_ROLE_H_
#define BITTERNMUX_SRC_FLEET_DISCOVERY_LIST_ROLE_H_

#include <cstdint>

#include "fleet/messages/messages.h"

namespace bitternmux::fleet {

constexpr double kListEveryMs = 400;
constexpr double kListSilentMs = 900;
constexpr double kListStaggerMs = 250;

class ListRole {
 public:
  explicit ListRole(double now_ms) : heard_ms_(now_ms - kListSilentMs) {}

  // Is a reading to begin now? `rank`: this machine's place in the agreed order, from 0.
  bool ShouldRead(double now_ms, std::size_t rank);
  // A reading has come whole. Its position; position 0, 0 if the role was lost meanwhile.
  ListPosition Read(double now_ms);
  // The reading has failed.
  void Failed() { reading_ = false; }
  // Another machine's reading. False: it is older than one that was heard of, and is to be refused.
  bool Hear(double now_ms, const ListPosition& position);

  bool acting() const { return acting_; }
  const ListPosition& newest() const { return newest_; }
  double heard_ms() const { return heard_ms_; }

 private:
  static constexpr std::uint64_t kTermsApart = 256;  // terms of one round of succession, one for each rank

  ListPosition newest_;
  double heard_ms_;
  double began_ms_ = -1e18;
  std::uint64_t term_ = 0;
  bool acting_ = false;
  bool reading_ = false;
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_DISCOVERY_LIST_ROLE_H_
