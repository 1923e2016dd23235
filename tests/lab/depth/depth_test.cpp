// The chain of sidecars: attempts at its end, what a deadline and an answer become on their way through it,
// and what is done for a client that has left. Counts, never times.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "lab/depth/plays.h"
#include "lab/depth/socket_chain.h"
#include "support/peers.h"

using namespace bitternmux::lab::depth;
namespace peers = bitternmux::peers;

namespace {

Chain ChainOf(int hops, double failing) {
  Chain chain;
  chain.hops = hops;
  chain.failing = failing;
  return chain;
}

Calls CallsOf(int count) {
  Calls calls;
  calls.count = count;
  return calls;
}

// The head and body of the answer to one call at the first sidecar.
std::string Call(const SocketChain& chain, int wait_ms) {
  const std::string at = chain.first();
  peers::Peer peer = peers::Dial(std::stoi(at.substr(at.find(':') + 1)));
  peer.Send(
      "GET /quote HTTP/1.1\r\nHost: app.svc\r\nReq-Id: the-call\r\nReq-Kind: quote\r\nReq-Deadline-Ms: " +
      std::to_string(wait_ms) + "\r\n\r\n");
  return peer.Read();
}

}  // namespace

TEST_CASE("A chain of which nothing fails serves all, and costs its last hop one attempt a call") {
  for (const int hops : {1, 5, 10, 25}) {
    const VirtualResult result = PlayVirtual(ChainOf(hops, 0), CallsOf(100), {}, 1);
    INFO(hops << " hops");
    CHECK(result.attempts.back() == 100);
    CHECK(
        std::all_of(result.calls.begin(), result.calls.end(), [](const auto& call) { return call.served; }));
    // Deeper down some attempts are in vain: the time after which a hop cuts its attempt is the next one's
    // deadline, which may then refuse what it holds to come too late.
    if (hops > 10) continue;
    CHECK(result.attempts == std::vector<std::uint64_t>(static_cast<std::size_t>(hops), 100));
  }
}

TEST_CASE("A call that fails at the end of the chain is tried as often as its naive count says at most") {
  for (const int hops : {1, 2, 3}) {
    const Chain chain = ChainOf(hops, 1);
    const VirtualResult result = PlayVirtual(chain, CallsOf(1), {}, 1);
    CHECK(result.calls.front().last_attempts >= 1);
    CHECK(result.calls.front().last_attempts <= NaiveAttempts(chain));
    CHECK_FALSE(result.calls.front().served);
  }
}

TEST_CASE("The naive count multiplies what each hop may try") {
  CHECK(NaiveAttempts(ChainOf(5, 1)) == Approx(243));
  CHECK(NaiveAttempts(ChainOf(5, 0)) == Approx(1));
  CHECK(NaiveAttempts(ChainOf(1, 0.5)) == Approx(1.75));
  // The second hop fails where all three of its attempts did: one in eight.
  CHECK(NaiveAttempts(ChainOf(2, 0.5)) == Approx(1.75 * (1 + 0.125 + 0.125 * 0.125)));
}

TEST_CASE("One seed gives one play, and another gives another") {
  const Chain chain = ChainOf(5, 0.5);
  const VirtualResult one = PlayVirtual(chain, CallsOf(200), {}, 7);
  const VirtualResult same = PlayVirtual(chain, CallsOf(200), {}, 7);
  const VirtualResult other = PlayVirtual(chain, CallsOf(200), {}, 8);
  CHECK(one.attempts == same.attempts);
  CHECK(FiguresOf(chain, one) == FiguresOf(chain, same));
  CHECK(one.attempts != other.attempts);
  CHECK(DueTimes(CallsOf(50), 7) == DueTimes(CallsOf(50), 7));
  CHECK(DueTimes(CallsOf(50), 7) != DueTimes(CallsOf(50), 8));
}

TEST_CASE("Further attempts at each hop are earned, a fifth of one by each request") {
  for (const int hops : {5, 10}) {
    const Chain chain = ChainOf(hops, 1);
    const VirtualResult result = PlayVirtual(chain, CallsOf(300), {}, 1);
    for (int hop = 1; hop <= hops; ++hop) {
      const auto row = static_cast<std::size_t>(hop - 1);
      const auto requests = static_cast<double>(result.attempts[row] - result.further[row]);
      const double saved = 2.5 * chain.SidecarsOf(hop);  // of a fresh sidecar
      INFO("hop " << hop << " of " << hops);
      CHECK(static_cast<double>(result.further[row]) <= 0.2 * requests + saved + 1e-6);
      CHECK(result.further[row] > 0);
    }
  }
}

TEST_CASE("A client that closes is followed down the chain: nothing begins behind the news of it") {
  Calls calls = CallsOf(200);
  calls.leaving = Leaving::kCloses;
  for (const int hops : {1, 10}) {
    const VirtualResult result = PlayVirtual(ChainOf(hops, 0.5), calls, {}, 1);
    CHECK(std::any_of(result.calls.begin(), result.calls.end(), [](const auto& call) { return call.gone; }));
    CHECK(std::all_of(result.calls.begin(), result.calls.end(),
                      [](const auto& call) { return call.after_gone == 0; }));
  }
}

TEST_CASE("The same wishes give the same plays") {
  Wanted wanted;
  wanted.hops = {1, 2};
  wanted.failing = {0, 1};
  wanted.seconds = 1;
  wanted.cold_chains = 2;
  nlohmann::json one, same;
  for (const VirtualPlay& play : VirtualPlays(wanted)) one.push_back(Carry(play));
  for (const VirtualPlay& play : VirtualPlays(wanted)) same.push_back(Carry(play));
  CHECK(one == same);
  CHECK(SocketPlays(wanted).size() == 4);
}

TEST_CASE("A chain of three programs passes answer and deadline through") {
  Chain chain = ChainOf(3, 0);
  chain.max_attempts = 1;  // a slow machine makes no further ones
  chain.deadline_ms = 30'000;
  const SocketChain sockets(chain, BITTERNMUX_PROGRAM, 1);
  const std::string answer = Call(sockets, 30'000);
  CHECK(answer.find("HTTP/1.1 200") == 0);
  CHECK(answer.find("answered at hop 3") != answer.npos);
  const ServerCounts counts = sockets.counts();
  CHECK(counts.attempts == std::vector<std::uint64_t>{1, 1, 1});
  CHECK(counts.longest_wait_ms[0] < 30'000);
  CHECK(counts.longest_wait_ms[1] < counts.longest_wait_ms[0]);
  CHECK(counts.longest_wait_ms[2] < counts.longest_wait_ms[1]);
  CHECK(counts.longest_wait_ms[2] > 0);
  CHECK(counts.last_ids[0] == "the-call");
  CHECK(counts.last_ids[1] != counts.last_ids[0]);
  CHECK(counts.last_ids[2] != counts.last_ids[1]);
  CHECK(counts.last_ids[2] != counts.last_ids[0]);
}

TEST_CASE("A failing last hop of three programs fails the call at the first, and its attempts are counted") {
  Chain chain = ChainOf(3, 1);
  chain.deadline_ms = 30'000;
  chain.aim_ms = 30'000;  // the longer it is, the later an attempt is cut: not on a slow machine either
  const SocketChain sockets(chain, BITTERNMUX_PROGRAM, 1);
  const std::string answer = Call(sockets, 30'000);
  CHECK(answer.find("HTTP/1.1 503") == 0);
  const ServerCounts counts = sockets.counts();
  CHECK(counts.attempts[2] >= 2);
  CHECK(static_cast<double>(counts.attempts[2]) <= NaiveAttempts(chain));
  CHECK(counts.attempts[0] <= counts.attempts[1]);
  CHECK(counts.attempts[1] <= counts.attempts[2]);
}
