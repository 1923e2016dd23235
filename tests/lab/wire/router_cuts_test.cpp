// One stream of five events through one router, cut at each of its bytes; and the router's clients, who leave
// at each byte.
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/wire/history_checker.h"
#include "lab/wire_play/router_stand.h"
#include "support/run_until.h"

namespace bitternmux::lab::wire {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kServers = 4;  // one more than a request has attempts
constexpr std::uint64_t kEvents = 5;

// The plans of a request's attempts, in order; the last one holds for all further ones.
using Plans = std::vector<AnswerPlan>;

class Play {
 public:
  Play() {
    for (std::size_t i = 0; i < kServers; ++i) {
      servers_.push_back(std::make_unique<HostileServer>(
          io_, "s" + std::to_string(i), "127.0.0.1", recorder_,
          [this](const http::Message& request, int arrival) {
            const bool streaming =
                request.target.starts_with("/quote/") || request.target.starts_with("/draft/");
            const auto number = std::min(static_cast<std::size_t>(arrival), plans_.size() - 1);
            return HostileServer::Order{plans_[number], streaming, kEvents};
          }));
    }
  }

  // One request through a router that has just started. `when_over`: called once its client's connection is
  // gone.
  History Run(
      const KnownRoute& route, Plans plans, const ClientHabits& habits = {},
      const std::function<void()>& when_over = [] {}) {
    plans_ = std::move(plans);
    ClientAsk ask;
    ask.path = std::string(route.prefix) + "1";
    ask.host = kHost;
    ask.request_id = "r" + std::to_string(++number_);
    ask.body = "hello";
    ask.rules = route.rules();
    ask.event_count = kEvents;
    bool done = false;
    {
      RouterStand router(io_, servers_, static_cast<unsigned>(number_));
      AskOnce(io_, router.address(), ask, habits, [&](Received received) {
        recorder_.Add(std::move(received));
        done = true;
      });
      REQUIRE(support::RunUntil(io_, [&] { return done && router.sessions() == 0; }));
      when_over();
    }
    io_.restart();
    io_.poll();
    return recorder_.Take();
  }

  // Bytes that the first attempt of the next request takes on the wire.
  std::size_t SizeOf(const AnswerPlan& plan) const { return WireBytes(plan).size(); }
  std::string WireBytes(const AnswerPlan& plan) const {
    lab::wire::Run run;
    run.request_id = "r" + std::to_string(number_ + 1);
    run.seal = "seal." + run.request_id + ".0.s0";
    for (std::uint64_t number = 0; number < kEvents; ++number)
      run.events.push_back(MakeEvent(number, run.request_id + ".0.s0", plan.line_end));
    return AnswerBytes(plan, run);
  }
  std::size_t connections() const {
    std::size_t count = 0;
    for (const auto& server : servers_) count += server->connections();
    return count;
  }
  asio::io_context& io() { return io_; }

 private:
  asio::io_context io_;
  Recorder recorder_;
  Plans plans_;
  std::vector<std::unique_ptr<HostileServer>> servers_;
  std::uint64_t number_ = 100'000;  // of the same width throughout, so that all cuts are at the same bytes
};

std::string Describe(const std::vector<Finding>& findings) {
  std::string text;
  for (const Finding& finding : findings)
    text += std::string(NameOf(finding.rule)) + " " + finding.request_id + ": " + finding.what + "\n";
  return text;
}

AnswerPlan CutAt(std::size_t bytes, Ending ending) {
  AnswerPlan plan;
  plan.cut_at = bytes;
  plan.ending = ending;
  return plan;
}

struct CutKind {
  const char* name;
  Framing framing;
  Grouping grouping;
  std::size_t write_bytes;
  LineEnd line_end = LineEnd::kLf;
};
constexpr CutKind kChunkForEach{"a chunk for each event", Framing::kChunked, Grouping::kEventEach, 0};
constexpr CutKind kOneChunk{"one chunk", Framing::kChunked, Grouping::kAllInOne, 0};
constexpr CutKind kWithLength{"a length", Framing::kLength, Grouping::kAllInOne, 0};
constexpr CutKind kUntilClose{"no length", Framing::kUntilClose, Grouping::kAllInOne, 0};
constexpr CutKind kSlowWrites{"a byte at a time", Framing::kChunked, Grouping::kEventEach, 1};
constexpr CutKind kCrLfLines{"CRLF", Framing::kUntilClose, Grouping::kAllInOne, 0, LineEnd::kCrLf};
constexpr CutKind kCrLines{"CR", Framing::kUntilClose, Grouping::kAllInOne, 0, LineEnd::kCr};

}  // namespace

// A client got an event that no server's run had made: the torn one of one attempt, joined to another
// attempt's.
TEST_CASE("router cuts: a resumable stream that is cut at any byte of any attempt reaches its client whole") {
  const CutKind kind =
      GENERATE(kChunkForEach, kOneChunk, kWithLength, kUntilClose, kSlowWrites, kCrLfLines, kCrLines);
  const Ending ending = GENERATE(Ending::kClose, Ending::kReset);
  const std::size_t cut_attempt = GENERATE(0, 1, 2);
  CAPTURE(kind.name, ending, cut_attempt);
  Play play;
  AnswerPlan cut;
  cut.framing = kind.framing;
  cut.grouping = kind.grouping;
  cut.write_bytes = kind.write_bytes;
  cut.line_end = kind.line_end;
  cut.ending = ending;
  const std::string bytes = play.WireBytes(cut);
  const std::size_t body = bytes.find("\r\n\r\n") + 4;
  // Attempts before the one that is played: the first is torn in its first event, or behind two whole ones.
  const std::vector<std::size_t> before =
      cut_attempt == 0 ? std::vector<std::size_t>{0} : std::vector<std::size_t>{body + 12, body + 85};
  std::string found;
  for (const std::size_t torn_at : before) {
    for (std::size_t at = 0; at <= bytes.size(); ++at) {
      cut.cut_at = at;
      if (LooksWhole(cut, bytes, /*streaming=*/true)) continue;
      Plans plans(cut_attempt, CutAt(torn_at, Ending::kReset));
      plans.push_back(cut);
      plans.emplace_back();
      const History history = play.Run(kResumable, plans);
      found += Describe(Check(history));
      // Three attempts: a cut of the last one breaks the stream off, the others are made up for.
      const bool whole = cut_attempt + 1 < kMostAttempts;
      if (whole && !history.received[0].complete)
        found += "not complete, cut at " + std::to_string(at) + "\n";
    }
  }
  CHECK(found == "");
}

TEST_CASE("router cuts: what may run once is cut at any byte, and runs once and is never passed on in part") {
  const KnownRoute route = GENERATE(kStreamOnce, kOnce, kSafe);
  const Ending ending = GENERATE(Ending::kClose, Ending::kReset);
  Play play;
  const std::size_t size = play.SizeOf({});
  std::string found;
  for (std::size_t at = 0; at <= size; ++at)
    found += Describe(Check(play.Run(route, {CutAt(at, ending), {}})));
  CHECK(found == "");
}

TEST_CASE("router cuts: a client leaves at any byte of its request or of its answer") {
  const bool reset = GENERATE(false, true);
  Play play;
  std::string found;
  // The server sends all but the last byte of its answer and works on until its connection ends.
  const AnswerPlan unfinished = CutAt(play.SizeOf({}) - 1, Ending::kSilence);
  const auto check = [&](const KnownRoute& route, ClientHabits habits) {
    habits.leaves_by_reset = reset;
    const auto server_is_told = [&] {
      if (!support::RunUntil(play.io(), [&] { return play.connections() == 0; }))
        found += "a server works on\n";
    };
    found += Describe(Check(play.Run(route, {unfinished}, habits, server_is_told)));
  };
  constexpr std::size_t kRequestBytes =
      130;                                   // more than the request takes: its client leaves right behind it
  constexpr std::size_t kAnswerBytes = 240;  // fewer than the router passes on
  for (std::size_t at = 1; at <= kRequestBytes; ++at) {
    ClientHabits habits;
    habits.sends_only = at;
    check(kResumable, habits);
    check(kOnce, habits);
  }
  for (std::size_t at = 1; at <= kAnswerBytes; ++at) {
    ClientHabits habits;
    habits.leaves_at = at;
    check(kResumable, habits);
  }
  CHECK(found == "");
}

}  // namespace bitternmux::lab::wire
