#include "fleet/feed/source_choice.h"

#include <catch2/catch.hpp>

namespace bitternmux::fleet {
namespace {

const std::vector<std::string> kSources = {"a", "b", "c"};
const ListPosition kReading{{4, 1}, 9};

FeedBeat Beat(bool fresh, std::uint64_t version = 5, ListPosition servers = kReading) {
  return {1, 1, fresh, version, servers};
}

FeedState Held() {
  FeedState held;
  held.configuration_version = 5;
  held.list_position = kReading;
  return held;
}

}  // namespace

TEST_CASE("source choice: one source after another, beginning at its own") {
  SourceChoice choice(1);
  CHECK(choice.Choose(0, kSources) == "b");
  CHECK(choice.Choose(0, kSources) == "c");
  CHECK(choice.Choose(0, kSources) == "a");
}

TEST_CASE("source choice: a source that beats and is fresh is kept") {
  SourceChoice choice(0);
  choice.Choose(0, kSources);
  for (double now_ms = 100; now_ms < 20'000; now_ms += 400) {
    choice.Beat(now_ms, Beat(true), Held());
    CHECK_FALSE(choice.ShouldLeave(now_ms + 399));
    CHECK(choice.Fresh(now_ms + 399));
  }
}

TEST_CASE("source choice: when a source is left") {
  SourceChoice choice(0);
  choice.Choose(0, kSources);
  SECTION("it never was fresh") {
    choice.Beat(400, Beat(false), Held());
    CHECK_FALSE(choice.ShouldLeave(450));
    CHECK(choice.ShouldLeave(451));
  }
  SECTION("it is silent") {
    choice.Beat(100, Beat(true), Held());
    CHECK_FALSE(choice.ShouldLeave(1099));
    CHECK(choice.ShouldLeave(1100));
  }
  SECTION("it has lost the owner") {
    choice.Beat(100, Beat(true), Held());
    choice.Beat(500, Beat(false), Held());
    CHECK_FALSE(choice.Fresh(500));
    // Others have lost it too: only one that does not come back is left.
    CHECK_FALSE(choice.ShouldLeave(1100));
    CHECK(choice.ShouldLeave(1101));
  }
  SECTION("a dial has failed") {
    choice.Failed();
    CHECK(choice.ShouldLeave(1));
  }
  SECTION("it holds an older configuration") {
    CHECK_FALSE(choice.Beat(100, Beat(true, 4), Held()));
    CHECK(choice.behind());
    CHECK(choice.ShouldLeave(451));
  }
  SECTION("it knows only older readings of the list") {
    choice.Beat(100, Beat(true, 5, {{4, 1}, 8}), Held());
    CHECK(choice.behind());
    CHECK(choice.ShouldLeave(451));
  }
}

TEST_CASE("source choice: a source that was just started and knows no reading yet is not behind") {
  SourceChoice choice(0);
  choice.Choose(0, kSources);
  CHECK(choice.Beat(100, Beat(true, 5, {}), Held()));
  CHECK_FALSE(choice.behind());
}

}  // namespace bitternmux::fleet
