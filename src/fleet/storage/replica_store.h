// Where a replica keeps what it may not forget. The simulation implements the same interface.
#ifndef BITTERNMUX_SRC_FLEET_STORAGE_REPLICA_STORE_H_
#define BITTERNMUX_SRC_FLEET_STORAGE_REPLICA_STORE_H_

#include <optional>
#include <stdexcept>

#include "fleet/replication/replica.h"

namespace bitternmux::fleet {

// The disk did not do as it was told. What was saved before is still there; the call may be made again.
class StorageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// What was saved cannot be read any more: the disk counts as lost.
class StorageUnreadable : public StorageError {
 public:
  using StorageError::StorageError;
};

class ReplicaStore {
 public:
  virtual ~ReplicaStore() = default;
  // What was saved last; none if nothing ever was. Throws StorageError.
  virtual std::optional<DurableState> Load() = 0;
  // Returns once it will outlast a loss of power. Throws StorageError.
  virtual void Save(const DurableState& state) = 0;
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_STORAGE_REPLICA_STORE_H_
