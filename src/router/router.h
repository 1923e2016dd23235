// The router: the data plane of an edge machine, wired together on one thread. It takes clients' requests,
// chooses servers, and carries answers back; what it knows of routes and servers comes from the agent beside
// it.
//
// It calls itself ready once it holds a configuration, a list of servers and the word of which zones are
// evacuated, from an agent that is in contact with the control machines. What it holds it goes on serving by
// when that contact is lost.
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

class Router {
 public:
  Router(boost::asio::io_context& io, fleet::NodeSettings settings, EventSink& events);

  // Throws if it cannot listen.
  void Start();
  // Takes no new connections once the platform has had the time to notice, and ends with the last request.
  void Stop();

 private:
  using LinkPointer = std::shared_ptr<fleet::Link>;

  // `GET /readyz` and `GET /metrics`.
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
