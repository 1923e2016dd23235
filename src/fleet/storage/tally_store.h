// Where a control machine keeps the adds to tallies. The simulation implements the same interface.
#ifndef BITTERNMUX_SRC_FLEET_STORAGE_TALLY_STORE_H_
#define BITTERNMUX_SRC_FLEET_STORAGE_TALLY_STORE_H_

#include <vector>

#include "fleet/messages/tally_messages.h"
#include "fleet/storage/replica_store.h"

namespace bitternmux::fleet {

class TallyStore {
 public:
  virtual ~TallyStore() = default;
  // A prefix of each log that was ever appended to. Throws StorageError.
  virtual std::vector<TallyAdds> Load() = 0;
  // Returns once all of it will outlast a loss of power; it is there whole or not at all. Adds that are there
  // already are passed over. Throws StorageError; the call may be made again.
  virtual void Append(const std::vector<TallyAdds>& logs) = 0;
  // Was it ever marked? Who finds it without a mark has to take its adds for fewer than it acknowledged.
  // Throws StorageError.
  virtual bool HasCaughtUp() = 0;
  // Marks it for good: it holds all that it has to. Returns once that will outlast a loss of power. Throws
  // StorageError; the call may be made again.
  virtual void MarkCaughtUp() = 0;
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_STORAGE_TALLY_STORE_H_
