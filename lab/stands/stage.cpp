#include "lab/stands/stage.h"

#include <utility>

namespace bitternmux::lab {
namespace {

constexpr double kWarmedMs = 200;  // how often the record tells how warm a cold machine is

}  // namespace

Stage::Stage(boost::asio::io_context& context, const model::Figures& day, std::vector<Observer*> observers)
    : io(context),
      figures(day),
      seeds(day.seed),
      pace(context),
      discovery(day, seeds),
      network(day, seeds),
      fleet(day, seeds, discovery),
      observers_(std::move(observers)) {
  pace.Add([this] { return fleet.NextMs(); },
           [this] {
             fleet.Advance(pace.NowMs(), actions);
             Carry();
           });
}

void Stage::Begin() {
  for (int machine = 0; machine < fleet.size(); ++machine) {
    if (fleet.state(machine) != model::MachineState::kUp) continue;
    Tell(&Observer::MachineChanged, machine, model::MachineState::kUp, -1.0);
  }
}

void Stage::Void(const std::string& reason) {
  if (void_reason_.empty()) void_reason_ = reason;
  Tell(&Observer::Void, reason);
}

void Stage::OutOfDescriptors() {
  Void("the lab ran out of descriptors: fewer sidecars or servers, or ulimit -n");
}

void Stage::Carry() {
  // What is carried out may call the model again, which appends to a list of its own.
  model::FleetActions todo;
  todo.swap(actions);
  for (const model::FleetAction& action : todo) {
    switch (action.what) {
      case model::FleetAction::What::kNode:
        on_node(action.machine, action.node);
        break;
      case model::FleetAction::What::kMachine:
        Tell(&Observer::MachineChanged, action.machine, action.state, fleet.started_ms(action.machine));
        if (action.state == model::MachineState::kUp) TellWarmth(action.machine);
        on_machine(action.machine);
        break;
      case model::FleetAction::What::kSidecar:
        on_sidecar(action.step);
        break;
      case model::FleetAction::What::kTrouble:
        Tell(&Observer::Trouble, action.step.target, action.step.what == model::Step::What::kTroubleBegins);
        break;
      case model::FleetAction::What::kDiscovery:
        on_discovery(action.step);
        break;
      case model::FleetAction::What::kTold:
        if (action.told.what == model::DiscoveryAction::What::kListed) {
          Tell(&Observer::Listed, action.told.entry, action.told.revision);
        } else {
          on_told(action.told);
        }
        break;
    }
  }
  pace.Arm();
}

void Stage::TellWarmth(int machine) {
  const model::ExecuteNode* node = fleet.node(machine);
  if (node == nullptr || node->reach() != model::ExecuteNode::Reach::kListens) return;
  const double share = node->Warmth(pace.NowMs());
  Tell(&Observer::Warmed, machine, share);
  if (share < 1) pace.At(pace.NowMs() + kWarmedMs, [this, machine] { TellWarmth(machine); });
}

}  // namespace bitternmux::lab
