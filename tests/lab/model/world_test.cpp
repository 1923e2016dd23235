// Random streams, the network, discovery and the clients of the model.
#include <catch2/catch.hpp>
#include <map>

#include "lab/model/clients.h"
#include "lab/model/discovery.h"
#include "lab/model/network.h"
#include "lab/model/random.h"
#include "lab/model/told_list.h"

namespace bitternmux::lab::model {
namespace {

TEST_CASE("a stream hangs on its seed, use and index alone, and is the same everywhere") {
  const Seeds seeds(42);
  Stream a = seeds.Of("work", 3);
  const std::uint64_t first = a.Next();
  for (int i = 0; i < 10; ++i) seeds.Of("other", 3).Next();
  CHECK(seeds.Of("work", 3).Next() == first);
  CHECK(seeds.Of("work", 4).Next() != first);
  CHECK(seeds.Of("wort", 3).Next() != first);
  CHECK(Seeds(43).Of("work", 3).Next() != first);
  CHECK(first == 0x4ef89d419d5f9d2au);
  Stream many = seeds.Of("mean");
  double sum = 0, logs = 0;
  for (int i = 0; i < 20000; ++i) {
    sum += many.Exponential(3);
    logs += many.LogNormal(0.7);
  }
  CHECK(sum / 20000 == Approx(3).epsilon(0.05));
  CHECK(logs / 20000 == Approx(1).epsilon(0.05));
}

Figures TwoSites() {
  Figures figures;
  figures.network.zones = {"here", "there"};
  figures.network.same_ms = 1;
  figures.network.cross_ms = 10;
  figures.sidecars = {{"n0", 0}, {"n1", 1}};
  for (int i = 0; i < 3; ++i) {
    MachineFigures machine;
    machine.id = "s" + std::to_string(i);
    machine.place = i;
    machine.zone = i % 2;
    figures.machines.push_back(machine);
  }
  figures.kinds = {"standard"};
  figures.classes = {{"ask", 1, Repeat::kSafe}, {"hold", 1, Repeat::kForbidden}};
  return figures;
}

TEST_CASE("a way takes its zones' time and some more, and the same for the same message") {
  const Figures figures = TwoSites();
  const Network network(figures, Seeds(1));
  CHECK(network.ToNode(5, 0, 0, 9) >= 6);
  CHECK(network.ToNode(5, 0, 0, 9) < 10);
  CHECK(network.ToNode(5, 0, 1, 9) >= 15);
  CHECK(network.ToNode(5, 0, 1, 9) == network.ToNode(5, 0, 1, 9));
  CHECK(network.ToNode(5, 0, 1, 9) != network.ToNode(5, 0, 1, 10));
}

TEST_CASE("a cut loses what is sent, a stall holds it one way, and dials may never come up") {
  Figures figures = TwoSites();
  figures.network.troubles = {{100, 200, LinkFault::kCut, {0}, {1}, false},
                              {300, 400, LinkFault::kStallTo, {}, {}, false},
                              {500, 600, LinkFault::kNoDial, {}, {2}, false},
                              {700, 800, LinkFault::kCut, {}, {}, true},
                              {900, 1000, LinkFault::kCutTo, {}, {0}},
                              {900, 1000, LinkFault::kCutFrom, {}, {1}},
                              {1100, 1200, LinkFault::kDelay, {}, {}, false, 50, 0},
                              {1300, 1400, LinkFault::kDrop, {1}, {}}};
  const Network network(figures, Seeds(1));
  CHECK(network.ToNode(150, 0, 1, 1) == kNever);
  CHECK(network.FromNode(150, 0, 1, 1) == kNever);
  CHECK(network.DialUp(150, 0, 1, 1) == kNever);
  CHECK(network.CutUntil(150, 0, 1) == 200);
  CHECK(network.ToNode(150, 1, 1, 1) < 200);  // another sidecar
  CHECK(network.ToNode(350, 0, 0, 1) >= 401);
  CHECK(network.FromNode(350, 0, 0, 1) < 400);
  CHECK(network.DialUp(350, 0, 0, 1) >= 401);
  CHECK(network.DialUp(550, 0, 2, 1) == kNever);
  CHECK(network.ToNode(550, 0, 2, 1) < 600);  // what stands goes on
  CHECK(network.ToDiscovery(750, 0, 1) == kNever);
  CHECK(network.ToNode(750, 0, 0, 1) < 800);
  CHECK(network.ToNode(950, 0, 0, 1) == kNever);
  CHECK(network.FromNode(950, 0, 0, 1) < 1000);
  CHECK(network.ToNode(950, 0, 1, 1) < 1000);
  CHECK(network.FromNode(950, 0, 1, 1) == kNever);
  CHECK(network.DialUp(950, 0, 1, 1) == kNever);
  CHECK(network.ToNode(1150, 0, 0, 1) >= 1201);
  CHECK(network.FromNode(1150, 0, 0, 1) >= 1201);
  CHECK(network.Dropped(1350, 1, 0, 1));
  CHECK_FALSE(network.Dropped(1350, 0, 0, 1));
}

// Discovery with what it did.
struct Listener {
  explicit Listener(const Figures& figures) : discovery(figures, Seeds(1)) {}
  void Until(double at) {
    while (discovery.NextMs() <= at) discovery.Advance(discovery.NextMs(), out);
  }
  int Count(DiscoveryAction::What what) const {
    return static_cast<int>(std::count_if(
        out.begin(), out.end(), [&](const DiscoveryAction& action) { return action.what == what; }));
  }
  const Listing& Last() const {
    for (auto at = out.rbegin(); at != out.rend(); ++at) {
      if (at->what == DiscoveryAction::What::kTell) return at->listing;
    }
    throw std::logic_error("nothing told");
  }
  Discovery discovery;
  DiscoveryActions out;
};

TEST_CASE("discovery learns late and tells watches what has changed, and others the whole list") {
  const Figures figures = TwoSites();
  Listener listener(figures);
  listener.discovery.Ask(0, 1, false, 0, 0);
  listener.Until(500);
  CHECK(listener.Last().complete);
  CHECK(listener.Last().entries.size() == 3);
  listener.discovery.Ask(500, 2, true, listener.Last().revision, 0);
  listener.Until(1000);
  CHECK_FALSE(listener.Last().complete);
  CHECK(listener.Last().entries.empty());

  listener.discovery.Changed(1000, 1, Phase::kDraining, -1, true);
  listener.Until(1000 + 0.8 * figures.discovery.notice_ms);
  CHECK(listener.Last().entries.empty());
  listener.Until(1000 + 1.2 * figures.discovery.notice_ms + figures.discovery.period_ms +
                 figures.discovery.spread_ms);
  REQUIRE(listener.Last().entries.size() == 1);
  CHECK(listener.Last().entries[0] == ListEntry{1, Phase::kDraining, -1});
  CHECK(listener.Count(DiscoveryAction::What::kListed) == 1);
  // On a watch that has nothing to tell, an empty line comes every two seconds.
  const int lines = listener.Count(DiscoveryAction::What::kLine);
  listener.Until(30000);
  CHECK(listener.Count(DiscoveryAction::What::kLine) - lines >= 10);
}

TEST_CASE("discovery has a capacity: calls wait in turn, and fail when they have waited too long") {
  Figures figures = TwoSites();
  figures.discovery.lines_per_s = 43;  // a call and the list's three lines take a second
  figures.discovery.call_lines = 40;
  figures.discovery.timeout_ms = 2500;
  Listener listener(figures);
  for (CallId call = 1; call <= 5; ++call) listener.discovery.Ask(0, call, false, 0, 0);
  listener.Until(10000);
  CHECK(listener.Count(DiscoveryAction::What::kTell) == 3);
  CHECK(listener.Count(DiscoveryAction::What::kFail) == 2);
  listener.discovery.Apply(10000, Step::What::kDiscoveryDown, listener.out);
  CHECK(listener.Count(DiscoveryAction::What::kEnd) == 0);  // all of them are over

  // One that is left while it waits makes nothing due.
  Listener left(figures);
  for (CallId call = 1; call <= 3; ++call) left.discovery.Ask(100, call, false, 0, 0);
  left.discovery.Leave(200, 2);
  CHECK(left.discovery.NextMs() > 200);
}

TEST_CASE("watches end when discovery goes down, and a moved one closes them later and counts anew") {
  const Figures figures = TwoSites();
  Listener listener(figures);
  listener.discovery.Ask(0, 1, true, listener.discovery.Whole().revision, 0);
  listener.Until(1000);
  listener.discovery.Apply(1000, Step::What::kDiscoveryDown, listener.out);
  CHECK(listener.Count(DiscoveryAction::What::kEnd) == 1);
  listener.discovery.Apply(2000, Step::What::kDiscoveryUp, listener.out);

  const std::int64_t before = listener.discovery.Whole().revision;
  listener.discovery.Ask(2000, 2, true, before, 0);
  listener.Until(3000);
  listener.discovery.Apply(3000, Step::What::kDiscoveryMove, listener.out);
  CHECK(listener.discovery.place() == 1);
  CHECK(listener.discovery.Whole().revision != before);
  CHECK(listener.Count(DiscoveryAction::What::kEnd) == 1);
  listener.Until(3000 + figures.discovery.old_open_ms);
  CHECK(listener.Count(DiscoveryAction::What::kEnd) == 2);
}

TEST_CASE("the end of a process that another has followed is no news") {
  Figures figures = TwoSites();
  figures.machines.push_back(figures.machines[1]);
  figures.machines.back().from_start = false;
  Listener listener(figures);
  listener.discovery.Changed(1000, 1, Phase::kGone, -1, false);  // known late
  listener.discovery.Changed(1500, 3, Phase::kServing, 1500, true);
  listener.Until(30000);
  const Listing listing = listener.discovery.Whole();
  REQUIRE(listing.entries.size() == 3);
  CHECK(listing.entries[1] == ListEntry{3, Phase::kServing, 1500});
}

TEST_CASE("discovery that lies: refuses, ignores, forgets, and tells what is past") {
  Figures figures = TwoSites();
  figures.discovery.add_ms = figures.discovery.notice_ms = 100;
  figures.discovery.troubles = {{0, 1000, DiscoveryFault::kRefuses, {0}, 1},
                                {0, 1000, DiscoveryFault::kIgnores, {1}, 1},
                                {20000, 30000, DiscoveryFault::kForgets, {}, 0.34, 0, 7},
                                {40000, 50000, DiscoveryFault::kStale, {}, 1, 5000},
                                {60000, 70000, DiscoveryFault::kDoubles, {}}};
  Listener listener(figures);
  listener.discovery.Ask(0, 1, false, 0, 0);
  listener.discovery.Ask(0, 2, false, 0, 1);
  listener.discovery.Ask(0, 3, false, 0, 2);
  listener.Until(10000);
  CHECK(listener.Count(DiscoveryAction::What::kFail) == 1);
  CHECK(listener.Count(DiscoveryAction::What::kTell) == 1);

  listener.discovery.Ask(10000, 4, true, listener.Last().revision, 0);
  listener.Until(20500);
  CHECK(listener.Count(DiscoveryAction::What::kEnd) == 2);  // the one left waiting, too
  listener.discovery.Ask(20500, 5, true, listener.Last().revision, 0);
  listener.Until(21000);
  CHECK(listener.Last().complete);
  CHECK(listener.Last().revision == 7);
  CHECK(listener.Last().entries.size() == 1);
  listener.Until(31000);
  CHECK_FALSE(listener.Last().complete);
  CHECK(listener.Last().entries.size() == 2);  // remembered

  ToldList told(listener.discovery);
  listener.discovery.Changed(39000, 1, Phase::kDraining, -1, true);
  listener.Until(40500);
  const std::int64_t now = listener.Last().revision;
  CHECK(listener.Last().entries.size() == 1);
  CHECK(told.Hear(listener.Last()).size() == 1);
  listener.discovery.Ask(40500, 6, true, now, 0);
  listener.Until(41000);
  CHECK(listener.Last().complete);
  CHECK(listener.Last().revision == now - 1);
  CHECK(told.Hear(listener.Last()) == std::vector<ListEntry>{{1, Phase::kServing, -1}});
  // An old list that leaves out what serves binds nobody to it.
  Listing lie = listener.Last();
  lie.entries.erase(lie.entries.begin());
  CHECK(told.Hear(lie).empty());
  listener.Until(47000);
  CHECK(listener.Last().revision == now);  // when the view is as old as the change

  listener.discovery.Changed(60000, 2, Phase::kDraining, -1, true);
  const int before = listener.Count(DiscoveryAction::What::kTell);
  listener.Until(65000);
  CHECK(listener.Count(DiscoveryAction::What::kTell) - before == 4);  // two watches, each twice
}

// The clients of a day, with all tries ended by `answer`.
struct Played {
  std::vector<Try> sent;
  std::vector<TryId> left, lost;
};
template <class Answer>
Played Play(const Figures& figures, Answer answer) {
  Clients clients(figures, Seeds(5));
  Played played;
  ClientActions actions;
  std::multimap<double, std::pair<TryId, std::pair<TryEnd, double>>> answers;
  while (!clients.Done()) {
    const double next = answers.empty() ? kNever : answers.begin()->first;
    const double now = std::min(next, clients.NextMs());
    if (next <= clients.NextMs()) {
      const auto [id, end] = answers.begin()->second;
      answers.erase(answers.begin());
      clients.Ended(now, id, end.first, end.second);
      continue;
    }
    clients.Advance(now, actions);
    for (const ClientAction& action : actions) {
      if (action.what == ClientAction::What::kLeave) played.left.push_back(action.attempt.id);
      if (action.what == ClientAction::What::kLost) played.lost.push_back(action.attempt.id);
      if (action.what != ClientAction::What::kSend) continue;
      played.sent.push_back(action.attempt);
      const auto [after, end, retry_after] = answer(action.attempt);
      if (after < kNever)
        answers.emplace(now + after, std::pair(action.attempt.id, std::pair(end, retry_after)));
    }
    actions.clear();
  }
  return played;
}

Figures Asking() {
  Figures figures = TwoSites();
  figures.length_ms = 20000;
  figures.clients.rate = 100;
  figures.clients.impatient = 0;
  figures.sidecars[0].share = 0.75;
  figures.sidecars[1].share = 0.25;
  return figures;
}

int FirstTries(const Played& played) {
  return static_cast<int>(std::count_if(played.sent.begin(), played.sent.end(),
                                        [](const Try& attempt) { return attempt.first == attempt.id; }));
}

TEST_CASE("arrivals wait for no answer, and follow their sidecars' shares") {
  const Figures figures = Asking();
  const Played quick = Play(figures, [](const Try&) { return std::tuple(1.0, TryEnd::kServed, 0.0); });
  const Played never = Play(figures, [](const Try&) { return std::tuple(kNever, TryEnd::kServed, 0.0); });
  CHECK(FirstTries(quick) == FirstTries(never));
  CHECK(FirstTries(quick) == Approx(2000).epsilon(0.1));
  CHECK(never.lost.size() == never.sent.size());
  const auto own = std::count_if(quick.sent.begin(), quick.sent.end(),
                                 [](const Try& attempt) { return attempt.sidecar == 0; });
  CHECK(static_cast<double>(own) == Approx(1500).epsilon(0.1));
}

TEST_CASE("bursts and waves change how many come") {
  Figures figures = Asking();
  figures.clients.bursts = {{figures.first_ms + 5000, figures.first_ms + 10000, 3, 0, 0}};
  const Played played = Play(figures, [](const Try&) { return std::tuple(1.0, TryEnd::kServed, 0.0); });
  std::array<int, 4> fifths{};
  for (const Try& attempt : played.sent) {
    ++fifths[static_cast<std::size_t>((attempt.due_ms - figures.first_ms) / 5000)];
  }
  CHECK(fifths[0] == Approx(500).epsilon(0.15));
  CHECK(fifths[1] == Approx(1500).epsilon(0.15));
  CHECK(fifths[2] == Approx(500).epsilon(0.15));
}

TEST_CASE("a client asks again as the class allows, within the wish's deadline, and heeds advice") {
  Figures figures = Asking();
  figures.clients.honour = 1;
  const auto again = [&](TryEnd end, double retry_after) {
    std::map<int, int> retries;  // by class
    const Played played = Play(figures, [&](const Try&) { return std::tuple(1.0, end, retry_after); });
    for (const Try& attempt : played.sent) {
      if (attempt.number == 0) continue;
      ++retries[attempt.klass];
      CHECK(attempt.due_ms + attempt.patience_ms <= attempt.wish_ms + 400 + 1e-6);
      CHECK(attempt.due_ms - attempt.wish_ms >= std::max(50.0, retry_after));
    }
    return retries;
  };
  std::map<int, int> retries = again(TryEnd::kFailed, 0);
  CHECK(retries[0] > 500);
  CHECK(retries[1] == 0);
  retries = again(TryEnd::kRefused, 0);
  CHECK(retries[1] > 500);
  retries = again(TryEnd::kRefused, 350);
  CHECK(retries[0] > 500);
  retries = again(TryEnd::kRefused, 500);  // beyond the deadline
  CHECK(retries[0] == 0);
}

TEST_CASE("some clients leave early, and none waits for an answer beyond its time") {
  Figures figures = Asking();
  figures.clients.impatient = 0.5;
  figures.clients.retries = 0;
  const Played played = Play(figures, [](const Try&) { return std::tuple(kNever, TryEnd::kServed, 0.0); });
  CHECK(played.left.size() + played.lost.size() == played.sent.size());
  CHECK(static_cast<double>(played.left.size()) == Approx(1000).epsilon(0.15));
}

}  // namespace
}  // namespace bitternmux::lab::model
