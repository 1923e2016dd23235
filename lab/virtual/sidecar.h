// One process of a sidecar in a virtual run: the program's own job table, facade, decision module, machine
// list and wheel, wired as the program wires them, with the pool and the watch in place of those on sockets.
//
// The wheel turns on the program's grid of ticks, but only where something is due: a turn at which nothing is
// due changes nothing, so that idle processes cost nothing. Inside the package only.
#ifndef BITTERNMUX_LAB_VIRTUAL_SIDECAR_H_
#define BITTERNMUX_LAB_VIRTUAL_SIDECAR_H_

#include <functional>
#include <queue>
#include <unordered_map>
#include <vector>

#include "core/facade.h"
#include "core/job_table.h"
#include "core/machine_list.h"
#include "core/timer_wheel.h"
#include "lab/model/clients.h"
#include "lab/virtual/outside.h"
#include "lab/virtual/pool.h"
#include "lab/virtual/watch.h"
#include "stall/stall_detector.h"

namespace bitternmux::lab {

class SidecarProcess {
 public:
  // `heard_list` is told of each list that reaches it. The time must be whole milliseconds.
  SidecarProcess(Outside& outside, int number, const cartspring::Settings& settings, std::uint64_t seed,
                 std::function<void(const model::Listing&)> heard_list);
  SidecarProcess(const SidecarProcess&) = delete;
  SidecarProcess& operator=(const SidecarProcess&) = delete;

  // With the list that it remembers.
  void Start(const model::Listing& known);
  // `lay_ms`: for how long it has lain unread.
  void Take(const model::Try& attempt, double lay_ms);
  void ClientLeft(model::TryId id);
  void Turn();
  void Deferred();
  void Reload();
  // It stands still from now on, and until LetGo nothing else is called. That gives true if the process finds
  // by itself that it stood still, and then reads first what discovery told.
  void Froze() { still_ = StallDetector(outside_.NowMs()); }
  bool LetGo() { return still_.DetectStall(outside_.NowMs()); }
  // It ends, and nothing more is done: its connections close.
  void Drop();

  void Dialed(model::ConnectionId connection);
  void DialFailed(model::ConnectionId connection);
  void Heard(model::ConnectionId connection, const model::NodeAction& action);
  void Told(model::CallId call, const model::Listing& listing);
  void Line(model::CallId call);
  void CallBroke(model::CallId call);

  // Its changes of state, as Balancer::StateChanges.
  std::vector<cartspring::StateChange> StateChanges(std::uint64_t after) {
    return facade_.StateChanges(outside_.NowMs(), after);
  }
  std::size_t held() const { return jobs_.held(); }
  std::size_t connections() const { return pool_.connections(); }

 private:
  TimerWheel::Id AddTimer(double at_ms, std::function<void()> callback);
  double NextTickMs() const;
  void Apply(const model::Listing& listing, bool remembered);
  // After each call: when is the next turn due?
  void Plan();

  Outside& outside_;
  const int number_;
  const cartspring::Settings& settings_;
  const double start_ms_;
  const std::function<void(const model::Listing&)> heard_list_;
  TimerWheel wheel_;
  StallDetector still_;  // asked only where it may have stood still: its turns are few
  std::priority_queue<double, std::vector<double>, std::greater<>> due_;  // on the wheel, cancelled ones too
  Facade facade_;
  MachineList machines_;
  JobTable jobs_;
  Pool pool_;
  Watch watch_;
  std::unordered_map<model::TryId, JobId> ids_;  // of the jobs held
};

}  // namespace bitternmux::lab

#endif  // BITTERNMUX_LAB_VIRTUAL_SIDECAR_H_
