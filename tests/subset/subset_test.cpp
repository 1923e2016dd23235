#include "subset/subset.h"

#include <catch2/catch.hpp>
#include <map>
#include <numeric>
#include <string>
#include <vector>

namespace cartspring {
namespace {

std::vector<int> OrderForSeed(std::uint64_t seed, const std::vector<int>& hosts, int large = -1) {
  const Subset subset(seed);
  std::vector<int> order = hosts;
  std::ranges::sort(order, {},
                    [&](int i) { return subset.SortKey("host-" + std::to_string(i), i == large ? 3 : 1); });
  return order;
}

std::vector<int> UpTo(int count) {
  std::vector<int> rows(static_cast<std::size_t>(count));
  std::iota(rows.begin(), rows.end(), 0);
  return rows;
}

TEST_CASE("each host comes first for an equal number of instances, a larger host in proportion to its size") {
  std::map<int, int> first;
  for (std::uint64_t seed = 0; seed < 4200; ++seed)
    ++first[OrderForSeed(seed, UpTo(40), /*large=*/7).front()];
  // The large host has 3 of 42 shares, so 300 of the 4,200 instances; the others have 100 each.
  for (const auto& [host, count] : first) {
    INFO(host);
    CHECK(count == Approx(host == 7 ? 300 : 100).margin(host == 7 ? 70 : 45));
  }
}

TEST_CASE("a host that leaves moves no other host, and returns to its position") {
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    std::vector<int> order = OrderForSeed(seed, UpTo(30));
    std::vector<int> without = UpTo(30);
    std::erase(without, order[2]);
    CHECK(OrderForSeed(seed, UpTo(30)) == order);
    std::erase(order, order[2]);
    CHECK(OrderForSeed(seed, without) == order);
  }
}

TEST_CASE("instances of a small tier rank all hosts, and fewer as the tier grows, without jumps") {
  for (int tier = 1; tier <= 3; ++tier) CHECK(Subset::SizeFor(50, tier) == 50);
  for (int tier = 3; tier < 1000; ++tier) {
    const auto smaller_tier = Subset::SizeFor(50, tier), larger_tier = Subset::SizeFor(50, tier + 1);
    CHECK(larger_tier <= smaller_tier);
    CHECK(smaller_tier - larger_tier <= smaller_tier / 4 + 1);
    CHECK(smaller_tier * static_cast<std::size_t>(tier) >= 150);  // on average three instances rank each host
  }
  CHECK(Subset::SizeFor(50, 1000) == 3);
  CHECK(Subset::SizeFor(2, 1000) == 2);
  CHECK(Subset::SizeFor(0, 1000) == 0);
}

}  // namespace
}  // namespace cartspring
