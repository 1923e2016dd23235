// Discovery: the list of machines as it is known there, late, and told to whoever asks.
//
// One service of fixed capacity for all sidecars: calls wait in turn, and fail when they have waited too
// long. It learns of a change some time after it happened, publishes what it knows in periods, and tells
// watches then. It may go down, which ends all watches, or move to another place with revisions of its own.
//
// Like the execute node it has no socket and no clock: calls carry the time, what is to be done is appended
// to `out`. State: one entry for each machine, `history` changes, the calls that are out, and for each
// sidecar what it was told.
#ifndef BITTERNMUX_LAB_MODEL_DISCOVERY_H_
#define BITTERNMUX_LAB_MODEL_DISCOVERY_H_

#include <cstdint>
#include <deque>
#include <map>
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
};

struct Listing {
  std::int64_t revision = 0;
  bool complete = false;
  std::vector<ListEntry> entries;  // by machine id's first appearance; one for each id
};

struct DiscoveryAction {
  enum class What {
    kTell,  // write `listing` on `call`: its first answer, or what has changed since the last one on a watch
    kFail,  // answer `call` with 503
    kEnd,   // the connection of `call` ends
    kDeemed,  // `sidecar` counts as told `entry` from now on, though nothing has reached it
  };
  What what = What::kTell;
  CallId call = 0;
  Listing listing;
  int sidecar = 0;
  ListEntry entry;
};
using DiscoveryActions = std::vector<DiscoveryAction>;

class Discovery {
 public:
  // `figures` must outlive it. Machines that are up from the start are known from the start.
  Discovery(const Figures& figures, const Seeds& seeds);

  double NextMs() const;
  void Advance(double now, DiscoveryActions& out);

  // The truth: the process `machine` has come up, drains or is gone. `announced`: it said so itself.
  void Changed(double now, int machine, Phase phase, bool announced, DiscoveryActions& out);

  // The place that discovery is at now; it begins at 0 and each move adds 1. Calls to another place, or while
  // it is down, meet a refused connection.
  int place() const { return place_; }
  bool up() const { return up_; }

  // A call has come, from `sidecar`: for the whole list, or for a watch on what changed after `since`. Only
  // while up.
  void Ask(double now, CallId call, int sidecar, bool watch, std::int64_t since, DiscoveryActions& out);
  // Its connection has ended. Unknown ones are ignored.
  void Leave(double now, CallId call);
  // The sidecar's process has started: it has been told nothing yet but the list that it remembers.
  void SidecarStarted(double now, int sidecar);
  void SidecarEnded(int sidecar);

  void Apply(double now, Step::What what, DiscoveryActions& out);  // kDiscoveryDown, Up or Move

  // The list as it is known by now, as a sidecar that starts at this moment remembers it.
  Listing Remembered() const;

 private:
  struct Row {
    ListEntry entry;
    bool listed = false;
    std::int64_t changed = 0;  // revision; 0: as at the start
  };
  struct Call {
    int sidecar = 0;
    bool watch = false;
    bool answered = false;
    std::int64_t since = 0;
  };
  struct Waiting {
    CallId call = 0;
    double came = 0;
  };
  struct Note {  // a change that is on its way to being known
    double known = 0;
    ListEntry entry;
  };
  struct Due {  // a sidecar counts as told of it from then on
    double at = 0;
    ListEntry entry;
  };

  void Publish(double now);
  void Serve(double now, DiscoveryActions& out);
  Listing Since(std::int64_t since) const;
  Listing Whole() const;
  void EndAll(DiscoveryActions& out);
  bool Supersedes(const ListEntry& entry, const ListEntry& by) const;
  void CountTold(int sidecar, const ListEntry& entry);
  double CostMs(std::size_t lines) const;

  const Figures& figures_;
  const Use notices_, spreads_;
  int place_ = 0;
  bool up_ = true;
  std::int64_t revision_;
  std::int64_t first_revision_;  // of this place
  std::vector<Row> rows_;        // by machine
  std::deque<std::int64_t> history_;
  std::vector<Note> notes_;  // not known yet, by time
  std::uint64_t notices_drawn_ = 0;
  double next_publish_;
  std::map<CallId, Call> calls_;
  std::deque<Waiting> waiting_;
  double served_at_ = kNever;  // when the first of these has its answer
  std::map<std::pair<double, CallId>, std::int64_t>
      tellings_;  // watches that are to be told, up to a revision
  std::deque<Due> dues_;
  struct Told {
    bool up = false;
    double since = 0;
    std::map<int, ListEntry> last;  // by machine: what it was told, if that is not the list it remembered
  };
  std::vector<Told> told_;                          // by sidecar
  std::vector<std::pair<double, CallId>> closing_;  // calls to a place that was left
};

}  // namespace bitternmux::lab::model

#endif  // BITTERNMUX_LAB_MODEL_DISCOVERY_H_
