// Why a request ended as it did: one reason for each, with a stable name for the log and the metrics.
#ifndef BITTERNMUX_SRC_ROUTER_REQUEST_END_H_
#define BITTERNMUX_SRC_ROUTER_REQUEST_END_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace bitternmux::router {

enum class EndReason : std::uint8_t {
  kServed,         // the server's success came whole
  kNoRoute,        // 404
  kUnknownKey,     // 401
  kQuota,          // 429: above the tenant's limit, or nobody granted
  kStarting,       // no configuration or no list of servers is known yet
  kStopping,       // the router is to end
  kNoServer,       // none is listed for the service, or none is left to try
  kServersBusy,    // all are full
  kServersCold,    // those that are left are cold and get nothing yet
  kNoTime,         // its time was over before it was sent
  kRejected,       // servers rejected it and it may not be sent once more
  kUnreachable,    // no connection to a server came up
  kServerFailed,   // the server's failure was passed on
  kServerBroke,    // the server broke off and it may not be repeated
  kUnclearAnswer,  // the server's answer is none by the protocol
  kStreamBroke,    // a stream that had begun for the client broke off
  kOutOfTime,      // its time was over while a server had it
  kClientLeft,
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
