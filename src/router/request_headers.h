// The headers of requests and answers on their way through the router: which are passed on, and what the
// router reads from them.
#ifndef BITTERNMUX_SRC_ROUTER_REQUEST_HEADERS_H_
#define BITTERNMUX_SRC_ROUTER_REQUEST_HEADERS_H_

#include <optional>
#include <string>
#include <string_view>

#include "http/parser.h"
#include "http/writer.h"
#include "router/server_choice.h"

namespace bitternmux::router {

// False: the header concerns one connection, or the router sets it itself.
bool IsPassedOn(std::string_view name);

// An answer's headers that go to the client.
http::Headers PassedBack(const http::Message& head);

// What the server tells of its load; none if it does not, or not as three whole numbers.
std::optional<LoadReport> ReadLoad(const http::Message& head);

// Statuses that promise that the request has not run and never will.
bool PromisesNotRun(int status);

// Milliseconds as the seconds of a header.
std::string SecondsText(double ms);

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_REQUEST_HEADERS_H_
