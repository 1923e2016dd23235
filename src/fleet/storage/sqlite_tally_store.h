// TallyStore in an SQLite database, tallies.db, with the settings of sqlite_database.h.
//
// Each add is a row under its origin and number. An Append is one transaction, so that it is there whole or
// not at all. Load returns of each log the adds from number 1 to the first number that is missing. Rows
// behind a gap stay on disk but are not returned: a number never means another add, so that appending them
// again is harmless. The mark is a row of its own; a database of a version that knew no marks counts as
// marked, as all disks of a fleet without a mark would wait for each other.
#ifndef BITTERNMUX_SRC_FLEET_STORAGE_SQLITE_TALLY_STORE_H_
#define BITTERNMUX_SRC_FLEET_STORAGE_SQLITE_TALLY_STORE_H_

#include <memory>
#include <string>
#include <vector>

#include "fleet/storage/tally_store.h"

namespace bitternmux::fleet {

class SqliteDatabase;

class SqliteTallyStore : public TallyStore {
 public:
  // Opens or makes the database in that folder. Throws StorageError, or StorageUnreadable if there is one
  // that is none any more.
  explicit SqliteTallyStore(const std::string& folder);
  // Is there one in that folder, or one that was set aside?
  static bool EverExisted(const std::string& folder);
  // Takes a database that cannot be read out of the way, as SqliteStore::SetAside does.
  static void SetAside(const std::string& folder);
  ~SqliteTallyStore() override;

  std::vector<TallyAdds> Load() override;
  void Append(const std::vector<TallyAdds>& logs) override;
  bool HasCaughtUp() override;
  void MarkCaughtUp() override;

 private:
  void MakeTables();

  std::unique_ptr<SqliteDatabase> database_;
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_STORAGE_SQLITE_TALLY_STORE_H_
