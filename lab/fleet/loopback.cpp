#include "lab/fleet/loopback.h"

#include <unistd.h>

#include <boost/asio.hpp>

namespace bitternmux::lab::fleet {

namespace asio = boost::asio;
using asio::ip::tcp;

std::string OwnIp(std::size_t machine) {
  const auto process = static_cast<std::size_t>(getpid());
  return "127." + std::to_string(20 + process % 200) + "." + std::to_string(process / 200 % 250) + "." +
         std::to_string(machine);
}

tcp::endpoint FreeEndpoint(std::size_t machine) {
  asio::io_context io;
  const tcp::acceptor acceptor(io, {asio::ip::make_address(OwnIp(machine)), 0});
  return acceptor.local_endpoint();
}

std::string TextOf(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace bitternmux::lab::fleet
