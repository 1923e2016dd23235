#include "fleet/storage/sqlite_tally_store.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <limits>
#include <string>

#include "fleet/storage/sqlite_database.h"
#include "support/temporary_folder.h"

namespace bitternmux::fleet {
namespace {

namespace fs = std::filesystem;

constexpr std::uint64_t kOrigin = std::numeric_limits<std::uint64_t>::max() - 5;  // negative as int64_t

using Folder = tests::TemporaryFolder;

// Adds `first` to `last` of a log.
TallyAdds Log(std::uint64_t origin, std::uint64_t first, std::uint64_t last) {
  TallyAdds log{origin, first, {}};
  for (std::uint64_t i = first; i <= last; ++i)
    log.adds.push_back(
        {"5c0e7a21d94b-" + std::to_string(i), "t" + std::to_string(i % 12), -static_cast<std::int64_t>(i)});
  return log;
}

using Logs = std::vector<TallyAdds>;

}  // namespace

TEST_CASE("tally store: empty at first, logs that were appended are there after it is opened again") {
  const Folder folder;
  {
    SqliteTallyStore store(folder.path());
    CHECK(store.Load().empty());
    store.Append({Log(3, 1, 2), Log(kOrigin, 1, 700)});
    store.Append({Log(3, 3, 5)});
  }
  SqliteTallyStore again(folder.path());
  CHECK(again.Load() == Logs{Log(kOrigin, 1, 700), Log(3, 1, 5)});
}

TEST_CASE("tally store: any bytes of an id or a tally, and any amount, come back as they were") {
  const Folder folder;
  const std::int64_t most = std::numeric_limits<std::int64_t>::max();
  const TallyAdds log{
      1, 1, {{std::string("a\0b", 3), "", most}, {"\xff", std::string(256, '\''), -most - 1}}};
  SqliteTallyStore store(folder.path());
  store.Append({log});
  CHECK(store.Load() == Logs{log});
}

TEST_CASE("tally store: adds that are there already are passed over") {
  const Folder folder;
  SqliteTallyStore store(folder.path());
  store.Append({Log(3, 1, 4)});
  store.Append({Log(3, 3, 6)});
  CHECK(store.Load() == Logs{Log(3, 1, 6)});
}

TEST_CASE("tally store: what stands behind a gap of a log is not returned until the gap is filled") {
  const Folder folder;
  SqliteTallyStore store(folder.path());
  store.Append({Log(3, 1, 2), Log(3, 4, 6), Log(4, 2, 9), Log(5, 1, 1)});
  CHECK(store.Load() == Logs{Log(3, 1, 2), Log(5, 1, 1)});
  store.Append({Log(3, 3, 4), Log(4, 1, 1)});
  CHECK(store.Load() == Logs{Log(3, 1, 6), Log(4, 1, 9), Log(5, 1, 1)});
}

// Guards against half a batch that is taken for a whole one after a loss of power in the middle of a write.
TEST_CASE(
    "tally store: a log that is torn anywhere has each batch before the tear, whole, and nothing after") {
  const Folder folder(Folder::Place::kMemory);
  const std::uint64_t batch_size = 40;
  std::vector<std::uintmax_t> ends;  // of the write-ahead log, after each batch
  SqliteTallyStore store(folder.path());
  const std::string log = folder.File("tallies.db-wal");
  ends.push_back(fs::file_size(log));
  for (std::uint64_t i = 0; i < 8; ++i) {
    store.Append({Log(3, i * batch_size + 1, (i + 1) * batch_size)});
    ends.push_back(fs::file_size(log));
  }
  for (std::uintmax_t length = ends.front(); length <= ends.back(); length += 509) {
    const Folder copy(Folder::Place::kMemory);
    fs::copy_file(folder.File("tallies.db"), copy.File("tallies.db"));
    fs::copy_file(log, copy.File("tallies.db-wal"));
    fs::resize_file(copy.File("tallies.db-wal"), length);
    const auto batches = std::upper_bound(ends.begin(), ends.end(), length) - ends.begin() - 1;
    const std::uint64_t whole = static_cast<std::uint64_t>(batches) * batch_size;
    INFO(length << " bytes of the log, " << whole << " adds");
    SqliteTallyStore torn(copy.path());
    CHECK(torn.Load() == (whole == 0 ? Logs{} : Logs{Log(3, 1, whole)}));
    torn.Append({Log(3, whole + 1, whole + 1)});
    CHECK(torn.Load() == Logs{Log(3, 1, whole + 1)});
  }
}

// Guards against a transaction that is left open by a full disk, so that each later call fails too.
TEST_CASE(
    "tally store: after an append that failed halfway nothing of it is there, and it may be made again") {
  const Folder folder;
  SqliteTallyStore store(folder.path());
  store.Append({Log(3, 1, 10)});
  rlimit before{};
  REQUIRE(getrlimit(RLIMIT_FSIZE, &before) == 0);
  const auto old_handler = std::signal(SIGXFSZ, SIG_IGN);
  const rlimit full{fs::file_size(folder.File("tallies.db-wal")) + 9000, before.rlim_max};
  REQUIRE(setrlimit(RLIMIT_FSIZE, &full) == 0);
  CHECK_THROWS_AS(store.Append({Log(3, 11, 2000)}), StorageError);
  CHECK_THROWS_AS(store.Append({Log(3, 11, 2000)}), StorageError);
  REQUIRE(setrlimit(RLIMIT_FSIZE, &before) == 0);
  std::signal(SIGXFSZ, old_handler);
  CHECK(store.Load() == Logs{Log(3, 1, 10)});
  store.Append({Log(3, 11, 2000)});
  CHECK(store.Load() == Logs{Log(3, 1, 2000)});
}

TEST_CASE("tally store: it has caught up once it was marked so, also after it is opened again") {
  const Folder folder;
  CHECK_FALSE(SqliteTallyStore::EverExisted(folder.path()));
  {
    SqliteTallyStore store(folder.path());
    store.Append({Log(3, 1, 2)});
    CHECK_FALSE(store.HasCaughtUp());
  }
  {
    SqliteTallyStore store(folder.path());
    CHECK_FALSE(store.HasCaughtUp());
    store.MarkCaughtUp();
    store.MarkCaughtUp();
    CHECK(store.HasCaughtUp());
  }
  CHECK(SqliteTallyStore(folder.path()).HasCaughtUp());
  CHECK(SqliteTallyStore::EverExisted(folder.path()));
}

// Guards against machines that wait for each other after a change of version: none was marked by the old one.
TEST_CASE("tally store: one of a version without marks has caught up") {
  const Folder folder;
  SqliteDatabase(folder.File("tallies.db"))
      .Run(
          "CREATE TABLE adds (origin INTEGER NOT NULL, number INTEGER NOT NULL, id TEXT NOT NULL, "
          "tally TEXT NOT NULL, amount INTEGER NOT NULL, PRIMARY KEY (origin, number)) WITHOUT ROWID");
  CHECK(SqliteTallyStore(folder.path()).HasCaughtUp());
}

// Guards against an empty store that is trusted like the one that was spoilt.
TEST_CASE("tally store: the one that takes the place of one that was set aside has not caught up") {
  const Folder folder;
  SqliteTallyStore(folder.path()).MarkCaughtUp();
  SqliteTallyStore::SetAside(folder.path());
  CHECK(SqliteTallyStore::EverExisted(folder.path()));
  CHECK_FALSE(SqliteTallyStore(folder.path()).HasCaughtUp());
}

TEST_CASE("tally store: a folder that is not there, or that cannot be written, is told") {
  CHECK_THROWS_AS(SqliteTallyStore("/nonexistent/folder"), StorageError);
  const Folder folder;
  fs::create_directory(folder.File("tallies.db"));  // no file can be made there, whoever runs the test
  CHECK_THROWS_AS(SqliteTallyStore(folder.path()), StorageError);
}

TEST_CASE("tally store: a file that is no database is set aside, and an empty store takes its place") {
  const Folder folder;
  std::ofstream(folder.File("tallies.db")) << std::string(9000, 'x');
  CHECK_THROWS_AS(SqliteTallyStore(folder.path()), StorageUnreadable);
  SqliteTallyStore::SetAside(folder.path());
  SqliteTallyStore store(folder.path());
  CHECK(store.Load().empty());
  store.Append({Log(3, 1, 2)});
  CHECK(store.Load() == Logs{Log(3, 1, 2)});
  CHECK(fs::exists(folder.File("tallies.db.unreadable")));
}

TEST_CASE("tally store: pages that were spoilt are told as unreadable") {
  const Folder folder;
  { SqliteTallyStore(folder.path()).Append({Log(3, 1, 2000)}); }
  std::fstream(folder.File("tallies.db"), std::ios::in | std::ios::out | std::ios::binary).seekp(4096)
      << std::string(8192, '\x7f');
  const auto read = [&] { SqliteTallyStore(folder.path()).Load(); };
  CHECK_THROWS_AS(read(), StorageUnreadable);
}

TEST_CASE("tally store: 100,000 adds in 10,000 batches take a bounded space") {
  const Folder folder(Folder::Place::kMemory);
  constexpr std::uint64_t kAdds = 100'000, kBatch = 10;
  SqliteTallyStore store(folder.path());
  std::uintmax_t most = 0;
  for (std::uint64_t first = 1; first <= kAdds; first += kBatch) {
    store.Append({Log(3, first, first + kBatch - 1)});
    if (first % 1000 == 1) most = std::max(most, folder.Bytes());
  }
  const Logs loaded = store.Load();
  CHECK((loaded.size() == 1 && loaded.front().adds.size() == kAdds));
  CHECK(most < 20U * 1024 * 1024);
}

}  // namespace bitternmux::fleet
