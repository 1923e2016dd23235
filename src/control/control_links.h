// The links of a control machine: those that it dials to other control machines, and those that it accepts
// from them and from agents.
#ifndef BITTERNMUX_SRC_CONTROL_CONTROL_LINKS_H_
#define BITTERNMUX_SRC_CONTROL_CONTROL_LINKS_H_

#include <boost/asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/control/control_core.h"
#include "fleet/transport/link.h"

namespace bitternmux::control {

class ControlLinks {
 public:
  struct Handlers {
    std::function<void(const std::string& address)> control_connected;
    std::function<void(const std::string& address, const fleet::Message&)> from_control;
    std::function<void(fleet::SubscriberId, const fleet::Subscribe&)> subscribed;
    std::function<void(fleet::SubscriberId, fleet::QuotaRequest)> from_subscriber;
    std::function<void(fleet::SubscriberId, const fleet::ServerLoads&)> loads_told;
    std::function<void(fleet::SubscriberId)> lost;
  };

  // `hello`: what it says first on a link that it dials. `budget`: of the process. Throws
  // boost::system::system_error if it cannot listen at `address`.
  ControlLinks(boost::asio::io_context& io, const std::string& address, fleet::Hello hello,
               std::shared_ptr<budget::ClientBudget> budget, Handlers handlers);
  ~ControlLinks();

  // Dials those that are new and leaves those that are not named any more.
  void UsePeers(const std::vector<fleet::Member>& peers);
  // To a control machine, to one subscriber, or to all of them.
  void Send(const fleet::ControlSend& send);

 private:
  using LinkPointer = std::shared_ptr<fleet::Link>;
  struct Accepted {
    LinkPointer link;
    fleet::SubscriberId id = 0;
    bool subscribed = false;
    std::string control;  // internal address of the control machine that dialed; empty: none did
  };

  void Dial(const std::string& address);
  void Accept(fleet::tcp::socket socket);
  void Received(const LinkPointer& link, fleet::Message message);
  void Lost(const LinkPointer& link);
  void SendToControl(const std::string& address, const fleet::Message& message);

  boost::asio::io_context& io_;
  const fleet::Hello hello_;
  const std::shared_ptr<budget::ClientBudget> budget_;
  const Handlers handlers_;
  std::map<std::string, std::shared_ptr<fleet::Dialer>> peers_;  // by internal address
  std::unordered_map<fleet::Link*, Accepted> accepted_;
  std::map<fleet::SubscriberId, LinkPointer> subscribers_;
  fleet::SubscriberId last_id_ = 0;
  fleet::LinkListener listener_;
};

}  // namespace bitternmux::control

#endif  // BITTERNMUX_SRC_CONTROL_CONTROL_LINKS_H_
