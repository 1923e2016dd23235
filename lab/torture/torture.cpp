#include "lab/torture/torture.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <functional>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>

#include "http/writer.h"
#include "lab/torture/hostile_traffic.h"

namespace bitternmux::lab::wire {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kPatience = seconds(90);      // for all requests of a play
constexpr auto kCalmPatience = seconds(30);  // for the fleet to serve as usual again
constexpr std::size_t kCalmRequests = 48;    // in a row, all served
constexpr std::uint64_t kFirstVersion = 4;   // that the stand starts with
constexpr int kUsualEnd = 0;
constexpr int kReadyMs = 20'000;

std::vector<TrafficRoute> Routes() {
  return {{"/quote/", {true, true, 2}},
          {"/draft/", {true, false, 1}},
          {"/sheet/", {false, false, 1}},
          {"/read/", {false, true, 2}}};
}

// Ends the pauses of all threads at once.
class Stopper {
 public:
  // False: it is over.
  bool Pause(milliseconds time) {
    std::unique_lock lock(mutex_);
    return !over_.wait_for(lock, time, [this] { return stopped_; });
  }
  void Stop() {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    over_.notify_all();
  }

 private:
  std::mutex mutex_;
  std::condition_variable over_;
  bool stopped_ = false;
};

class Torture {
 public:
  explicit Torture(const TortureOptions& options)
      : options_(options),
        fleet_(options.programs, fleet::FleetStand::Ways::kDirect, options.routers),
        traffic_(TrafficOptions(options)),
        troubles_(options.routers) {
    std::vector<fleet::ListedServer> listed;
    for (const auto& server : traffic_.servers())
      listed.push_back({server->id(), listed.size() % 2 == 0 ? "model" : "sheets", server->address()});
    fleet_.ListOnly(std::move(listed));
  }

  TortureReport Play() {
    report_.started = fleet_.Start();
    if (!report_.started) return report_;
    std::vector<std::string> fronts;
    for (std::size_t i = 0; i < options_.routers; ++i) fronts.push_back(fleet_.front(i));
    std::vector<std::thread> threads;
    if (options_.troubles) {
      for (std::size_t i = 0; i < options_.routers; ++i)
        threads.emplace_back([this, i] { TroubleRouter(i); });
      threads.emplace_back([this] { TroubleControl(); });
    }
    if (!traffic_.Send(fronts, troubles_, options_.requests, /*hostile=*/true, kPatience))
      Fault("some requests had no end");
    stopper_.Stop();
    for (std::thread& thread : threads) thread.join();
    Judge();
    if (report_.faults.empty()) CheckCalm(fronts);
    ReadCounters();
    End();
    return report_;
  }

 private:
  static HostileTraffic::Options TrafficOptions(const TortureOptions& options) {
    HostileTraffic::Options traffic;
    traffic.seed = options.seed;
    traffic.routes = Routes();
    traffic.host = fleet::FleetStand::kHost;
    traffic.headers = {{"X-Api-Key", "key-a"}};
    traffic.clients = options.clients;
    return traffic;
  }

  void Fault(const std::string& what) {
    const std::lock_guard lock(mutex_);
    report_.faults.push_back(what);
  }
  void Count(std::size_t TortureReport::*figure) {
    const std::lock_guard lock(mutex_);
    ++(report_.*figure);
  }

  // ---- Troubles, each on a thread of its own ----

  void TroubleRouter(std::size_t router) {
    std::mt19937_64 random(options_.seed * 1009 + router);
    const auto draw = [&](int least, int most) {
      return std::uniform_int_distribution<int>(least, most)(random);
    };
    while (stopper_.Pause(milliseconds(draw(50, 600)))) {
      const int kind = draw(0, 9);
      if (kind < 3) {
        Terminate(router);
      } else if (kind < 5) {
        Kill(router);
      } else if (kind < 7) {
        StandStill(router, milliseconds(draw(20, 500)));
      } else if (kind < 9) {
        HangUp(router, draw(1, 5));
      } else {
        fleet_.KillAgent(router);
        fleet_.StartAgent(router);
      }
    }
  }

  void AwaitEnd(std::size_t router) {
    constexpr std::size_t kShownLog = 6000;  // bytes at its end
    const int code = fleet_.router(router).Wait();
    if (code == kUsualEnd) return;
    const std::string& log = fleet_.router(router).log();
    Fault("router " + std::to_string(router) + " ended with " + std::to_string(code) + ": " +
          log.substr(log.size() - std::min(log.size(), kShownLog)));
  }

  void Restart(std::size_t router) {
    fleet_.StartRouter(router);
    if (!fleet_.router(router).Says("router.readiness ready=true", kReadyMs))
      Fault("router " + std::to_string(router) + " is not ready after its start");
  }

  // Told twice, with a change of the settings between, as in a planned replacement that somebody repeats.
  void Terminate(std::size_t router) {
    Count(&TortureReport::terms);
    fleet_.router(router).Signal(SIGTERM);
    fleet_.router(router).Signal(SIGHUP);
    fleet_.router(router).Signal(SIGTERM);
    AwaitEnd(router);
    Restart(router);
  }

  void Kill(std::size_t router) {
    Count(&TortureReport::kills);
    troubles_.Begin(router);
    fleet_.KillRouter(router);
    Restart(router);
    troubles_.End(router);
  }

  void StandStill(std::size_t router, milliseconds time) {
    Count(&TortureReport::stops);
    troubles_.Begin(router);
    fleet_.router(router).Signal(SIGSTOP);
    stopper_.Pause(time);
    fleet_.router(router).Signal(SIGCONT);
    // What it lay still for comes to its end.
    stopper_.Pause(time);
    troubles_.End(router);
  }

  void HangUp(std::size_t router, int times) {
    Count(&TortureReport::hangups);
    for (int i = 0; i < times; ++i) fleet_.router(router).Signal(SIGHUP);
  }

  void TroubleControl() {
    std::mt19937_64 random(options_.seed * 1009 + options_.routers);
    const auto draw = [&](int least, int most) {
      return std::uniform_int_distribution<int>(least, most)(random);
    };
    while (stopper_.Pause(milliseconds(draw(100, 900)))) {
      const std::string route = draw(0, 1) == 0 ? "/more/" : "";
      const std::uint64_t next = version_ + 1;
      if (fleet_.PutAnywhere(fleet::FleetStand::Configuration(next, route), version_).status == 200) {
        version_ = next;
        Count(&TortureReport::configurations);
      }
      if (draw(0, 3) > 0) continue;
      const auto control = static_cast<std::size_t>(draw(0, fleet::FleetStand::kControls - 1));
      fleet_.KillControl(control);
      stopper_.Pause(milliseconds(draw(0, 1500)));
      fleet_.StartControl(control, /*bootstrap=*/false);
    }
  }

  // ---- Judgement ----

  void Judge() {
    const History history = traffic_.TakeHistory();
    const auto figures = traffic_.TakeFigures();
    report_.requests = history.received.size();
    report_.runs = history.runs.size();
    report_.served = figures.served;
    report_.resumed = figures.resumed;
    report_.findings = Check(history);
  }

  // The fleet serves as usual within a time, once all is well again.
  void CheckCalm(const std::vector<std::string>& fronts) {
    const auto until = std::chrono::steady_clock::now() + kCalmPatience;
    std::size_t served = 0;
    while (served < kCalmRequests && std::chrono::steady_clock::now() < until) {
      traffic_.Send(fronts, troubles_, kCalmRequests, /*hostile=*/false, kCalmPatience);
      served = traffic_.TakeFigures().served;
      for (const Finding& finding : Check(traffic_.TakeHistory())) report_.findings.push_back(finding);
    }
    if (served < kCalmRequests)
      Fault("in calm " + std::to_string(served) + " of " + std::to_string(kCalmRequests) +
            " requests are served");
  }

  void ReadCounters() {
    for (std::size_t i = 0; i < options_.routers; ++i) {
      const fleet::Reply reply = fleet::RoundTrip(
          fleet_.readiness(i),
          http::WriteRequest("GET", "/metrics", {{"Host", "h"}, {"Connection", "close"}}, ""));
      std::istringstream lines(reply.message.body);
      std::string name;
      std::uint64_t value = 0;
      while (lines >> name >> value) report_.counters[name] += value;
    }
  }

  void End() {
    for (std::size_t i = 0; i < options_.routers; ++i) fleet_.router(i).Signal(SIGTERM);
    for (std::size_t i = 0; i < options_.routers; ++i) AwaitEnd(i);
  }

  const TortureOptions options_;
  fleet::FleetStand fleet_;
  HostileTraffic traffic_;
  RouterTroubles troubles_;
  Stopper stopper_;
  std::uint64_t version_ = kFirstVersion;
  std::mutex mutex_;  // guards the report while threads bring troubles about
  TortureReport report_;
};

}  // namespace

TortureReport PlayTorture(const TortureOptions& options) { return Torture(options).Play(); }

}  // namespace bitternmux::lab::wire
