#include "subset/host_order.h"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace cartspring {
namespace {

struct Host {
  double sort_key;
  HostOrder::Traits traits;
  bool fits, counts;
};

// The expected result of Pick, computed by examining every host.
std::vector<int> ReferencePick(const std::vector<Host>& hosts, std::vector<int> order, std::size_t size) {
  std::erase_if(order, [&](int i) { return !hosts[i].fits; });
  std::size_t cut = 0, good = 0;
  for (; cut < order.size() && good < size; ++cut) good += hosts[order[cut]].counts;
  for (std::size_t t = 0; t < HostOrder::kTraits; ++t) {
    const auto other = [&](int i) {
      return hosts[i].counts && hosts[i].traits[t] != hosts[order.front()].traits[t];
    };
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(cut);
    if (std::any_of(order.begin(), end, other)) continue;
    const auto found = std::find_if(end, order.end(), other);
    if (found == order.end()) continue;
    std::rotate(end, found, found + 1);
    ++cut;
  }
  order.resize(cut);
  return order;
}

TEST_CASE("Pick returns the same rows as an examination of every host, whatever fits and counts") {
  std::mt19937 random(1);
  const auto below = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
  for (int round = 0; round < 20000; ++round) {
    std::vector<Host> hosts(static_cast<std::size_t>(1 + below(20)));
    const int alike = 1 + below(12), fit = 1 + below(5), good = 1 + below(5);
    for (Host& host : hosts) {
      host = {below(1000) / 1000.0, {}, below(5) < fit, below(5) < good};
      for (int& trait : host.traits) trait = below(alike) == 0 ? below(3) : 7;
    }
    HostOrder order;
    for (std::size_t i = 0; i < hosts.size(); ++i)
      order.Add(static_cast<int>(i), hosts[i].sort_key, hosts[i].traits);
    order.Build();
    const auto size = static_cast<std::size_t>(1 + below(4));
    std::vector<int> picked, fitting;
    const bool all = order.Pick(
        size, [&](int i) { return hosts[i].fits; }, [&](int i) { return hosts[i].counts; }, picked);
    REQUIRE(picked == ReferencePick(hosts, {order.begin(), order.end()}, size));
    std::ranges::copy_if(order, std::back_inserter(fitting), [&](int i) { return hosts[i].fits; });
    if (all) REQUIRE(picked == fitting);
  }
}

TEST_CASE(
    "Pick examines no hosts behind the selected ones, and skips one zone when it searches for another") {
  HostOrder order;
  for (int i = 0; i < 1000; ++i) order.Add(i, i, {i == 990, 0, 0});
  order.Build();
  int examined = 0;
  std::vector<int> picked;
  order.Pick(
      3, [&](int) { return ++examined > 0; }, [](int) { return true; }, picked);
  CHECK(picked == std::vector<int>{0, 1, 2, 990});
  CHECK(examined == 4);
}

}  // namespace
}  // namespace cartspring
