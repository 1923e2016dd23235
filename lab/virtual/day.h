// A day in simulated time: the model and any number of sidecar processes, one after another on one queue of
// events.
//
// What is due at the same moment is done in a fixed order: the fleet first, then the clients, then what was
// queued, in the order in which it was queued. With the same figures the same things happen at the same
// times, byte for byte in a record, whatever the compiler made of it: no container without an order is
// walked, nothing hangs on an address, and all random numbers come from the figures' seed.
#ifndef BITTERNMUX_LAB_VIRTUAL_DAY_H_
#define BITTERNMUX_LAB_VIRTUAL_DAY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "lab/model/clients.h"
#include "lab/model/discovery.h"
#include "lab/model/figures.h"
#include "lab/model/fleet.h"
#include "lab/model/network.h"
#include "lab/model/told_list.h"
#include "lab/virtual/observer.h"
#include "lab/virtual/outside.h"
#include "lab/virtual/sidecar.h"

namespace bitternmux::lab {

class Day : private Outside {
 public:
  // All must outlive it. Throws std::runtime_error if the settings that the figures make cannot be read, or
  // for a trouble that only sockets can have.
  Day(const model::Figures& figures, std::vector<Observer*> observers);
  ~Day() override;

  // To the end: all wishes are over and nothing of theirs is out any more.
  void Run();

  std::uint64_t events() const { return events_; }

 private:
  enum class What : std::uint8_t {
    kTryArrives,      // at the sidecar; `id`: the try
    kClientLeaves,    // its sidecar hears of it; `id`: the try
    kAnswerArrives,   // at the client; `id`: the try
    kDialUp,          // `id`: a connection
    kRequestArrives,  // at the node; `id`: a connection
    kProbeArrives,
    kCloseArrives,
    kHeard,       // the sidecar hears from a node; `id`: a connection
    kAskArrives,  // at discovery; `id`: a call
    kCallTold,    // the sidecar hears from discovery; `id`: a call
    kCallLine,
    kCallBroke,
    kCutEnds,  // `id`: the link's trouble
    kWake,     // `sidecar` is to turn
    kDeferred,
    kStart,       // the sidecar's process starts
    kReady,       // and serves
    kDoorsClose,  // told to stop, it takes nothing new any more
    kGiveUp,      // and ends, whatever it still holds
    kTermRead,    // it learns that it is told to stop
    kHupRead,     // and that the configuration is another
    kKilled,  // it still runs so long after it was told to stop, or was to be killed so long after its start
    kWarmed,  // `id`: a machine
    kSample,
  };
  struct Event {
    std::int64_t at_us = 0;
    std::uint64_t order = 0;
    What what = What::kWake;
    std::int32_t sidecar = 0;
    std::uint32_t life = 0;  // of the sidecar's process; what is meant for one that has ended is dropped
    std::uint64_t id = 0;
    std::uint32_t payload = 0;
    bool operator>(const Event& other) const {
      return at_us != other.at_us ? at_us > other.at_us : order > other.order;
    }
  };
  // One of a growing set of places that are used again.
  template <class T>
  class Slab {
   public:
    std::uint32_t Put(T value) {
      if (free_.empty()) {
        values_.push_back(std::move(value));
        return static_cast<std::uint32_t>(values_.size() - 1);
      }
      const std::uint32_t at = free_.back();
      free_.pop_back();
      values_[at] = std::move(value);
      return at;
    }
    const T& At(std::uint32_t at) const { return values_[at]; }
    T Take(std::uint32_t at) {
      free_.push_back(at);
      return std::move(values_[at]);
    }

   private:
    std::vector<T> values_;
    std::vector<std::uint32_t> free_;
  };
  enum class Phase { kDown, kBooting, kServing, kStopping, kClosing };
  struct Sidecar {
    Phase phase = Phase::kDown;
    std::uint32_t life = 0;
    std::unique_ptr<SidecarProcess> process;
    cartspring::Settings settings;
    std::int64_t wake_us = 0;             // 0: no turn is queued
    double down_ms = 0;                   // from its end to its next start
    std::deque<double> alive_ms;          // of its next processes, which are to be killed
    std::set<int> held_by;                // what keeps its process standing still
    std::vector<Event> unread;            // what has come meanwhile
    bool catches_up = false;              // and is being read: that it was told is in the record
    std::optional<model::ToldList> told;  // always there; outlives the process
    std::uint64_t connections_made = 0;
    std::set<model::TryId> tries;  // taken and not answered
  };
  struct Link {  // a connection that is up, or is being dialed
    int sidecar = 0;
    int place = 0;
    int machine = -1;          // that it came up to
    model::TryId attempt = 0;  // that it was dialed for
    double there = 0;          // when the last message each way arrives
    double back = 0;
    std::uint64_t messages = 0;
    bool turned_away = false;  // it came up, and the node would not have it
    bool node_closed = false;  // the node has ended it, which the sidecar may not have heard yet
  };
  struct TryRow {
    model::Try attempt;
    bool taken = false;  // it has come to its sidecar
    bool left = false;   // its client left before
    double came_ms = 0;  // to its sidecar
  };
  struct Request {
    model::Offered offered;
    int machine = 0;
  };
  struct Call {
    int sidecar = 0;
    int place = 0;
    bool watch = false;
    std::int64_t since = 0;
    double back = 0;
    std::uint64_t messages = 0;
  };

  // Outside, for the sidecars.
  const model::Figures& figures() const override { return figures_; }
  double NowMs() const override { return static_cast<double>(now_us_) / 1000; }
  void WakeAt(int sidecar, double at_ms) override;
  void Defer(int sidecar) override;
  void Answered(int sidecar, model::TryId id, const Answer& answer) override;
  model::ConnectionId Dial(int sidecar, const std::string& address, model::TryId id) override;
  model::ClaimId Send(model::ConnectionId connection, model::TryId id, int claim_number,
                      double wait_ms) override;
  void SendProbe(model::ConnectionId connection) override;
  void Close(model::ConnectionId connection) override;
  void ClaimOver(model::ClaimId claim, record::ClaimEnded::How how, double worked_ms) override;
  model::CallId Ask(int sidecar, int place, bool watch, std::int64_t since) override;
  model::CallId AskOn(model::CallId call, std::int64_t since) override;
  void Leave(model::CallId call) override;
  int ConfiguredPlace() const override { return discovery_.place(); }

  void Queue(double at_ms, What what, int sidecar, std::uint64_t id = 0, std::uint32_t payload = 0);
  void Step();
  void Carry(const Event& event);
  bool Serves(const Event& event);
  void CarryClients();
  void CarryFleet();
  void CarryNode(int machine, const model::NodeAction& action);
  void CarryTold(const model::DiscoveryAction& action);
  void CarrySidecar(const model::Step& step);
  bool StandsStill(int sidecar) { return !Row(sidecar).held_by.empty(); }
  // True for what a sidecar has to read, while it does not: that waits until it is let go.
  bool Waits(const Event& event);
  void LetGo(int sidecar, int holder);
  void TermRead(int sidecar);
  void TryArrives(int sidecar, model::TryId id);
  void ClientLeaves(int sidecar, model::TryId id);
  void TellClient(model::TryId id, const TryOutcome& outcome);
  void AnswerArrives(model::TryId id, const TryOutcome& outcome);
  void DialUp(int sidecar, model::ConnectionId id);
  // When a message that is sent now arrives at the node, behind those before it; kNever if it is lost.
  double There(Link& link, model::ConnectionId id);
  void Heard(model::ConnectionId id, const model::NodeAction& action);
  void EndCut(const model::LinkTrouble& trouble);
  void EndDiscoveryCut(const model::LinkTrouble& trouble);
  void AskArrives(int sidecar, model::CallId id);
  void HearList(int sidecar, const model::Listing& listing);
  void StartProcess(int sidecar);
  void Ready(int sidecar);
  void EndProcess(int sidecar, record::Sidecar::What what);
  void TellWarmth(int machine);
  void TakeSample();
  Sidecar& Row(int sidecar) { return sidecars_[static_cast<std::size_t>(sidecar)]; }

  template <class Method, class... Arguments>
  void Tell(Method method, const Arguments&... arguments) {
    for (Observer* observer : observers_) (observer->*method)(now_us_, arguments...);
  }

  const model::Figures& figures_;
  const std::vector<Observer*> observers_;
  const model::Seeds seeds_;
  model::Discovery discovery_;
  model::Network network_;
  model::Clients clients_;
  model::Fleet fleet_;
  std::vector<Sidecar> sidecars_;
  std::int64_t now_us_ = 0;
  std::uint64_t events_ = 0;
  std::vector<Event> queue_;  // a heap
  std::uint64_t queued_ = 0;
  std::unordered_map<model::TryId, TryRow> tries_;       // that are at a sidecar, or on the way to it
  std::unordered_map<model::ConnectionId, Link> links_;  // walked only to be sorted
  std::map<model::CallId, Call> calls_;
  Slab<TryOutcome> outcomes_;
  Slab<Request> requests_;
  Slab<model::NodeAction> heard_;
  Slab<model::Listing> listings_;
  model::ClaimId last_claim_ = 0;
  model::CallId last_call_ = 0;
  std::size_t claims_out_ = 0;
  // Used again for each call of the model.
  model::ClientActions client_actions_;
  model::FleetActions fleet_actions_;
};

}  // namespace bitternmux::lab

#endif  // BITTERNMUX_LAB_VIRTUAL_DAY_H_
