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

#include "budget/client_budget.h"
#include "budget/relief_log.h"
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

  // Whether the request with that head has a route and, where keys are needed, a known one.
  bool WantsBody(const http::Message& head) const;
  // Answers `GET /readyz` and `GET /metrics`.
  void AnswerProbe(std::string_view target, Responder& responder) const;
  void OnAgentMessage(const LinkPointer& link, const fleet::Message& message);
  void ApplyFeedEntry(const LinkPointer& link, const fleet::FeedEntry& entry);
  void ApplyConfiguration();
  void ProtectCold(const fleet::Configuration& configuration);
  void ApplyServers();
  void SetRouterCount(std::size_t count);
  void UpdateReadiness();
  // Sends the ledger's requests to the agent and hands its verdicts to the waiting requests.
  void ProcessQuota();
  void ScheduleQuotaTick();
  void LogQuotaFigures(double now_ms);
  // Sends the servers' loads to the agent: all of them, or only those that changed.
  void SendLoads(bool all);
  // Sends the changed loads after kLoadReportInterval, so that changes are batched.
  void ScheduleLoadReport();
  void Tick();
  void End();

  boost::asio::io_context& io_;
  const fleet::NodeSettings settings_;
  EventSink& events_;
  const std::shared_ptr<budget::ClientBudget> budget_;
  budget::ReliefLog relief_log_;
  RouterState state_;
  Front front_;      // for clients
  Front readiness_;  // for /readyz and /metrics
  fleet::FeedFollower follower_;
  EvacuatedZones evacuated_;
  std::shared_ptr<fleet::Dialer> agent_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer quota_timer_;
  boost::asio::steady_timer load_report_timer_;
  bool load_report_scheduled_ = false;
  double all_loads_sent_ms_ = 0;
  std::optional<double> quota_tick_due_ms_;
  double quota_logged_ms_ = 0;
  // had_fresh_feed_: the agent has been in contact with the control machines at least once.
  bool ready_ = false, had_fresh_feed_ = false;
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_ROUTER_H_
