// Reasons for which a request ends. Each request has exactly one, with a stable name for the log and metrics.
#ifndef BITTERNMUX_SRC_ROUTER_REQUEST_END_H_
#define BITTERNMUX_SRC_ROUTER_REQUEST_END_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace bitternmux::router {

enum class EndReason : std::uint8_t {
  kServed,         // the server's successful response was complete
  kNoRoute,        // 404
  kUnknownKey,     // 401
  kQuota,          // 429: above the tenant's limit, or no quota was granted in time
  kStarting,       // no configuration or no server list received yet
  kStopping,       // the router is shutting down
  kNoServer,       // no server is listed for the service, or all were tried
  kServersBusy,    // all servers are at capacity
  kServersCold,    // the remaining servers are cold and accept no requests yet
  kNoTime,         // the deadline passed before the request was sent
  kRejected,       // servers rejected it and no further attempt is allowed
  kUnreachable,    // no connection to a server could be established
  kServerFailed,   // the server's error response was forwarded
  kServerBroke,    // the server's response was cut off and the request may not be repeated
  kUnclearAnswer,  // the server's response violates the protocol
  kStreamBroke,    // a stream was cut off after the client had received part of it
  kOutOfTime,      // the deadline passed while a server was processing it
  kClientLeft,     // the client disconnected
};
constexpr std::size_t kEndReasons = static_cast<std::size_t>(EndReason::kClientLeft) + 1;

constexpr std::array<std::string_view, kEndReasons> kEndReasonNames = {
    "served",        "no_route",     "unknown_key",    "quota",        "starting",    "stopping",
    "no_server",     "servers_busy", "servers_cold",   "no_time",      "rejected",    "unreachable",
    "server_failed", "server_broke", "unclear_answer", "stream_broke", "out_of_time", "client_left"};

constexpr std::string_view NameOf(EndReason reason) {
  return kEndReasonNames[static_cast<std::size_t>(reason)];
}

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_REQUEST_END_H_
