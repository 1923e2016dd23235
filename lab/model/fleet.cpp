#include "lab/model/fleet.h"

#include <algorithm>

namespace bitternmux::lab::model {

Fleet::Fleet(const Figures& figures, const Seeds& seeds, Discovery& discovery)
    : figures_(figures), seeds_(seeds), discovery_(discovery), machines_(figures.machines.size()) {
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    const MachineFigures& machine = figures.machines[i];
    const auto place = static_cast<std::size_t>(machine.place);
    if (places_.size() <= place) places_.resize(place + 1, -1);
    machines_[i].at = heap_.size();
    heap_.push_back(static_cast<int>(i));
    if (!machine.from_start) continue;
    machines_[i].state = MachineState::kUp;
    machines_[i].node = std::make_unique<ExecuteNode>(machine.node, seeds, static_cast<int>(i), -1);
    places_[place] = static_cast<int>(i);
  }
}

double Fleet::NextMs() const {
  double next = discovery_.NextMs();
  if (!heap_.empty()) next = std::min(next, Row(heap_.front()).due);
  if (next_step_ < figures_.steps.size()) next = std::min(next, figures_.steps[next_step_].at_ms);
  return next;
}

void Fleet::Advance(double now, FleetActions& out) {
  while (next_step_ < figures_.steps.size() && figures_.steps[next_step_].at_ms <= now) {
    Carry(now, figures_.steps[next_step_++], out);
  }
  while (!heap_.empty() && Row(heap_.front()).due <= now) {
    const int machine = heap_.front();
    Row(machine).node->Advance(now, node_actions_);
    Collect(now, machine, out);
  }
  if (discovery_.NextMs() <= now) {
    discovery_.Advance(now, told_);
    HandOutTold(out);
  }
}

void Fleet::HandOutTold(FleetActions& out) {
  for (DiscoveryAction& action : told_) {
    FleetAction told;
    told.what = FleetAction::What::kTold;
    told.told = std::move(action);
    out.push_back(std::move(told));
  }
  told_.clear();
}

void Fleet::Carry(double now, const Step& step, FleetActions& out) {
  FleetAction action;
  action.step = step;
  switch (step.what) {
    case Step::What::kStart:
      return Start(now, step.target, out);
    case Step::What::kTerm:
    case Step::What::kSidecarKill:
    case Step::What::kHup:
    case Step::What::kFreeze:
    case Step::What::kLetGo:
    case Step::What::kDescriptors:
    case Step::What::kShortLife:
      action.what = FleetAction::What::kSidecar;
      out.push_back(std::move(action));
      return;
    case Step::What::kTroubleBegins:
    case Step::What::kTroubleEnds:
      action.what = FleetAction::What::kTrouble;
      out.push_back(std::move(action));
      return;
    case Step::What::kDiscoveryDown:
    case Step::What::kDiscoveryUp:
    case Step::What::kDiscoveryMove:
      action.what = FleetAction::What::kDiscovery;
      out.push_back(std::move(action));
      discovery_.Apply(now, step.what, told_);
      return HandOutTold(out);
    default:
      break;
  }
  MachineRow& row = Row(step.target);
  if (row.state != MachineState::kUp && row.state != MachineState::kDraining) return;
  row.node->Apply(now, step.what, step.amount, node_actions_);
  Collect(now, step.target, out);
  if (step.what == Step::What::kDrain) Change(now, step.target, MachineState::kDraining, true, out);
  if (step.what == Step::What::kStop) Change(now, step.target, MachineState::kGone, true, out);
  if (step.what == Step::What::kKill || step.what == Step::What::kVanish) {
    Change(now, step.target, MachineState::kGone, false, out);
  }
}

void Fleet::Start(double now, int machine, FleetActions& out) {
  MachineRow& row = Row(machine);
  if (row.state != MachineState::kAbsent) return;
  const MachineFigures& figures = figures_.machines[static_cast<std::size_t>(machine)];
  row.started = now;
  row.node = std::make_unique<ExecuteNode>(figures.node, seeds_, machine, now);
  places_[static_cast<std::size_t>(figures.place)] = machine;
  Reschedule(machine);
  Change(now, machine, MachineState::kUp, true, out);
}

void Fleet::Change(double now, int machine, MachineState state, bool announced, FleetActions& out) {
  MachineRow& row = Row(machine);
  row.state = state;
  FleetAction action;
  action.what = FleetAction::What::kMachine;
  action.machine = machine;
  action.state = state;
  out.push_back(std::move(action));
  const Phase phase = state == MachineState::kUp         ? Phase::kServing
                      : state == MachineState::kDraining ? Phase::kDraining
                                                         : Phase::kGone;
  discovery_.Changed(now, machine, phase, row.started, announced);
}

void Fleet::Collect(double now, int machine, FleetActions& out) {
  bool fell = false;
  for (const NodeAction& node : node_actions_) {
    fell |= node.what == NodeAction::What::kFell;
    FleetAction action;
    action.what = FleetAction::What::kNode;
    action.machine = machine;
    action.node = node;
    out.push_back(std::move(action));
  }
  node_actions_.clear();
  Reschedule(machine);
  if (fell) Change(now, machine, MachineState::kFell, false, out);
}

ExecuteNode::Reach Fleet::Reach(int machine) const {
  const ExecuteNode* standing = node(machine);
  return standing == nullptr ? ExecuteNode::Reach::kRefuses : standing->reach();
}

bool Fleet::Connect(double now, int machine, ConnectionId connection, FleetActions& out) {
  const bool taken = Row(machine).node->Connect(now, connection, node_actions_);
  Collect(now, machine, out);
  return taken;
}

void Fleet::Disconnect(double now, int machine, ConnectionId connection, FleetActions& out) {
  Row(machine).node->Disconnect(now, connection, node_actions_);
  Collect(now, machine, out);
}

void Fleet::Offer(double now, int machine, const Offered& offered, FleetActions& out) {
  Row(machine).node->Offer(now, offered, node_actions_);
  Collect(now, machine, out);
}

void Fleet::Probe(double now, int machine, ConnectionId connection, FleetActions& out) {
  Row(machine).node->Probe(now, connection, node_actions_);
  Collect(now, machine, out);
}

bool Fleet::Before(int a, int b) const { return Row(a).due != Row(b).due ? Row(a).due < Row(b).due : a < b; }

void Fleet::Place(std::size_t at, int machine) {
  heap_[at] = machine;
  Row(machine).at = at;
}

void Fleet::Reschedule(int machine) {
  Row(machine).due = Row(machine).node->NextMs();
  std::size_t at = Row(machine).at;
  while (at > 0 && Before(machine, heap_[(at - 1) / 2])) {
    Place(at, heap_[(at - 1) / 2]);
    at = (at - 1) / 2;
  }
  for (;;) {
    std::size_t child = 2 * at + 1;
    if (child >= heap_.size()) break;
    if (child + 1 < heap_.size() && Before(heap_[child + 1], heap_[child])) ++child;
    if (!Before(heap_[child], machine)) break;
    Place(at, heap_[child]);
    at = child;
  }
  Place(at, machine);
}

}  // namespace bitternmux::lab::model
