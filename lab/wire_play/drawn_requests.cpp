#include "lab/wire_play/drawn_requests.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <stdexcept>
#include <string>

#include "lab/wire_play/router_stand.h"

namespace bitternmux::lab::wire {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kServers = 5, kAtOnce = 12;
constexpr auto kPatience = std::chrono::seconds(20);
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

  DrawnResult Play() {
    for (std::size_t i = 0; i < kAtOnce; ++i) Next();
    RunToEnd();
    DrawnResult result;
    result.not_continued = router_->state().metrics.streams_not_continued();
    router_.reset();
    io_.restart();
    io_.poll();
    const History history = recorder_.Take();
    result.findings = Check(history);
    result.runs = history.runs.size();
    result.served =
        static_cast<std::size_t>(std::ranges::count_if(history.received, [](const Received& received) {
          return received.complete && received.status == 200;
        }));
    return result;
  }

 private:
  void RunToEnd() {
    const auto until = std::chrono::steady_clock::now() + kPatience;
    while (over_ < kDrawnRequests || router_->sessions() > 0) {
      if (std::chrono::steady_clock::now() > until) throw std::runtime_error("some requests have no end");
      io_.restart();
      io_.run_one_for(std::chrono::milliseconds(1));
    }
  }

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
    if (begun_ == kDrawnRequests) return;
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

}  // namespace

DrawnResult PlayDrawnRequests(std::uint64_t seed) { return DrawnDay(seed).Play(); }

}  // namespace bitternmux::lab::wire
