// ReplicaStore in an SQLite database, with the settings of sqlite_database.h. The database and its log are
// made when it is opened, and the folder is synced after, so that both names outlast a loss of power before
// the first Save returns. A database of the version before is taken over then; one of a still earlier version
// is refused.
#ifndef BITTERNMUX_SRC_FLEET_STORAGE_SQLITE_STORE_H_
#define BITTERNMUX_SRC_FLEET_STORAGE_SQLITE_STORE_H_

#include <memory>
#include <string>

#include "fleet/storage/replica_store.h"

namespace bitternmux::fleet {

class SqliteDatabase;

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
  std::unique_ptr<SqliteDatabase> database_;
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_STORAGE_SQLITE_STORE_H_
