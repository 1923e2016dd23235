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

namespace bitternmux::fleet {

constexpr std::uint32_t kProtocolVersion = 1;

// ---- Replication of a shard
// -----------------------------------------------------------------------------------

// A control machine as others reach it. `internal` identifies it.
struct Member {
  std::string internal;  // ip:port of replication and feed
  std::string control;   // ip:port of the operator's API

  bool operator==(const Member&) const = default;
  auto operator<=>(const Member&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(internal, control);
  }
};

// Where a value stands in the history of its shard: under which owner's epoch, and how many values came
// before.
struct Position {
  std::uint64_t epoch = 0;
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
  std::uint64_t version = 0;    // of the configuration; 0: none yet
  std::string configuration;    // as the operator sent it
  std::vector<TakenOrder> history;

  bool operator==(const ShardValue&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(members, version, configuration, history);
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
  std::uint64_t epoch = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch);
  }
};

struct PreVoteReply {
  std::uint64_t epoch = 0;  // that was asked for
  std::uint64_t promised_epoch = 0;
  bool granted = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, promised_epoch, granted);
  }
};

// Asks for the right to act as the owner of the shard in that epoch.
struct Prepare {
  std::uint64_t epoch = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch);
  }
};

// The answer to Prepare, sent once the promise is on disk.
struct Promise {
  std::uint64_t epoch = 0;
  AcceptedValue accepted;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, accepted);
  }
};

// The owner's newest value, to be put on disk.
struct Accept {
  AcceptedValue accepted;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(accepted);
  }
};

// From the owner: it is alive, what it has committed and what it wants everyone to hold.
struct Heartbeat {
  std::uint64_t epoch = 0;
  std::uint64_t round = 0;  // rises with each heartbeat of this owner
  Position committed;
  Position newest;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, round, committed, newest);
  }
};

// What the sender holds on disk: the answer to Heartbeat, and sent unasked once an Accept is on disk.
struct HeartbeatReply {
  std::uint64_t epoch = 0;  // highest that the sender has promised
  std::uint64_t round = 0;
  Position durable;
  bool voter = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, round, durable, voter);
  }
};

// A replica that has lost its disk asks for what the others hold before it votes again.
struct RecoverRequest {
  std::uint64_t nonce = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(nonce);
  }
};

struct RecoverReply {
  std::uint64_t nonce = 0;
  std::uint64_t promised_epoch = 0;
  AcceptedValue accepted;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(nonce, promised_epoch, accepted);
  }
};

// A control machine that is no member of the group asks to become one.
struct JoinRequest {
  Member member;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(member);
  }
};

// ---- The feed
// -------------------------------------------------------------------------------------------------

// A server as the platform lists it.
struct ServerEntry {
  std::string id, service, address, zone;
  std::int32_t slots = 0;
  bool draining = false;

  bool operator==(const ServerEntry&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, service, address, zone, slots, draining);
  }
};

// Which reading of the platform's list: the reader's term, and the how-manieth reading in it.
struct ListPosition {
  std::uint64_t term = 0;
  std::uint64_t reading = 0;

  auto operator<=>(const ListPosition&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, reading);
  }
};

// A new configuration. `delta` builds it from the one of `base` (feed/text_delta.h); base 0: from nothing.
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
  template <class Archive>
  void serialize(Archive& archive) {
    archive(feed, offset, snapshot, configuration, servers, fleet);
  }
};

// The feed is alive. `fresh`: its source is in contact with the owner of the configuration.
struct FeedBeat {
  std::uint64_t feed = 0;
  std::uint64_t offset = 0;
  bool fresh = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(feed, offset, fresh);
  }
};

// Between control machines: a reading of the platform's list.
struct ListReading {
  ListPosition position;
  std::optional<ServersChange> change;  // none: nothing has changed
  template <class Archive>
  void serialize(Archive& archive) {
    archive(position, change);
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

// ---- Leases of quota
// ------------------------------------------------------------------------------------------

// A router asks for tokens of a tenant's quota. `asker` is filled by who passes it on.
struct QuotaRequest {
  std::uint64_t id = 0;
  std::string tenant;
  double need = 0;     // for a request that waits
  double reserve = 0;  // welcome beyond that
  std::string asker;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, tenant, need, reserve, asker);
  }
};

struct QuotaGrant {
  std::uint64_t id = 0;
  std::string tenant;
  double tokens = 0;  // 0: refused
  double retry_ms = 0;
  std::string asker;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, tenant, tokens, retry_ms, asker);
  }
};

// ---- Links
// ----------------------------------------------------------------------------------------------------

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

using Message = std::variant<Hello, PreVote, PreVoteReply, Prepare, Promise, Accept, Heartbeat,
                             HeartbeatReply, RecoverRequest, RecoverReply, JoinRequest, Subscribe, FeedEntry,
                             FeedBeat, ListReading, FeedLoad, QuotaRequest, QuotaGrant>;

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_MESSAGES_MESSAGES_H_
