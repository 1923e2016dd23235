// The network of the simulation: connections between processes as TCP gives them. What is sent on one arrives
// in order; a cut holds it up, and ends the connection with all that it holds when it lasts; each machine's
// link has a bandwidth. A run may also lose and reorder messages, which real links do where a connection
// breaks and comes back.
#ifndef BITTERNMUX_LAB_SIMULATION_NETWORK_H_
#define BITTERNMUX_LAB_SIMULATION_NETWORK_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "lab/simulation/clock.h"

namespace bitternmux::lab::simulation {

constexpr double kFastLink = 125'000;  // bytes a ms: 1,000 Mbit/s
constexpr double kSlowLink = 1'250;    // 10 Mbit/s

struct NetworkOptions {
  double latency_ms = 1;
  double loss = 0;  // share of the messages
  bool reorder = false;
};

class Network {
 public:
  Network(Clock& clock, NetworkOptions options) : clock_(clock), options_(options) {}

  // `from`, `to`: machines. `deliver` is called when the message arrives.
  void Send(const std::string& from, const std::string& to, std::size_t bytes, std::function<void()> deliver);
  // What the machine has sent and nobody received is gone.
  void Forget(const std::string& machine);
  // What is on its way between the two is gone.
  void ForgetBetween(const std::string& one, const std::string& other);
  // One way; counted, so that cuts may overlap.
  void Cut(const std::string& from, const std::string& to) { ++cuts_[{from, to}]; }
  void Heal(const std::string& from, const std::string& to);
  void HealAll() { cuts_.clear(); }
  bool IsCut(const std::string& from, const std::string& to) const {
    return cuts_.contains({from, to}) || cuts_.contains({ZoneOf(from), ZoneOf(to)});
  }
  // A cut between two zones holds for all machines that stand there, now or later.
  void Place(const std::string& machine, const std::string& zone) { zones_[machine] = zone; }
  void SetRate(const std::string& machine, double bytes_per_ms) { rates_[machine] = bytes_per_ms; }
  bool IsSlow(const std::string& machine) const { return Rate(machine) < kFastLink; }
  // Bytes that wait to leave a machine's link.
  double QueuedBytes(const std::string& machine) const;
  std::uint64_t bytes() const { return bytes_; }
  double Latency() { return options_.latency_ms * clock_.Between(0.8, 1.6); }

 private:
  static constexpr double kUserTimeoutMs = 1500;
  static constexpr double kLookAgainMs = 20;

  using Pair = std::pair<std::string, std::string>;
  struct Item {
    double due_ms;
    std::function<void()> deliver;
  };
  void Pump(const Pair& pair);
  double Rate(const std::string& machine) const;
  std::string ZoneOf(const std::string& machine) const;

  Clock& clock_;
  const NetworkOptions options_;
  std::map<Pair, std::deque<Item>> connections_;
  std::set<Pair> pumping_;
  std::map<Pair, int> cuts_;  // of machines or zones
  std::map<std::string, std::string> zones_;
  std::map<std::string, double> rates_;
  std::map<std::string, double> link_free_ms_;
  std::uint64_t bytes_ = 0;
};

}  // namespace bitternmux::lab::simulation

#endif  // BITTERNMUX_LAB_SIMULATION_NETWORK_H_
