#include "fleet/storage/sqlite_store.h"

#include <string_view>

#include "fleet/messages/archive.h"
#include "fleet/storage/sqlite_database.h"

namespace bitternmux::fleet {
namespace {

constexpr const char* kFile = "replica.db";

std::string ToBytes(const AcceptedValue& accepted) {
  std::string bytes;
  ByteOutput archive(bytes);
  archive(accepted);
  return bytes;
}

AcceptedValue FromBytes(std::string_view bytes) {
  ByteInput archive(bytes);
  AcceptedValue accepted;
  archive(accepted);
  return accepted;
}

void MakeTable(SqliteDatabase& database, const std::string& path) {
  if (database.HasTable("replica") || database.HasTable("replica_state"))
    throw StorageError(path + " was written by an earlier version of this program");
  database.Run(
      "CREATE TABLE IF NOT EXISTS replica_value (id INTEGER PRIMARY KEY, store INTEGER NOT NULL, "
      "promised_counter INTEGER NOT NULL, promised_store INTEGER NOT NULL, accepted BLOB NOT NULL)");
}

}  // namespace

SqliteStore::SqliteStore(const std::string& folder) {
  const std::string path = folder + "/" + kFile;
  database_ = std::make_unique<SqliteDatabase>(path);
  MakeTable(*database_, path);
  SyncFolder(folder);
}

SqliteStore::~SqliteStore() = default;

void SqliteStore::SetAside(const std::string& folder) { SetDatabaseAside(folder, kFile); }

std::optional<DurableState> SqliteStore::Load() {
  SqliteStatement statement(
      *database_, "SELECT store, promised_counter, promised_store, accepted FROM replica_value WHERE id = 0");
  if (!statement.Step()) return std::nullopt;
  DurableState state;
  state.store = statement.Unsigned(0);
  state.promised = {statement.Unsigned(1), statement.Unsigned(2)};
  try {
    state.accepted = FromBytes(statement.Bytes(3));
  } catch (const cereal::Exception& error) {
    throw StorageUnreadable(std::string("the stored value cannot be read: ") + error.what());
  }
  return state;
}

void SqliteStore::Save(const DurableState& state) {
  const std::string accepted = ToBytes(state.accepted);
  SqliteStatement statement(
      *database_,
      "INSERT OR REPLACE INTO replica_value (id, store, promised_counter, promised_store, accepted) "
      "VALUES (0, ?, ?, ?, ?)");
  statement.Bind(1, state.store);
  statement.Bind(2, state.promised.counter);
  statement.Bind(3, state.promised.store);
  statement.BindBlob(4, accepted);
  statement.Step();
}

}  // namespace bitternmux::fleet
