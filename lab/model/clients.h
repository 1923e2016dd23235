// The clients: what they wish for, when, and what they do about the answers.
//
// Arrivals are an open loop: when a wish comes, of which class and with how much work is drawn by its sidecar
// and number alone, and waits for no answer. Each sidecar has its own clients. A wish is tried once, and
// again after a wait as its class allows: one that is safe to repeat after any failure, others only after a
// refusal or when no sidecar took the try. All tries of a wish share its deadline, counted from when it was
// first due.
//
// No socket, no clock; what is to be done is appended to `out`. State: the wishes that are open or wait for
// their next try. Nothing is kept of a wish that is over.
#ifndef BITTERNMUX_LAB_MODEL_CLIENTS_H_
#define BITTERNMUX_LAB_MODEL_CLIENTS_H_

#include <cstdint>
#include <queue>
#include <unordered_map>
#include <vector>

#include "lab/model/figures.h"
#include "lab/model/random.h"

namespace bitternmux::lab::model {

using TryId = std::uint64_t;  // from 1 on, in the order in which tries are due

struct Try {
  TryId id = 0;
  TryId first = 0;  // the first try of the same wish; itself for a first try
  int sidecar = 0;
  int klass = 0;
  int number = 0;          // of its wish, from 0
  double due_ms = 0;       // when it is to be sent
  double wish_ms = 0;      // when the first try of its wish was
  double patience_ms = 0;  // that the client gives it from then on
  double work_ms = 0;      // on a standard core, the wish's mean
  double hint_ms = 0;      // 0: none
  std::uint64_t wish = 0;  // names the wish's random numbers
};

// How a try ended, as its client saw it.
enum class TryEnd {
  kServed,
  kRefused,
  kFailed,
  kLeft,      // the client left before its answer
  kLost,      // the connection ended, or the time ran out, without a whole answer
  kNotTaken,  // no sidecar took it
};

struct ClientAction {
  enum class What {
    kSend,   // send `attempt` to its sidecar
    kLeave,  // the client closes its connection: it has lost patience, and the try ends as kLeft
    kLost,   // its time has run out without an answer: it closes, and the try ends as kLost
  };
  What what = What::kSend;
  Try attempt;
};
using ClientActions = std::vector<ClientAction>;

class Clients {
 public:
  // `figures` must outlive it.
  Clients(const Figures& figures, const Seeds& seeds);

  double NextMs() const;
  void Advance(double now, ClientActions& out);
  // The client has its answer, or the connection broke. Tries that are over are ignored; kLeft and kLost are
  // said by Advance and not here. `retry_after_ms`: 0 for no advice.
  void Ended(double now, TryId id, TryEnd end, double retry_after_ms);

  // The work of the wish's attempt with that number (over all its tries, from 0).
  double AttemptWork(const Try& attempt, int number) const;
  // Null once it is over.
  const Try* Find(TryId id) const;
  // Has the last wish come, and is each of them over?
  bool Done() const { return arrivals_.empty() && open_.empty() && retries_.empty(); }
  std::size_t open() const { return open_.size(); }

 private:
  struct Arrival {
    double at = 0;
    int sidecar = 0;
    bool operator>(const Arrival& other) const {
      return at != other.at ? at > other.at : sidecar > other.sidecar;
    }
  };
  struct Timer {
    double at = 0;
    std::uint64_t order = 0;
    enum class What { kSend, kLeave, kLost } what = What::kSend;
    std::uint64_t of = 0;  // a try; for kSend the key of `retries_`
    bool operator>(const Timer& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  const ClassFigures& ClassOf(const Try& attempt) const {
    return figures_.classes[static_cast<std::size_t>(attempt.klass)];
  }
  double End() const { return figures_.first_ms + figures_.length_ms; }  // of the arrivals
  double Rate(double at) const;                                          // against the mean
  double NextArrival(int sidecar, double after);
  Try Wish(int sidecar, double at);
  void Ring(double now, const Timer& timer, ClientActions& out);
  void Send(double now, Try attempt, ClientActions& out);
  void Retry(double now, const Try& attempt, TryEnd end, double retry_after_ms);
  std::uint64_t Add(double at, Timer::What what, TryId of);

  const Figures& figures_;
  const Use class_draws_, work_draws_, hint_draws_, honour_draws_, attempt_draws_, leave_draws_,
      backoff_draws_;
  double rate_most_ = 1;
  std::vector<Stream> arrival_streams_;                                          // by sidecar
  std::vector<std::uint64_t> wishes_;                                            // by sidecar, drawn so far
  std::priority_queue<Arrival, std::vector<Arrival>, std::greater<>> arrivals_;  // one for each sidecar
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::uint64_t timers_added_ = 0;
  TryId last_ = 0;
  std::unordered_map<TryId, Try> open_;             // looked up, never walked
  std::unordered_map<std::uint64_t, Try> retries_;  // that wait for their time, likewise
};

}  // namespace bitternmux::lab::model

#endif  // BITTERNMUX_LAB_MODEL_CLIENTS_H_
