#include "fleet/feed/feed.h"

#include <catch2/catch.hpp>
#include <random>

#include "fleet/delta/text_delta.h"

namespace bitternmux::fleet {
namespace {

ServerEntry Entry(const std::string& id, bool draining = false) {
  return {id, "s", "10.0.0.1:80", "z", 4, draining};
}

ServerMap Servers(std::initializer_list<ServerEntry> entries) {
  ServerMap map;
  for (const ServerEntry& entry : entries) map[entry.id] = entry;
  return map;
}

}  // namespace

TEST_CASE("text delta: rebuilds the text, and is small where little changed") {
  std::string base = "{\"routes\":[";
  for (int i = 0; i < 300; ++i) base += "{\"name\":\"r" + std::to_string(i) + "\",\"timeout_ms\":4000},";
  std::string text = base;
  text.replace(text.find("\"r150\",\"timeout_ms\":4000"), 24, "\"r150\",\"timeout_ms\":5000");
  const std::string delta = MakeDelta(base, text);
  CHECK(ApplyDelta(base, delta) == text);
  CHECK(delta.size() < 200);
  CHECK(ApplyDelta("", MakeDelta("", text)) == text);
  CHECK(ApplyDelta(base, MakeDelta(base, "")) == std::string());
}

TEST_CASE("text delta: one that was made from another base, or was cut, is refused") {
  const std::string delta = MakeDelta("{a}{b}{c}", "{a}{x}{c}");
  CHECK_FALSE(ApplyDelta("{a}{b}", delta));
  CHECK_FALSE(ApplyDelta("{q}{b}{c}", delta));
  for (std::size_t size = 0; size < delta.size(); ++size)
    CHECK_FALSE(ApplyDelta("{a}{b}{c}", delta.substr(0, size)));
}

TEST_CASE("feed: a subscriber bootstraps from a snapshot and tails the journal") {
  FeedPublisher publisher(9);
  publisher.SetConfiguration(3, "{\"version\":3}");
  publisher.SetServers({{1, 7}, 1}, Servers({Entry("a")}));
  FeedFollower follower;
  const auto first = publisher.CatchUp(follower.Ask("n"));
  REQUIRE(first.size() == 1);
  CHECK(first[0].snapshot);
  CHECK(follower.Apply(first[0]).configuration);
  publisher.SetConfiguration(5, "{\"version\":5}");
  publisher.SetServers({{1, 7}, 2}, Servers({Entry("a", true), Entry("b")}));
  const auto rest = publisher.CatchUp(follower.Ask("n"));
  REQUIRE(rest.size() == 2);
  for (const FeedEntry& entry : rest) CHECK_FALSE(follower.Apply(entry).gap);
  CHECK(follower.state().configuration == "{\"version\":5}");
  CHECK(follower.state().servers == publisher.state().servers);
  CHECK(follower.offset() == publisher.offset());
}

TEST_CASE("feed: an entry that was missed is a gap, and the next subscription brings a snapshot") {
  FeedPublisher publisher(9);
  publisher.SetConfiguration(1, "{1}");
  FeedFollower follower;
  follower.Apply(publisher.CatchUp(follower.Ask("n"))[0]);
  publisher.SetConfiguration(2, "{2}");
  publisher.SetConfiguration(3, "{3}");
  CHECK(follower.Apply(publisher.Newest()).gap);
  const auto again = publisher.CatchUp(follower.Ask("n"));
  REQUIRE(again.size() == 1);
  CHECK(again[0].snapshot);
  follower.Apply(again[0]);
  CHECK(follower.state().configuration == "{3}");
}

TEST_CASE("feed: what a subscriber holds never goes back, whichever publisher it turns to") {
  FeedPublisher ahead(1), behind(2);
  ahead.SetConfiguration(7, "{7}");
  ahead.SetServers({{512, 7}, 4}, Servers({Entry("a")}));
  behind.SetConfiguration(5, "{5}");
  behind.SetServers({{256, 7}, 90}, Servers({Entry("old")}));
  FeedFollower follower;
  follower.Apply(ahead.CatchUp(follower.Ask("n"))[0]);
  for (const FeedEntry& entry : behind.CatchUp(follower.Ask("n"))) follower.Apply(entry);
  CHECK(follower.state().configuration_version == 7);
  CHECK(follower.state().servers.contains("a"));
  // The one behind catches up, by an entry that builds on what the subscriber never had.
  behind.SetConfiguration(8, "{8}");
  CHECK(follower.Apply(behind.Newest()).gap);
  for (const FeedEntry& entry : behind.CatchUp(follower.Ask("n"))) follower.Apply(entry);
  CHECK(follower.state().configuration_version == 8);
}

TEST_CASE(
    "feed: evacuated zones come in snapshots and entries, and a source that is behind takes none back") {
  FeedPublisher ahead(1), behind(2);
  FeedFollower follower;
  CHECK_FALSE(ahead.CatchUp(follower.Ask("n"))[0].evacuations);  // nothing is known of them yet
  CHECK(ahead.SetEvacuations({{{1, 7}, 1}, {}}));
  CHECK(behind.SetEvacuations({{{1, 7}, 1}, {}}));
  CHECK(follower.Apply(ahead.CatchUp(follower.Ask("n"))[0]).evacuations);
  CHECK(follower.state().evacuations.zones.empty());
  CHECK(ahead.SetEvacuations({{{1, 7}, 4}, {"maia"}}));
  CHECK_FALSE(ahead.SetEvacuations({{{1, 7}, 4}, {"braga"}}));
  CHECK(follower.Apply(ahead.Newest()).evacuations);
  const FeedFollower::Applied old = follower.Apply(behind.CatchUp(follower.Ask("n"))[0]);
  CHECK_FALSE(old.evacuations);
  CHECK_FALSE(old.gap);
  CHECK(follower.state().evacuations == Evacuations{{{1, 7}, 4}, {"maia"}});
}

// Guards against EVAC: a source that saw neither the evacuation nor its end, but only the value after both,
// has the zones that it had before, and still more to tell than one that has seen the evacuation.
TEST_CASE("feed: the same zones at a newer position replace what a subscriber heard in between elsewhere") {
  FeedPublisher one(1), other(2);
  FeedFollower follower;
  one.SetEvacuations({{{1, 7}, 1}, {"maia"}});
  other.SetEvacuations({{{1, 7}, 1}, {"maia"}});
  one.SetEvacuations({{{1, 7}, 2}, {}});
  follower.Apply(one.CatchUp(follower.Ask("n"))[0]);
  follower.Apply(other.CatchUp(follower.Ask("n"))[0]);
  CHECK(follower.state().evacuations.zones.empty());
  REQUIRE(other.SetEvacuations({{{1, 7}, 3}, {"maia"}}));
  CHECK(follower.Apply(other.Newest()).evacuations);
  CHECK(follower.state().evacuations.zones == std::vector<std::string>{"maia"});
}

TEST_CASE("feed: a subscriber whose offset the journal no longer holds gets a snapshot without what it has") {
  FeedPublisher publisher(9);
  publisher.SetConfiguration(1, std::string(1000, 'x'));
  FeedFollower follower;
  follower.Apply(publisher.CatchUp(follower.Ask("n"))[0]);
  for (std::uint64_t i = 1; i <= kJournalEntries + 5; ++i) {
    publisher.SetServers({{1, 7}, i}, Servers({Entry("s" + std::to_string(i))}));
  }
  const auto entries = publisher.CatchUp(follower.Ask("n"));
  REQUIRE(entries.size() == 1);
  CHECK_FALSE(entries[0].configuration);
  CHECK_FALSE(follower.Apply(entries[0]).gap);
  CHECK(follower.state().servers == publisher.state().servers);
}

TEST_CASE("feed: the journal is bounded by bytes") {
  FeedPublisher publisher(9);
  FeedFollower follower;
  for (std::uint64_t version = 1; version < 100; ++version) {
    publisher.SetConfiguration(version, std::string(50'000, static_cast<char>('a' + version % 26)));
  }
  // Old offsets are answered with a snapshot, not with megabytes of entries.
  Subscribe old = follower.Ask("n");
  old.feed = 9;
  old.offset = 3;
  CHECK(publisher.CatchUp(old).size() == 1);
}

TEST_CASE("feed: random changes, losses and turns between publishers end in the same state") {
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    FeedPublisher publishers[2] = {FeedPublisher(1), FeedPublisher(2)};
    FeedFollower follower;
    std::uint64_t version = 0, reading = 0, last_version = 0;
    for (int step = 0; step < 200; ++step) {
      FeedPublisher& publisher = publishers[random() % 2];
      bool news = false;
      if (random() % 2 == 0) {
        ++version;
        news = publisher.SetConfiguration(version, "{v" + std::to_string(version) + "}{same}");
      } else {
        ServerMap servers;
        for (std::uint32_t i = 0; i < random() % 4; ++i)
          servers["s" + std::to_string(i)] = Entry("s" + std::to_string(i), random() % 2 == 0);
        news = publisher.SetServers({{256, 7}, ++reading}, servers);
      }
      if (news && random() % 3 != 0) follower.Apply(publisher.Newest());
      if (random() % 5 == 0) {
        for (const FeedEntry& entry : publisher.CatchUp(follower.Ask("n"))) follower.Apply(entry);
      }
      CHECK(follower.state().configuration_version >= last_version);
      last_version = follower.state().configuration_version;
    }
    FeedPublisher& newest =
        publishers[0].state().configuration_version > publishers[1].state().configuration_version
            ? publishers[0]
            : publishers[1];
    for (int i = 0; i < 2; ++i) {
      for (const FeedEntry& entry : newest.CatchUp(follower.Ask("n"))) follower.Apply(entry);
    }
    CHECK(follower.state().configuration == newest.state().configuration);
  }
}

// Day 4697 of the simulation: the question after a gap was lost, and no beat asked again.
TEST_CASE("feed: a subscriber with a gap lacks what its source has until an entry has closed it") {
  FeedPublisher publisher(7);
  FeedFollower follower;
  CHECK(follower.Lacks({7, 0, true, 0, {}}));  // nothing was heard of that source yet
  publisher.SetConfiguration(1, "{}");
  for (const FeedEntry& entry : publisher.CatchUp(follower.Ask("a"))) follower.Apply(entry);
  CHECK_FALSE(follower.Lacks({7, 1, true, 1, {}}));
  CHECK(follower.Lacks({7, 2, true, 1, {}}));
  publisher.SetConfiguration(2, "{2}");
  publisher.SetConfiguration(3, "{3}");
  CHECK(follower.Apply(publisher.Newest()).gap);
  const FeedBeat beat{7, 3, true, 3, {}};
  CHECK(follower.Lacks(beat));
  CHECK(follower.Lacks(beat));  // as often as it is told
  for (const FeedEntry& entry : publisher.CatchUp(follower.Ask("a"))) follower.Apply(entry);
  CHECK_FALSE(follower.Lacks(beat));
  CHECK(follower.state().configuration_version == 3);
}

}  // namespace bitternmux::fleet
