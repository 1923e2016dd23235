#include "fleet/load/load_board.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

namespace bitternmux::fleet {
namespace {

const ServerLoad* RowOf(const ServerLoads& loads, std::uint32_t server) {
  const auto found = std::ranges::find(loads.rows, server, &ServerLoad::server);
  return found == loads.rows.end() ? nullptr : &*found;
}

}  // namespace

TEST_CASE("load board: sums of all sources, and only what changed") {
  LoadBoard board;
  board.Set("a", {false, {{7, 2, 300, 0}, {8, 1, 0, 1}}});
  board.Set("b", {false, {{7, 3, 100, 0}}});
  const ServerLoads first = board.TakeChanges();
  REQUIRE(first.rows.size() == 2);
  CHECK(*RowOf(first, 7) == ServerLoad{7, 5, 400, 0});
  CHECK(*RowOf(first, 8) == ServerLoad{8, 1, 0, 1});
  CHECK(board.TakeChanges().rows.empty());
  board.Set("a", {false, {{7, 0, 0, 0}}});
  CHECK(*RowOf(board.TakeChanges(), 7) == ServerLoad{7, 3, 100, 0});
}

TEST_CASE("load board: a source that goes, or tells all anew, takes its rows with it") {
  LoadBoard board;
  board.Set("a", {false, {{7, 2, 300, 0}, {8, 1, 0, 0}}});
  board.Set("b", {false, {{7, 1, 0, 0}}});
  board.TakeChanges();
  board.Set("a", {true, {{8, 4, 0, 0}}});
  const ServerLoads changes = board.TakeChanges();
  CHECK(*RowOf(changes, 7) == ServerLoad{7, 1, 0, 0});
  CHECK(*RowOf(changes, 8) == ServerLoad{8, 4, 0, 0});
  board.Drop("a");
  board.Drop("b");
  CHECK(board.sources() == 0);
  CHECK(*RowOf(board.TakeChanges(), 8) == ServerLoad{8, 0, 0, 0});  // told once that it is nothing
  CHECK(board.All().rows.empty());
}

TEST_CASE("load board: a source has a bound on its rows") {
  LoadBoard board;
  ServerLoads loads;
  for (std::uint32_t server = 1; server <= LoadBoard::kMaxRows + 100; ++server)
    loads.rows.push_back({server, 1, 0, 0});
  board.Set("a", loads);
  CHECK(board.All().rows.size() == LoadBoard::kMaxRows);
}

TEST_CASE("load board: any order of rows, drops and refreshes sums up to what the sources hold") {
  std::mt19937 random(11);
  const auto draw = [&](int most) { return std::uniform_int_distribution<int>(0, most)(random); };
  LoadBoard board, follower;
  std::map<std::string, std::map<std::uint32_t, ServerLoad>> held;
  for (int step = 0; step < 5000; ++step) {
    const std::string source(1, static_cast<char>('a' + draw(4)));
    if (draw(20) == 0) {
      board.Drop(source);
      held.erase(source);
    } else {
      ServerLoads loads;
      loads.whole = draw(10) == 0;
      if (loads.whole) held[source].clear();
      for (int i = 0; i <= draw(3); ++i) {
        const ServerLoad row{static_cast<std::uint32_t>(draw(9)), draw(3), 100 * draw(3), draw(1)};
        loads.rows.push_back(row);
        held[source][row.server] = row;
      }
      board.Set(source, loads);
    }
    follower.Set("board", draw(50) == 0 ? (board.TakeChanges(), board.All()) : board.TakeChanges());
  }
  std::map<std::uint32_t, ServerLoad> sums;
  for (const auto& [source, rows] : held) {
    for (const auto& [server, row] : rows) {
      ServerLoad& sum = sums[server];
      sum.server = server;
      sum.requests += row.requests;
      sum.prefill_tokens += row.prefill_tokens;
      sum.set_aside += row.set_aside;
    }
  }
  std::erase_if(sums, [](const auto& entry) { return entry.second.IsNothing(); });
  for (const LoadBoard* each : {&board, &follower}) {
    const ServerLoads all = each->All();
    std::map<std::uint32_t, ServerLoad> told;
    for (const ServerLoad& row : all.rows) {
      if (!row.IsNothing()) told[row.server] = row;
    }
    CHECK(told == sums);
  }
}

}  // namespace bitternmux::fleet
