// Many requests at once through one router, with servers that break off and clients that leave as a seed
// draws.
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "lab/wire/history_checker.h"
#include "lab/wire/router_stand.h"
#include "support/run_until.h"

namespace bitternmux::lab::wire {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kServers = 5, kRequests = 60, kAtOnce = 12;
constexpr std::uint64_t kMostEvents = 12;
constexpr std::size_t kWireBytes = 700;  // more than an answer takes, so that some cuts lie behind its end

// Draws by what is asked for, and not by when.
std::mt19937_64 RandomFor(std::uint64_t seed, const std::string& what) {
  return std::mt19937_64(seed * 0x9E3779B97F4A7C15U ^ std::hash<std::string>()(what));
}

std::size_t Draw(std::mt19937_64& random, std::size_t most) {
  return std::uniform_int_distribution<std::size_t>(0, most)(random);
}

class DrawnDay {
 public:
  explicit DrawnDay(std::uint64_t seed) : seed_(seed) {
    for (std::size_t i = 0; i < kServers; ++i) {
      servers_.push_back(std::make_unique<HostileServer>(
          io_, "s" + std::to_string(i), "127.0.0.1", recorder_,
          [this](const http::Message& request, int arrival) { return Plan(request, arrival); }));
    }
    router_ = std::make_unique<RouterStand>(io_, servers_, static_cast<unsigned>(seed));
  }

  History Play() {
    for (std::size_t i = 0; i < kAtOnce; ++i) Next();
    REQUIRE(support::RunUntil(io_, [&] { return over_ == kRequests && router_->sessions() == 0; }));
    router_.reset();
    io_.restart();
    io_.poll();
    return recorder_.Take();
  }

 private:
  static std::uint64_t EventsOf(const std::string& request_id) {
    return 1 + std::hash<std::string>()(request_id) % kMostEvents;
  }

  HostileServer::Order Plan(const http::Message& request, int arrival) const {
    const std::string id(request.Find("x-request-id").value_or(""));
    std::mt19937_64 random = RandomFor(seed_, id + "/" + std::to_string(arrival));
    const bool streaming = request.target.starts_with("/quote/") || request.target.starts_with("/draft/");
    return {DrawPlan(random, kWireBytes), streaming, EventsOf(id)};
  }

  // Sends the next request once one is over.
  void Next() {
    if (begun_ == kRequests) return;
    const std::string id = "r" + std::to_string(seed_) + "-" + std::to_string(begun_++);
    std::mt19937_64 random = RandomFor(seed_, id);
    const std::vector<KnownRoute> routes = {kResumable, kResumable, kStreamOnce, kOnce, kSafe};
    const KnownRoute route = routes[Draw(random, routes.size() - 1)];
    ClientAsk ask;
    ask.path = std::string(route.prefix) + id;
    ask.host = kHost;
    ask.request_id = id;
    ask.body = std::string(Draw(random, 9000), 'b');
    ask.rules = route.rules();
    ask.event_count = EventsOf(id);
    if (route.resumable && Draw(random, 3) == 0) ask.first_event = Draw(random, ask.event_count);
    ClientHabits habits;
    habits.write_bytes = Draw(random, 1) == 0 ? 0 : 1 + Draw(random, 3000);
    habits.read_bytes = 1 + Draw(random, 200);
    habits.leaves_by_reset = Draw(random, 1) == 0;
    if (Draw(random, 7) == 0) habits.leaves_at = 1 + Draw(random, 400);
    if (Draw(random, 15) == 0) habits.sends_only = Draw(random, 400);
    AskOnce(io_, router_->address(), ask, habits, [this](Received received) {
      recorder_.Add(std::move(received));
      ++over_;
      Next();
    });
  }

  const std::uint64_t seed_;
  asio::io_context io_;
  Recorder recorder_;
  std::vector<std::unique_ptr<HostileServer>> servers_;
  std::unique_ptr<RouterStand> router_;
  std::size_t begun_ = 0, over_ = 0;
};

std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* const value = std::getenv(name);
  return value == nullptr ? otherwise : std::strtoull(value, nullptr, 10);
}

}  // namespace

// WIRE_FIRST and WIRE_SEEDS play other seeds than CI's.
TEST_CASE("drawn requests: no rule is broken, whatever servers and clients do") {
  const std::uint64_t first = FromEnvironment("WIRE_FIRST", 1);
  const std::uint64_t seeds = FromEnvironment("WIRE_SEEDS", 200);
  std::size_t runs = 0, whole = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    const History history = DrawnDay(seed).Play();
    std::string found;
    for (const Finding& finding : Check(history))
      found += std::string(NameOf(finding.rule)) + " " + finding.request_id + ": " + finding.what + "\n";
    CAPTURE(seed);
    CHECK(found == "");
    runs += history.runs.size();
    for (const Received& received : history.received)
      whole += received.complete && received.status == 200 ? 1 : 0;
  }
  // The days are what they are meant to be: many runs more than requests, and most requests are served.
  CHECK(runs > seeds * kRequests);
  CHECK(whole > seeds * kRequests / 3);
}

}  // namespace bitternmux::lab::wire
