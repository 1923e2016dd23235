// ReplicaStore in an SQLite database.
//
// Settings, and why: write-ahead logging, since a commit is then one sync of one file, and a frame that is
// torn or missing fails its checksum and ends the log there; `synchronous = full`, or a commit might be lost
// with the power; exclusive locking, since no other process opens the file and the index of the log then
// needs no shared memory. The database and its log are made, filled and checkpointed once when it is opened,
// and the folder is synced after, so that both names outlast a loss of power before the first Save returns.
// The log is checkpointed by SQLite as usual. It is cut to kLogBytes after a checkpoint, so that bodies of
// 4 MB leave no larger log behind.
#ifndef BITTERNMUX_SRC_FLEET_STORAGE_SQLITE_STORE_H_
#define BITTERNMUX_SRC_FLEET_STORAGE_SQLITE_STORE_H_

#include <memory>
#include <string>

#include "fleet/storage/replica_store.h"

namespace bitternmux::fleet {

class SqliteStore : public ReplicaStore {
 public:
  // Opens or makes the database in that folder. Throws StorageError, or StorageUnreadable if there is one
  // that is none any more.
  explicit SqliteStore(const std::string& folder);
  // Takes a database that cannot be read out of the way, so that an empty one can be made in its place. The
  // last one that was set aside is kept for whoever looks into it.
  static void SetAside(const std::string& folder);
  ~SqliteStore() override;

  std::optional<DurableState> Load() override;
  void Save(const DurableState& state) override;

 private:
  class Database;
  std::unique_ptr<Database> database_;
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_STORAGE_SQLITE_STORE_H_
