// Headers of requests and answers on their way through the router: which of them are forwarded, and what
// the router reads from them.
#ifndef BITTERNMUX_SRC_ROUTER_REQUEST_HEADERS_H_
#define BITTERNMUX_SRC_ROUTER_REQUEST_HEADERS_H_

#include <optional>
#include <string>
#include <string_view>

#include "http/parser.h"
#include "http/writer.h"
#include "router/server_choice.h"

namespace bitternmux::router {

// Whether a request header is forwarded: not if it concerns one connection or the router sets it.
bool IsForwarded(std::string_view name);

// The headers of an answer that are returned to the client.
http::Headers ReturnedHeaders(const http::Message& head);

// The load that the server reports; none if there is no report or it is not three whole numbers.
std::optional<LoadReport> ParseLoadReport(const http::Message& head);

// Whether the status guarantees that the request has not run and never will.
bool StatusMeansNotExecuted(int status);

// Formats milliseconds as seconds for a header.
std::string FormatSeconds(double ms);

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_REQUEST_HEADERS_H_
