// Reads the platform's list when the owner has assigned the reading to this process: a decider of each
// control machine.
//
// A process reads while it is in contact with the owner of the epoch that the assignment was made in. A
// reading has the assignment's position; one that ends after another assignment has come is dropped. Readings
// of others are taken in the order of their positions, and only where their content is known: one that says
// "as before" to a machine that has missed what came before is not taken.
#ifndef BITTERNMUX_SRC_FLEET_DISCOVERY_LIST_READER_H_
#define BITTERNMUX_SRC_FLEET_DISCOVERY_LIST_READER_H_

#include <optional>
#include <string>

#include "fleet/messages/messages.h"

namespace bitternmux::fleet {

constexpr double kListEveryMs = 400;
constexpr std::uint64_t kWholeEvery = 8;  // readings after which the whole list is told again

class ListReader {
 public:
  ListReader(std::string self, std::uint64_t incarnation)
      : self_(std::move(self)), incarnation_(incarnation) {}

  void Assigned(const ListAssignment& assignment);
  // Is a reading to begin now? `epoch`: the newest that this machine knows; `fresh`: it is in contact with
  // its owner.
  bool ShouldRead(double now_ms, const Epoch& epoch, bool fresh);
  // A reading has come whole. `changed`: it differs from the content held. What to tell the others; none if
  // the role was lost meanwhile. `change` is left to the caller where `whole` says that it is due.
  struct Told {
    ListReading reading;
    bool whole = false;
  };
  std::optional<Told> Read(double now_ms, bool changed);
  void Failed() { reading_ = false; }
  // Another machine's reading. False: it is not to be taken.
  bool Hear(double now_ms, const ListReading& reading);

  bool acting() const { return acting_; }
  // Was the reading at that position made here, under the assignment in force?
  bool reads_as(const ListPosition& position) const {
    return count_ > 0 && position.epoch == assignment_.epoch && position.assignment == assignment_.number;
  }
  // The newest reading that was made or taken here, and the one that showed its content first.
  const ListPosition& newest() const { return newest_; }
  const ListPosition& content() const { return content_; }
  double heard_ms() const { return heard_ms_; }

 private:
  const std::string self_;
  const std::uint64_t incarnation_;
  ListAssignment assignment_;
  ListAssignment began_under_;
  ListPosition newest_, content_;
  std::uint64_t count_ = 0;  // readings under this assignment
  double heard_ms_ = kNeverMs;
  double began_ms_ = kNeverMs;
  bool acting_ = false;
  bool reading_ = false;
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_DISCOVERY_LIST_READER_H_
