// One replica of a shard: a state machine of plain inputs and outputs. It does no I/O and reads no clock;
// whoever owns the links and the disk hands it what came, carries out what TakeOutput returns, and tells it
// what is on disk.
//
// The shard's state is a single value that each change replaces whole, so there is no log. A value carries
// its position (epoch, sequence). The protocol is that of Paxos on one register with a stable proposer
// (docs/design/control-review.md argues it, with the numbers of the invariants that the simulation checks):
//
//  - A candidate first asks a majority whether they would follow it, which binds nobody: one that is heard
//  but
//    hears nobody gets no further. Then it takes an epoch above all it has seen and asks for promises. A
//    replica that has promised an epoch refuses all that comes from older ones. With promises of a majority
//    the candidate is the owner: it takes over the value of the highest position among them and has it
//    accepted again under its own epoch. An epoch names the disk of the replica that chose it, so that no two
//    replicas can choose the same.
//  - The owner replaces the value, one change at a time. A value is committed once a majority of the members
//    that the value itself names have it on disk.
//  - No call of the operator is answered by what the owner holds alone: a read, a refusal and the word that
//  an
//    order was taken before wait until a majority has answered a heartbeat that was sent after the call.
//  - The first live member in the agreed order (that of the addresses) acts: each waits for longer the later
//    it stands there. An owner that a majority answers keeps its role; one that no majority answers gives it
//    up. Its contact is as old as the heartbeats that were answered, by its own clock: what lay in buffers
//    while it stood still does not count as new.
//
// A member is an address and a disk. A machine that has lost its disk has lost its promises with it, and
// comes back as another member: promises and acknowledgements count by the disk that gave them. It learns the
// value from the owner and takes the place of the member that it was before.
//
// Membership is part of the value. A change exchanges one member (or adds one); until it is committed,
// majorities of the group before and after it have to agree (quorum.h), so that the group never counts more
// members than before and a loss at any moment of a change is borne like one before it or after it. An
// exchange whose new group cannot be asked any more is taken back (replica_election.cpp, MayTakeBack).
//
// Bounds: the value, RecentValues, a row for each member and learner, kMaxProposals waiting orders. Not
// thread-safe. Times are in milliseconds on one clock that does not go back.
#ifndef BITTERNMUX_SRC_FLEET_REPLICATION_REPLICA_H_
#define BITTERNMUX_SRC_FLEET_REPLICATION_REPLICA_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fleet/messages/messages.h"
#include "fleet/replication/value_transfer.h"

namespace bitternmux::fleet {

constexpr double kHeartbeatMs = 250;         // between two heartbeats of an owner
constexpr double kOwnerSilentMs = 700;       // an owner that is not heard for so long is taken for gone
constexpr double kOwnerWorksMs = 550;        // one that was heard since then is not to be replaced
constexpr double kOwnerAloneMs = 900;        // an owner that no majority answers for so long gives up
constexpr double kFirstPatienceMs = 200;     // of one that has heard no owner since its start; who hears one
                                             // refuses its vote
constexpr double kPreVoteMs = 300;           // between two rounds of asking for votes, or for promises
constexpr double kStandMs = 1200;            // for which a candidate waits for promises: disks may be slow
constexpr double kCandidateStaggerMs = 250;  // by which the members' patience differs
constexpr double kFreshMs = 1500;       // contact with an owner counts as present for so long: it is a round
                                        // trip old already, and a change of owner takes most of a second
constexpr double kBehindMs = 600;       // a replica that lacks what is committed for so long is behind
constexpr double kAskAgainMs = 300;     // between two requests to join, to leave or to hand over
constexpr double kTellGroupMs = 1000;   // between two words to seeds that are no members
constexpr double kMemberGoneMs = 1500;  // a member not heard for so long may be replaced
constexpr double kLeaveMs = 1500;       // for which a member that is to stop waits for a successor
constexpr std::size_t kMaxProposals = 64;
constexpr std::size_t kMaxHistory = 2048;  // orders that are known when they are repeated
constexpr std::size_t kMaxLearners = 8;

// What a replica may not forget.
struct DurableState {
  std::uint64_t store = 0;  // the identity of the disk
  Epoch promised;
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

// From now on the servers of a zone get nothing more, or (`begins` is false) may get something again.
struct EvacuationOrder {
  std::string zone;
  bool begins = true;
};

using OperatorOrder = std::variant<Order, EvacuationOrder>;

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

// A process of a control machine that takes part.
struct LiveProcess {
  std::string internal;
  std::uint64_t incarnation = 0;

  bool operator==(const LiveProcess&) const = default;
};

// How an owner came to its role.
struct Accession {
  double elected_ms = 0;       // when a majority had voted for it
  double owner_silent_ms = 0;  // for which all its voters had heard no owner, or had not been running
};

class Replica {
 public:
  struct Options {
    Member self;                // its store is not read
    std::vector<Member> seeds;  // where others may be found; the first group, if `bootstrap`
    bool bootstrap = false;     // the fleet starts for the first time
    std::size_t group_size = 3;
    std::uint64_t incarnation = 1;  // differs from one start to the next
    std::uint64_t new_store = 0;    // of an empty disk, never used before; above kMaxFirstStore
  };
  // Stores of the first group are numbered by the members' order.
  static constexpr std::uint64_t kMaxFirstStore = 1024;

  enum class Role { kLearner, kFollower, kCandidate, kOwner };

  // `loaded`: what the disk holds; none if it is empty.
  Replica(Options options, std::optional<DurableState> loaded, double now_ms);

  void Tick(double now_ms);
  void Receive(double now_ms, const std::string& from, const Message& message);
  void Saved(double now_ms, std::uint64_t ticket);
  // Decided in a later output, maybe the next one.
  void Propose(double now_ms, std::uint64_t id, Order order);
  void Propose(double now_ms, std::uint64_t id, EvacuationOrder order);
  void Read(double now_ms, std::uint64_t id);
  // The process is to stop: hands over what it holds. It goes on as before until MayStop.
  void Leave(double now_ms);
  bool MayStop(double now_ms) const;
  // As an owner: tenants whose quota may be used up. They are in the value once it is committed.
  void SetDrained(double now_ms, std::vector<std::string> tenants);
  // The settings name other machines.
  void SetSeeds(std::vector<Member> seeds) { seeds_ = std::move(seeds); }
  ReplicaOutput TakeOutput();

  Role role() const { return role_; }
  const Member& self() const { return self_; }
  const Epoch& epoch() const { return promised_; }
  // The newest value that is known to be committed; the first position: none yet.
  const AcceptedValue& committed() const { return committed_; }
  // The position of the newest value that it holds, on disk or not.
  const Position& newest() const { return accepted_.position; }
  // Does the newest value that it holds name two groups, as members are being changed?
  bool exchanging() const { return !accepted_.value.previous_members.empty(); }
  // The owner as last heard; none is known if it has been silent.
  std::optional<Member> Owner(double now_ms) const;
  double owner_heard_ms() const { return owner_heard_ms_; }
  // Has it been in contact with an owner, or as an owner with a majority, a moment ago, and does it hold what
  // is committed?
  bool Fresh(double now_ms) const;
  // The owner of an epoch in which a majority holds its value, with a majority's word that is not old.
  bool Acting(double now_ms) const;
  // As an owner: how the role came to it.
  const Accession& accession() const { return accession_; }
  // As an owner: has a majority answered what was sent no longer ago?
  bool ConfirmedWithin(double now_ms, double within_ms) const { return MajorityConfirmed(now_ms, within_ms); }
  // As an owner: the members that answer it, itself included, in the agreed order.
  std::vector<LiveProcess> LiveMembers(double now_ms) const;
  // The members of the group and those that wait to join, as far as this replica knows, without itself; the
  // seeds for one that knows no group. Who is gone from the group is not among them.
  std::vector<Member> Group() const;
  // Other control machines to keep links to: those and the seeds, which may know nobody but each other.
  std::vector<Member> Peers() const;
  // Bytes of values that were sent to peers and not answered for.
  std::uint64_t UnansweredBytes() const;

 private:
  struct PeerState {
    std::uint64_t store = 0;
    std::uint64_t incarnation = 0;
    double heard_ms = kNeverMs;      // when its last word was read
    double confirmed_ms = kNeverMs;  // when the newest heartbeat that it answered was sent
    double echo_ms = kNeverMs;       // by its own clock, when it sent its newest reply
    std::uint64_t round = 0;
    Position accepted, durable;
    std::optional<OutgoingTransfer> transfer;
  };
  struct Learner {
    Member member;
    double asked_ms = 0;
  };
  struct Waiting {
    std::uint64_t id;
    OperatorOrder order;
  };
  // What is to be answered once a majority has answered that round of heartbeats.
  struct Unconfirmed {
    std::uint64_t id;
    std::uint64_t round;
    std::optional<OrderOutcome> outcome;  // none: a read
  };
  struct Vote {
    std::uint64_t store;
    Position accepted;
    std::optional<AcceptedValue> value;  // if it is newer than one's own
    double owner_silent_ms;
  };

  void On(double now_ms, const std::string& from, const PreVote& pre_vote);
  void On(double now_ms, const std::string& from, const PreVoteReply& reply);
  void On(double now_ms, const std::string& from, const Prepare& prepare);
  void On(double now_ms, const std::string& from, const Promise& promise);
  void On(double now_ms, const std::string& from, const ValuePiece& piece);
  void On(double now_ms, const std::string& from, const PieceReply& reply);
  void On(double now_ms, const std::string& from, const Heartbeat& heartbeat);
  void On(double now_ms, const std::string& from, const HeartbeatReply& reply);
  void On(double now_ms, const std::string& from, const JoinRequest& request);
  void On(double now_ms, const std::string& from, const JoinReply& reply);
  void On(double now_ms, const std::string& from, const LeaveRequest& request);
  void On(double now_ms, const std::string& from, const StandNow& stand);
  template <class Other>
  void On(double, const std::string&, const Other&) {}

  bool IsVoter(const Member& member) const;
  bool HasVoterAt(const std::string& address) const;
  std::size_t RankOfSelf() const;
  double Patience() const;
  void RaisePromise(double now_ms, const Epoch& epoch);
  void Save();
  void SendWhenSaved(const std::string& to, Message message);
  void Send(const std::string& to, Message message) { output_.sends.emplace_back(to, std::move(message)); }

  // Elections (replica_election.cpp).
  void Follow(double now_ms);
  bool OwnerWorks(double now_ms, const std::string& candidate) const;
  void AskForVotes(double now_ms);
  void StandForOwner(double now_ms, bool handover);
  void SendPrepares(double now_ms);
  void TickCandidate(double now_ms);
  void CountPromises(double now_ms);
  template <class Promised>
  bool MayTakeBack(const AcceptedValue& exchange, const Promised& promised) const;
  void Own(double now_ms, AcceptedValue adopted, ShardValue value);

  // The owner (replica_owner.cpp).
  void Replace(double now_ms, ShardValue value);
  void Supply(double now_ms, const std::string& to, PeerState& peer);
  void SupplyAll(double now_ms);
  void SendHeartbeat(double now_ms, const std::string& to);
  void SendHeartbeats(double now_ms);
  void CountAccepted(double now_ms);
  void NextChange(double now_ms);
  bool ChangeDrained(double now_ms);
  void Enqueue(double now_ms, Waiting waiting);
  bool Judge(double now_ms, std::uint64_t id, Order order);
  bool Judge(double now_ms, std::uint64_t id, EvacuationOrder order);
  void AwaitConfirmation(double now_ms, std::uint64_t id, std::optional<OrderOutcome> outcome);
  void AnswerConfirmed();
  bool MajorityConfirmed(double now_ms, double within_ms) const;
  void TickOwner(double now_ms);

  // Membership (replica_membership.cpp).
  bool ChangeMembers(double now_ms);
  const Learner* CaughtUpLearner(double now_ms, const std::string& address) const;
  std::optional<Member> MemberToReplace(double now_ms) const;
  void HandOver(double now_ms);
  void TickLearner(double now_ms);
  void TellSeeds(double now_ms);

  void Commit();
  HeartbeatReply Standing(double now_ms) const;

  const Options options_;
  const double started_ms_;
  Member self_;
  std::vector<Member> seeds_;
  Role role_ = Role::kLearner;
  Epoch promised_;
  double owner_silent_ms_ = 0;  // before the promise was raised
  AcceptedValue accepted_;
  AcceptedValue committed_;
  std::uint64_t ticket_ = 0;        // of the newest state handed out to be saved
  std::uint64_t saved_ticket_ = 0;  // of the newest that is on disk
  Position durable_;                // of the accepted value that is on disk
  std::map<std::uint64_t, Position> saving_;
  std::deque<std::pair<std::uint64_t, std::pair<std::string, Message>>> when_saved_;

  // As a follower or learner.
  std::string owner_;                  // internal address; empty: none is known
  double owner_heard_ms_ = kNeverMs;   // ever; by an owner's heartbeat or value
  double fresh_ms_ = kNeverMs;         // the owner was an owner after this moment, by its echo
  double behind_since_ms_ = kNeverMs;  // what is committed is not held here; kNeverMs: it is
  bool successor_waits_ = false;
  bool outsider_ = false;  // it was told that it is no member any more
  std::vector<Member> told_members_;
  Position told_position_;
  double told_seeds_ms_ = kNeverMs;
  IncomingTransfer incoming_;
  double patience_from_ms_ = 0;
  double asked_ms_ = kNeverMs;
  double leaving_since_ms_ = kNeverMs;  // kNeverMs: it stays

  // As a candidate.
  std::map<std::string, Vote> votes_;
  std::map<std::string, std::uint64_t> pre_votes_;  // the voters' stores; only while they are asked for
  bool pre_voting_ = false;
  bool handover_ = false;
  double stood_ms_ = 0;
  double prepares_sent_ms_ = 0;
  bool promise_saved_ = false;
  std::uint64_t promise_ticket_ = 0;

  // As an owner.
  std::map<std::string, PeerState> peers_;
  std::map<std::string, Learner> learners_;
  std::map<std::string, double> leaving_;  // members that asked for a successor, when last
  RecentValues recent_;
  Position ends_exchange_;   // of the value that ended the last exchange of members
  std::uint64_t round_ = 0;  // never set back in one life
  double beat_ms_ = kNeverMs;
  double owned_ms_ = 0;
  Accession accession_;
  std::optional<std::vector<std::string>> drained_;  // wanted in the value
  std::deque<Waiting> proposals_;
  std::optional<std::uint64_t> in_flight_;  // the proposal whose value is being accepted
  std::deque<Unconfirmed> unconfirmed_;

  ReplicaOutput output_;
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_REPLICATION_REPLICA_H_
