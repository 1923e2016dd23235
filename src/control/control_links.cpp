#include "control/control_links.h"

#include <algorithm>
#include <utility>

namespace bitternmux::control {

ControlLinks::ControlLinks(boost::asio::io_context& io, const std::string& address, fleet::Hello hello,
                           std::shared_ptr<budget::ClientBudget> budget, Handlers handlers)
    : io_(io),
      hello_(std::move(hello)),
      budget_(std::move(budget)),
      handlers_(std::move(handlers)),
      listener_(io, fleet::EndpointFromText(address), budget_,
                [this](fleet::tcp::socket socket) { Accept(std::move(socket)); }) {}

ControlLinks::~ControlLinks() {
  for (const auto& [address, dialer] : peers_) dialer->Stop();
}

void ControlLinks::UsePeers(const std::vector<fleet::Member>& peers) {
  std::erase_if(peers_, [&](const auto& entry) {
    const bool stays = std::ranges::find(peers, entry.first, &fleet::Member::internal) != peers.end();
    if (!stays) entry.second->Stop();
    return !stays;
  });
  for (const fleet::Member& peer : peers) {
    if (!peers_.contains(peer.internal)) Dial(peer.internal);
  }
}

void ControlLinks::Dial(const std::string& address) {
  fleet::Dialer::Handlers handlers;
  handlers.connected = [this, address](const LinkPointer& link) {
    link->Send(hello_);
    handlers_.control_connected(address);
  };
  // Answers of a machine that has no link of its own to this one yet come back on this link.
  handlers.received = [this, address](const LinkPointer&, const fleet::Message& message) {
    handlers_.from_control(address, message);
  };
  handlers.lost = [] {};
  const auto dialer = std::make_shared<fleet::Dialer>(io_, address, std::move(handlers));
  peers_[address] = dialer;
  dialer->Start();
}

void ControlLinks::Accept(fleet::tcp::socket socket) {
  const auto link = std::make_shared<fleet::Link>(
      std::move(socket),
      [this](const LinkPointer& from, fleet::Message message) { Received(from, std::move(message)); },
      [this](const LinkPointer& from) { Lost(from); });
  if (!link->FindsPlace(budget_)) return;
  accepted_[link.get()] = {link, ++last_id_, false, ""};
  link->Start();
}

void ControlLinks::Lost(const LinkPointer& link) {
  const auto found = accepted_.find(link.get());
  if (found == accepted_.end()) return;
  const Accepted accepted = found->second;
  accepted_.erase(found);
  if (!accepted.subscribed) return;
  subscribers_.erase(accepted.id);
  handlers_.lost(accepted.id);
}

void ControlLinks::Received(const LinkPointer& link, fleet::Message message) {
  const auto found = accepted_.find(link.get());
  if (found == accepted_.end()) return;
  Accepted& accepted = found->second;
  if (const auto* hello = std::get_if<fleet::Hello>(&message)) {
    if (hello->role == fleet::PeerRole::kControl) accepted.control = hello->member.internal;
    return;
  }
  if (const auto* subscribe = std::get_if<fleet::Subscribe>(&message)) {
    accepted.subscribed = true;
    subscribers_[accepted.id] = link;
    return handlers_.subscribed(accepted.id, *subscribe);
  }
  if (!accepted.control.empty()) {
    const std::string control = accepted.control;  // the link may be lost meanwhile
    return handlers_.from_control(control, message);
  }
  if (auto* request = std::get_if<fleet::QuotaRequest>(&message)) {
    return handlers_.from_subscriber(accepted.id, std::move(*request));
  }
  if (const auto* loads = std::get_if<fleet::ServerLoads>(&message))
    handlers_.loads_told(accepted.id, *loads);
}

void ControlLinks::Send(const fleet::ControlSend& send) {
  if (!send.control.empty()) return SendToControl(send.control, send.message);
  if (send.subscriber != 0) {
    const auto found = subscribers_.find(send.subscriber);
    if (found != subscribers_.end()) found->second->Send(send.message);
    return;
  }
  if (subscribers_.empty()) return;
  const auto frame = std::make_shared<const std::string>(fleet::EncodeFrame(send.message));
  for (const auto& [id, link] : subscribers_) link->SendFrame(frame, subscribers_.size());
}

void ControlLinks::SendToControl(const std::string& address, const fleet::Message& message) {
  const auto found = peers_.find(address);
  if (found != peers_.end() && found->second->link()) return found->second->link()->Send(message);
  // One that is not known yet, as it has just come: it is answered where it asked.
  for (const auto& [key, accepted] : accepted_) {
    if (accepted.control == address) return accepted.link->Send(message);
  }
}

}  // namespace bitternmux::control
