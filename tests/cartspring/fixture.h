// Shared by the tests: a sink that records the balancer's actions, settings with one request class for each
// effect, and a fixture that drives a balancer in simulated time.
#ifndef CARTSPRING_TESTS_FIXTURE_H_
#define CARTSPRING_TESTS_FIXTURE_H_

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cartspring/balancer.h"

namespace cartspring {

// Records every action, by kind and in order.
struct Recorder : ActionSink {
  struct Sent {
    RequestId id;
    std::string host;
    double give_up_ms;
    double out_by_ms;
  };
  void Send(RequestId id, const std::string& host, double give_up_ms, double out_by_ms) override {
    sends.push_back({id, host, give_up_ms, out_by_ms});
    RecordAction("send " + std::to_string(id) + " " + host);
  }
  void Cancel(RequestId id, int attempt) override {
    cancels.emplace_back(id, attempt);
    RecordAction("cancel " + std::to_string(id));
  }
  void Refuse(RequestId id, double retry_after_ms) override {
    refused.push_back(id);
    retry_advice_ms.push_back(retry_after_ms);
    RecordAction("refuse " + std::to_string(id));
  }
  void Fail(RequestId id) override {
    failed.push_back(id);
    RecordAction("fail " + std::to_string(id));
  }
  void Probe(const std::string& host) override {
    probes.push_back(host);
    RecordAction("probe " + host);
  }
  void Subscribe() override {
    ++subscriptions;
    RecordAction("subscribe");
  }
  void SetTimer(double at_ms, std::uint64_t token) override {
    timers.emplace(at_ms, token);
    RecordAction("timer " + std::to_string(at_ms));
  }
  void Log(const std::string& line) override {
    logs.push_back(line);
    RecordAction("log " + line);
  }
  void RecordAction(const std::string& line) { actions.push_back(line); }

  // How many final answers (refused or failed) the request has received.
  int AnswerCount(RequestId id) const {
    return static_cast<int>(std::count(refused.begin(), refused.end(), id) +
                            std::count(failed.begin(), failed.end(), id));
  }

  std::vector<Sent> sends;
  std::vector<std::pair<RequestId, int>> cancels;
  std::vector<RequestId> refused, failed;
  std::vector<double> retry_advice_ms;  // of the refusals, in order: the retry_after_ms given
  std::vector<std::string> probes, logs, actions;
  std::multimap<double, std::uint64_t> timers;
  int subscriptions = 0;
};

enum TestClass { kSafeClass, kKeyedClass, kUnsafeClass };

// Load reports come with answers, so a request is decided within the OnRequest call.
inline Settings TestSettings() {
  Settings s;
  RequestClass c;
  c.aim_ms = 500;
  c.deadline_ms = 1000;
  s.classes.push_back(c);
  c.effect = Effect::kKeyed;
  c.group = RepeatGroup::kCell;
  c.repeat_window_ms = 300;
  s.classes.push_back(c);
  c.effect = Effect::kUnsafe;
  s.classes.push_back(c);
  s.reporting = Reporting::kAnswers;
  s.may_probe = true;
  s.may_cancel = true;
  s.max_attempts = 4;
  s.ask_within_ms = 10000;
  s.drain_grace_ms = 1000;
  s.cold_from = 0.3;
  s.warm_within_ms = 8000;
  s.fall_multiple = 3;
  s.fall_ms = 2000;
  s.tick_ms = 1;
  return s;
}

// Hosts a, b, c ..., assigned round-robin to zones 0 to `zones` - 1 and cells 0 to `cells` - 1.
inline std::vector<HostEntry> TestHosts(int count, int zones = 1, int cells = 1) {
  std::vector<HostEntry> hosts;
  for (int i = 0; i < count; ++i) {
    HostEntry entry;
    entry.host = std::string(1, static_cast<char>('a' + i % 26)) + (i < 26 ? "" : std::to_string(i / 26));
    entry.zone = i % zones;
    entry.cell = i % cells;
    hosts.push_back(entry);
  }
  return hosts;
}

// A balancer under test with a simulated clock; its timers fire in order of time.
struct TestBed {
  explicit TestBed(const Settings& settings, std::uint64_t seed = 1)
      : set(settings), balancer(settings, seed, out) {}

  void SetHosts(const std::vector<HostEntry>& hosts) { balancer.OnHostList(now, hosts, false); }
  RequestId Request(int klass, double give_up_in = 800) {
    cartspring::Request request;
    request.id = ++last_id;
    request.klass = klass;
    request.give_up_ms = now + give_up_in;
    balancer.OnRequest(now, request);
    return last_id;
  }
  void EndAttempt(RequestId id, int attempt, Outcome outcome, bool over = false, double took = 20,
                  double load = -1) {
    const LoadReport report{load, -1};
    balancer.OnOutcome(now, id, attempt, outcome, over, took, load < 0 ? nullptr : &report);
  }
  void ReportProbe(const std::string& host, double load) {
    const LoadReport report{load, -1};
    balancer.OnProbeResult(now, host, true, 1, &report);
  }
  // Advances the clock and fires the timers that are due by then.
  void AdvanceTo(double until) {
    while (!out.timers.empty() && out.timers.begin()->first <= until) {
      const auto [at, token] = *out.timers.begin();
      out.timers.erase(out.timers.begin());
      now = std::max(now, at);
      balancer.OnTimer(now, token);
    }
    now = std::max(now, until);
  }

  Settings set;
  Recorder out;
  Balancer balancer;
  double now = 1000;
  RequestId last_id = 0;
};

}  // namespace cartspring

#endif  // CARTSPRING_TESTS_FIXTURE_H_
