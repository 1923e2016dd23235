// Discovery: the list of machines as it is known there, late, and told to whoever asks.
//
// One service of fixed capacity for all sidecars: calls wait in turn, and fail when they have waited too
// long. It learns of a change some time after it happened, publishes what it knows in periods, and tells
// watches then. It may go down, which ends all watches, or move to another place with revisions of its own;
// and for a time it may refuse, leave calls unanswered, forget, or tell what is long past.
//
// Like the execute node it has no socket and no clock: calls carry the time, what is to be done is appended
// to `out`. State: one entry for each machine id, the changes that are not known yet, the calls that are out,
// and the changes of as long as the oldest view that it is to tell.
#ifndef BITTERNMUX_LAB_MODEL_DISCOVERY_H_
#define BITTERNMUX_LAB_MODEL_DISCOVERY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "lab/model/figures.h"
#include "lab/model/random.h"

namespace bitternmux::lab::model {

using CallId = std::uint64_t;  // the caller's, never used again

enum class Phase { kServing, kDraining, kGone };

struct ListEntry {
  int machine = 0;  // the number of the machine's process; the rest is in its figures
  Phase phase = Phase::kServing;
  double started_ms = -1;  // below 0: long ago
  bool operator==(const ListEntry&) const = default;
};

struct Listing {
  std::int64_t revision = 0;
  bool complete = false;
  std::vector<ListEntry> entries;  // one for each machine id, in the order in which the ids were first known
  bool old = false;                // what was known some time ago
};

struct DiscoveryAction {
  enum class What {
    kTell,  // write `listing` on `call`: its first answer, or what has changed since the last one on a watch
    kLine,  // write an empty line on the watch `call`, on which nothing has been written for a while
    kFail,  // answer `call` with 503
    kEnd,   // the connection of `call` ends
    kListed,  // `entry` is on the list from now on, at `revision`, for whoever asks
  };
  What what = What::kTell;
  CallId call = 0;
  Listing listing;
  ListEntry entry;
  std::int64_t revision = 0;
};
using DiscoveryActions = std::vector<DiscoveryAction>;

class Discovery {
 public:
  // `figures` must outlive it. Machines that are up from the start are known from the start.
  Discovery(const Figures& figures, const Seeds& seeds);

  double NextMs() const;
  void Advance(double now, DiscoveryActions& out);

  // The truth: the process `machine` has come up, drains or is gone. `announced`: it said so itself.
  // `started_ms`: when it started; below 0: long ago.
  void Changed(double now, int machine, Phase phase, double started_ms, bool announced);

  // The place that discovery is at now; it begins at 0 and each move adds 1. Calls to another place, or while
  // it is down, meet a refused connection.
  int place() const { return place_; }
  bool up() const { return up_; }

  // A call of `sidecar` has come: for the whole list, or for a watch on what changed after `since`. Only
  // while up.
  void Ask(double now, CallId call, bool watch, std::int64_t since, int sidecar);
  // Its connection has ended. Unknown ones are ignored.
  void Leave(double now, CallId call);

  void Apply(double now, Step::What what, DiscoveryActions& out);  // kDiscoveryDown, Up or Move

  // The whole list as it is known now.
  Listing Whole() const { return WholeOf(rows_, revision_); }
  // Is the process on the list, as it is known now, and not draining? Forgotten ones count as they are.
  bool Serves(int machine) const;
  // Where a machine's entry stands in the list's order: the same for all processes of one machine.
  int RowOf(int machine) const { return row_of_[static_cast<std::size_t>(machine)]; }

 private:
  struct Row {
    ListEntry entry;
    bool known = false;
    std::int64_t changed = 0;  // revision
    bool forgotten = false;    // known, and not told
  };
  using Rows = std::vector<Row>;
  struct Past {  // what a change has made another
    double at = 0;
    std::size_t row = 0;
    Row before;
    std::int64_t revision = 0;
  };
  struct Mark {
    double at = 0;
    std::size_t trouble = 0;
    bool begins = false;
  };
  struct Call {
    bool watch = false;
    bool answered = false;
    std::int64_t since = 0;
    int sidecar = 0;
    double came = 0;
    double line_due = kNever;  // as lines_ has it
  };
  struct Note {  // a change that is not known yet
    double known = 0;
    ListEntry entry;
  };

  void Publish(double now, DiscoveryActions& out);
  void ServeNext(double now);
  static Listing WholeOf(const Rows& rows, std::int64_t revision);
  Listing SinceOf(const Rows& rows, std::int64_t revision, std::int64_t since) const;
  // The trouble that a call of the sidecar meets; null if there is none.
  const DiscoveryTrouble* Trouble(double now, DiscoveryFault fault, int sidecar) const;
  bool Hit(double now, DiscoveryFault fault, int sidecar, CallId call) const;
  // What a call gets to see at that time: rows_, or what they were, which is made in `old`.
  std::pair<const Rows*, std::int64_t> Seen(double at, Rows& old) const;
  void Carry(double now, const Mark& mark, DiscoveryActions& out);
  void Change(double now, std::size_t row, const ListEntry& entry, DiscoveryActions& out);
  void TellWatches(double now);
  void DropCalls();
  void Tell(double now, CallId call, DiscoveryActions& out);
  void LineDue(CallId id, Call& call, double at);
  void Forget(std::map<CallId, Call>::iterator call);
  double NextPublish() const;

  const Figures& figures_;
  const Use notices_, spreads_, places_, hits_, forgets_, orders_;
  const double first_publish_;
  int place_ = 0;
  bool up_ = true;
  std::int64_t revision_ = 0, first_revision_ = 0;  // the latter of this place
  std::vector<int> row_of_;                         // by machine
  Rows rows_;
  std::deque<Past> past_;  // by time
  double oldest_ms_ = 0;   // the age of the oldest view that is ever told
  std::vector<Mark> marks_;
  std::size_t next_mark_ = 0;
  std::vector<Note> notes_;  // by the time at which they are known
  std::uint64_t notes_drawn_ = 0, spreads_drawn_ = 0, orders_drawn_ = 0;
  std::map<CallId, Call> calls_;  // at the present place
  std::deque<CallId> waiting_;
  std::deque<CallId> refused_;
  CallId serving_ = 0;  // 0: none
  double served_at_ = kNever;
  std::set<std::pair<double, CallId>> tellings_;  // watches, and when they are to be told
  std::set<std::pair<double, CallId>> lines_;     // watches, and when an empty line is due
  std::set<std::pair<double, CallId>> closing_;   // calls to a place that was left
};

}  // namespace bitternmux::lab::model

#endif  // BITTERNMUX_LAB_MODEL_DISCOVERY_H_
