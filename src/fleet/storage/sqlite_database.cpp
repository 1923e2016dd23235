#include "fleet/storage/sqlite_database.h"

#include <fcntl.h>
#include <unistd.h>

#include <cstdio>
#include <gsl/util>

#include "fleet/storage/replica_store.h"

namespace bitternmux::fleet {
namespace {

constexpr int kCachePages = 64;  // of 4 KB
constexpr int kLogBytes = 1024 * 1024;

// Where it fails SQLite hands out a handle all the same, which has to be closed.
sqlite3* Open(const std::string& path) {
  sqlite3* opened = nullptr;
  const int result = sqlite3_open(path.c_str(), &opened);
  if (result == SQLITE_OK) return opened;
  sqlite3_close(opened);
  throw StorageError("cannot open " + path + ": " + sqlite3_errstr(result));
}

sqlite3_stmt* PrepareStatement(const SqliteDatabase& database, const char* sql) {
  sqlite3_stmt* statement = nullptr;
  if (sqlite3_prepare_v2(database.handle(), sql, -1, &statement, nullptr) != SQLITE_OK) database.Fail(sql);
  return statement;
}

}  // namespace

SqliteDatabase::SqliteDatabase(const std::string& path) : handle_(Open(path), sqlite3_close) {
  Run("PRAGMA locking_mode = exclusive");
  Run("PRAGMA journal_mode = wal");
  Run("PRAGMA synchronous = full");
  Run("PRAGMA journal_size_limit = " + std::to_string(kLogBytes));
  Run("PRAGMA cache_size = " + std::to_string(kCachePages));
}

void SqliteDatabase::Run(const std::string& sql) {
  if (sqlite3_exec(handle(), sql.c_str(), nullptr, nullptr, nullptr) != SQLITE_OK) Fail(sql);
}

bool SqliteDatabase::HasTable(const std::string& name) {
  SqliteStatement statement(*this, "SELECT 1 FROM sqlite_master WHERE type = 'table' AND name = ?");
  statement.BindText(1, name);
  return statement.Step();
}

void SqliteDatabase::Fail(const std::string& what) const {
  const std::string why = what + ": " + sqlite3_errmsg(handle());
  const int code = sqlite3_errcode(handle());
  if (code == SQLITE_CORRUPT || code == SQLITE_NOTADB) throw StorageUnreadable(why);
  throw StorageError(why);
}

SqliteStatement::SqliteStatement(SqliteDatabase& database, const char* sql)
    : database_(database), statement_(PrepareStatement(database, sql), sqlite3_finalize) {}

void SqliteStatement::Check(int result) const {
  if (result != SQLITE_OK) database_.Fail(sqlite3_sql(statement_.get()));
}

void SqliteStatement::Bind(int parameter, std::uint64_t number) {
  Bind(parameter, static_cast<std::int64_t>(number));
}

void SqliteStatement::Bind(int parameter, std::int64_t number) {
  Check(sqlite3_bind_int64(statement_.get(), parameter, number));
}

void SqliteStatement::BindText(int parameter, std::string_view text) {
  const int size = static_cast<int>(text.size());
  Check(sqlite3_bind_text(statement_.get(), parameter, text.data(), size, SQLITE_STATIC));
}

void SqliteStatement::BindBlob(int parameter, std::string_view bytes) {
  const int size = static_cast<int>(bytes.size());
  Check(sqlite3_bind_blob(statement_.get(), parameter, bytes.data(), size, SQLITE_STATIC));
}

bool SqliteStatement::Step() {
  const int result = sqlite3_step(statement_.get());
  if (result == SQLITE_ROW) return true;
  if (result != SQLITE_DONE) database_.Fail(sqlite3_sql(statement_.get()));
  return false;
}

void SqliteStatement::Reset() { Check(sqlite3_reset(statement_.get())); }

std::uint64_t SqliteStatement::Unsigned(int column) const {
  return static_cast<std::uint64_t>(Signed(column));
}

std::int64_t SqliteStatement::Signed(int column) const {
  return sqlite3_column_int64(statement_.get(), column);
}

std::string_view SqliteStatement::Bytes(int column) const {
  const auto* bytes = static_cast<const char*>(sqlite3_column_blob(statement_.get(), column));
  return {bytes, static_cast<std::size_t>(sqlite3_column_bytes(statement_.get(), column))};
}

SqliteTransaction::SqliteTransaction(SqliteDatabase& database) : database_(database) {
  database_.Run("BEGIN IMMEDIATE");
}

// SQLite may have rolled back by itself, as on a full disk. It then is out of the transaction.
SqliteTransaction::~SqliteTransaction() {
  if (sqlite3_get_autocommit(database_.handle()) != 0) return;
  sqlite3_exec(database_.handle(), "ROLLBACK", nullptr, nullptr, nullptr);
}

void SqliteTransaction::Commit() { database_.Run("COMMIT"); }

void SyncFolder(const std::string& folder) {
  const int descriptor = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) throw StorageError("cannot open " + folder);
  const auto close_it = gsl::finally([descriptor] { close(descriptor); });
  if (fsync(descriptor) != 0) throw StorageError("cannot sync " + folder);
}

void SetDatabaseAside(const std::string& folder, const std::string& file) {
  const std::string path = folder + "/" + file;
  if (std::rename(path.c_str(), (path + kSetAsideSuffix).c_str()) != 0)
    throw StorageError("cannot move " + path);
  for (const char* suffix : {"-wal", "-shm", "-journal"}) std::remove((path + suffix).c_str());
  SyncFolder(folder);
}

}  // namespace bitternmux::fleet
