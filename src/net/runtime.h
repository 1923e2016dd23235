// What every part with sockets shares: the strand, the clock, the wheel and the log.
#ifndef BITTERNMUX_SRC_NET_RUNTIME_H_
#define BITTERNMUX_SRC_NET_RUNTIME_H_

#include <boost/asio.hpp>
#include <functional>
#include <string>

#include "core/timer_wheel.h"
#include "events/event.h"

namespace bitternmux::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

struct Runtime {
  asio::strand<asio::io_context::executor_type> strand;
  std::function<double()> now_ms;  // monotonic
  TimerWheel& wheel;
  EventSink& events = Unheard();
  // Called as a handler begins that may lead to a claim: after a standstill it first reads what has to be
  // known before. Never from within a call of the module, since it may bring it news.
  std::function<void()> mind = [] {};
  // For how long what is read now may have lain unread, at the most; 0 unless the process has just stood
  // still.
  std::function<double()> unread_ms = [] { return 0.0; };
};

// The address of an ip:port that was checked when it was read.
inline tcp::endpoint EndpointOf(const std::string& address) {
  const auto colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

}  // namespace bitternmux::net

#endif  // BITTERNMUX_SRC_NET_RUNTIME_H_
