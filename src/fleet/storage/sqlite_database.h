// An SQLite database file for durable state, its statements and its transactions.
//
// Settings, and why: write-ahead logging, since a commit is then one sync of one file, and a frame that is
// torn or missing fails its checksum and ends the log there; `synchronous = full`, or a commit might be lost
// with the power; exclusive locking, since no other process opens the file and the index of the log then
// needs no shared memory; a small page cache. The log is checkpointed by SQLite as usual, and cut to
// kLogBytes after a checkpoint, so that a large transaction leaves no larger log behind.
//
// Errors are StorageError, or StorageUnreadable where SQLite finds the file spoilt. Not thread-safe.
#ifndef BITTERNMUX_SRC_FLEET_STORAGE_SQLITE_DATABASE_H_
#define BITTERNMUX_SRC_FLEET_STORAGE_SQLITE_DATABASE_H_

#include <sqlite3.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace bitternmux::fleet {

class SqliteDatabase {
 public:
  // Opens or makes the file. Call SyncFolder once its tables are made.
  explicit SqliteDatabase(const std::string& path);

  void Run(const std::string& sql);
  bool HasTable(const std::string& name);
  // Throws what SQLite said of the last call; `what` is what was being done.
  [[noreturn]] void Fail(const std::string& what) const;
  sqlite3* handle() const { return handle_.get(); }

 private:
  std::unique_ptr<sqlite3, decltype(&sqlite3_close)> handle_;
};

// A prepared statement. Parameters count from 1, columns from 0; uint64_t is stored as int64_t.
class SqliteStatement {
 public:
  SqliteStatement(SqliteDatabase& database, const char* sql);

  void Bind(int parameter, std::uint64_t number);
  void Bind(int parameter, std::int64_t number);
  // The bytes have to last until the statement is reset, bound anew or gone.
  void BindText(int parameter, std::string_view text);
  void BindBlob(int parameter, std::string_view bytes);
  // Is there a row (another row) of the result?
  bool Step();
  // Makes it ready for new parameters and another run.
  void Reset();

  std::uint64_t Unsigned(int column) const;
  std::int64_t Signed(int column) const;
  // Valid until the next step.
  std::string_view Bytes(int column) const;

 private:
  void Check(int result) const;

  SqliteDatabase& database_;
  std::unique_ptr<sqlite3_stmt, decltype(&sqlite3_finalize)> statement_;
};

// A write transaction, rolled back unless it was committed.
class SqliteTransaction {
 public:
  explicit SqliteTransaction(SqliteDatabase& database);
  ~SqliteTransaction();
  SqliteTransaction(const SqliteTransaction&) = delete;
  SqliteTransaction& operator=(const SqliteTransaction&) = delete;
  // Returns once it will outlast a loss of power.
  void Commit();

 private:
  SqliteDatabase& database_;
};

// Makes the names of files that were made or renamed in it outlast a loss of power. Throws StorageError.
void SyncFolder(const std::string& folder);
constexpr const char* kSetAsideSuffix = ".unreadable";
// Moves a database that cannot be read out of the way (FILE.unreadable), in place of the last one that was,
// and removes its log. Throws StorageError.
void SetDatabaseAside(const std::string& folder, const std::string& file);

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_STORAGE_SQLITE_DATABASE_H_
