// The connections of one sidecar to execute nodes, and the claims on them, in a virtual run. Does what the
// sidecar's pool does on sockets: one exchange at a time on a connection, the one used last first, idle ones
// retired after half the time that nodes keep them, claims that run out of time or are given up close theirs.
// Inside the package only.
#ifndef BITTERNMUX_LAB_VIRTUAL_POOL_H_
#define BITTERNMUX_LAB_VIRTUAL_POOL_H_

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/job_table.h"
#include "core/machine_list.h"
#include "core/timer_wheel.h"
#include "lab/virtual/outside.h"

namespace bitternmux::lab {

// The body of an answer tells who made it for whom, so that one that is passed on to another shows.
struct AnswerMade {
  model::ClaimId claim = 0;
  model::TryId attempt = 0;
};
AnswerMade ReadBody(const std::string& body);

// Adds to the process's wheel, and sees to it that the wheel is turned then.
using AddTimer = std::function<TimerWheel::Id(double at_ms, std::function<void()> callback)>;

class Pool : public ClaimRunner {
 public:
  // All must outlive it.
  Pool(Outside& outside, int sidecar, JobTable& jobs, const MachineList& machines,
       const cartspring::Settings& settings, std::size_t most_connections, TimerWheel& wheel,
       AddTimer add_timer);

  void Start(const Claim& claim, const Job& job) override;
  void GiveUp(JobId job, int number) override;
  void Probe(const std::string& node, const std::string& address) override;
  // Closes what idles to nodes that the list no longer has in service.
  void Prune();

  void Dialed(model::ConnectionId connection);
  void DialFailed(model::ConnectionId connection);
  // What the node has written, or that it has ended the connection.
  void Heard(model::ConnectionId connection, const model::NodeAction& action);
  // Exchanges that found no connection end now, outside of what began them.
  void Deferred();
  // The process ends: its connections break, and nobody hears of it.
  void Drop();

  std::size_t connections() const { return connections_.size(); }

 private:
  struct Exchange {
    Claim claim;  // of a job; for a probe only node and address
    bool probe = false;
    model::TryId attempt = 0;
    double until_ms = 0;
    double asked_ms = 0;
  };
  enum class Stage { kDialing, kWaiting, kIdle };
  struct Connection {
    std::string node, address;
    Stage stage = Stage::kDialing;
    Exchange exchange;
    model::ClaimId claim = 0;  // that is out on it; 0: none
    double idle_since = 0;
    TimerWheel::Id until_timer = 0, dial_timer = 0, idle_timer = 0;
  };
  using Handle = std::unordered_map<model::ConnectionId, Connection>::iterator;

  void Begin(Exchange exchange);
  void Carry(model::ConnectionId id, Connection& connection, Exchange exchange);
  void Write(model::ConnectionId id, Connection& connection);
  void OutOfTime(model::ConnectionId id);
  // The exchange on it ends; the connection is kept where it may be used again.
  void End(Handle handle, ClaimEnd end, bool reusable);
  void Tell(const Exchange& exchange, ClaimEnd end);
  void Close(model::ConnectionId id, bool by_sidecar);
  bool TakeIdle(const Exchange& exchange, model::ConnectionId& id);
  bool MakeRoom();

  Outside& outside_;
  const int sidecar_;
  JobTable& jobs_;
  const MachineList& machines_;
  const cartspring::Settings& settings_;
  const std::size_t most_connections_;
  TimerWheel& wheel_;
  const AddTimer add_timer_;
  std::unordered_map<model::ConnectionId, Connection> connections_;  // walked only to be sorted
  std::map<std::string, std::vector<model::ConnectionId>> idle_;     // by node, the one used last at the back
  std::unordered_map<JobId, std::pair<int, model::ConnectionId>> out_;  // the claim that is out for a job
  std::deque<Exchange> unsent_;
};

}  // namespace bitternmux::lab

#endif  // BITTERNMUX_LAB_VIRTUAL_POOL_H_
