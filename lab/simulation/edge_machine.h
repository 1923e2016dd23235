// An edge machine in simulated time: the agent's deciders (which control machine feeds it, what it holds,
// what it publishes) and the router's end of the feed beside it.
#ifndef BITTERNMUX_LAB_SIMULATION_EDGE_MACHINE_H_
#define BITTERNMUX_LAB_SIMULATION_EDGE_MACHINE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fleet/feed/feed.h"
#include "fleet/feed/source_choice.h"
#include "lab/simulation/clock.h"

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
};

class EdgeMachine {
 public:
  EdgeMachine(Clock& clock, EdgeSurroundings& surroundings, std::string name);

  const std::string& name() const { return name_; }
  bool up() const { return agent_ != nullptr; }
  bool router_up() const { return router_ != nullptr; }
  std::uint64_t life() const { return life_; }
  std::uint64_t router_life() const { return router_life_; }
  const fleet::FeedState& agent_state() const { return agent_->follower.state(); }
  const fleet::FeedState& router_state() const { return router_->state(); }
  const std::string& source() const { return source_; }

  void Boot(std::vector<std::string> seeds);
  void BootRouter();
  void Kill();
  void KillRouter() { router_.reset(); }
  void Freeze(double for_ms);
  void Unfreeze();
  void AskQuota(const std::string& tenant, double need, double reserve);

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
  static constexpr double kTickMs = 100;

  void Input(std::uint64_t life, std::function<void()> input);
  void Tick(std::uint64_t life);
  void Choose();
  void Take(const fleet::FeedEntry& entry);
  void ToRouter(bool news);
  void FeedRouter();

  Clock& clock_;
  EdgeSurroundings& surroundings_;
  const std::string name_;
  std::vector<std::string> seeds_;
  std::unique_ptr<Agent> agent_;
  std::unique_ptr<fleet::FeedFollower> router_;
  std::uint64_t life_ = 0, router_life_ = 0, link_ = 0, last_link_ = 0, last_request_ = 0;
  bool connected_ = false;
  std::string source_;
  double frozen_until_ms_ = 0;
  std::deque<std::function<void()>> buffered_;
};

}  // namespace bitternmux::lab::simulation

#endif  // BITTERNMUX_LAB_SIMULATION_EDGE_MACHINE_H_
