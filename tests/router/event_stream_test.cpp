#include "router/event_stream.h"

#include <catch2/catch.hpp>

namespace bitternmux::router {

TEST_CASE("event cutter: whole events pass, a cut one does not") {
  EventCutter cutter;
  CHECK(cutter.Take("id: 1\nda").empty());
  CHECK(cutter.unfinished() == 8);
  CHECK(cutter.Take("ta: x\n\nid: 2\ndata: y\n\nid: 3\nda") == "id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
  CHECK(cutter.TakeRest() == "id: 3\nda");
  CHECK(cutter.unfinished() == 0);
  CHECK(cutter.Take("versions: 4\nid: 3\ndata: z\n\n") == "versions: 4\nid: 3\ndata: z\n\n");
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

}  // namespace bitternmux::router
