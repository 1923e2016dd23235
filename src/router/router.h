// The router: the data plane of an edge machine, on one thread. It accepts client requests, chooses servers
// and forwards their responses. Routes and servers come from the agent on the same machine.
//
// It reports ready once it has a configuration, a server list and the set of evacuated zones, from an agent
// that is connected to the control machines. If that connection is lost, it keeps serving with the state that
// it has.
#ifndef BITTERNMUX_SRC_ROUTER_ROUTER_H_
#define BITTERNMUX_SRC_ROUTER_ROUTER_H_

#include <boost/asio.hpp>
#include <memory>
#include <optional>
#include <string>

#include "events/event.h"
#include "fleet/feed/feed.h"
#include "fleet/settings/node_settings.h"
#include "fleet/transport/link.h"
#include "router/evacuated_zones.h"
#include "router/front.h"
#include "router/request_flow.h"

namespace bitternmux::router {

// Connects the client front end, the request flows and the feed from the agent.
class Router {
 public:
  Router(boost::asio::io_context& io, fleet::NodeSettings settings, EventSink& events);

  // Throws if it cannot listen.
  void Start();
  // Starts the shutdown: reports not ready, closes idle client connections once the platform has had time to
  // notice, and ends with the last connection or shortly before the grace period ends.
  void Stop();

 private:
  using LinkPointer = std::shared_ptr<fleet::Link>;

  // Answers `GET /readyz` and `GET /metrics`.
  void AnswerProbe(std::string_view target, Responder& responder) const;
  void FromAgent(const LinkPointer& link, const fleet::Message& message);
  void Take(const LinkPointer& link, const fleet::FeedEntry& entry);
  void UseConfiguration();
  void ProtectCold(const fleet::Configuration& configuration);
  void UseServers();
  void UseRouters(std::size_t count);
  void CheckReady();
  void QuotaChanged();
  void ScheduleQuotaTick();
  void TellQuotaFigures(double now_ms);
  void TellLoads(bool whole);
  void LoadsChanged();
  void Tick();
  void End();

  boost::asio::io_context& io_;
  const fleet::NodeSettings settings_;
  EventSink& events_;
  RouterState state_;
  Front front_;
  Front readiness_;
  fleet::FeedFollower follower_;
  EvacuatedZones evacuated_;
  std::shared_ptr<fleet::Dialer> agent_;
  boost::asio::steady_timer tick_;
  boost::asio::steady_timer quota_tick_;
  boost::asio::steady_timer loads_tick_;
  bool loads_ticking_ = false;
  double loads_refreshed_ms_ = 0;
  std::optional<double> quota_tick_due_ms_;
  double quota_told_ms_ = 0;
  bool ready_ = false, was_fresh_ = false;
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_ROUTER_H_
