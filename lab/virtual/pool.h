// The connections of one sidecar to execute nodes, and the claims on them, in a virtual run. Does what the
// sidecar's pool does on sockets, by the same decider (limits/connections): one exchange at a time on a
// connection, and claims that run out of time or are given up close theirs. Inside the package only.
#ifndef BITTERNMUX_LAB_VIRTUAL_POOL_H_
#define BITTERNMUX_LAB_VIRTUAL_POOL_H_

#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>

#include "core/job_table.h"
#include "core/machine_list.h"
#include "core/timer_wheel.h"
#include "lab/virtual/outside.h"
#include "limits/connections.h"

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
  void Withdraw(JobId job, int number) override;
  void Probe(const std::string& node, const std::string& address) override;
  // Forgets the nodes that the list no longer has in service, and closes what idles to them.
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
    int klass = limits::Connections::kRepeatable;
    double work_ms = 0;
    double until_ms = 0;
    double asked_ms = 0;
  };
  enum class Stage { kDialing, kWaiting, kIdle };
  struct Connection {
    std::string node, address;
    Stage stage = Stage::kDialing;
    bool busy = false;  // it carries an exchange, or will once it is up
    Exchange exchange;
    model::ClaimId claim = 0;  // that is out on it; 0: none
    double dialed_ms = 0, begun_ms = 0;
    bool answered = false;  // something came back
    TimerWheel::Id until_timer = 0, dial_timer = 0;
  };
  using Handle = std::unordered_map<model::ConnectionId, Connection>::iterator;

  void Begin(Exchange exchange);
  void Carry(model::ConnectionId id, Connection& connection, Exchange exchange);
  model::ConnectionId Open(const std::string& node, const std::string& address, model::TryId attempt);
  void DialAhead(const std::string& node, const std::string& address);
  void Write(model::ConnectionId id, Connection& connection);
  void Idles(model::ConnectionId id, Connection& connection);
  void Sweep();
  void OutOfTime(model::ConnectionId id);
  void Broke(Handle handle, double worked_ms);
  void Tell(model::ConnectionId id, const Connection& connection, bool broke);
  // The exchange on it ends; the connection is kept where it may be used again.
  void End(Handle handle, ClaimEnd end, bool reusable);
  void Report(const Exchange& exchange, ClaimEnd end);
  void Close(model::ConnectionId id);
  bool MakeRoom();

  Outside& outside_;
  const int sidecar_;
  JobTable& jobs_;
  const MachineList& machines_;
  const cartspring::Settings& settings_;
  const std::size_t most_connections_;
  TimerWheel& wheel_;
  const AddTimer add_timer_;
  limits::Connections choice_;
  std::unordered_map<model::ConnectionId, Connection> connections_;     // walked only to be sorted
  std::unordered_map<JobId, std::pair<int, model::ConnectionId>> out_;  // the claim that is out for a job
  std::deque<Exchange> unsent_;
  bool sweeping_ = false;
};

}  // namespace bitternmux::lab

#endif  // BITTERNMUX_LAB_VIRTUAL_POOL_H_
