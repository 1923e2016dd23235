#include "router/event_stream.h"

#include <catch2/catch.hpp>
#include <string>
#include <string_view>

namespace bitternmux::router {

TEST_CASE("event cutter: whole events pass, a cut one does not") {
  EventSplitter splitter;
  CHECK(splitter.Feed("id: 1\nda").empty());
  CHECK(splitter.incomplete_bytes() == 8);
  CHECK(splitter.Feed("ta: x\n\nid: 2\ndata: y\n\nid: 3\nda") == "id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
  CHECK(splitter.TakeRemainder() == "id: 3\nda");
  CHECK(splitter.incomplete_bytes() == 0);
  CHECK(splitter.Feed("versions: 4\nid: 3\ndata: z\n\n") == "versions: 4\nid: 3\ndata: z\n\n");
}

TEST_CASE("stream position: the id of the last event that passed, over all attempts") {
  StreamPosition position;
  CHECK(position.last_id().empty());
  position.Advance("id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
  CHECK(position.last_id() == "2");
  position.Advance("versions: 4\nid: 3\ndata: z\n\n");
  CHECK(position.last_id() == "3");
  CHECK(position.CanContinue());
}

TEST_CASE(
    "event cutter: an event ends with an empty line, whatever lines end with, at any cut of its bytes") {
  const std::string end = GENERATE("\n", "\r\n", "\r");
  const std::string first = "id: 0" + end + "data: a" + end + end;
  const std::string second = ": nothing" + end + end + "data" + end + end;
  for (std::size_t cut = 0; cut <= (first + second).size(); ++cut) {
    EventSplitter splitter;
    std::string passed = splitter.Feed((first + second).substr(0, cut));
    CHECK(passed.size() + splitter.incomplete_bytes() <= cut);
    CHECK((cut < first.size() || passed.starts_with(first)));
    passed += splitter.Feed((first + second).substr(cut));
    CHECK(passed == first + second);
    CHECK(splitter.incomplete_bytes() == 0);
  }
}

TEST_CASE("event cutter: a byte at a time, an event passes with its last byte") {
  const std::string end = GENERATE("\n", "\r\n", "\r");
  const std::string event = "id: 0" + end + "data: a" + end + end;
  EventSplitter splitter;
  for (int events = 0; events < 2; ++events) {
    for (std::size_t i = 0; i + 1 < event.size(); ++i) CHECK(splitter.Feed(event.substr(i, 1)).empty());
    CHECK(splitter.Feed(event.substr(event.size() - 1)) == event);
  }
}

TEST_CASE("event cutter: empty lines in front of an event are no event") {
  EventSplitter splitter;
  CHECK(splitter.Feed("\n\r\n").empty());
  CHECK(splitter.incomplete_bytes() == 0);
  CHECK(splitter.Feed("data: x\n\n\n") == "\n\r\ndata: x\n\n");
  CHECK(splitter.incomplete_bytes() == 0);
  CHECK(splitter.TakeRemainder() == "\n");
}

TEST_CASE("stream position: ids as the format has them") {
  StreamPosition position;
  SECTION("without the space behind the colon") {
    CHECK(position.Advance("id:7\ndata: x\n\n"));
    CHECK(position.last_id() == "7");
  }
  SECTION("with other line ends") {
    CHECK(position.Advance("id: 7\r\ndata: x\r\n\r\nid: 8\rdata: y\r\r"));
    CHECK(position.last_id() == "8");
  }
  SECTION("one with a NUL counts for nothing") {
    CHECK(position.Advance(std::string_view("id: 7\ndata: x\n\nid: 8\0\n\n", 23)));
    CHECK(position.last_id() == "7");
  }
  SECTION("a field that only begins so is another one") {
    CHECK(position.Advance("id: 7\nidea: 8\ndata: x\n\n"));
    CHECK(position.last_id() == "7");
  }
  SECTION("in the data it is none") {
    CHECK(position.Advance("id: 7\ndata: id: 9\n\n"));
    CHECK(position.last_id() == "7");
  }
}

TEST_CASE("stream position: where another server can go on") {
  StreamPosition position;
  CHECK(position.CanContinue());  // from the start
  SECTION("behind a comment: from the start") {
    position.Advance(": nothing\n\n");
    CHECK(position.CanContinue());
  }
  SECTION("not behind data without any id") {
    position.Advance("data: x\n\n");
    CHECK_FALSE(position.CanContinue());
  }
  SECTION("not behind data without an id of its own, until the next id") {
    position.Advance("id: 1\ndata: x\n\ndata: y\n\n");
    CHECK_FALSE(position.CanContinue());
    position.Advance("id: 2\ndata: z\n\n");
    CHECK(position.CanContinue());
  }
  SECTION("behind a comment that follows an id") {
    position.Advance("id: 1\ndata: x\n\n: nothing\n\n");
    CHECK(position.CanContinue());
  }
  SECTION("not behind an id that was taken back") {
    position.Advance("id: 1\ndata: x\n\nid\ndata: y\n\n");
    CHECK_FALSE(position.CanContinue());
  }
}

TEST_CASE("stream position: an attempt that goes on begins behind the last id") {
  StreamPosition position;
  position.BeginAttempt();
  REQUIRE(position.Advance("id: 8\ndata: x\n\nid: 9\ndata: x\n\n"));
  position.BeginAttempt();
  SECTION("the next one, and any later one") {
    CHECK(position.Advance(GENERATE("id: 10\ndata: x\n\n", "id: 12\ndata: x\n\n")));
  }
  SECTION("behind a comment too") {
    CHECK(position.Advance(": nothing\n\n"));
    CHECK_FALSE(position.Advance("id: 9\ndata: x\n\n"));
  }
  SECTION("not the same again, nor an earlier one; nothing of it counts") {
    CHECK_FALSE(position.Advance(GENERATE("id: 9\ndata: x\n\n", "id: 0\ndata: x\n\nid: 11\ndata: x\n\n")));
    CHECK(position.last_id() == "9");
  }
  SECTION("ids that are no numbers cannot be compared") { CHECK(position.Advance("id: b\ndata: x\n\n")); }
}

}  // namespace bitternmux::router
