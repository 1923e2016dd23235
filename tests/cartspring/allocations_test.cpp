// Once its tables have reached their final size, a decision allocates no memory, however many hosts the list
// names and with as many balancers as hosts. This is a program of its own because it counts all allocations
// of its process.
#include <gtest/gtest.h>

#include <cstdlib>
#include <new>
#include <string>
#include <vector>

#include "cartspring/balancer.h"

namespace {

std::size_t allocations = 0;

}  // namespace

// Not inlined: if g++ 12 sees the bodies of both, it warns that new and delete do not match.
[[gnu::noinline]] void* operator new(std::size_t size) {
  ++allocations;
  if (void* memory = std::malloc(size)) return memory;
  throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void* memory) noexcept { std::free(memory); }
[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

namespace cartspring {
namespace {

struct CountingSink : ActionSink {
  void Send(RequestId, const std::string&, double, double) override { ++sent; }
  void Cancel(RequestId, int) override {}
  void Refuse(RequestId, double) override {}
  void Fail(RequestId) override {}
  void Probe(const std::string&) override {}
  void Subscribe() override {}
  void SetTimer(double, std::uint64_t) override {}
  void Log(const std::string&) override {}

  int sent = 0;
};

// The mean number of allocations for a request that is sent and served, after a warm-up in which all tables
// reach their final size.
double AllocationsPerDecision(int host_count) {
  constexpr int kWarmUpRequests = 5000, kCountedRequests = 2000;
  Settings settings;
  RequestClass klass;
  klass.aim_ms = 300;
  klass.deadline_ms = 1300;
  settings.classes.push_back(klass);
  settings.max_attempts = 3;
  settings.tick_ms = 1;
  settings.balancers = host_count;
  CountingSink sink;
  Balancer balancer(settings, 1, sink);
  std::vector<HostEntry> hosts(static_cast<std::size_t>(host_count));
  for (std::size_t i = 0; i < hosts.size(); ++i) hosts[i].host = "host-" + std::to_string(i);
  double now = 1000;
  balancer.OnHostList(now, hosts, false);
  std::size_t before = 0;
  for (int i = 0; i < kWarmUpRequests + kCountedRequests; ++i) {
    if (i == kWarmUpRequests) before = allocations;
    now += 20;
    Request request;
    request.id = static_cast<RequestId>(i + 1);
    request.give_up_ms = now + 1300;
    balancer.OnRequest(now, request);
    balancer.OnOutcome(now + 5, request.id, 0, Outcome::kServed, true, 5, nullptr);
  }
  EXPECT_EQ(sink.sent, kWarmUpRequests + kCountedRequests);
  return static_cast<double>(allocations - before) / kCountedRequests;
}

TEST(Allocations, ADecisionMakesNoneWhateverTheNumberOfHosts) {
  EXPECT_EQ(AllocationsPerDecision(8), 0);
  EXPECT_EQ(AllocationsPerDecision(630), 0);
  EXPECT_GT(allocations, 630U);  // the counter works: the host list alone takes as many
}

}  // namespace
}  // namespace cartspring
