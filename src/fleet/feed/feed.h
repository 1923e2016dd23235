// The two ends of a feed: deciders without I/O.
//
// A publisher appends what changes to a journal in memory, each entry with the next offset. A subscriber
// bootstraps from a snapshot and then tails the journal from its offset; one whose offset the journal no
// longer holds, or that comes with the offset of another publisher, is sent a snapshot again, without what it
// says it holds already. Control machines publish to agents, and an agent publishes to the router beside it.
//
// What a subscriber holds never goes back: neither the version of the configuration nor the positions of the
// list and of the evacuations.
//
// Bounds: kJournalEntries entries of kJournalBytes in all; the current state once. Not thread-safe.
#ifndef BITTERNMUX_SRC_FLEET_FEED_FEED_H_
#define BITTERNMUX_SRC_FLEET_FEED_FEED_H_

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "fleet/messages/messages.h"

namespace bitternmux::fleet {

constexpr std::size_t kJournalEntries = 256;
constexpr std::size_t kJournalBytes = 256 * 1024;

using ServerMap = std::map<std::string, ServerEntry>;  // by id

// The state that a feed carries.
struct FeedState {
  std::uint64_t configuration_version = 0;
  std::string configuration;
  ListPosition list_position;
  ServerMap servers;
  FleetView fleet;
  Evacuations evacuations;  // the first position: nothing is known of them
};

// What turns one list into another; `whole` is false.
ServersChange MakeServersChange(const ServerMap& from, const ListPosition& base, const ServerMap& to,
                                const ListPosition& position);

class FeedPublisher {
 public:
  // `feed`: another number for each start of a publisher, above 0.
  explicit FeedPublisher(std::uint64_t feed) : feed_(feed) {}

  // Each appends an entry if it is news; what is older than the current state is left out. True: there is
  // one.
  bool SetConfiguration(std::uint64_t version, std::string text);
  bool SetServers(const ListPosition& position, ServerMap servers);
  bool SetFleet(FleetView fleet);
  // A newer position is news even where the zones are the same: a subscriber may hold other zones of a
  // position between the two, which this publisher never saw.
  bool SetEvacuations(Evacuations evacuations);

  const FeedState& state() const { return state_; }
  std::uint64_t feed() const { return feed_; }
  std::uint64_t offset() const { return offset_; }
  // What a subscriber lacks: entries of the journal, or a snapshot.
  std::vector<FeedEntry> CatchUp(const Subscribe& subscribe) const;
  // The entry appended last.
  const FeedEntry& Newest() const { return journal_.back(); }

 private:
  FeedEntry& Append();
  void Trim();
  FeedEntry Snapshot(const Subscribe& subscribe) const;

  const std::uint64_t feed_;
  std::uint64_t offset_ = 0;
  FeedState state_;
  std::deque<FeedEntry> journal_;
  std::size_t journal_bytes_ = 0;
};

class FeedFollower {
 public:
  // What an entry has changed. `gap`: it does not follow from what is held, and a new subscription is due.
  struct Applied {
    bool configuration = false, servers = false, fleet = false, evacuations = false;
    bool gap = false;
  };

  Applied Apply(const FeedEntry& entry);
  // Does the source, by its beat, have what is not held here? After a gap it does, until an entry has closed
  // it: the question may have been lost, or the answer.
  bool Lacks(const FeedBeat& beat) const { return beat.feed != feed_ || beat.offset > offset_; }
  // What to subscribe with. After a gap it asks for a snapshot.
  Subscribe Ask(std::string subscriber) const;
  const FeedState& state() const { return state_; }
  std::uint64_t offset() const { return offset_; }
  std::uint64_t feed() const { return feed_; }

 private:
  bool TakeConfiguration(const ConfigurationChange& change, Applied& applied);
  bool TakeServers(const ServersChange& change, Applied& applied);
  void TakeEvacuations(const Evacuations& evacuations, Applied& applied);

  FeedState state_;
  std::uint64_t feed_ = 0, offset_ = 0;
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_FEED_FEED_H_
