// What a decision costs: one request that is sent, answered and forgotten, in time and in allocations, with a
// fleet of a given size and a load report on every answer.
#include <benchmark/benchmark.h>

#include <cstdlib>
#include <deque>
#include <new>
#include <string>

#include "cartspring/balancer.h"

namespace {

std::size_t allocations = 0;

}  // namespace

// Not inlined: g++ 12 takes the pair for one that does not match where it sees through both.
[[gnu::noinline]] void* operator new(std::size_t size) {
  ++allocations;
  if (void* memory = std::malloc(size)) return memory;
  throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void* memory) noexcept { std::free(memory); }
[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

namespace cartspring {
namespace {

struct LastSend : ActionSink {
  void Send(RequestId id, const std::string& host, double, double) override {
    sent = id;
    at = host;
  }
  void Cancel(RequestId, int) override {}
  void Refuse(RequestId, double) override {}
  void Fail(RequestId) override {}
  void Probe(const std::string&) override {}
  void Subscribe() override {}
  void SetTimer(double, std::uint64_t) override {}
  void Log(const std::string&) override {}

  RequestId sent = 0;
  std::string at;
};

Settings BenchSettings() {
  Settings s;
  RequestClass klass;
  klass.aim_ms = 300;
  klass.deadline_ms = 1300;
  klass.worth = 2;
  klass.late_worth = 0.2;
  s.classes.push_back(klass);
  s.reporting = Reporting::kAnswers;
  s.max_attempts = 3;
  s.tick_ms = 1;
  return s;
}

// Arguments: how many hosts there are, and how many instances decide beside each other.
void Decide(benchmark::State& state) {
  LastSend sink;
  Settings settings = BenchSettings();
  settings.balancers = static_cast<int>(state.range(1));
  Balancer balancer(settings, 1, sink);
  std::vector<HostEntry> hosts(static_cast<std::size_t>(state.range(0)));
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    hosts[i].host = "host-" + std::to_string(i);
    hosts[i].kind = static_cast<int>(i % 3);
  }
  double now = 1000;
  balancer.OnHostList(now, hosts, false);
  Request request;
  std::deque<RequestId> out;
  const LoadReport load{1, 0};
  std::size_t refused = 0;
  const std::size_t before = allocations;
  for (auto _ : state) {
    now += 1;
    request.id += 1;
    request.give_up_ms = now + 1300;
    sink.sent = 0;
    balancer.OnRequest(now, request);
    if (sink.sent == request.id) {
      out.push_back(request.id);
    } else {
      ++refused;
    }
    if (out.size() < 4) continue;
    balancer.OnOutcome(now, out.front(), 0, Outcome::kServed, true, 8, &load);
    out.pop_front();
  }
  state.counters["allocations"] =
      static_cast<double>(allocations - before) / static_cast<double>(state.iterations());
  state.counters["refused"] = static_cast<double>(refused) / static_cast<double>(state.iterations());
}
// One instance ranks all hosts, four three quarters of them, one of 300 three, or a hundredth of many.
BENCHMARK(Decide)->ArgsProduct({{8, 64, 512, 4096}, {1, 4, 300}});

}  // namespace
}  // namespace cartspring

BENCHMARK_MAIN();
