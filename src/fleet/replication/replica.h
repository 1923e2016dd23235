// One replica of a shard: a state machine of plain inputs and outputs. It does no I/O and reads no clock;
// whoever owns the links and the disk hands it what came, carries out what TakeOutput returns, and tells it
// what is on disk.
//
// The shard's state is a single value that each change replaces whole, so there is no log. A value carries
// its position (epoch, sequence). The protocol is that of Paxos on one register with a stable proposer:
//
//  - A candidate first asks a majority whether they would follow it, which binds nobody: one that is heard
//  but hears
//    nobody gets no further. Then it takes an epoch above all it has seen and asks for promises. A replica
//    that has promised an
//  epoch
//    refuses all that comes from older ones. With promises of a majority the candidate is the owner: it takes
//    over the value of the highest position among them and has it accepted again under its own epoch.
//  - The owner replaces the value, one change at a time. A value is committed once a majority of the members
//  that
//    the value itself names have it on disk.
//  - The first live member in the agreed order (that of the addresses) acts: each waits for longer the later
//  it
//    stands there. An owner that is heard keeps its role; one that no majority answers gives it up.
//
// A replica that finds its disk empty, and is not starting the fleet for the first time, may not vote: it
// would do so without the memory of what it has promised. It first asks the others, and takes over the
// highest of what a majority of the group, itself not counted, holds. Votes are counted for kVoteLifeMs at
// most, and a replica that recovers waits for longer than that, so that none of its earlier life is counted
// beside one of the new life.
//
// Membership is part of the value and changes by one member at a time, so that majorities before and after
// overlap. A replica that is no member learns all values and asks to be added; one that is not heard makes
// room for it.
//
// Bounds: a value, a row for each member and learner, kMaxProposals waiting orders. Not thread-safe. Times
// are in milliseconds on one clock that does not go back.
#ifndef BITTERNMUX_SRC_FLEET_REPLICATION_REPLICA_H_
#define BITTERNMUX_SRC_FLEET_REPLICATION_REPLICA_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/messages/messages.h"

namespace bitternmux::fleet {

constexpr double kHeartbeatMs = 250;         // between two heartbeats of an owner
constexpr double kOwnerSilentMs = 700;       // an owner that is not heard for so long is taken for gone
constexpr double kOwnerWorksMs = 550;        // one that was heard since then is not to be replaced
constexpr double kOwnerAloneMs = 900;        // an owner that no majority answers for so long gives up
constexpr double kFirstPatienceMs = 330;     // of one that has heard no owner since its start
constexpr double kPreVoteMs = 300;           // between two rounds of asking for votes
constexpr double kCandidateStaggerMs = 250;  // by which the members' patience differs
constexpr double kVoteLifeMs = 1000;         // an answer is counted for so long
constexpr double kRecoverWaitMs = 1200;      // from a replica's start without memory to its first vote
constexpr double kAskAgainMs = 300;          // between two requests to recover or to join
constexpr double kResendMs = 600;            // before a value that is not on a peer's disk is sent again
constexpr double kMemberGoneMs = 1500;       // a member not heard for so long may be replaced
constexpr std::size_t kMaxProposals = 64;
constexpr std::size_t kMaxHistory = 2048;  // orders that are known when they are repeated

// What a replica may not forget.
struct DurableState {
  std::uint64_t promised_epoch = 0;
  bool voter = false;
  AcceptedValue accepted;

  bool operator==(const DurableState&) const = default;
};

// A change of the configuration that passed all checks but the one against the current version.
struct Order {
  std::uint64_t version = 0;
  std::uint64_t builds_on = 0;
  std::uint64_t digest = 0;  // of `text`
  std::string text;
};

enum class OrderOutcome {
  kTaken,     // it is committed, now or by an earlier call
  kConflict,  // another version is current
  kOld,       // its version is not above the current one
  kNotOwner,  // to be asked elsewhere; it may have been taken
};

struct Decision {
  std::uint64_t id = 0;
  OrderOutcome outcome = OrderOutcome::kNotOwner;
};

// The end of a read: true if the committed value was the newest at some moment after the call of Read.
struct ReadOutcome {
  std::uint64_t id = 0;
  bool current = false;
};

struct ReplicaOutput {
  std::vector<std::pair<std::string, Message>> sends;          // to the member with that internal address
  std::optional<std::pair<std::uint64_t, DurableState>> save;  // only the newest needs to be written
  std::vector<Decision> decisions;
  std::vector<ReadOutcome> reads;
};

class Replica {
 public:
  struct Options {
    Member self;
    std::vector<Member> seeds;  // where others may be found; the first group, if `bootstrap`
    bool bootstrap = false;     // the fleet starts for the first time
    std::size_t group_size = 3;
    std::uint64_t incarnation = 1;  // differs from one start to the next
  };
  enum class Role { kRecovering, kLearner, kFollower, kCandidate, kOwner };

  // `loaded`: what the disk holds; none if it is empty.
  Replica(Options options, std::optional<DurableState> loaded, double now_ms);

  void Tick(double now_ms);
  void Receive(double now_ms, const std::string& from, const Message& message);
  void Saved(double now_ms, std::uint64_t ticket);
  // Decided in a later output, maybe the next one.
  void Propose(double now_ms, std::uint64_t id, Order order);
  void Read(double now_ms, std::uint64_t id);
  ReplicaOutput TakeOutput();

  Role role() const { return role_; }
  std::uint64_t epoch() const { return promised_epoch_; }
  // The newest value that is known to be committed; position 0, 0: none yet.
  const AcceptedValue& committed() const { return committed_; }
  // The owner as last heard; empty: none is known.
  std::optional<Member> Owner(double now_ms) const;
  // Has it been in contact with an owner, or as an owner with a majority, within the last second?
  bool Fresh(double now_ms) const;
  // Other control machines to keep links to.
  std::vector<Member> Peers() const;

 private:
  struct PeerState {
    double heard_ms = -1e18;
    double durable_at_ms = -1e18;  // when `durable` was last told
    Position durable;
    std::uint64_t round = 0;
    bool voter = false;
    double sent_ms = -1e18;  // when the newest value was last sent
    Position sent;
  };
  struct Learner {
    Member member;
    double asked_ms = 0;
  };
  struct Waiting {
    std::uint64_t id;
    Order order;
  };
  struct PendingRead {
    std::uint64_t id;
    std::uint64_t round;
  };
  struct Vote {
    double at_ms;
    AcceptedValue accepted;
  };

  void On(double now_ms, const std::string& from, const PreVote& pre_vote);
  void On(double now_ms, const std::string& from, const PreVoteReply& reply);
  void On(double now_ms, const std::string& from, const Prepare& prepare);
  void On(double now_ms, const std::string& from, const Promise& promise);
  void On(double now_ms, const std::string& from, const Accept& accept);
  void On(double now_ms, const std::string& from, const Heartbeat& heartbeat);
  void On(double now_ms, const std::string& from, const HeartbeatReply& reply);
  void On(double now_ms, const std::string& from, const RecoverRequest& request);
  void On(double now_ms, const std::string& from, const RecoverReply& reply);
  void On(double now_ms, const std::string& from, const JoinRequest& request);
  template <class Other>
  void On(double, const std::string&, const Other&) {}

  const std::vector<Member>& Members() const { return accepted_.value.members; }
  bool IsMember(const std::string& address) const;
  std::size_t RankOfSelf() const;
  double Patience() const;
  void Save();
  void SendWhenSaved(const std::string& to, Message message);
  void Send(const std::string& to, Message message) { output_.sends.emplace_back(to, std::move(message)); }
  void Follow(double now_ms);
  bool OwnerWorks(double now_ms, const std::string& candidate) const;
  void AskForVotes(double now_ms);
  void StandForOwner(double now_ms);
  void CountPromises(double now_ms);
  void Own(double now_ms, AcceptedValue adopted);
  void Replace(double now_ms, ShardValue value);
  void SendValue(double now_ms, const std::string& to);
  void SendHeartbeats(double now_ms);
  void CountAccepted(double now_ms);
  void Commit();
  void AnswerReads(double now_ms);
  void NextChange(double now_ms);
  bool ChangeMembers(double now_ms);
  void TickOwner(double now_ms);
  void TickRecovery(double now_ms);
  void Recovered(double now_ms);
  bool MajorityHeard(double now_ms, double within_ms) const;
  HeartbeatReply Standing(std::uint64_t round) const;

  const Options options_;
  const double started_ms_;
  Role role_ = Role::kRecovering;
  bool voter_ = false;
  std::uint64_t promised_epoch_ = 0;
  AcceptedValue accepted_;
  AcceptedValue committed_;
  std::uint64_t ticket_ = 0;        // of the newest state handed out to be saved
  std::uint64_t saved_ticket_ = 0;  // of the newest that is on disk
  Position durable_;                // of the accepted value that is on disk
  std::map<std::uint64_t, Position> saving_;
  std::deque<std::pair<std::uint64_t, std::pair<std::string, Message>>> when_saved_;

  // As a follower.
  std::string owner_;              // internal address; empty: none is known
  double owner_heard_ms_ = -1e18;  // ever; by an owner's heartbeat or value
  double patience_from_ms_ = 0;
  // As a candidate.
  std::map<std::string, Vote> votes_;
  std::map<std::string, double> pre_votes_;  // when they came; only while they are asked for
  bool pre_voting_ = false;
  double stood_ms_ = 0;
  bool promise_saved_ = false;
  std::uint64_t promise_ticket_ = 0;
  // As an owner.
  std::map<std::string, PeerState> peers_;
  std::map<std::string, Learner> learners_;
  std::uint64_t round_ = 0;
  double beat_ms_ = -1e18;
  double owned_ms_ = 0;
  std::deque<Waiting> proposals_;
  std::optional<std::uint64_t> in_flight_;  // the proposal whose value is being accepted
  std::deque<PendingRead> reads_;
  // As one that recovers or learns.
  std::map<std::string, RecoverReply> recover_replies_;
  double asked_ms_ = -1e18;

  ReplicaOutput output_;
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_REPLICATION_REPLICA_H_
