// The module's face towards the sidecar, in blocking style: pick, report, tick. The module's events and
// actions stay behind it. It decides nothing itself.
#ifndef BITTERNMUX_SRC_CORE_FACADE_H_
#define BITTERNMUX_SRC_CORE_FACADE_H_

#include <cstdint>
#include <functional>
#include <limits>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "cartspring/balancer.h"

namespace bitternmux {

using JobId = cartspring::RequestId;

// What is to be done with a job now.
struct Verdict {
  enum class Kind { kHold, kSend, kRefuse, kFail };
  Kind kind = Kind::kHold;
  std::string node;           // kSend: the execute node's id
  double until_ms = 0;        // kSend: when the claim is given up
  double retry_after_ms = 0;  // kRefuse: 0 for no advice
  double out_by_ms = 0;       // kSend: when its last byte has to be out, or it must not be sent
};

// What the module wants beyond the job that it was asked about.
struct Errands {
  std::vector<std::pair<JobId, int>> cancels;  // claims to give up
  std::vector<std::pair<JobId, Verdict>> verdicts;
  std::vector<std::string> probes;  // nodes to ask for their load
  std::vector<std::string> log;
  bool watch = false;  // discovery is to be watched, anew if it is already
};

struct ClaimReport {
  int claim = 0;  // the how-manieth of its job, from 0
  cartspring::Outcome outcome = cartspring::Outcome::kTimeout;
  double took_ms = 0;
  const cartspring::LoadReport* load = nullptr;
};

class Facade : private cartspring::ActionSink {
 public:
  Facade(const cartspring::Settings& settings, std::uint64_t seed) : balancer_(settings, seed, *this) {}

  Verdict Pick(double now_ms, const cartspring::Request& job);
  Verdict Report(double now_ms, JobId job, const ClaimReport& report);
  // Lets the module's timers ring that are due, and hands over all that it has asked for since the last call.
  // Due after every other call, in the same turn: an order to another job must not wait for the wheel.
  Errands Tick(double now_ms);
  // `set`: told of each timer that the module sets, and when Tick is due for it.
  void WhenTimerSet(std::function<void(double at_ms)> set) { timer_set_ = std::move(set); }
  // When Tick is due for the module's timers; infinity where none is set.
  double NextTimerMs() const {
    return timers_.empty() ? std::numeric_limits<double>::infinity() : timers_.top().first;
  }

  void SubmitterLeft(double now_ms, JobId job) { balancer_.OnClientGone(now_ms, job); }
  void NodeProbed(double now_ms, const std::string& node, bool answered, double took_ms,
                  const cartspring::LoadReport* load) {
    balancer_.OnProbeResult(now_ms, node, answered, took_ms, load);
  }
  void MachinesRemembered(double now_ms, const std::vector<cartspring::HostEntry>& all) {
    balancer_.OnHostList(now_ms, all, /*remembered=*/true);
  }
  void MachinesListed(double now_ms, const std::vector<cartspring::HostEntry>& all) {
    balancer_.OnHostList(now_ms, all, /*remembered=*/false);
  }
  void MachinesChanged(double now_ms, const std::vector<cartspring::HostEntry>& changed) {
    balancer_.OnHostChanges(now_ms, changed);
  }
  // As Balancer::Retune.
  void Retune(const cartspring::Settings& settings, const std::vector<int>& like) {
    balancer_.Retune(settings, like);
  }
  // The nodes in service that the module leaves out now for what it holds against them.
  std::vector<std::string> Avoided(double now_ms) { return balancer_.Avoided(now_ms); }
  // As Balancer::StateChanges.
  std::vector<cartspring::StateChange> StateChanges(double now_ms, std::uint64_t after) {
    return balancer_.StateChanges(now_ms, after);
  }
  void WatchBroken(double now_ms) { balancer_.OnDiscoveryRefused(now_ms); }

 private:
  void Send(JobId id, const std::string& host, double give_up_ms, double out_by_ms) override;
  void Cancel(JobId id, int attempt) override { errands_.cancels.emplace_back(id, attempt); }
  void Refuse(JobId id, double retry_after_ms) override;
  void Fail(JobId id) override;
  void Probe(const std::string& host) override { errands_.probes.push_back(host); }
  void Subscribe() override { errands_.watch = true; }
  void SetTimer(double at_ms, std::uint64_t token) override;
  void Log(const std::string& line) override { errands_.log.push_back(line); }

  void Decide(JobId id, Verdict verdict);

  using Timer = std::pair<double, std::uint64_t>;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::function<void(double at_ms)> timer_set_;
  Errands errands_;
  JobId asked_ = 0;  // the job whose verdict the caller waits for; 0: none
  Verdict verdict_;
  cartspring::Balancer balancer_;
};

}  // namespace bitternmux

#endif  // BITTERNMUX_SRC_CORE_FACADE_H_
