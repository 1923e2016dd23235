#include "fleet/storage/sqlite_store.h"

#include <sqlite3.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>

#include "fleet/messages/archive.h"
#include "support/temporary_folder.h"

namespace bitternmux::fleet {
namespace {

using Folder = tests::TemporaryFolder;

DurableState State(std::uint64_t epoch, std::size_t bytes) {
  DurableState state;
  state.store = 7;
  state.promised = {epoch, 7};
  state.accepted.position = {{epoch, 7}, 3};
  state.accepted.value.configuration = std::string(bytes, 'c');
  state.accepted.value.history = {{1, 2}, {3, 4}};
  return state;
}

// What the program wrote while the value knew no evacuated zones.
void WriteBeforeEvacuations(const std::string& folder, const DurableState& state, bool spoilt = false) {
  sqlite3* opened = nullptr;
  REQUIRE(sqlite3_open((folder + "/replica.db").c_str(), &opened) == SQLITE_OK);
  const std::unique_ptr<sqlite3, decltype(&sqlite3_close)> database(opened, sqlite3_close);
  const char* const table =
      "CREATE TABLE replica_value (id INTEGER PRIMARY KEY, store INTEGER NOT NULL, promised_counter INTEGER "
      "NOT "
      "NULL, promised_store INTEGER NOT NULL, accepted BLOB NOT NULL)";
  REQUIRE(sqlite3_exec(opened, table, nullptr, nullptr, nullptr) == SQLITE_OK);
  std::string bytes;
  ByteOutput archive(bytes);
  const ShardValue& value = state.accepted.value;
  archive(state.accepted.position, value.members, value.previous_members, value.version, value.configuration,
          value.history, value.drained);
  if (spoilt) bytes.resize(bytes.size() / 2);
  sqlite3_stmt* statement = nullptr;
  REQUIRE(sqlite3_prepare_v2(opened, "INSERT INTO replica_value VALUES (0, ?, ?, ?, ?)", -1, &statement,
                             nullptr) == SQLITE_OK);
  sqlite3_bind_int64(statement, 1, static_cast<sqlite3_int64>(state.store));
  sqlite3_bind_int64(statement, 2, static_cast<sqlite3_int64>(state.promised.counter));
  sqlite3_bind_int64(statement, 3, static_cast<sqlite3_int64>(state.promised.store));
  sqlite3_bind_blob(statement, 4, bytes.data(), static_cast<int>(bytes.size()), SQLITE_STATIC);
  CHECK(sqlite3_step(statement) == SQLITE_DONE);
  sqlite3_finalize(statement);
}

}  // namespace

TEST_CASE("sqlite store: empty at first, what was saved last is there after it is opened again") {
  const Folder folder;
  {
    SqliteStore store(folder.path());
    CHECK_FALSE(store.Load());
    store.Save(State(1, 10));
    store.Save(State(2, 100'000));
    CHECK(store.Load() == State(2, 100'000));
  }
  SqliteStore again(folder.path());
  CHECK(again.Load() == State(2, 100'000));
}

// Guards against LOST by an upgrade: the value's form has gained the evacuated zones.
TEST_CASE("sqlite store: a database of the version before is taken over whole, and only once") {
  const Folder folder;
  const DurableState before = State(5, 70'000);
  WriteBeforeEvacuations(folder.path(), before);
  {
    SqliteStore store(folder.path());
    CHECK(store.Load() == before);
  }
  DurableState after = State(6, 10);
  after.accepted.value.evacuated = {"braga", "maia"};
  {
    SqliteStore store(folder.path());
    CHECK(store.Load() == before);
    store.Save(after);
  }
  SqliteStore again(folder.path());
  CHECK(again.Load() == after);
}

TEST_CASE("sqlite store: a spoilt value of the version before is told as unreadable") {
  const Folder folder;
  WriteBeforeEvacuations(folder.path(), State(5, 100), /*spoilt=*/true);
  CHECK_THROWS_AS(SqliteStore(folder.path()), StorageUnreadable);
}

TEST_CASE("sqlite store: changes of 4 MB take a bounded space") {
  const Folder folder(Folder::Place::kMemory);
  SqliteStore store(folder.path());
  for (std::uint64_t i = 0; i < 12; ++i) store.Save(State(i, 4 * 1024 * 1024));
  CHECK(folder.Bytes() < 32U * 1024 * 1024);
}

TEST_CASE("sqlite store: a folder that is not there, or a file that is no database, is told") {
  CHECK_THROWS_AS(SqliteStore("/nonexistent/folder"), StorageError);
}

TEST_CASE("sqlite store: a file that is no database is set aside, and an empty store takes its place") {
  const Folder folder;
  std::ofstream(folder.path() + "/replica.db") << std::string(9000, 'x');
  CHECK_THROWS_AS(SqliteStore(folder.path()), StorageUnreadable);
  SqliteStore::SetAside(folder.path());
  SqliteStore store(folder.path());
  CHECK_FALSE(store.Load());
  store.Save(State(3, 10));
  CHECK(store.Load() == State(3, 10));
  CHECK(std::filesystem::exists(folder.path() + "/replica.db.unreadable"));
}

TEST_CASE("sqlite store: pages that were spoilt are told as unreadable, at the opening or at the reading") {
  const Folder folder;
  {
    SqliteStore store(folder.path());
    store.Save(State(3, 60'000));
  }
  {
    std::fstream file(folder.path() + "/replica.db", std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(4096);
    file << std::string(8192, '\x7f');
  }
  const auto read = [&] {
    SqliteStore store(folder.path());
    store.Load();
  };
  CHECK_THROWS_AS(read(), StorageUnreadable);
}

TEST_CASE("sqlite store: hundreds of changes with bodies of 4 MB stay far below the disk's 128 MB") {
  const Folder folder(Folder::Place::kMemory);
  SqliteStore store(folder.path());
  std::uintmax_t most = 0;
  for (std::uint64_t i = 0; i < 300; ++i) {
    store.Save(State(i, i % 10 == 0 ? 4 * 1024 * 1024 : 20'000));
    most = std::max(most, folder.Bytes());
  }
  CHECK(most < 32U * 1024 * 1024);
}

}  // namespace bitternmux::fleet
