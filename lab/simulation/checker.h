// Checks a run against the invariants of docs/design/control-review.md, by the same numbers: some while it
// runs, from what each process says of itself, the rest from its history when it is over.
#ifndef BITTERNMUX_LAB_SIMULATION_CHECKER_H_
#define BITTERNMUX_LAB_SIMULATION_CHECKER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fleet/control/control_core.h"
#include "lab/simulation/clock.h"
#include "lab/simulation/history.h"

namespace bitternmux::lab::simulation {

class Checker {
 public:
  // What may be granted in a window beyond rate and burst.
  struct QuotaBounds {
    double rate_per_s = 0, burst = 0, slack = 0, overage = 0.1, window_ms = 8000;
  };

  Checker(const Clock& clock, History& history) : clock_(clock), history_(history) {}

  // ---- While it runs ----
  void ControlSeen(const std::string& machine, std::uint64_t life, const fleet::ControlCore& core);
  void EdgeSeen(const std::string& process, std::uint64_t life, const fleet::FeedState& state);
  void Granted(double tokens);
  void Admitted(double tokens);
  void UseQuota(const QuotaBounds& bounds) { quota_ = bounds; }

  // ---- At the end ----
  // All that was acknowledged, refused and read, against the order in which values were committed.
  void CheckCalls();
  void CheckQuota();
  void CheckEvacuations();
  void Fault(int invariant, std::string what);

 private:
  struct Seen {
    std::uint64_t life = 0;
    fleet::Position committed;
    std::uint64_t version = 0;
    fleet::ListPosition list;
    int revision = 0;
    fleet::Position evacuations = {};
  };
  void CheckCommitted(const std::string& machine, const fleet::AcceptedValue& committed);
  void CheckTold(const std::string& process, const fleet::Evacuations& evacuations);
  void CheckGroups(std::uint64_t sequence, const fleet::ShardValue& value);
  using Tokens = std::deque<std::pair<double, double>>;  // when, and how many
  void CheckWindows(const Tokens& tokens, const std::string& name);
  void CheckContent(const fleet::ListPosition& position, const fleet::ServerMap& servers);

  const Clock& clock_;
  History& history_;
  std::map<std::string, Seen> seen_;
  std::map<fleet::Epoch, std::pair<std::string, std::uint64_t>> owners_;
  std::map<fleet::ListPosition, int> contents_;
  Tokens grants_, admitted_;
  QuotaBounds quota_;
};

}  // namespace bitternmux::lab::simulation

#endif  // BITTERNMUX_LAB_SIMULATION_CHECKER_H_
