// All that a control machine decides, without I/O, clock or thread: the replica of the configuration shard,
// the operator's calls, the reading of the platform's list, the feed for agents, the granting of quota and
// the tallies. The program (src/control/) carries out what it says on sockets, the simulation
// (lab/simulation/) in simulated time.
//
// Bounds: those of its parts; a row for each subscriber.
#ifndef BITTERNMUX_SRC_FLEET_CONTROL_CONTROL_CORE_H_
#define BITTERNMUX_SRC_FLEET_CONTROL_CONTROL_CORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/discovery/list_assigner.h"
#include "fleet/discovery/list_reader.h"
#include "fleet/discovery/list_view.h"
#include "fleet/feed/feed.h"
#include "fleet/load/load_board.h"
#include "fleet/membership/router_count.h"
#include "fleet/operations/operator_calls.h"
#include "fleet/quota/quota_grantor.h"
#include "fleet/replication/replica.h"
#include "fleet/tallies/tally_ledger.h"

namespace bitternmux::fleet {

constexpr double kFeedBeatMs = 400;

using SubscriberId = std::uint64_t;

// A message to be sent. To all subscribers where neither address nor subscriber is given.
struct ControlSend {
  std::string control;          // internal address of a control machine
  SubscriberId subscriber = 0;  // of a link of this machine
  Message message;
};

struct CallAnswer {
  CallReply reply;
  std::uint64_t version = 0;                         // of the committed configuration
  std::shared_ptr<const std::string> configuration;  // of a read; many share it
  std::vector<std::string> evacuated;                // zones, in the committed value
};

// What an operator should see in the log.
struct ControlNotice {
  enum class Kind {
    kRole,
    kMembers,
    kListRoleTaken,
    kQuotaRoleTaken,
    kConfigurationUnreadable,
    kSubscriberAhead,  // a subscriber holds more than this machine
  };
  Kind kind = Kind::kRole;
  std::string text;
  std::uint64_t number = 0;
};

struct ControlOutput {
  std::vector<ControlSend> sends;  // in this order
  std::optional<std::pair<std::uint64_t, DurableState>> save;
  std::vector<CallAnswer> answers;
  std::vector<TallyWrite> tally_writes;  // in this order, beside `save`
  std::vector<TallyAnswer> tally_answers;
  std::vector<ControlNotice> notices;
  bool read_list = false;  // a reading of the platform's list is to begin
};

const char* NameOf(Replica::Role role);

class ControlCore {
 public:
  struct Options {
    Replica::Options replica;
    QuotaBounds quota;
    TallyLedger::Options tallies;
    std::vector<TallyAdds> loaded_tallies;  // what the disk holds of them
  };

  ControlCore(Options options, std::optional<DurableState> loaded, double now_ms);

  void Tick(double now_ms);
  void FromControl(double now_ms, const std::string& address, const Message& message);
  // A link to another control machine has come up.
  void ControlConnected(const std::string& address);
  void Subscribed(double now_ms, SubscriberId id, const Subscribe& subscribe);
  void Unsubscribed(SubscriberId id);
  void FromSubscriber(double now_ms, SubscriberId id, QuotaRequest request);
  // What a subscriber's router has in work.
  void LoadsTold(SubscriberId id, const ServerLoads& loads);
  void Put(double now_ms, std::uint64_t call, Order order);
  void Evacuate(double now_ms, std::uint64_t call, EvacuationOrder order);
  // Reads the configuration and the evacuated zones.
  void Get(double now_ms, std::uint64_t call);
  void Saved(double now_ms, std::uint64_t ticket);
  void AddToTally(double now_ms, std::uint64_t call, TallyAdd add);
  void ReadTally(double now_ms, std::uint64_t call, const std::string& tally);
  void TalliesStored(double now_ms, std::uint64_t ticket);
  // Between two ticks, while the tallies wait for probes.
  void TickTallies(double now_ms);
  // A reading has ended; none: it failed.
  void ListRead(double now_ms, std::optional<ServerMap> servers);
  void Leave(double now_ms);
  void SetSeeds(std::vector<Member> seeds);
  ControlOutput TakeOutput(double now_ms);

  const Replica& replica() const { return replica_; }
  const FeedPublisher& publisher() const { return publisher_; }
  const ListReader& list_reader() const { return list_reader_; }
  const ListView& list() const { return list_; }
  const TallyLedger& tallies() const { return tallies_; }
  std::size_t subscribers() const { return subscribers_.size(); }
  std::size_t open_calls() const { return calls_.open(); }

 private:
  // Reads of the replica that are none of an operator's have numbers from here on.
  static constexpr std::uint64_t kConfirmations = std::uint64_t{1} << 63;

  void ToControl(const std::string& address, Message message);
  void ToAllControl(const Message& message);
  void ToSubscriber(SubscriberId id, Message message);
  void Publish(bool news);
  void PublishCommitted(double now_ms);
  void PublishMembers();
  void ConfigureGrantor(double now_ms);
  void Beat(double now_ms);
  FeedBeat BeatNow(double now_ms) const;
  void CountRouters(double now_ms);
  void TendList(double now_ms);
  void Report(double now_ms, const ListAssignment& under, ServerMap servers);
  void PublishList(double now_ms);
  void TellWholeList(const std::string& address);
  void AskQuota(double now_ms, QuotaRequest request, bool passed_on);
  void TakeGrantingOver(double now_ms);
  void TellDrained(double now_ms);
  void GrantQuota(const QuotaGrant& grant);
  void UseTallyPeers(double now_ms);
  void TakeTallies();
  void TellRole();
  std::shared_ptr<const std::string> CommittedConfiguration();
  void TellLoads(double now_ms);
  void TellLoadsToControl(const ServerLoads& own);
  bool LoadsDue(double now_ms) const;
  float LoadsAgeMs(double now_ms) const;

  const std::vector<Member> first_seeds_;
  Replica replica_;
  OperatorCalls calls_;
  ListAssigner assigner_;
  ListReader list_reader_;
  ListView list_;
  // As an owner: a reading that waits for a majority's word.
  std::optional<ServerMap> unconfirmed_list_;
  std::uint64_t confirmation_ = kConfirmations;  // its number among the replica's reads
  FeedPublisher publisher_;
  RouterCount router_count_;
  LoadBoard own_loads_;                           // of the routers behind this machine's subscribers
  LoadBoard fleet_loads_;                         // sums of all control machines
  std::map<std::string, double> loads_heard_ms_;  // from the others
  double loads_told_ms_ = kNeverMs, loads_refreshed_ms_ = kNeverMs;
  std::size_t load_rows_ = 0;  // that were told last
  QuotaGrantor grantor_;
  TallyLedger tallies_;
  std::optional<std::vector<std::string>> wanted_drained_;  // as told to the replica in this epoch
  std::optional<Epoch> granting_epoch_;                     // in which this machine began to grant
  std::map<SubscriberId, std::string> subscribers_;         // their names
  double beat_ms_ = kNeverMs;
  double assigned_ms_ = kNeverMs;
  bool was_fresh_ = false;
  bool was_reading_ = false;
  Replica::Role told_role_ = Replica::Role::kLearner;
  Epoch told_epoch_;
  std::shared_ptr<const std::string> read_configuration_;  // that reads were answered with last
  ControlOutput output_;
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_CONTROL_CONTROL_CORE_H_
