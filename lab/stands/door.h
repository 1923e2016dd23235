// An address that a stand-in listens at, and what a dial to it meets.
#ifndef BITTERNMUX_LAB_STANDS_DOOR_H_
#define BITTERNMUX_LAB_STANDS_DOOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>
#include <vector>

namespace bitternmux::lab {

class Door {
 public:
  enum class State {
    kOpen,
    kRefusing,  // dials are refused; the address stays ours, and nobody else is given it
    kSilent,    // dials never come up
  };
  using Came = std::function<void(boost::asio::ip::tcp::socket)>;

  // Takes the address, any port for port 0, and refuses. `full` is told when a connection cannot be taken
  // since this process may hold no more descriptors. Throws std::runtime_error that names the address.
  Door(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& at, Came came,
       std::function<void()> full);

  void Set(State state);
  const boost::asio::ip::tcp::endpoint& address() const { return at_; }
  std::string text() const;

 private:
  void Bind();
  void Accept();
  void Block();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint at_;
  const Came came_;
  const std::function<void()> full_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  State state_ = State::kRefusing;
  std::vector<boost::asio::ip::tcp::socket> blocks_;
};

// 127.a.b.c, without a port: one of those that tell the lab's own addresses apart.
boost::asio::ip::tcp::endpoint LoopbackAt(unsigned a, unsigned b, unsigned c);
// Throws std::invalid_argument for what is no ip:port, with port 0 allowed.
boost::asio::ip::tcp::endpoint EndpointOf(const std::string& text);
std::string TextOf(const boost::asio::ip::tcp::endpoint& at);

}  // namespace bitternmux::lab

#endif  // BITTERNMUX_LAB_STANDS_DOOR_H_
