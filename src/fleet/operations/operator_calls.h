// The operator's calls at a control machine: a decider between the HTTP interface and the replica.
//
// A call that comes to the owner is proposed or read there. Elsewhere it is sent on to the owner, if that one
// was heard of a moment ago; while none is known, which is so for a second or two after an owner was lost,
// the call is held: an answer "elsewhere" would send the operator round machines that know no more, with
// pauses that grow. A call that was not decided in time is answered without a promise.
//
// Bounds: kMostCalls calls held or under way, each for kCallMs at most.
#ifndef BITTERNMUX_SRC_FLEET_OPERATIONS_OPERATOR_CALLS_H_
#define BITTERNMUX_SRC_FLEET_OPERATIONS_OPERATOR_CALLS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/replication/replica.h"

namespace bitternmux::fleet {

constexpr double kCallMs = 2500;  // for a call to be decided
constexpr double kHoldMs = 850;   // for an owner to be known; callers go on after a second of silence
constexpr double kOwnerHeardLatelyMs = 450;  // an owner that was heard since then is worth a redirection
constexpr std::size_t kMostCalls = 128;

enum class CallOutcome {
  kTaken,
  kConflict,
  kOld,
  kRead,         // the committed value is the newest
  kRedirected,   // to `owner`
  kUnavailable,  // no owner is known; nothing was begun here
  kUndecided,    // it may have been taken
};

struct CallReply {
  std::uint64_t id = 0;
  CallOutcome outcome = CallOutcome::kUnavailable;
  Member owner;
};

class OperatorCalls {
 public:
  explicit OperatorCalls(Replica& replica) : replica_(replica) {}

  void Put(double now_ms, std::uint64_t id, Order order);
  void Evacuate(double now_ms, std::uint64_t id, EvacuationOrder order);
  void Get(double now_ms, std::uint64_t id);
  // What the replica has decided.
  void Decided(double now_ms, const Decision& decision);
  void ReadDone(double now_ms, const ReadOutcome& outcome);
  void Tick(double now_ms);
  std::vector<CallReply> TakeReplies() { return std::exchange(replies_, {}); }
  std::size_t open() const { return calls_.size(); }

 private:
  struct Call {
    std::optional<OperatorOrder> order;  // none: a read
    double asked_ms = 0;
    bool held = false;   // no owner is known; else the replica has it
    bool begun = false;  // the replica has had it as an order: it may be taken
  };
  void Begin(double now_ms, std::uint64_t id, Call call);
  // True: the call was answered or handed to the replica.
  bool Route(double now_ms, std::uint64_t id, Call& call);
  void Reply(std::uint64_t id, CallOutcome outcome, Member owner = {});
  void NotDecidedHere(double now_ms, std::uint64_t id);

  Replica& replica_;
  std::map<std::uint64_t, Call> calls_;
  std::vector<CallReply> replies_;
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_OPERATIONS_OPERATOR_CALLS_H_
