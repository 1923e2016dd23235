// The load: when requests are due, what is counted as what, and from when.
#include <pthread.h>
#include <signal.h>
#include <time.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "lab/load/generator.h"
#include "lab/load/report.h"
#include "support/peers.h"

using namespace bitternmux::lab::load;
namespace peers = bitternmux::peers;

namespace {

const std::string kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Takes one connection at a time, answers GET /up, and gives the n-th other request, from 1, to `answer`,
// which says whether the connection is kept.
class Server {
 public:
  using Answer = std::function<bool(int request, peers::Peer& peer)>;
  explicit Server(Answer answer) : answer_(std::move(answer)), thread_([this] { Run(); }) {}
  ~Server() {
    over_ = true;
    peers::Dial(listener_.port());
    thread_.join();
  }
  std::string address() const { return listener_.address(); }
  const std::vector<std::string>& heads() const { return heads_; }  // once the load is over

 private:
  void Run() {
    while (!over_) {
      try {
        peers::Peer peer = listener_.Accept();
        for (bool keep = !over_; keep;) {
          const std::string request = peer.Read();
          if (request.find("GET /up ") == 0) {
            peer.Send(kOk);
          } else {
            heads_.push_back(request);
            keep = answer_(static_cast<int>(heads_.size()), peer);
          }
        }
      } catch (const std::runtime_error&) {
        // The load has closed it.
      }
    }
  }

  peers::Listener listener_;
  Answer answer_;
  std::vector<std::string> heads_;
  std::atomic<bool> over_{false};
  std::thread thread_;  // last: it uses all others
};

bool Serve(peers::Peer& peer) {
  peer.Send(kOk);
  return true;
}

Plan PlanFor(const Server& server, double rate, double seconds, double deadline_ms = 10'000) {
  Plan plan;
  plan.to = server.address();
  plan.classes = {{"rate-check", true, deadline_ms, 1}};
  plan.shape = {rate, rate, seconds};
  plan.connections = 1;
  return plan;
}

void SleepMs(long ms) {
  timespec time{ms / 1000, ms % 1000 * 1'000'000};
  while (::nanosleep(&time, &time) != 0) {
  }
}

}  // namespace

TEST_CASE("requests are due evenly at a rate, and closer and closer on a ramp") {
  const std::vector<Class> classes = {{"a", true, 1000, 1}, {"b", false, 1000, 3}, {"c", true, 1000, 0}};
  Schedule even({100, 100, 2}, classes, 7);
  CHECK(even.count() == 200);
  std::vector<int> drawn(3);
  for (int i = 0; !even.over(); even.Advance(), ++i) {
    CHECK(even.due_ms() == Approx(i * 10));
    ++drawn[even.klass()];
  }
  CHECK(drawn[0] + drawn[1] == 200);
  CHECK(drawn[0] > 25);
  CHECK(drawn[0] < 75);

  // 0 to 200 a second over 2 s: the n-th when 50 t^2 = n.
  Schedule ramp({0, 200, 2}, classes, 7);
  CHECK(ramp.count() == 200);
  for (int i = 0; !ramp.over(); ramp.Advance(), ++i) {
    CHECK(ramp.due_ms() == Approx(1000 * std::sqrt(i / 50.0)));
  }
  Schedule fall({200, 0, 2}, classes, 7);
  while (fall.due_ms() < 1800 && !fall.over()) fall.Advance();
  CHECK_FALSE(fall.over());
}

TEST_CASE("what is asked for wrongly is named") {
  std::vector<Class> classes = {ParseClass("a:GET:100"), ParseClass("b:POST:200")};
  CHECK(classes[1].deadline_ms == 200);
  CHECK_FALSE(classes[1].safe);
  for (const char* bad : {"a", "a:GET", "a:PUT:1", "a:GET:x", "a:GET:0", ":GET:1"}) {
    CHECK_THROWS_WITH(ParseClass(bad), Catch::StartsWith("'" + std::string(bad) + "': "));
  }
  ApplyMix("b=3", classes);
  CHECK(classes[0].share == 0);
  CHECK_THROWS_WITH(ApplyMix("a=1,c=2", classes), "'c=2': no such class");
  CHECK_THROWS_WITH(ApplyMix("a=1,a=2", classes), "'a=2': the class stands in the mix twice");
  CHECK_THROWS_WITH(ApplyMix("a", classes), "'a': a part of the mix is NAME=SHARE");
  CHECK_THROWS_WITH(ParseRate("10:x", 1), "'10:x': a rate must be a number of 0 or more");
  CHECK_THROWS_AS(Schedule({0, 0, 1}, classes, 1), std::invalid_argument);
  CHECK_THROWS_AS(Schedule({1e7, 1e7, 10}, classes, 1), std::invalid_argument);
  CHECK_THROWS_AS(Schedule({1, 1, 4000}, classes, 1), std::invalid_argument);
  Plan plan;
  plan.to = "127.0.0.1";
  plan.classes = {ParseClass("a:GET:100")};
  plan.shape = {1, 1, 1};
  CHECK_THROWS_WITH(RunLoad(plan), "'127.0.0.1': no address of the form ip:port");
  plan.connections = 10'000'000;
  CHECK_THROWS_AS(RunLoad(plan), std::invalid_argument);
}

TEST_CASE("percentiles are those of the times, at most a bin too high") {
  Latencies latencies;
  for (int i = 1; i <= 10'000; ++i) latencies.Add(i * 0.1);
  for (const double share : {0.01, 0.5, 0.9, 0.99, 0.999}) {
    CHECK(latencies.Percentile(share) >= share * 1000);
    CHECK(latencies.Percentile(share) <= share * 1000 * 1.012);
  }
  CHECK(latencies.Percentile(1) == 1000);
  CHECK(Latencies().Percentile(0.5) == 0);
}

TEST_CASE("a stall of the other side shows in all requests that were due meanwhile") {
  Server server([](int request, peers::Peer& peer) {
    if (request == 10) SleepMs(500);
    return Serve(peer);
  });
  const Result result = RunLoad(PlanFor(server, 100, 1));
  const Latencies& served = result.tally.Of(0, Outcome::kServed);
  CHECK(served.count() == 100);
  // Of the 50 that were due within the stall, those in its first half waited for 250 ms or more.
  CHECK(served.Percentile(0.77) >= 250);
  CHECK(served.max_ms() >= 500);
  CHECK(result.connections == 1);
  for (const std::string& head : server.heads()) {
    CHECK(head.find("GET /rate-check HTTP/1.1\r\n") == 0);
    CHECK(head.find("Req-Kind: rate-check\r\n") != std::string::npos);
  }
  // What is left of its time goes out with a request that had to wait.
  const std::string& waited = server.heads()[11];
  CHECK(std::stoi(waited.substr(waited.find("Req-Deadline-Ms: ") + 17)) <= 9600);
}

TEST_CASE("each outcome is counted as what it is, and a kept connection's close is tried once more") {
  Server server([](int request, peers::Peer& peer) {
    switch (request) {
      case 2:
        peer.Send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        return true;
      case 3:
        peer.Send("HTTP/1.1 502 Bad\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        return false;
      case 4:
        peer.Send("noise\r\n\r\n");
        return false;
      case 6:  // on a kept connection, and
      case 7:  // the same on a new one
        return false;
      case 9:
        return true;  // says nothing
      default:
        return Serve(peer);
    }
  });
  Plan plan = PlanFor(server, 100, 0.08, 2000);
  plan.classes[0].safe = false;
  const Result result = RunLoad(plan);
  CHECK(result.due == 8);
  CHECK(result.tally.Count(Outcome::kServed) == 3);
  CHECK(result.tally.Count(Outcome::kRefused) == 1);
  CHECK(result.tally.Count(Outcome::kFailed) == 2);
  CHECK(result.tally.Count(Outcome::kLost) == 1);
  CHECK(result.tally.Count(Outcome::kTimedOut) == 1);
  const auto& heads = server.heads();
  REQUIRE(heads.size() == 9);
  const auto id = [](const std::string& head) { return head.substr(head.find("Req-Id: "), 24); };
  CHECK(id(heads[5]) == id(heads[6]));
  CHECK(id(heads[6]) != id(heads[7]));
  CHECK(heads[0].find("POST /rate-check ") == 0);
}

TEST_CASE("a request whose time runs out while all connections are busy is counted as unsent") {
  Server server([](int, peers::Peer&) { return true; });
  Plan plan = PlanFor(server, 100, 0.1);
  plan.classes = {{"patient", true, 1000, 1}, {"hasty", true, 50, 1}};
  // A seed by which the patient one comes first and holds the only connection, and all others are hasty.
  const auto fits = [&] {
    Schedule schedule(plan.shape, plan.classes, plan.seed);
    if (schedule.klass() != 0) return false;
    for (schedule.Advance(); !schedule.over(); schedule.Advance()) {
      if (schedule.klass() != 1) return false;
    }
    return true;
  };
  while (!fits()) ++plan.seed;
  const Result result = RunLoad(plan);
  CHECK(result.tally.Of(0, Outcome::kTimedOut).count() == 1);
  CHECK(result.tally.Of(1, Outcome::kUnsent).count() == 9);
  CHECK(result.tally.Of(1, Outcome::kUnsent).Percentile(0.01) >= 50);
}

TEST_CASE("an interrupt ends it with what there is") {
  Server server([](int request, peers::Peer& peer) {
    if (request == 5) {
      ::kill(::getpid(), SIGINT);
      return true;
    }
    return Serve(peer);
  });
  const Result result = RunLoad(PlanFor(server, 50, 100));
  CHECK(result.interrupted);
  CHECK(result.tally.Count(Outcome::kServed) == 4);
  CHECK(result.planned == 5000);
  CHECK(result.open == result.due - 4);
  CHECK(result.due < 5000);
}

TEST_CASE("a load that itself ran late says so, and its figures are void") {
  struct sigaction stall {};
  stall.sa_handler = [](int) { SleepMs(300); };
  struct sigaction before {};
  ::sigaction(SIGUSR1, &stall, &before);
  const pthread_t load = ::pthread_self();
  Server server([&](int request, peers::Peer& peer) {
    if (request == 10) ::pthread_kill(load, SIGUSR1);
    return Serve(peer);
  });
  const Plan plan = PlanFor(server, 100, 1);
  const Result result = RunLoad(plan);
  ::sigaction(SIGUSR1, &before, nullptr);
  CHECK(result.due == 100);
  CHECK(result.late >= 25);
  CHECK(result.worst_late_ms >= 250);
  CHECK(result.Void());
  CHECK(TextOf(plan, result).find("\nVOID: ") != std::string::npos);
  CHECK(JsonOf(plan, result)["void"] == true);
  Result few(1);
  few.due = 100;
  few.late = 1;
  CHECK_FALSE(few.Void());
}

TEST_CASE("nothing is sent where nobody is there, or where GET /up is not answered") {
  Plan plan;
  plan.classes = {ParseClass("a:GET:100")};
  plan.shape = {10, 10, 1};
  {
    peers::Listener gone;
    plan.to = gone.address();
  }
  CHECK_THROWS_WITH(RunLoad(plan), plan.to + ": GET /up was not answered with 200 (unreachable)");
  peers::Listener other;
  plan.to = other.address();
  std::thread server([&] {
    peers::Peer peer = other.Accept();
    peer.Read();
    peer.Send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
  });
  CHECK_THROWS_WITH(RunLoad(plan), plan.to + ": GET /up was not answered with 200 (failed)");
  server.join();
}
