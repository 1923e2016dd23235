// A control machine: the replica of the configuration shard, the operator's API, the reading of the
// platform's list, the feed for agents and the granting of quota, wired together on one thread. Disk and
// platform have threads of their own, and so has the operator's API; all of them hand over to this one.
#ifndef BITTERNMUX_SRC_CONTROL_CONTROL_NODE_H_
#define BITTERNMUX_SRC_CONTROL_CONTROL_NODE_H_

#include <boost/asio.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "control/operator_api.h"
#include "control/platform_list.h"
#include "control/storage_thread.h"
#include "events/event.h"
#include "fleet/discovery/list_role.h"
#include "fleet/feed/feed.h"
#include "fleet/membership/router_count.h"
#include "fleet/quota/quota_grantor.h"
#include "fleet/replication/replica.h"
#include "fleet/settings/node_settings.h"
#include "fleet/storage/sqlite_store.h"
#include "fleet/transport/link.h"

namespace bitternmux::control {

class ControlNode {
 public:
  ControlNode(boost::asio::io_context& io, fleet::NodeSettings settings, EventSink& events);
  ~ControlNode();

  // Throws if it cannot listen or its disk cannot be opened.
  void Start();
  void Stop();
  // The settings file may name other seeds.
  void Reseed(const fleet::NodeSettings& settings);

 private:
  using LinkPointer = std::shared_ptr<fleet::Link>;
  struct Subscriber {
    LinkPointer link;
    std::string name;
  };
  struct PendingOrder {
    ApiRespond respond;
    double asked_ms;
  };

  double NowMs() const;
  void ScheduleTick();
  void Tick();
  void Drain();
  void Accepted(fleet::tcp::socket socket);
  void Received(const LinkPointer& link, fleet::Message message);
  void FromControl(const std::string& address, const fleet::Message& message);
  void Lost(const LinkPointer& link);
  void TendPeers();
  void SendTo(const std::string& address, const fleet::Message& message);

  // The operator's API.
  void Serve(ApiRequest request, ApiRespond respond);
  void ServePut(ApiRequest request, const ApiRespond& respond);
  void ServeGet(const ApiRespond& respond);
  bool Redirect(const ApiRespond& respond);
  void Decided(const fleet::Decision& decision);
  void ReadDone(const fleet::ReadOutcome& outcome);
  void ExpireCalls();
  std::string Status() const;

  // The feed.
  void Publish(bool news);
  void PublishCommitted();
  void PublishFleet();
  void CountRouters();
  void Beat();
  void TakeReading(const fleet::ListReading& reading);
  void ListRead(std::optional<fleet::ServerMap> servers, const std::string& why);
  void TendList();
  std::size_t Rank() const;

  // Quota.
  void AskQuota(const LinkPointer& link, fleet::QuotaRequest request);
  void GrantQuota(const fleet::QuotaGrant& grant);

  boost::asio::io_context& io_;
  const fleet::NodeSettings settings_;
  EventSink& events_;
  const fleet::Member self_;
  const std::uint64_t incarnation_;
  std::unique_ptr<fleet::ReplicaStore> store_;
  std::unique_ptr<fleet::Replica> replica_;
  std::unique_ptr<StorageThread> storage_;
  std::unique_ptr<OperatorApi> api_;
  std::unique_ptr<PlatformList> platform_;
  std::unique_ptr<fleet::LinkListener> listener_;
  boost::asio::steady_timer tick_;

  std::map<std::string, std::shared_ptr<fleet::Dialer>> peers_;  // by internal address
  std::unordered_map<fleet::Link*, LinkPointer> accepted_;
  std::unordered_map<fleet::Link*, std::string> control_links_;  // accepted ones of control machines
  std::unordered_map<fleet::Link*, Subscriber> subscribers_;
  std::vector<fleet::Member> seeds_;

  std::uint64_t last_call_ = 0;
  std::map<std::uint64_t, PendingOrder> orders_, reads_;

  fleet::FeedPublisher publisher_;
  fleet::ListRole list_role_;
  fleet::ServerMap newest_servers_;
  fleet::RouterCount router_count_;
  std::uint64_t published_epoch_ = 0;
  double beat_ms_ = 0;
  bool was_fresh_ = false;
  fleet::Replica::Role told_role_ = fleet::Replica::Role::kRecovering;

  fleet::QuotaGrantor grantor_;
  std::uint64_t granting_epoch_ = 0;  // in which this machine began to grant
};

}  // namespace bitternmux::control

#endif  // BITTERNMUX_SRC_CONTROL_CONTROL_NODE_H_
