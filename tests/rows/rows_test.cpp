#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "rows/named_rows.h"
#include "rows/recycling_map.h"

namespace cartspring {
namespace {

struct NamedRow {
  int row = -1;
  std::string name;
  bool used = false;
  const std::string& Name() const { return name; }
  bool InUse() const { return used; }
};

TEST_CASE("a new name gets the first free row, whose old name is then unknown") {
  std::mt19937 random(7);
  NamedRows<NamedRow> rows;
  for (int step = 0; step < 2000; ++step) {
    if (rows.size() > 0 && random() % 2 == 0) {
      NamedRow& released = rows[static_cast<int>(random() % static_cast<unsigned>(rows.size()))];
      released.used = false;
      rows.MarkFree(released.row);
    }
    const auto free = std::ranges::find_if(rows, [](const NamedRow& row) { return !row.used; });
    const std::string old_name = free != rows.end() ? free->name : "";
    const auto first = static_cast<int>(free - rows.begin());
    NamedRow& row = rows.Add(std::to_string(step));
    CHECK(row.row == first);
    CHECK(rows.Find(std::to_string(step)) == first);
    CHECK(rows.Find(old_name) == NamedRows<NamedRow>::kNone);
    row.name = std::to_string(step);
    row.used = true;
  }
}

struct Reusable {
  std::vector<int> items;
  void Reset() { items.clear(); }
};

TEST_CASE("an erased entry is reused in its initial state, with its memory") {
  RecyclingMap<int, Reusable> map;
  map[1].items.assign(100, 1);
  const int* memory = map.find(1)->second.items.data();
  map[2].items.push_back(5);
  map.erase(1);
  map.erase(1);
  CHECK(map.find(1) == map.end());
  CHECK(map[2].items == std::vector<int>{5});
  CHECK(map[3].items.empty());
  CHECK(map[3].items.capacity() >= 100);
  CHECK(map[3].items.data() == memory);
}

}  // namespace
}  // namespace cartspring
