// Submitters' connections ("sessions"): which may come, which are to go, and which answer ends its
// connection.
//
// The idea. Submitters can hold only so many connections for jobs at a time, and a new one finds no place
// while others idle on all of them, though nothing is in flight. Nobody tells the sidecar how many that is.
// So the number that has carried a job is kept a quarter below what submitters are believed to be able to
// hold: the ones that idle go early, and those first that asked once and never again. Connections that say
// nothing have a time that shrinks as they crowd. At the limit of the process itself, what is of least use
// makes room.
//
// What holds, whatever comes:
// - A session with a request open, or with one on its way after a good one, is never named to go.
// - None is named for having idled some time: a place must be short, or submitters must have fallen silent
//   while most of what they hold has asked just once.
// - Idle sessions go before new ones that have said nothing for less than `kNewMs`.
// - State is one row for each session that is open at a time: as many rows as were ever open at once, which
// is
//   `Bounds::most` if the caller accepts only while HasRoom(). Every event costs the same however many there
//   are.
//
// It does no I/O and reads no clock: the caller tells what passed and when, in milliseconds that never go
// back, and carries out what comes back. It owns no connection. Ids are the caller's to keep until Closed,
// after which they are used again. One thread at a time.
#ifndef BITTERNMUX_SRC_LIMITS_SESSIONS_H_
#define BITTERNMUX_SRC_LIMITS_SESSIONS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bitternmux::limits {

class Sessions {
 public:
  using Id = std::uint32_t;
  enum class Ask { kProbe, kJob };  // is the sidecar up? / a request for an execute node

  struct Bounds {
    std::size_t most = 1;          // sessions in all: what the process may hold; 1 or more
    std::size_t clients_hold = 0;  // what submitters can hold for jobs at the very most
    double silent_ms = 0;          // for the first byte, while there is room
  };

  explicit Sessions(const Bounds& bounds);

  // ---- What passed ----

  Id Opened(double now_ms);          // it was accepted and has said nothing
  void Began(double now_ms, Id id);  // bytes of a request are there; the first ones, or more of them
  void Taken(double now_ms, Id id, Ask asked);  // the request is whole and good
  void Rests(double now_ms, Id id);             // its answer is out, and it stays open
  void Leaves(double now_ms, Id id);            // told that it ends: turned away, or answered as the last
  void Closed(double now_ms, Id id);            // it is gone, whoever ended it

  // ---- What to do ----

  // Asked when a job's answer is written: may the connection stay open after it? If not, the answer says so,
  // which no request can cross.
  bool MayStay(double now_ms, Id id) const;
  // Is there a place for one more in the process?
  bool HasRoom() const { return open_ < bounds_.most; }
  // A session to close now, or none. To be asked until there is none: after Opened and Taken, and some ten
  // times a second. The caller closes it or, if it finds bytes on it that were not read yet, tells Began.
  std::optional<Id> Retire(double now_ms);
  // The session of least use, to be closed in the same way where the process has no place for a new one; none
  // if nothing may go.
  std::optional<Id> MakeRoom(double now_ms);

  // ---- For people ----

  std::size_t open() const { return open_; }
  // Sessions that have carried a job and were not told to leave; how many of these submitters can hold, as
  // believed now; and how many are kept at most.
  std::size_t held() const { return held_; }
  std::size_t believed() const { return can_hold_; }
  std::size_t kept() const;
  double PatienceMs() const;     // how long a session may say nothing at first
  std::string Describe() const;  // one line

 private:
  // Where a session stands. Each is a list, the one that has stood there longest in front; in the idle ones
  // by what was asked so far.
  enum Place : std::uint8_t {
    kSilent,      // never sent a byte
    kHalf,        // its first request is on its way
    kProbedOnce,  // idles; has never carried a job
    kProbedMore,
    kAskedOnce,  // idles; has carried a job
    kAskedMore,
    kLeaving,
    kBusy,  // a request is open, or on its way after a good one
    kPlaces,
  };
  static constexpr Id kNone = UINT32_MAX;
  struct Row {
    Place place = kPlaces;  // kPlaces: free, to be used again
    bool job = false;       // has carried one
    std::uint8_t asks = 0;  // good ones; no more than two are counted
    double since_ms = 0;    // in its place
    Id before = kNone, after = kNone;
  };
  struct List {
    Id front = kNone, back = kNone;
    std::size_t count = 0;
  };

  void Move(double now_ms, Id id, Place to);
  void Unlink(Id id);
  double Waited(double now_ms, Place place) const;
  std::optional<Id> Idlest(double now_ms, Place from, double least_ms) const;
  std::optional<Id> Least(double now_ms) const;
  void Arrived(double now_ms);
  void Believe(double now_ms, std::size_t can_hold);
  void Forget();
  void Doubt(double now_ms);

  const Bounds bounds_;
  std::vector<Row> rows_;
  std::vector<Id> free_;
  std::array<List, kPlaces> lists_;
  std::size_t open_ = 0, held_ = 0;

  // What submitters are believed to be able to hold.
  std::size_t can_hold_;
  double believed_ms_ = 0;            // when that was last learned or raised
  std::size_t top_ = 0;               // the most that were held since arrivals are counted
  int at_top_ = 0, below_top_ = 0;    // arrivals that came no higher than that
  std::size_t tried_ = 0;             // what was believed before a lull put it in doubt; 0: none did
  bool quiet_ = false;                // a lull was just that: nobody asks
  double taken_ms_ = 0, gap_ms_ = 0;  // of jobs: the last one, and the usual time between two

  // Named to go since the start, by cause.
  std::uint64_t silent_gone_ = 0, idle_gone_ = 0, crowded_gone_ = 0;
};

}  // namespace bitternmux::limits

#endif  // BITTERNMUX_SRC_LIMITS_SESSIONS_H_
