// Tally ledgers in simulated time: their network, their disks and what befalls them, all from one seed. The
// ledgers are the program's own. Calls and their answers are kept for checks after the run.
#ifndef BITTERNMUX_TESTS_FLEET_TALLIES_TALLY_GROUP_H_
#define BITTERNMUX_TESTS_FLEET_TALLIES_TALLY_GROUP_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/tallies/tally_ledger.h"

namespace bitternmux::fleet::test {

struct TallyGroupOptions {
  std::uint64_t seed = 1;
  std::size_t machines = 3;
  std::size_t copies = 2;
  std::size_t zones_of_copies = 1;  // in which these stand
  std::vector<std::string> zones;   // of the machines, by their number; empty: not known
  double sync_ms = 5;
  double delay_ms = 1;
  double link_mbps = 0;     // of what a machine sends; 0: unbounded
  bool cuts_delay = false;  // what is sent into a cut arrives when it ends; otherwise it is lost
  bool datagrams = false;   // messages arrive in any order, some of them twice
};

// A call of an application and what came of it.
struct TallyCall {
  std::size_t machine = 0;
  std::uint64_t life = 0;  // of the machine's process
  bool is_read = false;
  TallyAdd add;  // of a read only the tally
  double sent_ms = 0;
  std::optional<TallyOutcome> outcome;
  double answered_ms = 0;
  std::int64_t total = 0;
  std::size_t disks = 0;  // that held the add when it was answered
  std::size_t zones = 0;  // in which these stood
  bool apart = false;     // one of the machine's links was cut when it was answered

  bool Is(TallyOutcome expected) const { return outcome == expected; }
  double Waited() const { return answered_ms - sent_ms; }
};

class TallyGroup {
 public:
  explicit TallyGroup(const TallyGroupOptions& options);

  double now() const { return now_ms_; }
  std::size_t size() const { return machines_.size(); }
  void RunFor(double ms);
  void At(double at_ms, std::function<void()> action);
  double Unit();
  std::size_t Below(std::size_t count);

  // ---- Calls: the number under which `call` knows them ----

  std::size_t Add(std::size_t machine, const TallyAdd& add);
  std::size_t Read(std::size_t machine, const std::string& tally);
  const TallyCall& call(std::size_t number) const { return calls_[number]; }
  const std::vector<TallyCall>& calls() const { return calls_; }
  std::size_t acknowledged() const { return acknowledged_; }  // adds
  // The answer to a read that is made now; none if it is refused.
  std::optional<std::int64_t> Total(std::size_t machine, const std::string& tally);

  // ---- Processes and disks ----

  bool up(std::size_t machine) const { return machines_[machine]->ledger != nullptr; }
  std::uint64_t life(std::size_t machine) const { return machines_[machine]->life; }
  const TallyLedger& ledger(std::size_t machine) const { return *machines_[machine]->ledger; }
  // The process ends. Of the writes that wait none is kept; the one under way is whole or not there.
  void Kill(std::size_t machine);
  // The same, and nothing of the write under way is kept.
  void LosePower(std::size_t machine);
  void Start(std::size_t machine);
  // The process ends, if it runs, and the disk is emptied.
  void Wipe(std::size_t machine);
  void StallDisk(std::size_t machine, double for_ms);
  // The process stands still; what comes meanwhile reaches it afterwards.
  void Freeze(std::size_t machine, double for_ms);
  std::vector<std::size_t> MachinesIn(const std::string& zone) const;
  bool caught_up_on_disk(std::size_t machine) const { return machines_[machine]->caught_up; }
  // Disks that hold an add with that id.
  std::size_t DisksWith(const std::string& id) const;
  // Zones in which these stand.
  std::size_t ZonesWith(const std::string& id) const;

  // ---- Network ----

  void CutOneWay(std::size_t from, std::size_t to);
  void Cut(std::size_t one, std::size_t other);
  void Isolate(std::size_t machine);
  void Heal();
  bool IsCut(std::size_t from, std::size_t to) const { return cuts_.contains({from, to}); }
  bool HasCutLink(std::size_t machine) const;
  // What is under way between the two, in both directions, is lost.
  void BreakConnection(std::size_t one, std::size_t other);
  std::size_t largest_piece_bytes() const { return largest_piece_bytes_; }
  std::size_t messages() const { return messages_; }  // that were sent

  // What must never happen and was seen to; empty: nothing.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  using Log = std::vector<TallyAdd>;
  struct Event {
    double at_ms;
    std::uint64_t number;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return at_ms != other.at_ms ? at_ms > other.at_ms : number > other.number;
    }
  };
  struct Machine {
    std::size_t index = 0;
    std::string address;
    std::unique_ptr<TallyLedger> ledger;  // null: down
    std::uint64_t life = 0;
    std::map<std::uint64_t, Log> disk;  // by origin
    std::set<std::string> ids_on_disk;
    bool caught_up = true;            // is marked so on disk; all begin together, with nothing to lose
    std::vector<TallyWrite> waiting;  // for the disk
    std::vector<TallyWrite> writing;  // under way; empty: the disk is idle
    double stalled_until_ms = 0;
    double frozen_until_ms = 0;
    double sends_until_ms = 0;  // its link is busy
  };
  struct Link {
    std::uint64_t connection = 0;
    double last_arrival_ms = 0;
    std::vector<std::function<void()>> held;  // by a cut
  };

  // Does something with a machine's ledger, unless that process has ended; later if it stands still.
  void With(Machine& machine, std::uint64_t life, std::function<void(TallyLedger&)> action);
  void Drain(Machine& machine);
  void Tick(Machine& machine, std::uint64_t life);
  void TakeAnswer(Machine& machine, const TallyAnswer& answer);
  std::size_t Call(TallyCall call);

  void BeginWrite(Machine& machine);
  void EndWrite(Machine& machine);
  void KeepOnDisk(Machine& machine, const std::vector<TallyWrite>& writes);

  void Send(Machine& from, const std::string& address, const Message& message);
  void Carry(std::size_t from, std::size_t to, std::uint64_t connection, const Message& message);
  void Violation(const std::string& text);

  TallyGroupOptions options_;
  std::mt19937_64 random_;
  double now_ms_ = 0;
  std::uint64_t last_event_ = 0;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::map<std::pair<std::size_t, std::size_t>, Link> links_;  // by sender and receiver
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::vector<TallyCall> calls_;
  std::size_t acknowledged_ = 0;
  std::size_t largest_piece_bytes_ = 0;
  std::size_t messages_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace bitternmux::fleet::test

#endif  // BITTERNMUX_TESTS_FLEET_TALLIES_TALLY_GROUP_H_
