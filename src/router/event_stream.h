// Event streams (text/event-stream) on their way through the router. Lines end with LF, CRLF or CR; an
// empty line ends an event.
//
// An EventSplitter belongs to one attempt: it splits what the server sends at event boundaries, so that only
// complete events are forwarded. A StreamPosition belongs to the request: it tracks how much of the stream
// the client has received, so that an interrupted stream can be continued by another server after the last
// event that the client has.
#ifndef BITTERNMUX_SRC_ROUTER_EVENT_STREAM_H_
#define BITTERNMUX_SRC_ROUTER_EVENT_STREAM_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace bitternmux::router {

class EventSplitter {
 public:
  // Adds received bytes and returns, unchanged, the events that they complete.
  std::string Feed(std::string_view bytes);
  // Returns and discards the bytes after the last complete event.
  std::string TakeRemainder();
  // Returns the bytes after the last complete event, and stays inside of it.
  std::string TakePart();
  // Whether the newest event is incomplete.
  bool inside_event() const { return event_has_lines_ || line_has_bytes_; }
  // Bytes of the incomplete event that are held; 0 between two events.
  std::size_t incomplete_bytes() const { return inside_event() ? buffer_.size() : 0; }

 private:
  void ScanByte(char byte);
  void EndLine(std::size_t at);

  std::string buffer_;
  std::size_t scanned_ = 0;       // bytes of the buffer that were scanned
  std::size_t complete_end_ = 0;  // end of the last complete event in the buffer
  bool line_has_bytes_ = false;   // the line being scanned
  bool event_has_lines_ = false;
  bool after_cr_ = false;    // the previous byte was a CR; its LF may follow
  bool lone_cr_ = false;     // lines of this stream end with a CR alone
  bool line_ended_ = false;  // the previous CR has already ended its line
};

class StreamPosition {
 public:
  // A new attempt begins.
  void BeginAttempt() { continuing_ = !last_id_.empty(); }
  // Accounts for complete events that are about to be forwarded. Returns false if they do not follow the
  // events that the client has; they must not be forwarded then.
  bool Advance(std::string_view events);
  // Id of the last event that had one; empty: none did.
  const std::string& last_id() const { return last_id_; }
  // Accounts for the first part of an event, whose rest is forwarded without being accounted for. Returns
  // false if it is not known to follow the events that the client has.
  bool AdvancePart(std::string_view part) { return Advance(part) && !continuing_; }
  // Whether another server can continue exactly after the last event that the client has, or from the start
  // if the client has none.
  bool CanContinue() const { return last_id_.empty() ? !has_data_ : !unnamed_; }

 private:
  std::string last_id_;
  bool has_data_ = false;    // an event with data was forwarded
  bool unnamed_ = false;     // events with data but without an id followed the last id
  bool continuing_ = false;  // the first id of the attempt has to follow the last one
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_EVENT_STREAM_H_
