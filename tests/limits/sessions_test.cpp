// The decider for submitters' connections, alone, among a simulated population of them.
#include "limits/sessions.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <random>

namespace bitternmux::limits {
namespace {

// Submitters, and a server that does what the decider says, in steps of a millisecond. A job takes 12 ms.
// Those who ask jobs can hold `cap` connections, and see a close of the server's 2 ms late.
struct Town {
  enum Kind { kSilent, kHalf, kUp, kOnce, kAgain };  // no byte; half a head; a probe; a job; jobs
  struct Peer {
    Kind kind;
    double answer_ms;
    bool busy;
  };

  Town(const Sessions::Bounds& bounds, std::size_t can_hold) : limits(bounds), cap(can_hold) {}

  void Dial(Kind kind) {
    if (kind >= kOnce && places >= cap) return void(++missed);
    while (!limits.HasRoom()) {
      const auto id = limits.MakeRoom(now);
      if (!id) return void(++missed);
      End(*id);
    }
    const auto id = limits.Opened(now);
    peers[id] = {kind, 0, false};
    places += kind >= kOnce;
    if (kind != kSilent) limits.Began(now, id);
    if (kind >= kOnce) Ask(id);
    if (kind == kUp) limits.Taken(now, id, Sessions::Ask::kProbe), limits.Rests(now, id);
    Trim();
  }
  // On the connection that idles and was used last, or on a new one if there is none.
  void AskAgain() {
    for (; !idle.empty(); idle.pop_back()) {
      const auto found = peers.find(idle.back());
      if (found == peers.end() || found->second.kind != kAgain || found->second.busy) continue;
      return Ask(found->first);
    }
    Dial(kAgain);
  }
  void Ask(Sessions::Id id) {
    peers[id] = {peers[id].kind, now + 12, true};
    limits.Taken(now, id, Sessions::Ask::kJob);
  }
  void Step() {
    now += 1;
    for (; !seen_ms.empty() && seen_ms.front() <= now; seen_ms.pop_front()) --places;
    for (auto at = peers.begin(); at != peers.end();) {
      auto& [id, peer] = *at++;
      if (!peer.busy || peer.answer_ms > now) continue;
      peer.busy = false;
      if (limits.MayStay(now, id)) {
        limits.Rests(now, id);
        idle.push_back(id);
      } else {
        limits.Leaves(now, id);
        End(id);
      }
    }
    Trim();
  }
  void Trim() {
    while (const auto id = limits.Retire(now)) End(*id);
  }
  void End(Sessions::Id id) {
    const Peer peer = peers.at(id);
    REQUIRE_FALSE(peer.busy);
    if (peer.kind >= kOnce) seen_ms.push_back(now + 2);
    ++ended[peer.kind];
    peers.erase(id);
    limits.Closed(now, id);
  }

  Sessions limits;
  std::size_t cap, places = 0;
  double now = 1000;
  std::map<Sessions::Id, Peer> peers;
  std::vector<Sessions::Id> idle;
  std::deque<double> seen_ms;  // when submitters see what the server has closed
  std::map<Kind, int> ended;
  int missed = 0;
};

}  // namespace

TEST_CASE(
    "keepers, silent ones, half-sent heads and a burst at once: a good submitter always finds a place") {
  // 256 descriptors: 139 sessions in all, and submitters hold a third at most.
  std::mt19937 random(5);
  const Sessions::Bounds bounds{139, 85, 2000};
  for (int start = 0; start < 2; ++start) {  // and again after a restart, where all of them come back at once
    Town town(bounds, 85);
    for (int i = 0; i < (start == 0 ? 0 : 60); ++i) town.Dial(Town::kOnce);
    int settled = 0;
    for (int ms = 0; ms < 10'000; ++ms) {
      if (ms == 2000) settled = town.ended[Town::kAgain];
      if (ms % 20 == 0) town.Dial(Town::kSilent);
      if (ms % 100 == 0) town.Dial(Town::kHalf);
      if (ms < 1000 && ms % 5 == 0) town.Dial(Town::kOnce);  // 200 keepers
      if (random() % 10 < 3) town.AskAgain();                // 300 jobs a second
      if (ms == 5000) {
        for (int i = 0; i < 20; ++i) town.Dial(Town::kAgain);
      }
      town.Step();
    }
    CHECK(town.missed == 0);
    CHECK(town.limits.open() <= bounds.most);
    CHECK(town.ended[Town::kAgain] == settled);  // the keepers go first
  }
}

TEST_CASE("what submitters can hold is learned where they can hold less, and unlearned") {
  const auto kind = GENERATE(Town::kOnce, Town::kAgain);
  Town town({216, 128, 2000}, 40);
  for (int ms = 0; ms < 2000; ++ms) {
    if (ms % 5 == 0) town.Dial(kind);
    // The same that is seen of submitters who leave by themselves after a while.
    if (kind == Town::kAgain && ms % 20 == 0 && town.places == 40) {
      const auto idle =
          std::find_if(town.peers.begin(), town.peers.end(), [](auto& p) { return !p.second.busy; });
      if (idle != town.peers.end()) town.End(idle->first);
    }
    town.Step();
  }
  CHECK(town.limits.believed() == 40);
  town.missed = 0;
  for (int ms = 0; ms < 8000; ++ms) {
    if (ms % 5 == 0) town.Dial(kind);
    town.Step();
  }
  CHECK(town.missed == 0);
  town.cap = 128;
  for (int ms = 0; ms < 120'000; ++ms) {
    if (ms % 5 == 0) town.Dial(kind);
    town.Step();
  }
  CHECK(town.limits.believed() == 128);
}

TEST_CASE("submitters who come back keep what they have, and a lull changes no belief") {
  std::mt19937 random(7);
  Town town({216, 128, 2000}, 128);
  for (int ms = 0; ms < 20'000; ++ms) {
    if (random() % 10 < 3) town.AskAgain();
    town.Step();
  }
  CHECK(town.ended[Town::kAgain] == 0);
  for (int i = 0; i < 60; ++i) town.Dial(Town::kOnce);
  for (int ms = 0; ms < 5000; ++ms) town.Step();
  CHECK(town.ended[Town::kOnce] <= 20);
  CHECK(town.limits.believed() == 128);
}

TEST_CASE("a flood of those who only ask whether it is up changes no belief") {
  std::mt19937 random(3);
  Town town({216, 128, 2000}, 128);
  for (int ms = 0; ms < 6000; ++ms) {
    if (random() % 10 < 3) town.Dial(Town::kOnce);
    if (ms >= 2000 && ms < 4000 && random() % 10 < 6) town.Dial(Town::kUp);
    town.Step();
    REQUIRE(town.limits.believed() == 128);
  }
  CHECK(town.missed == 0);
}

TEST_CASE("where all are busy or idle for a moment only, the answer says that the connection ends") {
  Town town({216, 40, 2000}, 40);
  for (int i = 0; i < 40; ++i) town.Dial(Town::kAgain);
  for (int ms = 0; ms < 20; ++ms) town.Step();
  CHECK(town.ended[Town::kAgain] == 10);
}

TEST_CASE("one that asked once goes before one that came back and idles longer") {
  Sessions limits({80, 4, 2000});
  const auto again = limits.Opened(0), once = limits.Opened(0);
  for (const auto id : {again, again, once}) {
    limits.Taken(id == once ? 300 : 0, id, Sessions::Ask::kJob);
    limits.Rests(id == once ? 300 : 0, id);
  }
  for (int i = 0; i < 2; ++i) limits.Taken(310, limits.Opened(310), Sessions::Ask::kJob);
  CHECK_FALSE(limits.Retire(310) == once);  // it may well be asked on again at once
  CHECK(limits.Retire(410) == once);
}

TEST_CASE("silent ones have less time as they crowd, idle ones go before those that have just come") {
  Sessions limits({80, 20, 2000});
  const auto idle = limits.Opened(0);
  limits.Taken(0, idle, Sessions::Ask::kProbe);
  limits.Rests(0, idle);
  for (int i = 0; i < 10; ++i) limits.Opened(0);
  CHECK(limits.PatienceMs() == 2000);
  for (int i = 0; i < 5; ++i) limits.Opened(100);
  CHECK(limits.PatienceMs() == 1125);
  CHECK_FALSE(limits.Retire(1124));
  CHECK(limits.Retire(1125));
  while (limits.HasRoom()) limits.Opened(1200);
  CHECK(limits.PatienceMs() == 250);
  for (Sessions::Id id = 1; id <= 15; ++id) limits.Closed(1200, id);
  CHECK_FALSE(limits.Retire(1260));
  CHECK(limits.MakeRoom(1260) == idle);
  Sessions full({2, 1, 2000});
  for (int i = 0; i < 2; ++i) full.Opened(0);
  CHECK_FALSE(full.MakeRoom(49));
  CHECK(full.MakeRoom(50));
}

TEST_CASE("whatever comes, none with a request open or on its way is named, and rows are used again") {
  enum State { kNew, kIdle, kInUse, kLeft };
  std::mt19937 random(11);
  Sessions limits({30, 12, 2000});
  std::map<Sessions::Id, State> open;
  double now = 0;
  for (int i = 0; i < 50'000; ++i) {
    now += static_cast<double>(random() % 30);
    const auto which = random() % 6;
    if (which == 0 && limits.HasRoom()) open[limits.Opened(now)] = kNew;
    if (open.empty()) continue;
    const auto at = std::next(open.begin(), static_cast<int>(random() % open.size()));
    auto& [id, state] = *at;
    if (which == 1) {
      limits.Began(now, id);
      if (state == kIdle) state = kInUse;
    } else if (which == 2 && state != kLeft) {
      limits.Taken(now, id, random() % 3 == 0 ? Sessions::Ask::kProbe : Sessions::Ask::kJob);
      state = kInUse;
    } else if (which == 3 && state == kInUse) {
      state = limits.MayStay(now, id) ? kIdle : kLeft;
      state == kIdle ? limits.Rests(now, id) : limits.Leaves(now, id);
    } else if (which == 4) {
      limits.Closed(now, id);
      open.erase(at);
    } else if (const auto named = random() % 2 == 0 ? limits.MakeRoom(now) : limits.Retire(now)) {
      REQUIRE(open.at(*named) != kInUse);
      limits.Closed(now, *named);
      open.erase(*named);
    }
    REQUIRE(limits.open() == open.size());
    REQUIRE((open.empty() || open.rbegin()->first < 30));
  }
}

}  // namespace bitternmux::limits
