// The fleet's internal protocol: every message that control machines, agents and routers send to each other.
//
// Plain values with a cereal archive each. kProtocolVersion stands in every frame (codec.h); a peer that
// speaks another version is turned away when its first frame is read.
#ifndef BITTERNMUX_SRC_FLEET_MESSAGES_MESSAGES_H_
#define BITTERNMUX_SRC_FLEET_MESSAGES_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "fleet/messages/server_loads.h"
#include "fleet/messages/tally_messages.h"

namespace bitternmux::fleet {

constexpr std::uint32_t kProtocolVersion = 7;

constexpr double kNeverMs = -1e18;  // a time before all others

// ---- Replication of a shard ----

// A control machine as others reach it, with the disk that it has now. `internal` is its address and `store`
// the identity of its disk: a machine that has lost its disk comes back as another member.
struct Member {
  std::string internal;     // ip:port of replication and feed
  std::string control;      // ip:port of the operator's API
  std::uint64_t store = 0;  // 0: not known, of a machine that only its address was told of

  bool operator==(const Member&) const = default;
  auto operator<=>(const Member&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(internal, control, store);
  }
};

// The right to act as the owner of a shard. No two replicas can choose the same one: `store` is the disk of
// the replica that chose it, which never chooses a counter twice.
struct Epoch {
  std::uint64_t counter = 0;
  std::uint64_t store = 0;

  auto operator<=>(const Epoch&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(counter, store);
  }
};

// Where a value stands in the history of its shard: under which owner's epoch, and how many values came
// before.
struct Position {
  Epoch epoch;
  std::uint64_t sequence = 0;

  auto operator<=>(const Position&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, sequence);
  }
};

// An order of the operator that was taken: what it set, so that a repeat of it is known.
struct TakenOrder {
  std::uint64_t version = 0;
  std::uint64_t digest = 0;

  bool operator==(const TakenOrder&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, digest);
  }
};

// The replicated value of the configuration shard. It is small enough to be replaced whole by each change.
struct ShardValue {
  std::vector<Member> members;  // the replica group
  // The group before a change of members: until the change is committed, majorities of both groups decide.
  std::vector<Member> previous_members;
  std::uint64_t version = 0;  // of the configuration; 0: none yet
  std::string configuration;  // as the operator sent it
  std::vector<TakenOrder> history;
  std::vector<std::string> drained;    // tenants whose quota may be used up (quota_grantor.h), by name
  std::vector<std::string> evacuated;  // zones whose servers are to get nothing more, by name

  bool operator==(const ShardValue&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(members, previous_members, version, configuration, history, drained, evacuated);
  }
};

struct AcceptedValue {
  Position position;
  ShardValue value;

  bool operator==(const AcceptedValue&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(position, value);
  }
};

// Asks whether a Prepare of that epoch would find a promise. It changes nothing, so that a replica that
// others hear but that hears nobody does not depose one owner after another.
struct PreVote {
  Epoch epoch;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch);
  }
};

struct PreVoteReply {
  std::uint64_t store = 0;  // of the sender
  Epoch epoch;              // that was asked for
  Epoch promised;
  bool granted = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(store, epoch, promised, granted);
  }
};

// Asks for the right to act as the owner of the shard in that epoch.
struct Prepare {
  Epoch epoch;
  Position accepted;      // the candidate's own: newer values are wanted, older ones are not
  bool handover = false;  // the owner has asked it to stand
  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, accepted, handover);
  }
};

// The answer to Prepare, sent once the promise is on disk.
struct Promise {
  std::uint64_t store = 0;
  Epoch epoch;
  Position accepted;
  std::optional<AcceptedValue> value;  // if it is newer than the candidate's
  double owner_silent_ms = 0;          // for which the voter had heard no owner, or had not been running
  template <class Archive>
  void serialize(Archive& archive) {
    archive(store, epoch, accepted, value, owner_silent_ms);
  }
};

// A piece of the owner's newest value, whole or as changes of the value at `base`.
struct ValuePiece {
  Position position;
  Position base;  // the start of all: the bytes are a whole value
  std::uint64_t total = 0;
  std::uint64_t offset = 0;
  std::string bytes;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(position, base, total, offset, bytes);
  }
};

// How much of a value has come. Sent while it is not whole, and where its base is missing.
struct PieceReply {
  Position position;
  std::uint64_t received = 0;
  bool base_missing = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(position, received, base_missing);
  }
};

// From the owner: it is alive, what it has committed and what it wants everyone to hold.
struct Heartbeat {
  Epoch epoch;
  std::uint64_t round = 0;  // rises with each heartbeat of this owner
  double sent_ms = 0;       // by the owner's clock
  // The `sent_ms` of the newest reply that the owner has from the receiver, by the receiver's clock: the
  // heartbeat is not older than that. kNeverMs: it has none.
  double echo_ms = 0;
  Position committed;
  Position newest;
  bool successor_waits = false;  // a machine that holds all waits for a place in the group
  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, round, sent_ms, echo_ms, committed, newest, successor_waits);
  }
};

// What the sender holds: the answer to Heartbeat, and sent unasked once a value is on disk.
struct HeartbeatReply {
  std::uint64_t store = 0;
  std::uint64_t incarnation = 0;  // of the sender's process
  Epoch epoch;                    // highest that the sender has promised
  Epoch answers;                  // of the heartbeat that it answers
  std::uint64_t round = 0;        // of that heartbeat; 0: unasked
  double owner_sent_ms = 0;       // of the heartbeat that it answers, by the owner's clock
  double sent_ms = 0;             // by the sender's clock
  Position accepted;              // in memory
  Position durable;               // on disk
  template <class Archive>
  void serialize(Archive& archive) {
    archive(store, incarnation, epoch, answers, round, owner_sent_ms, sent_ms, accepted, durable);
  }
};

// A control machine that is no member of the group asks to become one.
struct JoinRequest {
  Member member;
  std::uint64_t incarnation = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(member, incarnation);
  }
};

// The group as the sender's value has it: from one that is not the owner, to one that does not know that it
// is no member any more, and now and then to machines that the settings name and that are no members.
struct JoinReply {
  Position position;  // of that value
  std::vector<Member> members;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(position, members);
  }
};

// A member that is to stop asks for a successor to take its place first.
struct LeaveRequest {
  Member member;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(member);
  }
};

// The owner hands over: the receiver is to stand for owner now.
struct StandNow {
  Epoch epoch;  // of the owner
  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch);
  }
};

// ---- The feed ----

// A server as the platform lists it.
struct ServerEntry {
  std::string id, service, address, zone;
  std::int32_t slots = 0;
  bool draining = false;
  bool cold = false;  // it has started a moment ago, and bears few requests

  bool operator==(const ServerEntry&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, service, address, zone, slots, draining, cold);
  }
};

// Which reading of the platform's list. The owner of the configuration shard numbers the readings that it
// publishes, so that positions rise with the epochs that a majority has on disk.
struct ListPosition {
  Epoch epoch;                // of the owner that published it
  std::uint64_t reading = 0;  // how many it had published in that epoch

  auto operator<=>(const ListPosition&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, reading);
  }
};

// A new configuration. `delta` builds it from the one of `base` (delta/text_delta.h); base 0: from nothing.
struct ConfigurationChange {
  std::uint64_t version = 0;
  std::uint64_t base = 0;
  std::string delta;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, base, delta);
  }
};

// A new list of servers: the entries that changed since `base`, or all of them.
struct ServersChange {
  ListPosition position;
  bool whole = false;
  ListPosition base;
  std::vector<ServerEntry> changed;
  std::vector<std::string> removed;  // ids
  template <class Archive>
  void serialize(Archive& archive) {
    archive(position, whole, base, changed, removed);
  }
};

// The zones whose servers are to get nothing more.
struct Evacuations {
  Position position;  // of the committed value that they stand in; only rises
  std::vector<std::string> zones;

  bool operator==(const Evacuations&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(position, zones);
  }
};

// Who takes part, for shares of limits that hold over the whole fleet.
struct FleetView {
  std::vector<Member> control;
  std::uint32_t routers = 0;
  std::uint64_t epoch = 0;

  bool operator==(const FleetView&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(control, routers, epoch);
  }
};

// Asks for all that came after an offset; what is known already is not sent again.
struct Subscribe {
  std::string subscriber;  // node name
  std::uint64_t feed = 0;  // whose offset it is; 0: none
  std::uint64_t offset = 0;
  std::uint64_t configuration_version = 0;
  ListPosition servers;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(subscriber, feed, offset, configuration_version, servers);
  }
};

// One entry of a feed, or a snapshot in place of all entries up to its offset.
struct FeedEntry {
  std::uint64_t feed = 0;
  std::uint64_t offset = 0;
  bool snapshot = false;
  std::optional<ConfigurationChange> configuration;
  std::optional<ServersChange> servers;
  std::optional<FleetView> fleet;
  std::optional<Evacuations> evacuations;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(feed, offset, snapshot, configuration, servers, fleet, evacuations);
  }
};

// The feed is alive. `fresh`: its source is in contact with the owner of the configuration.
struct FeedBeat {
  std::uint64_t feed = 0;
  std::uint64_t offset = 0;
  bool fresh = false;
  // The version that the source holds, and the newest reading that it knows of. A subscriber that holds more
  // has heard of what its source has not.
  std::uint64_t configuration_version = 0;
  ListPosition servers;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(feed, offset, fresh, configuration_version, servers);
  }
};

// From the owner to the other control machines: who reads the platform's list from now on.
struct ListAssignment {
  Epoch epoch;
  std::uint64_t number = 0;
  std::string reader;             // internal address
  std::uint64_t incarnation = 0;  // of the reader's process: one that was restarted has to be assigned anew

  bool operator==(const ListAssignment&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, number, reader, incarnation);
  }
};

// From the reader to the owner: what it has read under that assignment.
struct ListReport {
  ListAssignment assignment;
  std::vector<ServerEntry> servers;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(assignment, servers);
  }
};

// From the owner to the other control machines: a reading of the platform's list.
struct ListReading {
  ListPosition position;
  ListPosition content;                 // the reading that showed this content first
  std::optional<ServersChange> change;  // the whole list; none: the content is told already
  template <class Archive>
  void serialize(Archive& archive) {
    archive(position, content, change);
  }
};

// To the owner: the sender lacks the content that a reading speaks of.
struct ListRequest {
  ListPosition held;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(held);
  }
};

// Between control machines: how many agents the sender feeds.
struct FeedLoad {
  std::uint32_t subscribers = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(subscribers);
  }
};

// ---- Leases of quota ----

// A part of a tenant's rate that one router may use by itself.
struct QuotaLease {
  double rate_per_ms = 0;
  double carry = 0;  // tokens that may be saved up
  template <class Archive>
  void serialize(Archive& archive) {
    archive(rate_per_ms, carry);
  }
};

// A router asks for tokens of a tenant's quota. `asker` is filled by who passes it on.
struct QuotaRequest {
  std::uint64_t id = 0;      // rises within one life of the router
  std::uint64_t holder = 0;  // the router's life
  std::string tenant;
  double need = 0;      // tokens for a request that waits
  double returned = 0;  // tokens that were granted or leased, and lapsed unused
  QuotaLease wanted;    // from now on
  QuotaLease held;      // now, and not above what is wanted
  std::string asker;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, holder, tenant, need, returned, wanted, held, asker);
  }
};

struct QuotaGrant {
  std::uint64_t id = 0;
  std::uint64_t holder = 0;
  std::string tenant;
  double tokens = 0;          // 0: none
  double retry_ms = 0;        // above 0: the tokens that were asked for are refused
  QuotaLease lease;           // not below what was held
  QuotaLease fair;            // what is to be held at most by the next request, as others want some too
  bool renewed_only = false;  // the lease stands only if the one that was held still runs
  std::string asker;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, holder, tenant, tokens, retry_ms, lease, fair, renewed_only, asker);
  }
};

// ---- Links ----

enum class PeerRole : std::uint8_t { kControl, kAgent, kRouter };

// The first message on a link.
struct Hello {
  PeerRole role = PeerRole::kControl;
  std::string name;  // node name
  Member member;     // of a control machine
  std::uint64_t incarnation = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(role, name, member, incarnation);
  }
};

using Message =
    std::variant<Hello, PreVote, PreVoteReply, Prepare, Promise, ValuePiece, PieceReply, Heartbeat,
                 HeartbeatReply, JoinRequest, JoinReply, LeaveRequest, StandNow, Subscribe, FeedEntry,
                 FeedBeat, ListAssignment, ListReport, ListReading, ListRequest, FeedLoad, QuotaRequest,
                 QuotaGrant, ServerLoads, TallyState, TallyStored, TallyFetch, TallyPiece>;

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_MESSAGES_MESSAGES_H_
