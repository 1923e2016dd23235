// One attempt of a request at one server, and its answer as far as it has come. Each attempt is an object of
// its own, so that no byte, head or flag of an earlier one can become a part of it.
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

struct Attempt {
  enum class Answer : std::uint8_t {
    kUnknown,      // no head has come
    kStream,       // events, passed on as they come
    kBuffered,     // any other, passed on once it is whole
    kNotRun,       // the server says that it did not run the request
    kMisdirected,  // another server has the address
  };

  ServerChoice::Chosen server;
  double sent_ms = 0;
  std::shared_ptr<Upstream::Connection> connection;

  Answer answer = Answer::kUnknown;
  http::Message head;    // without its body
  std::string body;      // of a buffered answer
  EventSplitter events;  // of a stream
  bool begun = false;    // the first event has come, or another success whole
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_ATTEMPT_H_
