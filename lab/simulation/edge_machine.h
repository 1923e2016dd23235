// An edge machine in simulated time: the agent's deciders (which control machine feeds it, what it holds,
// what it publishes), and beside it the router's end of the feed, its ledger of quotas and its choice of
// servers.
#ifndef BITTERNMUX_LAB_SIMULATION_EDGE_MACHINE_H_
#define BITTERNMUX_LAB_SIMULATION_EDGE_MACHINE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet/feed/feed.h"
#include "fleet/feed/source_choice.h"
#include "fleet/messages/messages.h"
#include "fleet/quota/quota_ledger.h"
#include "lab/simulation/clock.h"
#include "router/evacuated_zones.h"
#include "router/server_choice.h"

namespace bitternmux::lab::simulation {

class EdgeSurroundings {
 public:
  virtual ~EdgeSurroundings() = default;
  // Dials a control machine. The link has that number from then on, on both ends.
  virtual void Dial(const std::string& edge, std::uint64_t link, const std::string& control) = 0;
  virtual void CloseLink(const std::string& edge, std::uint64_t link) = 0;
  virtual void ToSource(const std::string& edge, std::uint64_t link, const fleet::Message& message) = 0;
  virtual void ObserveEdge(const std::string& edge) = 0;
  virtual void Granted(const std::string& edge, const fleet::QuotaGrant& grant) = 0;
  // The router has let a request of so many tokens through.
  virtual void Admitted(const std::string& edge, double tokens) = 0;
  // The router sends a request to that server.
  virtual void Chosen(const std::string& edge, const std::string& server) = 0;
};

class EdgeMachine {
 public:
  EdgeMachine(Clock& clock, EdgeSurroundings& surroundings, std::string name,
              const fleet::QuotaBounds& bounds);

  const std::string& name() const { return name_; }
  bool up() const { return agent_ != nullptr; }
  bool router_up() const { return router_ != nullptr; }
  bool frozen() const { return clock_.now_ms() < frozen_until_ms_; }
  std::uint64_t life() const { return life_; }
  std::uint64_t router_life() const { return router_life_; }
  const fleet::FeedState& agent_state() const { return agent_->follower.state(); }
  const fleet::FeedState& router_state() const { return router_->follower.state(); }
  const std::string& source() const { return source_; }

  void Boot(std::vector<std::string> seeds);
  void BootRouter();
  void KillAgent();
  void KillRouter();
  // Both processes: killed, or without power.
  void KillBoth() {
    KillAgent();
    KillRouter();
  }
  void Freeze(double for_ms);
  void Unfreeze();
  // A client's request at the router.
  void Request(const fleet::Tenant& tenant, double tokens);
  // Two more requests, which never end, and none after them.
  void HoldRequests();
  // What the router has in work, and what it was told that all routers have.
  fleet::ServerLoads OwnLoads();
  const std::map<std::uint32_t, fleet::ServerLoad>& fleet_loads() const { return router_->fleet_loads; }

  void Connected(std::uint64_t life, std::uint64_t link);
  void DialFailed(std::uint64_t life, std::uint64_t link);
  void Lost(std::uint64_t life, std::uint64_t link);
  void FromSource(std::uint64_t life, std::uint64_t link, const fleet::Message& message);

 private:
  struct Agent {
    explicit Agent(std::uint64_t number) : publisher(number), choice(number) {}
    fleet::FeedFollower follower;
    fleet::FeedPublisher publisher;
    fleet::SourceChoice choice;
  };
  struct Router {
    Router(const fleet::QuotaLedger::Options& options, std::uint64_t seed)
        : ledger(options), choice({}, "z", seed) {}
    fleet::FeedFollower follower;
    fleet::QuotaLedger ledger;
    std::map<std::uint64_t, double> waiting;  // tokens of requests that wait for a grant
    bool ticking = false;
    router::ServerChoice choice;
    router::EvacuatedZones evacuated;
    bool servers_known = false;
    std::map<std::uint32_t, fleet::ServerLoad> fleet_loads;
    double loads_refreshed_ms = 0;
  };
  static constexpr double kTickMs = 100;
  static constexpr double kQuotaTickMs = 50;
  static constexpr double kLoadsTickMs = 40, kLoadsRefreshMs = 1000;

  void Input(std::uint64_t life, std::function<void()> input);
  void Tick(std::uint64_t life);
  void Choose();
  void Take(const fleet::FeedEntry& entry);
  void ToRouter(bool news);
  void FeedRouter();
  void Apply(const fleet::FeedEntry& entry);
  void UseServers();
  void QuotaChanged();
  void TickQuota(std::uint64_t router_life);
  void Serve();
  void TickLoads(std::uint64_t router_life);
  void TellLoads(const fleet::ServerLoads& loads);
  void TakeFleetLoads(const fleet::ServerLoads& loads);

  Clock& clock_;
  EdgeSurroundings& surroundings_;
  const std::string name_;
  const fleet::QuotaBounds bounds_;
  std::vector<std::string> seeds_;
  std::unique_ptr<Agent> agent_;
  std::unique_ptr<Router> router_;
  std::uint64_t life_ = 0, router_life_ = 0, link_ = 0, last_link_ = 0, last_request_ = 0;
  bool connected_ = false;
  bool holding_ = false;
  std::string source_;
  double frozen_until_ms_ = 0;
  std::deque<std::function<void()>> buffered_;
};

}  // namespace bitternmux::lab::simulation

#endif  // BITTERNMUX_LAB_SIMULATION_EDGE_MACHINE_H_
