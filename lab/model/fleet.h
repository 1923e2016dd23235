// All machines of a day, and the script of what befalls them.
//
// Holds the execute nodes by machine number, carries out the day's steps at their times, and tells discovery
// of what it can know. Steps that concern sidecars are handed out: whoever runs those carries them out.
//
// No socket, no clock. NextMs() is the earliest of all nodes' and of the script's; only what is due is
// called.
#ifndef BITTERNMUX_LAB_MODEL_FLEET_H_
#define BITTERNMUX_LAB_MODEL_FLEET_H_

#include <memory>
#include <vector>

#include "lab/model/discovery.h"
#include "lab/model/execute_node.h"
#include "lab/model/figures.h"
#include "lab/model/random.h"

namespace bitternmux::lab::model {

enum class MachineState { kAbsent, kUp, kDraining, kGone, kFell };

struct FleetAction {
  enum class What {
    kNode,       // `node` is to be carried out at `machine`
    kMachine,    // `machine` is now in `state`
    kSidecar,    // `step` (kTerm to kShortLife) befalls a sidecar
    kTrouble,    // `step` (kTroubleBegins or kTroubleEnds): for the record
    kDiscovery,  // `step` (kDiscoveryDown to kDiscoveryMove) was carried out; `told` holds what follows from
                 // it
    kTold,       // `told`: discovery has something to do
  };
  What what = What::kNode;
  int machine = -1;
  NodeAction node;
  MachineState state = MachineState::kAbsent;
  Step step;
  DiscoveryAction told;
};
using FleetActions = std::vector<FleetAction>;

class Fleet {
 public:
  // `figures` and `discovery` must outlive it.
  Fleet(const Figures& figures, const Seeds& seeds, Discovery& discovery);

  double NextMs() const;
  void Advance(double now, FleetActions& out);

  int size() const { return static_cast<int>(machines_.size()); }
  MachineState state(int machine) const { return Row(machine).state; }
  // When its process started; below 0: long ago, or not yet.
  double started_ms(int machine) const { return Row(machine).started; }
  // The process that stands at a place now, or was the last to; -1 before any has.
  int At(int place) const { return places_[static_cast<std::size_t>(place)]; }
  // Null until its process has started. Its own calls must go through the four below, which see to when it is
  // due.
  const ExecuteNode* node(int machine) const {
    return machines_[static_cast<std::size_t>(machine)].node.get();
  }

  // What a dial to a machine's address meets. An address that nobody has started at refuses.
  ExecuteNode::Reach Reach(int machine) const;
  bool Connect(double now, int machine, ConnectionId connection, FleetActions& out);
  void Disconnect(double now, int machine, ConnectionId connection, FleetActions& out);
  void Offer(double now, int machine, const Offered& offered, FleetActions& out);
  void Probe(double now, int machine, ConnectionId connection, FleetActions& out);

 private:
  struct MachineRow {
    MachineState state = MachineState::kAbsent;
    double started = -1;
    std::unique_ptr<ExecuteNode> node;
    std::size_t at = 0;   // in the heap
    double due = kNever;  // as the heap has it
  };

  MachineRow& Row(int machine) { return machines_[static_cast<std::size_t>(machine)]; }
  const MachineRow& Row(int machine) const { return machines_[static_cast<std::size_t>(machine)]; }
  void Carry(double now, const Step& step, FleetActions& out);
  void Start(double now, int machine, FleetActions& out);
  void Change(double now, int machine, MachineState state, bool announced, FleetActions& out);
  // Takes over what a node has appended, and when it is due next.
  void Collect(double now, int machine, FleetActions& out);
  void HandOutTold(FleetActions& out);
  bool Before(int a, int b) const;
  void Place(std::size_t at, int machine);
  void Reschedule(int machine);

  const Figures& figures_;
  const Seeds seeds_;
  Discovery& discovery_;
  std::vector<MachineRow> machines_;
  std::vector<int> places_;
  std::vector<int> heap_;  // machines, by when they are due and then by number
  std::size_t next_step_ = 0;
  NodeActions node_actions_;
  DiscoveryActions told_;
};

}  // namespace bitternmux::lab::model

#endif  // BITTERNMUX_LAB_MODEL_FLEET_H_
