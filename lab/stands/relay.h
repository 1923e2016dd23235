// The way of bytes to a sidecar on one connection: passed on as they are, or slowed down, cut short, doubled
// or lost.
//
// Holds the socket. What does not fit into it waits here, at most kMostWaiting bytes of it: one whose other
// side is further behind than that is cut.
#ifndef BITTERNMUX_LAB_STANDS_RELAY_H_
#define BITTERNMUX_LAB_STANDS_RELAY_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "lab/model/network.h"

namespace bitternmux::lab {

class Relay : public std::enable_shared_from_this<Relay> {
 public:
  static constexpr std::size_t kMostWaiting = 8 << 20;
  // How the message of that number passes at this moment; asked anew for each piece of it. None: as it is.
  using How = std::function<model::Passing(std::uint64_t message)>;

  Relay(boost::asio::ip::tcp::socket socket, How how);
  boost::asio::ip::tcp::socket& socket() { return socket_; }
  // `passed` is called just before the last byte goes to the socket, and never if that does not come to pass.
  void Write(std::string bytes, std::function<void()> passed);
  // Ends its sending once all has passed.
  void Finish();
  void Close();
  // Ended by a fault of the way, which closes the socket.
  bool cut() const { return cut_; }

 private:
  struct Message {
    std::uint64_t number = 0;
    std::string bytes;
    std::function<void()> passed;
    std::size_t at = 0;
    bool doubled = false;
  };

  void Pump();
  void Passed(std::size_t count, double pause_ms);
  void Cut();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer pause_;
  const How how_;
  std::deque<Message> out_;
  std::size_t waiting_ = 0;  // bytes in out_
  std::uint64_t messages_ = 0;
  bool busy_ = false, finishing_ = false, closed_ = false, cut_ = false;
};

}  // namespace bitternmux::lab

#endif  // BITTERNMUX_LAB_STANDS_RELAY_H_
