// Which server of a service gets a request: a decider, the project's design on the router's ordinary path.
//
// After Klein et al., as the system's page gives it: ready servers are ranked by their last reported load,
// ties in random order; the walk passes over each with probability cN, capped at 1, where N is the estimate
// of its present queue; a request that is passed over moves on at once; if all are passed over the walk
// restarts, kRounds times at the most, and then takes the first.
//
// The figure is what the server reports to be in work and waiting, at the time of its last answer, less what
// of it was this router's own then, plus what this router has there now. Where what the other routers have
// told to have there (fleet/load/load_board.h) is fresher than the report, it takes the report's place.
// Either counts as far as loads last so long (load_persistence.h), and the service's mean for the rest; where
// nothing was told, the report fades to the mean of what servers report. A failure leaves the figure
// unchanged.
//
// For ranking the figure is turned into the time to the first event that answers have shown
// (first_event_model.h): by the tokens that are to be read before it, this prompt's and those of requests
// that have not begun, and by the requests in work. Time well within the route's aim counts little. What
// would have to be read again though another server keeps it (prefix_index.h) counts beside, and so does
// another zone.
//
// A cold server whose service bounds what it may get (ProtectCold) gets nothing: routers count apart from one
// another, so that no share above 0 would keep their sum below the bound.
//
// A server that fails is set aside for a time that doubles with each failure and ends with an answer; it is
// so too while several other routers have set it aside, or while its zone is cut off (zone_reach.h). If all
// are set aside, none is. A draining one gets nothing new.
//
// Bounds: a row for each server of the list. Not thread-safe. Times are in milliseconds on one clock.
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
#include "router/zone_reach.h"

namespace bitternmux::router {

// What is free in the design, as the project's defaults.
struct ChoiceOptions {
  double skip_per_request = 0.0015;  // c
  int rounds = 4;                    // walks before the first is taken unskipped
};

// What a server tells of its load with an answer.
struct LoadReport {
  double running = 0, waiting = 0, slots = 0;
};

struct ServerAsk {
  std::string service;
  double aim_ms = 0;                  // of its first event
  const Prompt* prompt = nullptr;     // null: not for a model
  std::vector<std::string> excluded;  // servers that this request was sent to
  bool repeatable = false;
};

enum class ServerOutcome { kAnswered, kRejected, kFailed, kMisdirected, kUnreachable, kLeft };

class ServerChoice {
 public:
  ServerChoice(ChoiceOptions options, std::string own_zone, std::uint64_t seed);

  // The list has changed.
  void Update(double now_ms, const fleet::ServerMap& servers);
  // Services whose cold servers get nothing, with the time that one stays cold after its start.
  using ColdTimes = std::unordered_map<std::string, double>;
  void ProtectCold(ColdTimes cold_ms_by_service) { cold_ms_by_service_ = std::move(cold_ms_by_service); }

  struct Chosen {
    std::string id, address;
    double uncached_tokens = 0;  // to be prefilled, as far as is known
    double expected_ms = 0;      // until the first event
    WorkAhead work;              // that this rests on
    int weighed = 0;             // servers that were ranked
    bool zone_cut_off = false;   // a trial: connections of before the cut say nothing
  };
  enum class Nothing { kNone, kNoServer, kAllBusy, kAllCold };
  struct Answer {
    std::optional<Chosen> chosen;
    Nothing why = Nothing::kNone;
    double retry_ms = 0;  // of kAllCold: when one of them may be warm
  };
  Answer Choose(double now_ms, const ServerAsk& ask);

  // What becomes of a request that was chosen a server for. Servers that are gone are passed over.
  void Sent(double now_ms, const std::string& id, const Chosen& chosen, const Prompt* prompt);
  // Its first event has come, so long after it was sent.
  void Begun(double now_ms, const std::string& id, const Chosen& chosen, double came_ms);
  void Ended(double now_ms, const std::string& id, bool begun, double uncached_tokens, ServerOutcome outcome);
  void Reported(double now_ms, const std::string& id, const LoadReport& report);
  // Its machine has said nothing through an attempt that began at `since_ms`; the attempt has ended besides.
  void Silent(double now_ms, const std::string& id, double since_ms);

  // What this router has in work and has not told yet; all of it if `whole`.
  fleet::ServerLoads TakeLoads(double now_ms, bool whole);
  bool loads_changed() const { return loads_changed_; }
  // What the fleet has in work.
  void FleetLoads(double now_ms, const fleet::ServerLoads& loads);

  // Is it listed and not draining, at that address?
  bool Serves(const std::string& id, const std::string& address) const;
  std::size_t known() const { return servers_.size(); }

 private:
  struct Server {
    fleet::ServerEntry entry;
    double others = -1;  // of the last report, what was not this router's; below 0: never reported
    double reported_ms = 0;
    double slots = 0;
    int own = 0;                 // requests of this router there now
    double prefill_tokens = 0;   // of those of them that have not begun
    fleet::ServerLoad told;      // of these, as this router told it last
    fleet::ServerLoad in_fleet;  // sums over all routers
    PaceFactor pace;
    int failures = 0;            // since its last answer
    double answered_ms = -1e18;  // its last answer
    double failed_until_ms = 0;  // set aside until then for a failure of its own, and told so
    double aside_until_ms = 0;
    double cold_since_ms = 0;  // when it was first listed as cold, while it is
  };
  struct Ranked {
    const Server* server;
    double key, tie, queue, uncached_tokens, expected_ms;
    WorkAhead work;
  };

  // Of one service: what its servers have in work for other routers, on the mean, and how long it lasts.
  struct ServiceLoad {
    LoadPersistence requests, prefill_tokens;
    double mean_requests = 0, mean_prefill_tokens = 0;
  };
  // What is known of that at one moment.
  struct LoadSight {
    const ServiceLoad* load = nullptr;  // null: nothing that counts was told
    double age_ms = 0;
    double requests_kept = 0, prefill_kept = 0;  // shares that are left of what was told
  };

  static double OthersRequests(const Server& server) {
    return std::max(0, server.in_fleet.requests - server.told.requests);
  }
  static double OthersPrefill(const Server& server) {
    return std::max(0, server.in_fleet.prefill_tokens - server.told.prefill_tokens);
  }
  bool SeesFleet(double now_ms) const;
  LoadSight See(const std::string& service, double now_ms) const;
  static double Queue(const Server& server, const LoadSight& sight, double unreported, double now_ms);
  static double PrefillAhead(const Server& server, const LoadSight& sight);
  void LearnLoads(double interval_ms, const std::unordered_map<const Server*, fleet::ServerLoad>& earlier);
  bool IsAside(const Server& server, double now_ms) const;
  bool IsProtected(const Server& server) const;
  double WarmInMs(const Server& server, double now_ms) const;
  Answer NothingLeft(double now_ms, const std::vector<Server*>& of_service, bool busy) const;
  double SavedTokens(const Server& server, const std::string& home, const Prompt& prompt,
                     double now_ms) const;
  std::string HomeOf(const std::vector<Server*>& of_service, const Prompt& prompt, double now_ms) const;
  double Unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  const ChoiceOptions options_;
  const std::string own_zone_;
  std::mt19937 random_;
  std::map<std::string, Server> servers_;  // by id
  std::unordered_map<std::string, std::vector<Server*>> services_;
  std::unordered_map<std::uint32_t, std::vector<Server*>> by_load_key_;
  std::unordered_map<std::string, FirstEventModel> models_;  // by service
  PrefixIndex kept_;
  std::unordered_map<std::string, ServiceLoad> service_loads_;
  ColdTimes cold_ms_by_service_;
  ZoneReach reach_;
  double loads_heard_ms_ = -1e18;
  double loads_age_ms_ = 0;  // of what was told, when it was heard
  bool loads_changed_ = false;
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_SERVER_CHOICE_H_
