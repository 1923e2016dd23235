#include "fleet/storage/sqlite_tally_store.h"

#include <filesystem>
#include <utility>

#include "fleet/storage/sqlite_database.h"

namespace bitternmux::fleet {
namespace {

constexpr const char* kFile = "tallies.db";
constexpr const char* kInsertMark = "INSERT OR IGNORE INTO marks (name) VALUES ('caught_up')";

void Insert(SqliteStatement& insert, std::uint64_t origin, std::uint64_t number, const TallyAdd& add) {
  insert.Bind(1, origin);
  insert.Bind(2, number);
  insert.BindText(3, add.id);
  insert.BindText(4, add.tally);
  insert.Bind(5, add.amount);
  insert.Step();
  insert.Reset();
}

}  // namespace

SqliteTallyStore::SqliteTallyStore(const std::string& folder) {
  database_ = std::make_unique<SqliteDatabase>(folder + "/" + kFile);
  MakeTables();
  SyncFolder(folder);
}

void SqliteTallyStore::MakeTables() {
  const bool knew_no_marks = database_->HasTable("adds") && !database_->HasTable("marks");
  SqliteTransaction transaction(*database_);
  database_->Run(
      "CREATE TABLE IF NOT EXISTS adds (origin INTEGER NOT NULL, number INTEGER NOT NULL, id TEXT NOT NULL, "
      "tally TEXT NOT NULL, amount INTEGER NOT NULL, PRIMARY KEY (origin, number)) WITHOUT ROWID");
  database_->Run("CREATE TABLE IF NOT EXISTS marks (name TEXT PRIMARY KEY) WITHOUT ROWID");
  if (knew_no_marks) database_->Run(kInsertMark);
  transaction.Commit();
}

SqliteTallyStore::~SqliteTallyStore() = default;

bool SqliteTallyStore::EverExisted(const std::string& folder) {
  const std::string path = folder + "/" + kFile;
  return std::filesystem::exists(path) || std::filesystem::exists(path + kSetAsideSuffix);
}

void SqliteTallyStore::SetAside(const std::string& folder) { SetDatabaseAside(folder, kFile); }

std::vector<TallyAdds> SqliteTallyStore::Load() {
  std::vector<TallyAdds> logs;
  SqliteStatement rows(*database_,
                       "SELECT origin, number, id, tally, amount FROM adds ORDER BY origin, number");
  while (rows.Step()) {
    const std::uint64_t origin = rows.Unsigned(0);
    const std::uint64_t number = rows.Unsigned(1);
    const bool same_log = !logs.empty() && logs.back().origin == origin;
    const std::uint64_t next = same_log ? logs.back().adds.size() + 1 : 1;
    if (number != next) continue;
    if (!same_log) logs.push_back({origin, 1, {}});
    logs.back().adds.push_back({std::string(rows.Bytes(2)), std::string(rows.Bytes(3)), rows.Signed(4)});
  }
  return logs;
}

void SqliteTallyStore::Append(const std::vector<TallyAdds>& logs) {
  SqliteTransaction transaction(*database_);
  SqliteStatement insert(
      *database_, "INSERT OR IGNORE INTO adds (origin, number, id, tally, amount) VALUES (?, ?, ?, ?, ?)");
  for (const TallyAdds& log : logs) {
    std::uint64_t number = log.first;
    for (const TallyAdd& add : log.adds) Insert(insert, log.origin, number++, add);
  }
  transaction.Commit();
}

bool SqliteTallyStore::HasCaughtUp() {
  SqliteStatement mark(*database_, "SELECT 1 FROM marks WHERE name = 'caught_up'");
  return mark.Step();
}

void SqliteTallyStore::MarkCaughtUp() { database_->Run(kInsertMark); }

}  // namespace bitternmux::fleet
