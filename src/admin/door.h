// The operators' door: an address of their own, for one call to a connection.
#ifndef BITTERNMUX_SRC_ADMIN_DOOR_H_
#define BITTERNMUX_SRC_ADMIN_DOOR_H_

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "net/runtime.h"

namespace bitternmux::admin {

// The door's places; as many descriptors are set aside for it, and one for its listener.
constexpr std::size_t kDoorPlaces = 16;

class Door {
 public:
  struct Calls {
    std::function<bool()> healthy;         // can this process serve?
    std::function<std::string()> figures;  // as JSON
  };

  Door(net::Runtime& runtime, Calls calls);
  ~Door();

  void Listen(const net::tcp::endpoint& at);  // throws boost::system::system_error
  net::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  class Caller;

  void Accept();

  net::Runtime& runtime_;
  const Calls calls_;
  net::tcp::acceptor acceptor_;
  net::tcp::socket incoming_;
  std::list<std::shared_ptr<Caller>> callers_;  // the one that has been here longest in front
};

}  // namespace bitternmux::admin

#endif  // BITTERNMUX_SRC_ADMIN_DOOR_H_
