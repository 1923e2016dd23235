// One process of an execute node: how it works off what it is sent, and when it falls over.
//
// A state machine without sockets or a clock. Whoever carries requests, in simulated time or on sockets,
// tells it what has come (each call with the time, which never goes back) and carries out what it appends to
// `out`, in that order. NextMs() says when it wants to be called again by itself; between its calls nothing
// changes but time.
//
// What is reckoned:
//  - Claims in work share the cores evenly, at most one core each; others wait in turn for a slot; beyond
//  `room`
//    waiting ones, claims are declined unseen.
//  - Capacity is cores x speed x warmth, less what a full connection table takes, what holding too many
//  claims
//    costs, and divided by what a crowd or a trouble slows it down.
//  - Work for connections and probes goes first, on one core.
//  - A cold process warms up with time or with the work that it has done. One that is sent too much while
//  cold falls:
//    all work that reached it within the last `fall_ms`, declined work too, is held against its present
//    capacity.
//
// State is bounded: claims by slots and room, connections by `connections`, the window of a cold process by
// the arrivals within `fall_ms`, and reports by delay over period.
#ifndef BITTERNMUX_LAB_MODEL_EXECUTE_NODE_H_
#define BITTERNMUX_LAB_MODEL_EXECUTE_NODE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

#include "lab/model/figures.h"
#include "lab/model/random.h"

namespace bitternmux::lab::model {

// Both are the caller's, above 0 and never used again.
using ConnectionId = std::uint64_t;
using ClaimId = std::uint64_t;

// What is wrong with an answer. All of them come after the work was done.
enum class Spoil {
  kNone,
  // Of no use: the claim has failed.
  kNoise,        // bytes that are no HTTP
  kBadHead,      // a head that cannot be read
  kEndlessHead,  // a head that goes on and on
  kBadLength,    // a length that is none, or two that differ
  kTooShort,     // a body that ends before its length, on a connection that stays open
  kHuge,         // said to hold 3 GB, and keeps coming
  // Good, with more than is its own: the claim is served.
  kTwice,        // a second copy right behind
  kNoiseBehind,  // noise right behind
  kBadReport,    // a load report that cannot be read
  kInterim,      // 1xx answers in front
};
inline constexpr int kSpoils = 10;  // kinds beside kNone
constexpr bool IsUsable(Spoil spoil) { return spoil == Spoil::kNone || spoil >= Spoil::kTwice; }

struct Report {
  int inflight = 0;  // claims held
  int queue = 0;     // of these, waiting
};

// How a claim ended at its node.
enum class ClaimEnd {
  kServed,
  kError,      // answered 500
  kDeclined,   // never ran
  kSpoilt,     // ran; the answer cannot be used
  kReset,      // the node's end of the connection broke
  kCancelled,  // the sidecar closed
  kOverdue,    // dropped as its time was over
  kSilent,     // swallowed: no answer will come
};

struct Offered {
  ClaimId claim = 0;
  ConnectionId connection = 0;
  double work_ms = 0;
  double wait_ms = 0;  // how long the sidecar says that it waits; 0: it does not say
};

struct NodeAction {
  enum class What {
    kAnswer,       // `claim` has ended: write an answer for it on `connection`
    kEnded,        // `claim` has ended without an answer
    kEffect,       // `claim` takes effect; its end follows
    kProbeAnswer,  // write the answer to the probe on `connection`: 200 if `end` is kServed, else 503
    kClose,        // close `connection`, which idled
    kReset,        // reset `connection`; a claim on it has ended before
    kForgot,       // `connection` is no longer known here: what comes on it next is answered with a reset
    kFell,         // overdriven while cold: the process is down for good
  };
  What what = What::kAnswer;
  ConnectionId connection = 0;
  ClaimId claim = 0;
  ClaimEnd end = ClaimEnd::kServed;
  Spoil spoil = Spoil::kNone;
  double worked_ms = 0;     // done for the claim
  bool has_report = false;  // with an answer
  Report report;
};
using NodeActions = std::vector<NodeAction>;

class ExecuteNode {
 public:
  // `number`: the machine's, by which its random numbers are told from those of others. `started_ms`: when
  // the process started; below 0: long ago.
  ExecuteNode(const NodeFigures& figures, const Seeds& seeds, int number, double started_ms);

  // What does a dial meet?
  enum class Reach {
    kListens,
    kRefuses,  // the process is down: the dial is refused, and open connections were reset
    kSilent,   // the machine is gone without a word: the dial never comes up
  };
  Reach reach() const { return reach_; }

  // When Advance is due next, if nothing else is called before; kNever for never.
  double NextMs() const;
  void Advance(double now, NodeActions& out);

  // A connection comes up. False: there are as many as it takes, and this one is turned away. Only while it
  // listens.
  bool Connect(double now, ConnectionId connection, NodeActions& out);
  // The sidecar has closed it, or ended its sending on it. Unknown ones are ignored.
  void Disconnect(double now, ConnectionId connection, NodeActions& out);
  // The last byte of a request has come on an open connection. On one that the node no longer knows it is
  // answered with a reset and ends as kReset, never having run. One claim at a time on a connection.
  void Offer(double now, const Offered& offered, NodeActions& out);
  // A probe has come.
  void Probe(double now, ConnectionId connection, NodeActions& out);

  // A step of kSlow to kIdleKeep, kDrain, kStop, kKill or kVanish.
  void Apply(double now, Step::What what, double amount, NodeActions& out);

  // For records, tests and people; as of the last call.
  int held() const { return static_cast<int>(work_.size() + waiting_.size() + frozen_.size()); }
  int waiting() const { return static_cast<int>(waiting_.size()); }
  int open() const { return static_cast<int>(connections_.size()); }
  // Share of its capacity that it has, warm work as of the last call and age as of `now`.
  double Warmth(double now) const;
  double Capacity() const;  // in standard cores, all told
  bool crowded() const { return crowded_until_ < kNever; }
  bool draining() const { return draining_; }

 private:
  struct Task {
    Offered offered;
    bool probe = false;
    double until = kNever;  // the sidecar waits no longer
    double left = 0;        // work
    double done = 0;
    enum class Fate { kServe, kError, kBreakInside, kBreakAfter } fate = Fate::kServe;
  };
  struct Link {
    bool busy = false;
    double idle_since = 0;
    std::list<ConnectionId>::iterator at;  // in busy_ or idle_
  };
  struct Snapshot {
    double given_out = 0;
    Report report;
  };

  double Warmth() const { return Warmth(now_); }
  double FullCapacity() const { return figures_.cores * figures_.speed; }
  double Efficiency() const;
  double TaskRate() const;      // work done on each task in a millisecond
  double OverheadRate() const;  // and on connections and probes
  void Run(double until);       // work goes on; nothing ends on the way
  void Settle(NodeActions& out);
  void EndIdle(NodeActions& out);
  NodeAction Ended(const Task& task, ClaimEnd end) const;
  void Finish(const Task& task, NodeActions& out);
  void Answer(const Task& task, ClaimEnd end, Spoil spoil, NodeActions& out);
  void AnswerProbe(ConnectionId connection, bool good, NodeActions& out);
  void Break(const Task& task, NodeActions& out);
  void Occupy(ConnectionId connection);
  void Release(ConnectionId connection);
  void Accept(const Task& task, NodeActions& out);
  void DrawFate(Task& task);
  void FillSlots(NodeActions& out);
  void WatchCrowd();
  void TakeReport();
  Report Current();
  bool Overdriven(double work);
  void Down(Reach reach, NodeActions& out);

  const NodeFigures figures_;
  const Use fails_draws_, error_draws_, reset_draws_, spoil_draws_, report_draws_;
  const std::uint64_t number_;
  const double started_;
  Reach reach_ = Reach::kListens;
  double now_;
  double worked_ = 0;    // in all, on a standard core: warms it
  double overhead_ = 0;  // work for connections and probes that is still to be done

  std::vector<Task> work_;  // in the order in which they came to a slot
  std::deque<Task> waiting_;
  std::deque<Task> frozen_;                             // came while it hangs
  std::unordered_map<ConnectionId, Link> connections_;  // walked only to be sorted
  std::list<ConnectionId> idle_, busy_;                 // the former by the time since when
  std::deque<std::pair<double, double>> received_;      // while cold: when and how much work
  std::deque<Snapshot> snapshots_;
  Report given_out_;
  double next_report_ = kNever;
  std::uint64_t reports_taken_ = 0;
  double probe_tokens_;
  double probe_tokens_at_;

  double crowd_since_ = kNever;
  double crowded_until_ = kNever;  // kNever: not crowded
  double rest_since_ = kNever;
  double rest_busy_ = 0;  // core time used since

  bool draining_ = false;
  double slow_ = 1;
  bool hangs_ = false;
  bool mute_ = false;
  double fails_ = 0, resets_ = 0, spoilt_ = 0;
  double idle_keep_;
};

}  // namespace bitternmux::lab::model

#endif  // BITTERNMUX_LAB_MODEL_EXECUTE_NODE_H_
