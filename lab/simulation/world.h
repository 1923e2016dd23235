// A whole control side in simulated time: control machines, edge machines, a platform and operators, on one
// network. Faults are methods here; a day (day.h) or a test calls them.
#ifndef BITTERNMUX_LAB_SIMULATION_WORLD_H_
#define BITTERNMUX_LAB_SIMULATION_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lab/simulation/checker.h"
#include "lab/simulation/clock.h"
#include "lab/simulation/control_machine.h"
#include "lab/simulation/edge_machine.h"
#include "lab/simulation/fault_watch.h"
#include "lab/simulation/history.h"
#include "lab/simulation/network.h"
#include "lab/simulation/platform.h"

namespace bitternmux::lab::simulation {

constexpr std::size_t kMostSeeds = 3;  // that settings name

struct WorldOptions {
  std::uint64_t seed = 1;
  std::size_t machines = 3;  // control machines
  std::size_t tolerated = 1;
  std::size_t edges = 3;
  std::size_t zones = 2;     // in which machines and applications stand, in turn
  bool evacuations = false;  // servers stand in these zones too, and operators evacuate some
  double sync_ms = 5;
  NetworkOptions network;
};

class World : private ControlSurroundings, private EdgeSurroundings {
 public:
  explicit World(const WorldOptions& options);

  Clock& clock() { return clock_; }
  Network& network() { return network_; }
  Platform& platform() { return platform_; }
  History& history() { return history_; }
  Checker& checker() { return checker_; }
  const WorldOptions& options() const { return options_; }
  void RunFor(double ms) { clock_.RunUntil(clock_.now_ms() + ms); }

  // ---- Control machines, by their number in the order in which they came ----
  std::size_t size() const { return controls_.size(); }
  ControlMachine& control(std::size_t i) { return *controls_[i]; }
  std::vector<std::size_t> Present() const;  // those that were not removed
  std::optional<std::size_t> ActingOwner() const;
  void Kill(std::size_t i, double down_ms);
  void Power(std::size_t i, double down_ms);
  void WipeAndRestart(std::size_t i, double down_ms);
  void Freeze(std::size_t i, double for_ms);
  void Terminate(std::size_t i, double down_ms);
  // Gone for good; an empty machine comes at another address after that time.
  void Replace(std::size_t i, double after_ms);
  // Gone for good, and none comes.
  void KillForGood(std::size_t i);
  // The new machine comes first, then the old one is told to stop.
  void ReplacePlanned(std::size_t i, double before_ms);
  // The same, and the settings of all machines name the new one alone: it knows nobody.
  void ReplaceByUnknown(std::size_t i, double before_ms);
  // All processes, or all machines, at once. `everyone`: edge machines too.
  void KillAll(double down_ms, bool power, bool everyone);
  void Isolate(std::size_t i, double for_ms);
  void CutPair(std::size_t from, std::size_t to, bool both_ways, double for_ms);
  void Split(double for_ms);  // the control machines into two halves
  void CutFromPlatform(std::size_t i, double for_ms);
  // What it reads of the platform's list arrives a second or more after it was true.
  void SlowPlatform(std::size_t i, double for_ms);
  void SlowLink(std::size_t i, double for_ms);
  void SlowProcessor(std::size_t i, double for_ms);
  // Its connections are reset, each with even odds; what was on its way on them is lost.
  void ResetConnections(std::size_t i);
  void TurnSeeds();

  // ---- Zones ----
  std::size_t zones() const { return options_.zones; }
  std::size_t ZoneOf(std::size_t control) const { return zone_of_[control]; }
  // The name that the applications of a zone have on the network.
  static std::string ApplicationsOf(std::size_t zone);
  static std::string NameOfZone(std::size_t zone);
  // From all other zones, both ways.
  void CutZone(std::size_t zone, double for_ms);
  // A cut between two zones; a third one may still reach both.
  void CutZones(std::size_t from, std::size_t to, bool both_ways, double for_ms);
  // Cut off and reached again, so many times.
  void FlapZone(std::size_t zone, double cut_ms, double whole_ms, std::size_t times);
  void PowerZone(std::size_t zone, double down_ms);

  // Disks that were lost and are not made good by a member that holds all.
  std::size_t DisksLost() const;
  bool MayLoseDisk(std::size_t i) const;
  // Its disk is a member of the newest committed group, of the one before it, or of one that is on a disk.
  bool Counts(std::size_t i) const;

  // ---- Edge machines ----
  EdgeMachine& edge(std::size_t i) { return *edges_[i]; }
  std::size_t edges() const { return edges_.size(); }
  // `both`: its router too, as a loss of power does.
  void KillEdge(std::size_t i, double down_ms, bool both);
  void IsolateEdge(std::size_t i, double for_ms);

  // ---- Clients ----
  // Requests of the one tenant at all routers from now on, `times` as many tokens as its limit allows.
  void SetDemand(double times) { demand_ = times; }
  double demand() const { return demand_; }
  // From now on what routers have in work stays as it is, and the list too.
  void HoldRequests();
  bool holding() const { return holding_; }

  // ---- Operators ----
  // Sends an order, or a read, until it has a clear answer or `most_ms` are over.
  std::size_t Put(const std::string& by, std::uint64_t version, std::uint64_t builds_on,
                  std::size_t padding = 0, double most_ms = 15'000);
  std::size_t Get(const std::string& by, double most_ms = 6'000);
  // The same order once more, whatever came of it.
  void PutAgain(std::size_t call, double most_ms = 15'000);
  // As if an operator had sent the call to that machine alone.
  std::size_t PutAt(std::size_t machine, std::uint64_t version, std::uint64_t builds_on);
  std::size_t GetAt(std::size_t machine);
  // An order about a zone. `acknowledged`: once, in the moment in which a machine answers that it is taken.
  using Acknowledged = std::function<void(std::size_t machine)>;
  std::size_t Evacuate(const std::string& by, const fleet::EvacuationOrder& order, double most_ms,
                       Acknowledged acknowledged = nullptr);
  std::size_t EvacuateAt(std::size_t machine, const fleet::EvacuationOrder& order);
  const CallRecord& call(std::size_t i) const { return history_.calls[i]; }
  void LoseAnswers(double share) { lost_answers_ = share; }
  bool open(std::size_t call) const { return open_calls_.contains(call); }
  // When an order is acknowledged the next time.
  void OnceAcknowledged(std::function<void(std::size_t machine)> then) {
    when_acknowledged_ = std::move(then);
  }

  // When a candidate asks for promises the next time.
  void OncePrepared(std::function<void(std::size_t machine)> then) { when_prepared_ = std::move(then); }
  // When a control machine sends a promise the next time.
  void OncePromised(std::function<void(std::size_t machine)> then) { when_promised_ = std::move(then); }

  // Writes what each control machine holds into the history, for people.
  void TellGroup();
  // And the acknowledged adds that are on no disk.
  void TellLostAdds();

  // When an owner begins to exchange a member the next time.
  void OnceExchanging(std::function<void(std::size_t machine)> then) { when_exchanging_ = std::move(then); }

  // When that owner has begun to send the value that ends the exchange.
  void OnceExchanged(std::function<void(std::size_t machine)> then) { when_exchanged_ = std::move(then); }

  // ---- Applications ----
  // An application of the zone sends an add, which has a row in the history, to that machine. `ended` is
  // called once.
  void AddToTally(std::size_t zone, std::size_t machine, std::size_t add,
                  std::function<void(TallyEnd)> ended);
  // The read's row in the history.
  std::size_t ReadTally(std::size_t zone, std::size_t machine, const std::string& tally);
  // When an add is acknowledged the next time.
  void OnceTallyAcknowledged(std::function<void(std::size_t machine)> then) {
    when_tally_acknowledged_ = std::move(then);
  }

  // ---- The end of trouble ----
  // After Heal: all control processes at once, on disks that are so many times slower.
  void RestartControl(double slowness);
  void Repair();  // links, disks, and all that is down comes up
  void Heal();    // the same, and no fault strikes any more

 private:
  struct Link {
    std::string edge, control;
    std::uint64_t edge_life = 0, control_life = 0;
    std::uint64_t number = 0;  // of the edge's
    bool open = false;
  };
  struct Try {
    std::size_t call = 0;
    std::optional<fleet::OperatorOrder> order;
    std::size_t target = 0;
    int redirects = 0;
    double pause_ms = 100;
    double until_ms = 0;
    bool only_there = false;
  };

  // An add, or else a read.
  struct TallyCall {
    std::optional<fleet::TallyAdd> add;
    std::string read;
    std::function<void(std::uint64_t life)> reached;
    std::function<void(TallyEnd, std::int64_t total)> ended;
  };

  // ControlSurroundings
  void ToControl(const std::string& from, const std::string& to, const fleet::Message& message) override;
  void ToSubscriber(const std::string& from, fleet::SubscriberId id, const fleet::Message& message) override;
  std::vector<fleet::SubscriberId> SubscribersOf(const std::string& machine) override;
  void ReadPlatform(const std::string& machine) override;
  void Observe(const std::string& machine) override;
  void Tell(const std::string& line) override;
  // EdgeSurroundings
  void Dial(const std::string& edge, std::uint64_t link, const std::string& control) override;
  void CloseLink(const std::string& edge, std::uint64_t link) override;
  void ToSource(const std::string& edge, std::uint64_t link, const fleet::Message& message) override;
  void ObserveEdge(const std::string& edge) override;
  void Granted(const std::string& edge, const fleet::QuotaGrant& grant) override;
  void Admitted(const std::string& edge, double tokens) override;
  void Chosen(const std::string& edge, const std::string& server) override;

  void AddControl(std::size_t zone);
  static std::vector<std::string> ZonesOfServers(const WorldOptions& options);
  void PlaceInZones();
  void ComePlanned(std::size_t i, std::size_t successor, double before_ms);
  void RemoveWhenBorne(std::size_t i);
  void DropSeed(std::size_t i);
  // Of the newest committed value, and of those on disks that may become committed.
  std::vector<fleet::Member> CountedMembers() const;
  void Boot(std::size_t i, bool bootstrap);
  void StartAfter(std::size_t i, double down_ms);
  void LinksLost(const std::string& control);
  void GoDark(std::size_t i);
  void AwaitEnd(std::size_t i, std::uint64_t life, std::uint64_t start, double down_ms, double until_ms);
  void CutBoth(const std::string& one, const std::string& other, double for_ms, bool both_ways);
  std::vector<fleet::Member> Seeds() const;
  std::vector<std::string> SeedAddresses() const;
  ControlMachine* FindControl(const std::string& address);
  std::size_t IndexOf(const std::string& address) const;
  EdgeMachine* FindEdge(const std::string& name);
  std::optional<fleet::SubscriberId> FindLink(const std::string& edge, std::uint64_t number) const;
  std::size_t Begin(CallRecord record, std::optional<fleet::OperatorOrder> order, double most_ms,
                    std::optional<std::size_t> only_there);
  void Taken(const Try& attempt);
  void Send(Try attempt);
  void GoOn(Try attempt);
  void Answered(Try attempt, const fleet::CallAnswer& answer, const std::string& by);
  void End(std::size_t call, CallEnd end, const std::string& by);
  void SendTallyCall(std::size_t zone, std::size_t machine, TallyCall call);
  void WatchFaults();
  void NoteFaults();
  bool ControlIsCalm();
  bool EdgeIsCalm(std::size_t i);
  void NoteCalm();
  void NoteDiskLost(std::size_t i);
  void NoteDiskBack(const std::string& machine);
  void Remove(std::size_t i);
  void ObserveExchange(const std::string& machine, const fleet::Replica& replica);

  const WorldOptions options_;
  Clock clock_;
  Network network_;
  Platform platform_;
  History history_;
  Checker checker_;
  FaultWatch watch_;
  std::vector<std::unique_ptr<ControlMachine>> controls_;
  std::vector<std::size_t> zone_of_;  // of each control machine
  std::vector<std::unique_ptr<EdgeMachine>> edges_;
  std::map<fleet::SubscriberId, Link> links_;
  fleet::SubscriberId last_link_ = 0;
  std::vector<std::size_t> seeds_;
  std::size_t last_address_ = 0;
  std::set<std::size_t> cut_from_platform_, slow_platform_;
  std::map<std::size_t, std::uint64_t> starting_;  // which start of a machine is due
  double lost_answers_ = 0;
  double demand_ = 1;
  bool holding_ = false;
  bool calm_ = false;  // faults that were planned before do not strike any more
  std::set<std::size_t> open_calls_;
  std::map<std::size_t, fleet::OperatorOrder> orders_;
  std::map<std::size_t, Acknowledged> acknowledged_;  // by call
  std::vector<std::uint64_t> control_lives_;          // when it was last looked at
  std::map<std::size_t, std::pair<std::uint64_t, std::uint64_t>> edge_lives_;
  std::map<std::string, double> no_trouble_since_ms_;  // by edge machine
  std::function<void(std::size_t)> when_acknowledged_, when_prepared_, when_promised_;
  std::function<void(std::size_t)> when_exchanging_, when_exchanged_, when_tally_acknowledged_;
};

// The text of a configuration of that version, as operators of the simulation send it.
std::string ConfigurationText(std::uint64_t version, const std::string& by, std::size_t padding);

// What the one tenant of these configurations may use, in tokens.
constexpr const char* kTenant = "tenant";
constexpr double kTenantRatePerS = 1000, kTenantBurst = 1000, kQuotaSlack = 4000;
constexpr double kQuotaOverage = 0.1, kQuotaWindowMs = 8000;
fleet::Tenant TheTenant();

}  // namespace bitternmux::lab::simulation

#endif  // BITTERNMUX_LAB_SIMULATION_WORLD_H_
