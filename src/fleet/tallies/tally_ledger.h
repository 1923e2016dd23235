// Tallies: named sums of adds, kept by every control machine, on each side of a cut. A decider without I/O,
// clock or thread; docs/design/apart.md has the reasons.
//
// Each process appends the adds that it is called for to a log of its own (an origin is one life of a
// process) and holds a prefix of every other log. The sums are folded from all logs; an id counts once. An id
// that comes with different contents counts with the lowest of these (by tally, then amount), whichever came
// first.
//
// Invariants:
//  - The number of an add in its log never means another add: an origin is never used by a second process.
//  - What is held of a log is a prefix of it, in memory and on disk.
//  - An add that stands in the log is never answered as refused.
//  - An add is answered as added once it is on as many disks as Options::copies says, or, where fewer
//  machines can be
//    reached, on this machine's disk and on those of all that can be. A machine counts as reached while it
//    has answered a state that was sent no longer than kReachedMs ago, and for kReachedMs from the start of
//    this process.
//  - A read is answered once this process has caught up with every machine that it can reach.
//
// Bounds: kMaxAdds adds, kMaxCalls calls that wait, kPieceBytes of one answer to a fetch, one fetch under
// way. Not thread-safe. Times are in milliseconds on one clock that does not go back.
#ifndef BITTERNMUX_SRC_FLEET_TALLIES_TALLY_LEDGER_H_
#define BITTERNMUX_SRC_FLEET_TALLIES_TALLY_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/messages/messages.h"

namespace bitternmux::fleet {

constexpr double kTallyStateMs = 150;  // between two states that are told to the others
constexpr double kReachedMs = 450;     // a machine that answers nothing for so long cannot be reached
constexpr double kAddMs = 900;         // for an add to be on enough disks
constexpr double kCatchUpMs = 1500;    // for which reads wait after a start for machines that are silent
constexpr double kCatchUpFromNothingMs = 8000;  // the same, of a process that may have lost its disk
constexpr double kFetchMs = 400;                // for the answer to a fetch
constexpr std::size_t kPieceBytes = 64 * 1024;
constexpr std::size_t kMaxAdds = 400'000;
constexpr std::size_t kMaxTallyCalls = 1024;
constexpr std::size_t kMaxTallyNameBytes = 256;  // of an id, or of a tally's name

enum class TallyOutcome {
  kAdded,        // it counts, now or by an earlier call
  kTotal,        // `total` is the sum
  kUnavailable,  // nothing was done; to be asked elsewhere
  kFull,         // nothing was done, as kMaxAdds adds are held
  kUndecided,    // it may count
};

struct TallyAnswer {
  std::uint64_t call = 0;
  TallyOutcome outcome = TallyOutcome::kUnavailable;
  std::int64_t total = 0;
};

// What is to be written to the disk, in this order and whole. Tickets rise by one.
struct TallyWrite {
  std::uint64_t ticket = 0;
  std::vector<TallyAdds> logs;
};

struct TallyOutput {
  std::vector<std::pair<std::string, Message>> sends;  // to the control machine with that internal address
  std::vector<TallyWrite> writes;
  std::vector<TallyAnswer> answers;
};

// For people: how far another machine's copy is.
struct TallyPeerStatus {
  std::string address;
  bool reached = false;
  std::uint64_t missing_here = 0;   // adds that it held when it told last, and that are not held here
  std::uint64_t missing_there = 0;  // the other way round
};

class TallyLedger {
 public:
  struct Options {
    std::uint64_t origin = 0;         // of this process; never used before
    std::size_t copies = 2;           // disks that an add has to be on: one more than may be lost at once
    bool may_have_lost_disk = false;  // it began with an empty disk, and not with the whole fleet
  };

  // `loaded`: what the disk holds, a whole prefix of each log.
  TallyLedger(Options options, std::vector<TallyAdds> loaded, double now_ms);
  ~TallyLedger();
  TallyLedger(const TallyLedger&) = delete;
  TallyLedger& operator=(const TallyLedger&) = delete;

  // The other control machines that are known, by their internal addresses.
  void SetPeers(double now_ms, const std::vector<std::string>& addresses);
  // Answered in a later output, maybe the next one.
  void Add(double now_ms, std::uint64_t call, TallyAdd add);
  void Read(double now_ms, std::uint64_t call, const std::string& tally);
  // A message about tallies; others are passed over.
  void Receive(double now_ms, const std::string& from, const Message& message);
  // All writes up to that ticket are on disk.
  void Stored(double now_ms, std::uint64_t ticket);
  void Tick(double now_ms);
  TallyOutput TakeOutput();

  // Does it answer reads?
  bool Settled(double now_ms) const;
  std::size_t adds() const;  // that are held, of all logs
  std::vector<TallyPeerStatus> Peers(double now_ms) const;

 private:
  struct State;
  State* state_;  // owned
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_TALLIES_TALLY_LEDGER_H_
