// Which connection to an execute node carries a claim, and how long one is kept: a decider. It does no I/O
// and reads no clock; whoever owns the sockets tells it what happens to them and does what it says.
//
// A node may drop a connection that idles far sooner than the settings say: it closes it, resets it at the
// next request, or forgets it and stays silent. A request that must not run twice is lost with such a
// connection once its last byte is written; one that may run again costs a repeat. A new connection costs a
// handshake, and may be dropped, too. So the decider learns how likely a connection of each age is to be
// dropped (IdleAges: of each node, on that of its kind of machine, on that of the fleet, on what the settings
// promise) and weighs by class: a connection is taken where the loss to be expected costs no more than a new
// one would. The youngest goes first, and where the node's connections have to rest after an answer
// (limits/duplicate_answers) the youngest that has. All amounts are in units of what the mean claim is worth.
//
// Bounds: a row of about 0.8 KB for each node that `Serving` named or that was asked for since, another for
// each kind of machine, and an entry for each open connection. Calls cost O(log nodes + ages); `Retire`,
// `Oldest` and `Serving` O(nodes). Not thread-safe. Times are in milliseconds on one clock that does not go
// back.
#ifndef BITTERNMUX_SRC_LIMITS_CONNECTIONS_H_
#define BITTERNMUX_SRC_LIMITS_CONNECTIONS_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "cartspring/balancer.h"
#include "limits/idle_ages.h"

namespace bitternmux::limits {

class Connections {
 public:
  using Id = std::uint64_t;               // the caller's, never used again; 0: none
  static constexpr int kRepeatable = -1;  // as a class: what is no job and may be asked again at will

  // How a claim on a connection ended, as far as it tells of the connection.
  struct Use {
    bool answered = false;  // at least one byte came back
    bool broke = false;     // the other side closed or reset it
    double waited_ms = 0;   // from the first byte written
  };

  // The settings must outlive it, and have a class.
  explicit Connections(const cartspring::Settings& settings);
  // The settings have changed: what claims are worth is reckoned anew, what was learned stays.
  void Retuned();

  // ---- What happens. A connection that was never opened, or is closed, is passed over. ----

  // It is up, and took so long to dial.
  void Opened(double now_ms, Id id, const std::string& node, int kind, double dial_ms);
  // A claim is about to be written to it.
  void Begun(Id id);
  void Ended(double now_ms, Id id, const Use& use);
  // It waits for the next claim.
  void Idles(double now_ms, Id id);
  // The node closed or reset it while it idled. True: a new one is to be dialed ahead of the next claim.
  bool ClosedByNode(double now_ms, Id id);
  // We closed it, or it broke under its claim.
  void Closed(Id id);
  // The nodes in service, all of them: what is known of others is dropped. Returns the connections that idle
  // to these others, which are to be closed.
  std::vector<Id> Serving(std::vector<std::string> nodes);

  // ---- What to do ----

  // The idle connection that is to carry a claim, which then idles no longer; 0: a new one is to be dialed.
  // `work_ms`: what the claim will cost the node, 0 if that is not known. `rests`: nothing is written to a
  // connection of the node until `kRestMs` after an answer, so that those that have rested go first.
  Id Take(double now_ms, const std::string& node, int kind, int klass, double work_ms, bool rests = false);
  // Those that have idled for too long to be of use, which are to be closed and idle no longer.
  std::vector<Id> Retire(double now_ms);
  // The one that has idled longest, for when room is needed; 0 if none idles.
  Id Oldest() const;

  // A claim of the class is given no connection to the node that has idled for so long or longer, but for the
  // odd one that may be repeated, which tries what is believed.
  double SafeAgeMs(const std::string& node, int kind, int klass) const;
  // For people: a line for the fleet and one for each node.
  std::string Describe() const;

 private:
  struct Node {
    Node(int node_kind, double memory) : kind(node_kind), ages(memory) {}
    int kind;
    IdleAges ages;
    std::vector<Id> idle;        // the one that idled last at the back
    double dial_ms = 0;          // 0: none was dialed yet
    double reach_ms = 0;         // how long one may idle
    std::uint64_t begun = 0;     // claims so far
    std::uint64_t answered = 0;  // the latest of them that was answered
    int untried = 0;             // claims that may be repeated since one tried what is believed
    bool emptied = false;        // the node closed its last idle one, and nothing has come since
    double need = 0.5;           // how often a claim came next then
  };
  struct Link {
    std::string node;
    int kind = 0;
    double idle_since_ms = 0;
    double age_ms = -1;       // when it was taken; below 0: it was new
    std::uint64_t claim = 0;  // the node's count of it; 0: none yet
    bool idles = false;
  };
  // What is at stake with a claim.
  struct Stake {
    double lost = 0;      // if it is lost with its connection
    double per_ms = 0;    // for each millisecond of delay, of the time that its caller has
    bool binding = true;  // it must not run twice
  };

  Node& NodeOf(const std::string& name, int kind);
  Node* Find(const std::string& name);
  IdleAges& KindOf(int kind) { return kinds_[KindIndex(kind)]; }
  std::size_t KindIndex(int kind) const;
  AgeView ViewOf(const Node* node, int kind) const;
  double DialMs(const Node* node) const;
  Stake StakeOf(int klass) const;
  double DialCost() const;
  double SafeAge(const AgeView& view, const Stake& stake, double dial_ms) const;
  double ReachMs(double safe_ms) const;
  void Count(double now_ms, int klass, double work_ms);
  // Takes it out of its node's idle ones and notes how long it idled.
  void StopIdling(double now_ms, Id id, Link& link, bool closed_by_node);

  const cartspring::Settings& settings_;
  AgeView promised_;
  IdleAges fleet_;
  std::vector<IdleAges> kinds_;
  std::map<std::string, Node> nodes_;
  std::unordered_map<Id, Link> links_;  // looked up, never walked
  double serving_ = 1;
  double dial_ms_ = 0;                // of any node; 0: none was dialed yet
  double mean_worth_ = 0;             // of a claim, in the settings' units
  double mean_work_ms_ = 0;           // of a claim
  double haste_ = 0;                  // what a millisecond of delay costs a claim
  double rate_ = 0, counted_ms_ = 0;  // claims a millisecond lately, and as of when
};

}  // namespace bitternmux::limits

#endif  // BITTERNMUX_SRC_LIMITS_CONNECTIONS_H_
