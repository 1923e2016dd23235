// Cuts a stream of events (text/event-stream) at the ends of its events and knows the id of the last whole
// one, so that a stream that breaks off inside an event can be continued behind the last one that the client
// has.
#ifndef BITTERNMUX_SRC_ROUTER_EVENT_STREAM_H_
#define BITTERNMUX_SRC_ROUTER_EVENT_STREAM_H_

#include <string>
#include <string_view>

namespace bitternmux::router {

class EventStream {
 public:
  // Takes bytes in and returns the whole events that they complete.
  std::string Take(std::string_view bytes);
  // What came after the last whole event, which is then forgotten.
  std::string TakeRest();
  // Bytes of the event that is not whole yet.
  std::size_t unfinished() const { return rest_.size(); }
  // Empty: no event with an id has passed.
  const std::string& last_id() const { return last_id_; }
  bool any() const { return any_; }

 private:
  void NoteIds(std::string_view events);

  std::string rest_;
  std::string last_id_;
  bool any_ = false;
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_EVENT_STREAM_H_
