// One attempt to serve a request on one server, with the part of the response received so far. Each attempt
// has its own object, so that no byte, header or flag of an earlier attempt can leak into it.
#ifndef BITTERNMUX_SRC_ROUTER_ATTEMPT_H_
#define BITTERNMUX_SRC_ROUTER_ATTEMPT_H_

#include <cstdint>
#include <memory>
#include <string>

#include "http/parser.h"
#include "router/event_stream.h"
#include "router/server_choice.h"
#include "router/upstream.h"

namespace bitternmux::router {

// How far the response has come and what kind it is.
struct Attempt {
  enum class Answer : std::uint8_t {
    kUnknown,       // no response head received yet
    kStream,        // event stream, forwarded as it arrives
    kBuffered,      // any other response, forwarded once it is complete
    kPassedOn,      // one that is too large for that, forwarded as it arrives
    kUnheldStream,  // a stream that had an event that is too large for that, forwarded as it arrives
    kNotExecuted,   // the server reports that it did not execute the request (X-Not-Executed)
    kMisdirected,   // a different server instance now has this address (421)
  };

  ServerChoice::Chosen server;
  double sent_ms = 0;
  std::shared_ptr<Upstream::Connection> connection;

  Answer answer = Answer::kUnknown;
  http::Message head;    // without the body
  std::string body;      // of a buffered response
  EventSplitter events;  // splits the body of a streamed response into events; unused for other responses
  // The first event has arrived or, if the response is not a stream, all of a successful response.
  bool response_started = false;
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_ATTEMPT_H_
