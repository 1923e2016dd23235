#include "fleet/storage/sqlite_store.h"

#include <string_view>

#include "fleet/messages/archive.h"
#include "fleet/storage/sqlite_database.h"

namespace bitternmux::fleet {
namespace {

constexpr const char* kFile = "replica.db";
// A table for each form of the value, with one row. Protocol 5 knew no evacuations.
constexpr const char* kTable = "replica_value_2";
constexpr const char* kTableOfProtocol5 = "replica_value";

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

AcceptedValue FromBytesOfProtocol5(std::string_view bytes) {
  ByteInput archive(bytes);
  AcceptedValue accepted;
  ShardValue& value = accepted.value;
  archive(accepted.position, value.members, value.previous_members, value.version, value.configuration,
          value.history, value.drained);
  return accepted;
}

std::optional<DurableState> LoadFrom(SqliteDatabase& database, const std::string& table,
                                     AcceptedValue (*read)(std::string_view)) {
  const std::string query =
      "SELECT store, promised_counter, promised_store, accepted FROM " + table + " WHERE id = 0";
  SqliteStatement statement(database, query.c_str());
  if (!statement.Step()) return std::nullopt;
  DurableState state;
  state.store = statement.Unsigned(0);
  state.promised = {statement.Unsigned(1), statement.Unsigned(2)};
  try {
    state.accepted = read(statement.Bytes(3));
  } catch (const cereal::Exception& error) {
    throw StorageUnreadable(std::string("the stored value cannot be read: ") + error.what());
  }
  return state;
}

void SaveTo(SqliteDatabase& database, const DurableState& state) {
  const std::string accepted = ToBytes(state.accepted);
  const std::string change =
      std::string("INSERT OR REPLACE INTO ") + kTable +
      " (id, store, promised_counter, promised_store, accepted) VALUES (0, ?, ?, ?, ?)";
  SqliteStatement statement(database, change.c_str());
  statement.Bind(1, state.store);
  statement.Bind(2, state.promised.counter);
  statement.Bind(3, state.promised.store);
  statement.BindBlob(4, accepted);
  statement.Step();
}

// What the version of protocol 5 saved moves to the current table, and the old table goes in the same
// transaction: should that version run here again, it finds an empty disk, and no promises that have been
// overtaken.
void TakeOver(SqliteDatabase& database) {
  const auto state = LoadFrom(database, kTableOfProtocol5, &FromBytesOfProtocol5);
  SqliteTransaction transaction(database);
  if (state) SaveTo(database, *state);
  database.Run(std::string("DROP TABLE ") + kTableOfProtocol5);
  transaction.Commit();
}

void MakeTable(SqliteDatabase& database, const std::string& path) {
  if (database.HasTable("replica") || database.HasTable("replica_state"))
    throw StorageError(path + " was written by an earlier version of this program");
  database.Run(std::string("CREATE TABLE IF NOT EXISTS ") + kTable +
               " (id INTEGER PRIMARY KEY, store INTEGER NOT NULL, promised_counter INTEGER NOT NULL, "
               "promised_store INTEGER NOT NULL, accepted BLOB NOT NULL)");
  if (database.HasTable(kTableOfProtocol5)) TakeOver(database);
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

std::optional<DurableState> SqliteStore::Load() { return LoadFrom(*database_, kTable, &FromBytes); }

void SqliteStore::Save(const DurableState& state) { SaveTo(*database_, state); }

}  // namespace bitternmux::fleet
