// The execute nodes' side: the connections to them, and the claims that are out on these. Which connection
// carries a claim, and how long one is kept, is decided in limits/connections; which answer is none, since it
// came before, in limits/duplicate_answers.
#ifndef BITTERNMUX_SRC_NET_NODE_POOL_H_
#define BITTERNMUX_SRC_NET_NODE_POOL_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include "core/job_table.h"
#include "core/machine_list.h"
#include "limits/connections.h"
#include "limits/duplicate_answers.h"
#include "net/runtime.h"

namespace bitternmux::net {

class NodePool : public ClaimRunner {
 public:
  // Of `most_connections` at a time, with `most_passing` bytes on their way to submitters in all.
  NodePool(Runtime& runtime, JobTable& jobs, const MachineList& machines,
           const cartspring::Settings& settings, std::size_t most_connections, std::size_t most_passing);
  ~NodePool() override;

  void Start(const Claim& claim, const Job& job) override;
  void GiveUp(JobId job, int number) override;
  void Withdraw(JobId job, int number) override;
  void Probe(const std::string& node, const std::string& address) override;
  // Forgets the nodes that the list no longer has in service, and closes what idles to them.
  void Prune();
  // The settings that it goes by have changed.
  void Retuned() { choice_.Retuned(); }
  // For people, as the deciders say it.
  std::string Describe() const { return choice_.Describe() + alike_.Describe(); }

 private:
  class Connection;
  using ConnectionId = limits::Connections::Id;
  using Handle = std::shared_ptr<Connection>;
  using Ended = std::function<void(ClaimEnd)>;
  // One request to a node and what comes back.
  struct Exchange {
    std::string head;
    std::shared_ptr<const std::string> body;  // null: none
    double until_ms = 0;
    double out_by_ms = kAnyTime;
    int klass = limits::Connections::kRepeatable;
    double work_ms = 0;
    JobId job = 0;  // whose claim it is; 0: none's
    int number = 0;
    Ended ended;
    std::function<bool(ClaimEnd)> began;  // as JobTable::ClaimBegan; null: the answer is held whole
  };

  void Begin(const std::string& node, const std::string& address, Exchange exchange);
  void Carry(const Handle& connection, Exchange exchange);
  // The exchange ends if no socket is left for it.
  void Dial(const std::string& node, const std::string& address, Exchange exchange);
  void DialAhead(const std::string& node, const std::string& address);
  Handle Open(const std::string& node, const std::string& address);
  bool MakeRoom();
  std::size_t FlowBytes() const;
  void Idles(ConnectionId id);
  void Sweep();

  Runtime& runtime_;
  JobTable& jobs_;
  const MachineList& machines_;
  const cartspring::Settings& settings_;
  const std::size_t most_connections_, most_passing_;
  std::size_t flows_ = 0;  // answers that are passed on now
  limits::Connections choice_;
  limits::AnswersAlike alike_;
  ConnectionId last_id_ = 0;
  std::unordered_map<ConnectionId, Handle> connections_;
  std::unordered_map<JobId, std::pair<int, Handle>> out_;  // the claim that is out for a job
  bool sweeping_ = false;
};

}  // namespace bitternmux::net

#endif  // BITTERNMUX_SRC_NET_NODE_POOL_H_
