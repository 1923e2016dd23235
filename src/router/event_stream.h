// Streams of events (text/event-stream) on their way through the router.
//
// An EventCutter belongs to one attempt: it cuts what that server sends at the ends of its events, so that
// only whole ones are passed on. A StreamPosition belongs to the request: it knows how far the client has the
// stream, so that a stream that breaks off can be continued at another server behind the last event that the
// client has.
#ifndef BITTERNMUX_SRC_ROUTER_EVENT_STREAM_H_
#define BITTERNMUX_SRC_ROUTER_EVENT_STREAM_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace bitternmux::router {

class EventCutter {
 public:
  // Takes bytes in and returns the whole events that they complete, as they came.
  std::string Take(std::string_view bytes);
  // What came after the last whole event, which is then forgotten.
  std::string TakeRest();
  // Bytes of the event that is not whole yet.
  std::size_t unfinished() const { return rest_.size(); }

 private:
  std::string rest_;
};

class StreamPosition {
 public:
  // Whole events are about to be passed on.
  void Advance(std::string_view events);
  // Of the last event that named one; empty: none did.
  const std::string& last_id() const { return last_id_; }
  // Another server can go on behind the last event that the client has.
  bool CanContinue() const { return !last_id_.empty(); }

 private:
  std::string last_id_;
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_EVENT_STREAM_H_
