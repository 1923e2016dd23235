// Messages between control machines about tallies (fleet/tallies/tally_ledger.h).
#ifndef BITTERNMUX_SRC_FLEET_MESSAGES_TALLY_MESSAGES_H_
#define BITTERNMUX_SRC_FLEET_MESSAGES_TALLY_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

namespace bitternmux::fleet {

// One add to a tally. An id counts once, however often it comes.
struct TallyAdd {
  std::string id;
  std::string tally;
  std::int64_t amount = 0;

  bool operator==(const TallyAdd&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, tally, amount);
  }
};

// Consecutive adds of one log. The first add of a log has the number 1.
struct TallyAdds {
  std::uint64_t origin = 0;  // whose log: one life of a process of a control machine
  std::uint64_t first = 1;   // number of the first of them
  std::vector<TallyAdd> adds;

  bool operator==(const TallyAdds&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(origin, first, adds);
  }
};

// How many adds of a log, from its first, are held.
struct TallyExtent {
  std::uint64_t origin = 0;
  std::uint64_t length = 0;

  bool operator==(const TallyExtent&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(origin, length);
  }
};

// What the sender holds; told to every other control machine at a steady pace, and answered by TallyStored.
struct TallyState {
  std::uint64_t origin = 0;       // of the sender's own log
  std::uint64_t round = 0;        // rises with each state of this life, from 1
  std::vector<TallyExtent> held;  // in memory, by rising origin
  bool settled = false;           // the sender answers reads
  std::string zone;               // in which the sender stands; empty: its settings name none

  template <class Archive>
  void serialize(Archive& archive) {
    archive(origin, round, held, settled, zone);
  }
};

// So much of the receiver's log is on the sender's disk: the answer to TallyState, and sent unasked once
// there is more.
struct TallyStored {
  std::uint64_t origin = 0;  // the log's
  std::uint64_t round = 0;   // of the state that it answers; 0: unasked
  std::uint64_t length = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(origin, round, length);
  }
};

// Asks for adds beyond what the sender holds.
struct TallyFetch {
  std::vector<TallyExtent> held;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(held);
  }
};

// Adds that the receiver may lack: new ones of the sender's own log, or the answer to TallyFetch.
struct TallyPiece {
  std::vector<TallyAdds> logs;
  bool fetched = false;  // the answer to TallyFetch
  bool more = false;     // of an answer: the sender holds still more than was asked for
  template <class Archive>
  void serialize(Archive& archive) {
    archive(logs, fetched, more);
  }
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_MESSAGES_TALLY_MESSAGES_H_
