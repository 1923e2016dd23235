// Streams of events (text/event-stream) on their way through the router. Lines end with LF, CRLF or CR, and
// an event with an empty line.
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
  // Bytes of the event that is not whole yet; 0 between two events.
  std::size_t unfinished() const { return event_has_lines_ || line_has_bytes_ ? rest_.size() : 0; }

 private:
  void TakeByte(char byte);
  void LineEnds(std::size_t at);

  std::string rest_;
  std::size_t scanned_ = 0;      // of the rest
  std::size_t whole_ = 0;        // of the rest: the end of its last whole event
  bool line_has_bytes_ = false;  // the line that is being scanned
  bool event_has_lines_ = false;
  bool after_cr_ = false;   // the byte before was a CR whose LF may follow
  bool lone_cr_ = false;    // lines of this stream end with CR alone
  bool line_over_ = false;  // the CR before has ended its line already
};

class StreamPosition {
 public:
  // Another attempt begins.
  void BeginAttempt() { continuing_ = !last_id_.empty(); }
  // Whole events are about to be passed on. False: they do not go on behind those that the client has, and
  // are not to be passed on.
  bool Advance(std::string_view events);
  // Of the last event that named one; empty: none did.
  const std::string& last_id() const { return last_id_; }
  // Another server can go on exactly behind the last event that the client has, or from the start if it has
  // none.
  bool CanContinue() const { return last_id_.empty() ? !has_data_ : !unnamed_; }

 private:
  std::string last_id_;
  bool has_data_ = false;    // an event with data was passed on
  bool unnamed_ = false;     // such events without an id of their own came behind the last id
  bool continuing_ = false;  // the first id of the attempt has to be behind the last one
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_EVENT_STREAM_H_
