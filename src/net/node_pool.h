// The execute nodes' side: the connections to them, and the claims that are out on these.
#ifndef BITTERNMUX_SRC_NET_NODE_POOL_H_
#define BITTERNMUX_SRC_NET_NODE_POOL_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/job_table.h"
#include "core/machine_list.h"
#include "net/runtime.h"

namespace bitternmux::net {

class NodePool : public ClaimRunner {
 public:
  NodePool(Runtime& runtime, JobTable& jobs, const MachineList& machines,
           const cartspring::Settings& settings, std::size_t most_connections);
  ~NodePool() override;

  void Start(const Claim& claim, const Job& job) override;
  void GiveUp(JobId job, int number) override;
  void Probe(const std::string& node, const std::string& address) override;
  // Closes what idles to nodes that the list no longer has in service.
  void Prune();

 private:
  class Connection;
  using Handle = std::shared_ptr<Connection>;
  using Ended = std::function<void(ClaimEnd)>;
  // One request to a node and what comes back.
  struct Exchange {
    std::string bytes;
    double until_ms = 0;
    Ended ended;
  };

  // Null where no socket is left for it; `exchange` has then ended.
  Handle Begin(const std::string& node, const std::string& address, Exchange exchange);
  Handle TakeIdle(const std::string& node, const std::string& address);
  bool MakeRoom();
  void Idles(const Handle& connection);
  void Closed(const Handle& connection);

  Runtime& runtime_;
  JobTable& jobs_;
  const MachineList& machines_;
  const cartspring::Settings& settings_;
  const std::size_t most_connections_;
  std::unordered_set<Handle> connections_;
  // By node, the one used last at the back; no node without any.
  std::unordered_map<std::string, std::vector<Handle>> idle_;
  std::unordered_map<JobId, std::pair<int, Handle>> out_;  // the claim that is out for a job
};

}  // namespace bitternmux::net

#endif  // BITTERNMUX_SRC_NET_NODE_POOL_H_
