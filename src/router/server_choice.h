// Selects the server of a service for each request; pure decision logic without I/O. Implements the design
// used on the router's ordinary path.
//
// This is Stochastic Skip (Klein et al.): ready servers are ranked by their last reported load, with ties
// in random order. The walk over the ranking passes over each server with probability cN, capped at 1,
// where N is the estimate of its present queue; a request that is passed over moves on at once. If all
// servers are passed over, the walk restarts, for at most `rounds` rounds, and then takes the first server.
//
// A server's load figure is the number of running and waiting requests that it reported with its last
// answer, less this router's own requests there at that time, plus this router's requests there now. If the
// load published by the other routers (fleet/load/load_board.h) is fresher than the server's report, it
// replaces the report. Either source is weighted by how long loads persist (load_persistence.h), and the
// mean of the service makes up the rest; if no published load is available, the report decays to the mean
// of what servers report. A failure leaves the figure unchanged.
//
// For ranking, the figure is converted into an expected time to the first event, as learned from answers
// (first_event_model.h): it depends on the tokens to be prefilled before that event, which are those of
// this prompt and of requests that have not begun, and on the number of requests in work. Two costs are
// added: tokens that have to be prefilled again although another server has them cached (prefix_index.h), and
// the longer way to a server in another zone (zone_latency.h).
//
// A cold server gets no requests if its service limits the load of cold servers (ProtectCold). Routers
// count independently of one another, so no share above 0 would keep their sum below the limit.
//
// A server that fails is set aside for a time that doubles with each failure; the next answer ends it. A
// server is also set aside while several other routers have set it aside, or while its zone is cut off
// (zone_reach.h). If all servers are set aside, this is ignored. A draining server gets no new requests.
//
// Bounds: one row for each listed server. Not thread-safe. Times are in milliseconds on one clock.
#ifndef BITTERNMUX_SRC_ROUTER_SERVER_CHOICE_H_
#define BITTERNMUX_SRC_ROUTER_SERVER_CHOICE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/feed/feed.h"
#include "fleet/messages/messages.h"
#include "router/first_event_model.h"
#include "router/load_persistence.h"
#include "router/prefix_index.h"
#include "router/prompt.h"
#include "router/zone_latency.h"
#include "router/zone_reach.h"

namespace bitternmux::router {

// Parameters that the design leaves open, with this project's defaults.
struct ChoiceOptions {
  double skip_per_request = 0.0015;  // c
  int rounds = 4;                    // walks before the first server is taken without skipping
};

// Load that a server reports with an answer.
struct LoadReport {
  double running = 0, waiting = 0, slots = 0;
};

// Describes a request for which a server is to be chosen.
struct ServerQuery {
  std::string service;
  const Prompt* prompt = nullptr;     // null: not a request to a model
  std::vector<std::string> excluded;  // servers that this request was sent to already
  bool repeatable = false;
};

// How an attempt at a server ended. kRejected: the server did not run the request; kMisdirected: another
// server has that address; kAbandoned: the router or the client gave the attempt up.
enum class ServerOutcome { kAnswered, kRejected, kFailed, kMisdirected, kUnreachable, kAbandoned };

class ServerChoice {
 public:
  ServerChoice(ChoiceOptions options, std::string own_zone, std::uint64_t seed);

  // Applies a changed server list.
  void Update(double now_ms, const fleet::ServerMap& servers);
  // Services whose cold servers get no requests, with the time that a server stays cold after its start.
  using ColdTimes = std::unordered_map<std::string, double>;
  void ProtectCold(ColdTimes cold_ms_by_service) { cold_ms_by_service_ = std::move(cold_ms_by_service); }

  struct Chosen {
    std::string id, address;
    double uncached_tokens = 0;  // estimated tokens to be prefilled
    double expected_ms = 0;      // expected time to the first event
    WorkAhead work;              // on which the expected time is based
    int ranked_servers = 0;      // number of servers that were ranked
    // The zone was found to be unreachable and this attempt tests whether it still is; connections opened
    // before the outage do not show that it is reachable again.
    bool zone_cut_off = false;
  };
  enum class NoChoiceReason { kNone, kNoServer, kAllBusy, kAllCold };
  struct Answer {
    std::optional<Chosen> chosen;
    NoChoiceReason no_choice_reason = NoChoiceReason::kNone;
    // If none was chosen: time until a server may be chosen. kAllBusy: until the least loaded has begun what
    // it has; kAllCold: until one may be warm; kNoServer: until one that failed is tried again, or until the
    // list is read again.
    double retry_ms = 0;
  };
  Answer Choose(double now_ms, const ServerQuery& query);
  // Time until a server of the service that is set aside may be tried again; until the list is read again if
  // there is none.
  double NextTrialMs(double now_ms, const std::string& service) const;
  // The time to the first event on a server that has nothing else to do and nothing of the prompt cached.
  double LeastFirstEventMs(const std::string& service, const Prompt* prompt) const;

  // The following report the progress of a request for which a server was chosen. Servers that are no
  // longer listed are ignored.
  void OnSent(double now_ms, const std::string& id, const Chosen& chosen, const Prompt* prompt);
  // Its first event has arrived, `observed_ms` after the request was sent.
  void OnFirstEvent(double now_ms, const std::string& id, const Chosen& chosen, double observed_ms);
  void OnEnded(double now_ms, const std::string& id, bool begun, double uncached_tokens,
               ServerOutcome outcome);
  void OnLoadReport(double now_ms, const std::string& id, const LoadReport& report);
  // A connection to it was established in that time.
  void OnConnected(const std::string& id, double dial_ms);
  // Its machine did not respond during an attempt that began at `since_ms`. The end of the attempt is
  // reported separately.
  void OnNoResponse(double now_ms, const std::string& id, double since_ms);

  // This router's load that has not been published yet; all of it if `whole`.
  fleet::ServerLoads TakeLoadUpdate(double now_ms, bool whole);
  bool loads_changed() const { return loads_changed_; }
  // Receives the load of the whole fleet.
  void OnFleetLoads(double now_ms, const fleet::ServerLoads& loads);

  // Whether the server is listed with that address and is not draining.
  bool Serves(const std::string& id, const std::string& address) const;
  std::size_t server_count() const { return servers_.size(); }

 private:
  struct Server {
    fleet::ServerEntry entry;
    double others_requests = -1;  // load of other routers in the last report; below 0: never reported
    double reported_ms = 0;
    double slots = 0;
    int own_requests = 0;              // requests of this router there now
    double prefill_tokens = 0;         // of those own requests that have not begun
    fleet::ServerLoad last_published;  // own load as this router last published it
    fleet::ServerLoad fleet_total;     // sums over all routers
    PaceFactor pace;
    int failures = 0;            // since its last answer
    double answered_ms = -1e18;  // time of its last answer
    // Until then the server is set aside for a failure of its own, and this is published.
    double failure_published_until_ms = 0;
    double set_aside_until_ms = 0;
    double cold_since_ms = 0;  // when it was first listed as cold; valid while it is cold
  };
  struct RankedServer {
    const Server* server;
    double cost, tie_breaker, queue, uncached_tokens, expected_ms;
    WorkAhead work;
  };

  // Mean load that other routers have on the servers of one service, and how long such loads persist.
  struct ServiceLoad {
    LoadPersistence requests, prefill_tokens;
    double mean_requests = 0, mean_prefill_tokens = 0;
  };
  // The fleet load available at one moment.
  struct LoadView {
    const ServiceLoad* load = nullptr;  // null: no recent load is available
    double age_ms = 0;
    double requests_remaining = 0, prefill_remaining = 0;  // shares of the received loads that still hold
  };

  static double OthersRequests(const Server& server) {
    return std::max(0, server.fleet_total.requests - server.last_published.requests);
  }
  static double OthersPrefill(const Server& server) {
    return std::max(0, server.fleet_total.prefill_tokens - server.last_published.prefill_tokens);
  }
  bool HasFleetLoads(double now_ms) const;
  LoadView ViewLoads(const std::string& service, double now_ms) const;
  static double Queue(const Server& server, const LoadView& view, double unreported_load, double now_ms);
  static double PendingPrefillTokens(const Server& server, const LoadView& view);
  void LearnLoadPersistence(double interval_ms,
                            const std::unordered_map<const Server*, fleet::ServerLoad>& earlier);
  bool IsSetAside(const Server& server, double now_ms) const;
  bool IsProtected(const Server& server) const;
  double WarmInMs(const Server& server, double now_ms) const;
  Answer ExplainNoChoice(double now_ms, const std::string& service,
                         const std::optional<double>& busy_ms) const;
  double CachedTokens(const Server& server, const std::string& home, const Prompt& prompt,
                      double now_ms) const;
  std::string HomeOf(const std::vector<Server*>& service_servers, const Prompt& prompt, double now_ms) const;
  double UniformRandom() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  const ChoiceOptions options_;
  std::mt19937 random_;
  std::map<std::string, Server> servers_;  // by id
  std::unordered_map<std::string, std::vector<Server*>> services_;
  std::unordered_map<std::uint32_t, std::vector<Server*>> by_load_key_;
  std::unordered_map<std::string, FirstEventModel> models_;  // by service
  PrefixIndex prefix_index_;
  std::unordered_map<std::string, ServiceLoad> service_loads_;
  ColdTimes cold_ms_by_service_;
  ZoneReach zone_reach_;
  ZoneLatency zone_latency_;
  double loads_received_ms_ = -1e18;
  double loads_age_ms_ = 0;  // age of the received loads at their arrival
  bool loads_changed_ = false;
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_SERVER_CHOICE_H_
