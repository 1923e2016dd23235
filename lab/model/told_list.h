// What one sidecar has been told of discovery's list, over the lives of its process.
//
// By it a run knows what is news to the sidecar, and what its configuration says that it last had. State: one
// entry for each machine id.
#ifndef BITTERNMUX_LAB_MODEL_TOLD_LIST_H_
#define BITTERNMUX_LAB_MODEL_TOLD_LIST_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "lab/model/discovery.h"

namespace bitternmux::lab::model {

class ToldList {
 public:
  // Begins with the list as discovery has it, which must outlive it.
  explicit ToldList(const Discovery& discovery);

  // The sidecar hears of this. Gives what is new to it: machines that a whole list leaves out come first, as
  // gone, and then the listing's entries that are not as they were told before. An old listing lets a sidecar
  // off and binds it to nothing that is no longer so: whether it is believed or not, neither is a fault.
  std::vector<ListEntry> Hear(const Listing& listing);
  // The whole list as it last had it.
  Listing Known() const;

 private:
  void Remember(const ListEntry& entry);
  bool Binds(const Listing& listing, const ListEntry& entry) const;

  const Discovery& discovery_;
  std::int64_t revision_;
  std::vector<std::optional<ListEntry>> rows_;  // in the list's order
};

}  // namespace bitternmux::lab::model

#endif  // BITTERNMUX_LAB_MODEL_TOLD_LIST_H_
