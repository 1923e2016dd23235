// Hollow quote servers: all in one thread, a listening socket each, HTTP/1.1 with connections that are kept.
// They answer at once, with a body that names the request and the server, so that no two answers are alike.
#ifndef BITTERNMUX_LAB_SCALE_QUOTE_SERVERS_H_
#define BITTERNMUX_LAB_SCALE_QUOTE_SERVERS_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <list>
#include <string>
#include <vector>

#include "lab/scale/stand_thread.h"

namespace bitternmux::lab::scale {

struct ServerCounts {
  std::uint64_t requests = 0, probes = 0, opened = 0;
  std::vector<int> open;  // connections now, by server
  std::uint64_t open_in_all() const;
};

class QuoteServers {
 public:
  explicit QuoteServers(int count);
  ~QuoteServers();

  std::vector<std::string> Addresses() const;
  ServerCounts Count();
  // Answers to requests wait so long from now on; probes are answered at once. 0: none waits.
  void Hold(int ms) { hold_ms_ = ms; }
  StandThread& thread() { return thread_; }

 private:
  class Connection;
  void Accept(std::size_t server);

  ServerCounts counts_;
  std::atomic<int> hold_ms_{0};
  StandThread thread_;
  std::vector<boost::asio::ip::tcp::acceptor> acceptors_;
};

}  // namespace bitternmux::lab::scale

#endif  // BITTERNMUX_LAB_SCALE_QUOTE_SERVERS_H_
