#include "fleet/storage/sqlite_store.h"

#include <fcntl.h>
#include <sqlite3.h>
#include <unistd.h>

#include <gsl/util>
#include <string_view>

#include "fleet/messages/archive.h"

namespace bitternmux::fleet {
namespace {

constexpr int kCachePages = 64;  // of 4 KB; the one row is read once

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

void SyncFolder(const std::string& folder) {
  const int descriptor = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) throw StorageError("cannot open " + folder);
  const auto close_it = gsl::finally([descriptor] { close(descriptor); });
  if (fsync(descriptor) != 0) throw StorageError("cannot sync " + folder);
}

}  // namespace

class SqliteStore::Database {
 public:
  explicit Database(const std::string& path) : handle_(Open(path), sqlite3_close) {
    Run("PRAGMA locking_mode = exclusive");
    Run("PRAGMA journal_mode = wal");
    Run("PRAGMA synchronous = full");
    Run("PRAGMA cache_size = " + std::to_string(kCachePages));
    Run("CREATE TABLE IF NOT EXISTS replica (id INTEGER PRIMARY KEY, promised_epoch INTEGER NOT NULL, "
        "voter INTEGER NOT NULL, accepted BLOB NOT NULL)");
  }

  void Run(const std::string& sql) {
    if (sqlite3_exec(handle_.get(), sql.c_str(), nullptr, nullptr, nullptr) != SQLITE_OK) Fail(sql);
  }

  // The statement is finalized when the returned guard goes.
  auto Prepare(const char* sql, sqlite3_stmt*& statement) {
    if (sqlite3_prepare_v2(handle_.get(), sql, -1, &statement, nullptr) != SQLITE_OK) Fail(sql);
    return gsl::finally([&statement] { sqlite3_finalize(statement); });
  }

  [[noreturn]] void Fail(const std::string& what) {
    throw StorageError(what + ": " + sqlite3_errmsg(handle_.get()));
  }

 private:
  using Handle = std::unique_ptr<sqlite3, decltype(&sqlite3_close)>;

  // Where it fails SQLite hands out a handle all the same, which has to be closed.
  static sqlite3* Open(const std::string& path) {
    sqlite3* opened = nullptr;
    const int result = sqlite3_open(path.c_str(), &opened);
    if (result == SQLITE_OK) return opened;
    sqlite3_close(opened);
    throw StorageError("cannot open " + path + ": " + sqlite3_errstr(result));
  }

  Handle handle_;
};

SqliteStore::SqliteStore(const std::string& folder) {
  database_ = std::make_unique<Database>(folder + "/replica.db");
  SyncFolder(folder);
}

SqliteStore::~SqliteStore() = default;

std::optional<DurableState> SqliteStore::Load() {
  sqlite3_stmt* statement = nullptr;
  const auto guard =
      database_->Prepare("SELECT promised_epoch, voter, accepted FROM replica WHERE id = 0", statement);
  const int result = sqlite3_step(statement);
  if (result == SQLITE_DONE) return std::nullopt;
  if (result != SQLITE_ROW) database_->Fail("load");
  DurableState state;
  state.promised_epoch = static_cast<std::uint64_t>(sqlite3_column_int64(statement, 0));
  state.voter = sqlite3_column_int(statement, 1) != 0;
  const auto* bytes = static_cast<const char*>(sqlite3_column_blob(statement, 2));
  const auto size = static_cast<std::size_t>(sqlite3_column_bytes(statement, 2));
  try {
    state.accepted = FromBytes(std::string_view(bytes, size));
  } catch (const cereal::Exception& error) {
    throw StorageError(std::string("the stored value cannot be read: ") + error.what());
  }
  return state;
}

void SqliteStore::Save(const DurableState& state) {
  const std::string accepted = ToBytes(state.accepted);
  sqlite3_stmt* statement = nullptr;
  const auto guard = database_->Prepare(
      "INSERT OR REPLACE INTO replica (id, promised_epoch, voter, accepted) VALUES (0, ?, ?, ?)", statement);
  sqlite3_bind_int64(statement, 1, static_cast<sqlite3_int64>(state.promised_epoch));
  sqlite3_bind_int(statement, 2, state.voter ? 1 : 0);
  sqlite3_bind_blob(statement, 3, accepted.data(), static_cast<int>(accepted.size()), SQLITE_STATIC);
  if (sqlite3_step(statement) != SQLITE_DONE) database_->Fail("save");
}

}  // namespace bitternmux::fleet
