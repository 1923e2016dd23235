// Addresses of loopback that belong to this process alone, so that tests run beside each other.
#ifndef BITTERNMUX_LAB_FLEET_LOOPBACK_H_
#define BITTERNMUX_LAB_FLEET_LOOPBACK_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <string>

namespace bitternmux::lab::fleet {

// An ip of this process's own block. No outgoing connection of another process takes one of its ports:
// those leave from 127.0.0.1. `machine`: 1 to 254.
std::string OwnIp(std::size_t machine);

// An endpoint of that ip at which nobody listens. Throws boost::system::system_error if there is none.
boost::asio::ip::tcp::endpoint FreeEndpoint(std::size_t machine);

// Its text, "ip:port".
std::string TextOf(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace bitternmux::lab::fleet

#endif  // BITTERNMUX_LAB_FLEET_LOOPBACK_H_
