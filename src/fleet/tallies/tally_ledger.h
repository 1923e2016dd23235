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
//  - An add is answered as added once it is on as many disks as Options::copies says, in as many different
//    zones as Options::zones says, or, where that is out of reach, on this machine's disk and on those of all
//    that can be reached. A machine whose zone is not known adds a disk and no zone. A machine counts as
//    reached for kReachedMs after an answer to a state that was sent in the last kAddMs; one that was never
//    heard, for kFirstReachedMs from when it was named; and any for kReachedMs after this process stood
//    still.
//  - What was known before an add was called for is not enough to answer it without a machine: that one was
//    sent a probe, a state out of turn, after the call had come, and has not answered it in kProbeMs.
//  - The disk is marked as caught up only behind all that this process had when it first answered reads; one
//    that began with whatever it had may have lost adds, and its mark is what tells so in its next life.
//  - A read is answered once this process has caught up with every machine that it can reach. Those that are
//    silent are waited for kCatchUpMs, or kCatchUpFromNothingMs by one that may have lost its disk; that one
//    answers none before it has caught up with a machine that answers reads.
//
// Bounds: kMaxAdds adds and what others took before they held as many, kMaxTallyCalls calls that wait,
// kMostPieceBytes of one answer to a fetch, one fetch under way. Not thread-safe. Times are in milliseconds
// on one clock that does not go back.
#ifndef BITTERNMUX_SRC_FLEET_TALLIES_TALLY_LEDGER_H_
#define BITTERNMUX_SRC_FLEET_TALLIES_TALLY_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fleet/messages/messages.h"
#include "fleet/tallies/tally_fold.h"

namespace bitternmux::fleet {

constexpr double kTallyStateMs = 150;  // between two states that are told to the others
constexpr double kReachedMs = 450;     // a machine that answers nothing for so long cannot be reached
// Before an add is answered without the machines that cannot be reached, each of them was sent a probe after
// the call had come, and has not answered it for so long (there and back between zones takes 1 to 6 ms).
constexpr double kProbeMs = 30;
constexpr double kProbeEveryMs = 10;  // while adds wait for machines that cannot be reached
// After a probe's time is over, for answers to be read that came while this process stood still.
constexpr double kProbeReadMs = 5;
// From the start of a process its own disk is not enough for so long, whoever is reached: after a kill of all
// they come back one by one.
constexpr double kFirstReachedMs = 1500;
constexpr double kPauseMs = 250;     // between two events of this process, that it stood still for
constexpr double kAddMs = 900;       // for an add to be on enough disks
constexpr double kCatchUpMs = 1500;  // for which reads wait after a start for machines that are silent
constexpr double kCatchUpFromNothingMs = 8000;  // the same, of a process that may have lost its disk
constexpr double kFetchMs = 400;                // for the answer to a fetch
constexpr double kStrangerMs = 2000;  // a machine that nobody has named is a peer for so long after its state
constexpr std::size_t kMostPieceBytes = 64 * 1024;
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
  bool caught_up = false;  // behind the logs, the mark that this disk has caught up with the others
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
    std::uint64_t origin = 0;  // of this process; never used before
    std::size_t copies = 2;    // disks that an add has to be on: one more than may be lost at once
    std::size_t zones = 1;     // different zones that these stand in: one more than may be lost at once
    std::string zone;          // of this machine; empty: its settings name none
    // Its disk was never marked as caught up, and it did not begin with the whole fleet: it answers no read
    // before it has caught up with a machine that does, and waits longer for those that are silent.
    bool may_have_lost_disk = false;
  };

  // `loaded`: what the disk holds, a whole prefix of each log.
  TallyLedger(Options options, std::vector<TallyAdds> loaded, double now_ms);
  TallyLedger(const TallyLedger&) = delete;
  TallyLedger& operator=(const TallyLedger&) = delete;

  // The other control machines that are known, by their internal addresses. Who is not among them and tells
  // its state is one too: a machine that waits to join is named by the owner alone.
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

  // Do adds wait for machines that may not be reached? A Tick every kProbeEveryMs answers them soon.
  bool waits_for_probes() const { return !probes_.empty(); }
  // Does it answer reads?
  bool settled() const { return settled_; }
  std::size_t adds() const { return fold_.adds(); }  // that are held, of all logs
  std::vector<TallyPeerStatus> Peers(double now_ms) const;

 private:
  struct Peer {
    std::uint64_t origin = 0;              // of its life; 0: it has told nothing yet
    std::string zone;                      // as it told last; empty: not known
    double answered_ms = 0;                // when its newest answer to a state came
    std::optional<double> heard_ms;        // when its newest state came
    bool settled = false;                  // it answers reads, as it told last
    std::uint64_t stored = 0;              // of this process's log, on its disk
    std::vector<TallyExtent> held;         // as it told last
    std::vector<TallyExtent> held_before;  // and the time before
    double told_again_ms = kNeverMs;       // when its state was answered with one, out of turn
    bool caught_up = false;                // all that it held at some moment since the start is held here
  };
  // An add that waits for enough disks.
  struct Pending {
    std::uint64_t number = 0;
    double since_ms = 0;
    std::vector<std::uint64_t> calls;
  };
  // A state that was sent to each machine that lacked an add which waits.
  struct Probe {
    double sent_ms = 0;
    std::optional<double> due_ms;  // the first event of this process after its time was over
  };
  struct Fetch {
    std::string from;
    double sent_ms = 0;
  };
  // A write, and how far it takes the logs on disk.
  struct Writing {
    std::uint64_t ticket = 0;
    std::vector<TallyExtent> until;
  };

  void On(double now_ms, const std::string& from, const TallyState& state);
  void On(double now_ms, const std::string& from, const TallyStored& stored);
  void On(double now_ms, const std::string& from, const TallyFetch& fetch);
  void On(double now_ms, const std::string& from, const TallyPiece& piece);
  template <class Other>
  void On(double, const std::string&, const Other&) {}

  void NoteTime(double now_ms);
  void TellState(double now_ms);
  TallyState StateNow() const;
  void BeginRound(double now_ms);
  void ProbeUnreached(double now_ms);
  void JudgeProbes(double now_ms);
  bool IsReached(const Peer& peer, double now_ms) const { return now_ms - peer.answered_ms <= kReachedMs; }
  void JudgeCaughtUp();
  void Settle(double now_ms);
  bool HasCaughtUpWithSettled() const;
  void FetchMissing(double now_ms);
  std::optional<std::string> NextSource(double now_ms) const;
  void Ask(double now_ms, const std::string& from);
  bool IsStored(double now_ms, const Pending& pending) const;
  bool IsInEnoughZones(bool here, std::uint64_t number) const;
  bool IsStoredByAllReached(double now_ms, const Pending& pending) const;
  void AnswerPending(double now_ms);
  void Answer(std::uint64_t call, TallyOutcome outcome, std::int64_t total = 0);
  void QueueWrite(TallyAdds adds);
  void Send(const std::string& to, Message message);
  void SendNewAdds();
  void FlushWrite();

  const Options options_;
  const double started_ms_;
  TallyFold fold_;
  std::unordered_map<std::string, std::uint64_t> own_numbers_;  // of the own log, by id
  std::map<std::string, Peer> peers_;                           // by internal address
  std::deque<Pending> pending_;                                 // by rising number
  std::size_t waiting_calls_ = 0;
  std::map<std::uint64_t, std::uint64_t> stored_;  // on the own disk, by origin
  std::deque<Writing> writing_;
  std::uint64_t last_ticket_ = 0;
  std::vector<TallyAdds> unwritten_;  // taken since the last output
  bool mark_unwritten_ = false;       // it has caught up since the last output
  std::uint64_t told_adds_ = 0;       // of the own log, sent to the others
  std::uint64_t round_ = 0;
  std::deque<std::pair<std::uint64_t, double>> rounds_;  // that count for reaching, and when they were sent
  double told_ms_ = kNeverMs;
  std::deque<Probe> probes_;         // whose time is not over
  double probed_ms_ = kNeverMs;      // when the newest probe was sent
  double unanswered_ms_ = kNeverMs;  // when the newest probe was sent whose time is over
  std::optional<Fetch> fetch_;
  std::string last_source_;  // that was asked last
  double event_ms_;          // of the newest event of this process
  bool settled_ = false;
  TallyOutput output_;
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_TALLIES_TALLY_LEDGER_H_
