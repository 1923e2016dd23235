// The agent beside a router: keeps the link to a control machine and feeds the router over loopback.
//
// It bootstraps from a snapshot of the feed and tails it from an offset. When it leaves a control machine for
// another one, SourceChoice says. What the agent holds it
// publishes to the router, which may be restarted beside it and bootstraps from it in the same way.
#ifndef BITTERNMUX_SRC_AGENT_AGENT_H_
#define BITTERNMUX_SRC_AGENT_AGENT_H_

#include <boost/asio.hpp>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "budget/client_budget.h"
#include "budget/relief_log.h"
#include "events/event.h"
#include "fleet/feed/feed.h"
#include "fleet/feed/source_choice.h"
#include "fleet/settings/node_settings.h"
#include "fleet/transport/link.h"

namespace bitternmux::agent {

class Agent {
 public:
  Agent(boost::asio::io_context& io, const fleet::NodeSettings& settings, EventSink& events);

  // Throws if it cannot listen.
  void Start();
  void Stop();
  void Reseed(const fleet::NodeSettings& settings);

 private:
  using LinkPointer = std::shared_ptr<fleet::Link>;

  double NowMs() const;
  void Tick();
  // The control machines.
  void Choose();
  void FromControl(const LinkPointer& link, fleet::Message message);
  void Take(const fleet::FeedEntry& entry);
  std::vector<std::string> ControlAddresses() const;
  // The router.
  void Accepted(fleet::tcp::socket socket);
  void RouterLost(const LinkPointer& link);
  void FromRouter(const LinkPointer& link, fleet::Message message);
  void Publish(bool news);
  void Beat();
  fleet::FeedBeat CurrentBeat() const;

  boost::asio::io_context& io_;
  EventSink& events_;
  const std::string node_name_, listen_;
  const std::uint16_t internal_port_;
  std::vector<std::string> seeds_;  // internal addresses
  fleet::FeedFollower follower_;
  fleet::FeedPublisher publisher_;
  fleet::SourceChoice source_;
  std::shared_ptr<fleet::Dialer> control_;
  std::string control_address_;
  double beat_ms_ = 0;
  const std::shared_ptr<budget::ClientBudget> budget_;
  budget::ReliefLog relief_log_;
  std::unique_ptr<fleet::LinkListener> listener_;
  std::unordered_map<fleet::Link*, LinkPointer> routers_;
  boost::asio::steady_timer tick_;
};

}  // namespace bitternmux::agent

#endif  // BITTERNMUX_SRC_AGENT_AGENT_H_
