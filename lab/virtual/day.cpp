#include "lab/virtual/day.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <stdexcept>

#include "cartspring/settings.h"
#include "config/config.h"
#include "lab/scenario/settings.h"

namespace bitternmux::lab {
namespace {

constexpr double kRestartWindowMs = 500;  // these two as the program has them
constexpr double kLastAnswersMs = 600;
constexpr double kWarmedMs = 200;  // how often the record tells how warm a cold machine is
constexpr double kSampleMs = 1000;
constexpr std::uint64_t kTurns = std::uint64_t{1} << 63;
constexpr int kConnectionShift = 40;  // a connection's number: its sidecar's and, below that, its own

// The first microsecond at or after that time.
std::int64_t ToUs(double ms) {
  if (ms >= model::kNever) return std::numeric_limits<std::int64_t>::max();
  auto us = static_cast<std::int64_t>(std::ceil(ms * 1000));
  while (static_cast<double>(us) / 1000 < ms) ++us;  // the product may have been rounded down
  return us;
}

// A key for the delay of one message of many on a connection.
std::uint64_t MessageKey(std::uint64_t connection, std::uint64_t message) {
  return connection * 0x9e3779b97f4a7c15u + message;
}
bool Named(const std::vector<int>& list, int number) {
  return list.empty() || std::find(list.begin(), list.end(), number) != list.end();
}
std::uint64_t TryKey(model::TryId id, bool back) { return id * 2 + (back ? 1 : 0); }
// Calls have numbers of their own: they must not share keys with connections.
std::uint64_t CallKey(model::CallId call, std::uint64_t message) { return MessageKey(~call, message); }

model::TryEnd EndOf(record::TryEnded::How how) {
  switch (how) {
    case record::TryEnded::SERVED:
    case record::TryEnded::WRONG:  // its client does not know
      return model::TryEnd::kServed;
    case record::TryEnded::REFUSED:
      return model::TryEnd::kRefused;
    case record::TryEnded::LOST:
      return model::TryEnd::kLost;
    case record::TryEnded::NOT_TAKEN:
      return model::TryEnd::kNotTaken;
    default:
      return model::TryEnd::kFailed;
  }
}

}  // namespace

Day::Day(const model::Figures& figures, std::vector<Observer*> observers)
    : figures_(figures),
      observers_(std::move(observers)),
      seeds_(figures.seed),
      discovery_(figures, seeds_),
      network_(figures, seeds_),
      clients_(figures, seeds_),
      fleet_(figures, seeds_, discovery_),
      sidecars_(figures.sidecars.size()) {
  for (const model::TroubleFigures& trouble : figures.troubles) {
    if (trouble.sockets_only) {
      throw std::runtime_error("trouble '" + trouble.name +
                               "' is there on sockets only: run --mode loopback");
    }
  }
  for (std::size_t i = 0; i < sidecars_.size(); ++i) {
    Sidecar& row = sidecars_[i];
    row.settings = cartspring::ReadSettings(JsonFields(scenario::SettingsOf(figures, static_cast<int>(i))));
    row.told.emplace(discovery_);
  }
}

Day::~Day() = default;

void Day::Run() {
  for (int machine = 0; machine < fleet_.size(); ++machine) {
    if (fleet_.state(machine) != model::MachineState::kUp) continue;
    Tell(&Observer::MachineChanged, machine, model::MachineState::kUp, -1.0);
  }
  for (std::size_t i = 0; i < sidecars_.size(); ++i) {
    Queue(figures_.sidecars[i].start_ms, What::kStart, static_cast<int>(i));
  }
  const auto& troubles = figures_.network.troubles;
  for (std::size_t i = 0; i < troubles.size(); ++i) {
    if (model::Cuts(troubles[i].fault)) Queue(troubles[i].until_ms, What::kCutEnds, 0, i);
  }
  Queue(kSampleMs, What::kSample, 0);
  while (!clients_.Done() || !tries_.empty() || claims_out_ > 0) Step();
  Tell(&Observer::Over);
}

void Day::Step() {
  ++events_;
  const std::int64_t fleet = ToUs(fleet_.NextMs()), clients = ToUs(clients_.NextMs());
  const std::int64_t queue = queue_.empty() ? std::numeric_limits<std::int64_t>::max() : queue_.front().at_us;
  now_us_ = std::max(now_us_, std::min({fleet, clients, queue}));
  if (fleet <= now_us_) {
    fleet_.Advance(NowMs(), fleet_actions_);
    CarryFleet();
  } else if (clients <= now_us_) {
    clients_.Advance(NowMs(), client_actions_);
    CarryClients();
  } else {
    std::pop_heap(queue_.begin(), queue_.end(), std::greater<>());
    const Event event = queue_.back();
    queue_.pop_back();
    Carry(event);
  }
}

void Day::Queue(double at_ms, What what, int sidecar, std::uint64_t id, std::uint32_t payload) {
  // Turns come behind what else is due then, by sidecar: else it would show whether turns before were left
  // out.
  const std::uint64_t order = what == What::kWake ? kTurns + static_cast<std::uint64_t>(sidecar) : ++queued_;
  queue_.push_back({std::max(now_us_, ToUs(at_ms)), order, what, sidecar, Row(sidecar).life, id, payload});
  std::push_heap(queue_.begin(), queue_.end(), std::greater<>());
}

bool Day::Serves(const Event& event) {
  return Row(event.sidecar).process != nullptr && Row(event.sidecar).life == event.life;
}

bool Day::Waits(const Event& event) {
  switch (event.what) {
    case What::kTryArrives:  // where somebody listens
      if (Row(event.sidecar).phase != Phase::kServing && Row(event.sidecar).phase != Phase::kStopping) {
        return false;
      }
      break;
    case What::kDialUp:
    case What::kHeard:
    case What::kCallTold:
    case What::kCallLine:
    case What::kCallBroke:
    case What::kDeferred:
    case What::kReady:
    case What::kDoorsClose:
    case What::kGiveUp:
    case What::kTermRead:
    case What::kHupRead:
      break;
    case What::kClientLeaves:  // of one that is unread: it is seen as gone when it is read
      if (tries_.count(event.id) > 0 && !tries_.at(event.id).taken) return false;
      break;
    default:
      return false;
  }
  if (!StandsStill(event.sidecar)) return false;
  if (event.what == What::kTryArrives) tries_.at(event.id).came_ms = NowMs();
  if (event.what == What::kCallTold && calls_.count(event.id) > 0) {
    HearList(event.sidecar, listings_.At(event.payload));  // it lies at its socket
  }
  Row(event.sidecar).unread.push_back(event);
  return true;
}

void Day::Carry(const Event& event) {
  if (Waits(event)) return;
  switch (event.what) {
    case What::kTryArrives:
      return TryArrives(event.sidecar, event.id);
    case What::kClientLeaves:
      return ClientLeaves(event.sidecar, event.id);
    case What::kAnswerArrives:
      return AnswerArrives(event.id, outcomes_.Take(event.payload));
    case What::kDialUp:
      return DialUp(event.sidecar, event.id);
    case What::kRequestArrives: {
      const Request request = requests_.Take(event.payload);
      fleet_.Offer(NowMs(), request.machine, request.offered, fleet_actions_);
      return CarryFleet();
    }
    case What::kProbeArrives:
      fleet_.Probe(NowMs(), static_cast<int>(event.payload), event.id, fleet_actions_);
      return CarryFleet();
    case What::kCloseArrives:
      fleet_.Disconnect(NowMs(), static_cast<int>(event.payload), event.id, fleet_actions_);
      return CarryFleet();
    case What::kHeard:
      return Heard(event.id, heard_.Take(event.payload));
    case What::kAskArrives:
      return AskArrives(event.sidecar, event.id);
    case What::kCallTold: {
      const model::Listing listing = listings_.Take(event.payload);
      if (calls_.count(event.id) > 0) Row(event.sidecar).process->Told(event.id, listing);
      return;
    }
    case What::kCallLine:
      if (calls_.count(event.id) > 0) Row(event.sidecar).process->Line(event.id);
      return;
    case What::kCallBroke:
      if (calls_.count(event.id) == 0) return;
      Tell(&Observer::Asked, event.sidecar, calls_.at(event.id).watch, true);
      return Row(event.sidecar).process->CallBroke(event.id);
    case What::kCutEnds:
      return EndCut(figures_.network.troubles[event.id]);
    case What::kWake:
      if (!Serves(event) || Row(event.sidecar).wake_us != event.at_us || StandsStill(event.sidecar)) return;
      Row(event.sidecar).wake_us = 0;
      return Row(event.sidecar).process->Turn();
    case What::kDeferred:
      if (Serves(event)) Row(event.sidecar).process->Deferred();
      return;
    case What::kStart:
      return StartProcess(event.sidecar);
    case What::kReady:
      if (Row(event.sidecar).life == event.life) Ready(event.sidecar);
      return;
    case What::kDoorsClose:
      if (!Serves(event)) return;
      Row(event.sidecar).phase = Phase::kClosing;
      if (Row(event.sidecar).process->held() == 0) EndProcess(event.sidecar, record::Sidecar::EXITED);
      return;
    case What::kGiveUp:
      if (Serves(event)) EndProcess(event.sidecar, record::Sidecar::EXITED);
      return;
    case What::kTermRead:
      if (Row(event.sidecar).life == event.life) TermRead(event.sidecar);
      return;
    case What::kHupRead:
      if (Serves(event)) Row(event.sidecar).process->Reload();
      return;
    case What::kKilled:
      if (Row(event.sidecar).life == event.life) EndProcess(event.sidecar, record::Sidecar::KILLED);
      return;
    case What::kWarmed:
      return TellWarmth(static_cast<int>(event.id));
    case What::kSample:
      return TakeSample();
  }
}

// ---- Clients ----

void Day::CarryClients() {
  for (const model::ClientAction& action : client_actions_) {
    const model::Try& attempt = action.attempt;
    const double away = NowMs() + network_.Local(TryKey(attempt.id, false));
    switch (action.what) {
      case model::ClientAction::What::kSend:
        tries_[attempt.id].attempt = attempt;
        Tell(&Observer::TrySent, attempt);
        Queue(away, What::kTryArrives, attempt.sidecar, attempt.id);
        break;
      case model::ClientAction::What::kLeave:
      case model::ClientAction::What::kLost: {
        const bool left = action.what == model::ClientAction::What::kLeave;
        Tell(&Observer::TryEnded, attempt,
             TryOutcome{left ? record::TryEnded::LEFT : record::TryEnded::LOST, 0, 0, 0});
        Queue(away, What::kClientLeaves, attempt.sidecar, attempt.id);
        break;
      }
    }
  }
  client_actions_.clear();
}

void Day::TryArrives(int sidecar, model::TryId id) {
  Sidecar& row = Row(sidecar);
  TryRow& own = tries_.at(id);
  if (own.left) {
    tries_.erase(id);
  } else if (row.phase != Phase::kServing && row.phase != Phase::kStopping) {
    TellClient(id, {record::TryEnded::NOT_TAKEN, 0, 0, 0});
  } else {
    own.taken = true;
    row.tries.insert(id);
    row.process->Take(own.attempt, own.came_ms > 0 ? NowMs() - own.came_ms : 0);
  }
}

void Day::ClientLeaves(int sidecar, model::TryId id) {
  const auto found = tries_.find(id);
  if (found == tries_.end()) return;
  // What was closed is seen as closed when it comes, if it has not come yet.
  if (!found->second.taken) {
    found->second.left = true;
    return;
  }
  Sidecar& row = Row(sidecar);
  if (row.tries.erase(id) == 0) return;  // its answer is on the way
  tries_.erase(found);
  row.process->ClientLeft(id);
  if (row.phase == Phase::kClosing) Queue(NowMs(), What::kDoorsClose, sidecar);
}

void Day::Answered(int sidecar, model::TryId id, const Answer& answer) {
  Sidecar& row = Row(sidecar);
  row.tries.erase(id);
  TryOutcome outcome;
  outcome.retry_after_ms = answer.retry_after_ms;
  switch (answer.kind) {
    case Answer::Kind::kServed: {
      const AnswerMade made = ReadBody(answer.body);
      outcome.how = made.attempt == id ? record::TryEnded::SERVED : record::TryEnded::WRONG;
      outcome.status = 200;
      outcome.claim = made.claim;
      break;
    }
    case Answer::Kind::kRefused:
      outcome.how = record::TryEnded::REFUSED;
      outcome.status = 503;
      break;
    case Answer::Kind::kFailed:
      outcome.how = record::TryEnded::FAILED;
      outcome.status = 502;
      break;
    case Answer::Kind::kTimedOut:
      outcome.how = record::TryEnded::FAILED;
      outcome.status = 504;
      break;
  }
  TellClient(id, outcome);
  if (row.phase == Phase::kClosing) Queue(NowMs(), What::kDoorsClose, sidecar);
}

void Day::TellClient(model::TryId id, const TryOutcome& outcome) {
  Queue(NowMs() + network_.Local(TryKey(id, true)), What::kAnswerArrives, 0, id, outcomes_.Put(outcome));
}

void Day::AnswerArrives(model::TryId id, const TryOutcome& outcome) {
  const auto found = tries_.find(id);
  const model::Try attempt = found->second.attempt;
  tries_.erase(found);
  if (clients_.Find(id) == nullptr) return;  // its client has left meanwhile
  Tell(&Observer::TryEnded, attempt, outcome);
  clients_.Ended(NowMs(), id, EndOf(outcome.how), outcome.retry_after_ms);
}

// ---- Execute nodes ----

model::ConnectionId Day::Dial(int sidecar, const std::string& address, model::TryId attempt) {
  const model::ConnectionId id =
      (static_cast<model::ConnectionId>(sidecar) + 1) << kConnectionShift | ++Row(sidecar).connections_made;
  Link& link = links_[id];
  link.sidecar = sidecar;
  link.attempt = attempt;
  std::from_chars(address.data(), address.data() + address.size(), link.place);
  const double up = network_.DialUp(NowMs(), sidecar, fleet_.At(link.place), MessageKey(id, link.messages++));
  if (up < model::kNever) Queue(up, What::kDialUp, sidecar, id);
  return id;
}

void Day::DialUp(int sidecar, model::ConnectionId id) {
  const auto found = links_.find(id);
  if (found == links_.end()) return;  // given up
  const int machine = fleet_.At(found->second.place);
  switch (fleet_.Reach(machine)) {
    case model::ExecuteNode::Reach::kSilent:
      return;
    case model::ExecuteNode::Reach::kRefuses:
      return Row(sidecar).process->DialFailed(id);
    case model::ExecuteNode::Reach::kListens:
      break;
  }
  if (network_.Dropped(NowMs(), sidecar, machine, id)) return Row(sidecar).process->DialFailed(id);
  const bool taken = fleet_.Connect(NowMs(), machine, id, fleet_actions_);
  if (taken) found->second.machine = machine;
  found->second.turned_away = !taken;
  Tell(&Observer::Connection, ConnectionChange{sidecar, machine, true, false, !taken, found->second.attempt});
  CarryFleet();
  taken ? Row(sidecar).process->Dialed(id) : Row(sidecar).process->DialFailed(id);
}

double Day::There(Link& link, model::ConnectionId id) {
  const double arrives =
      network_.ToNode(NowMs(), link.sidecar, link.machine, MessageKey(id, link.messages++));
  if (arrives < model::kNever) link.there = std::max(link.there, arrives);
  return arrives < model::kNever ? link.there : arrives;
}

model::ClaimId Day::Send(model::ConnectionId id, model::TryId attempt, int claim_number, double wait_ms) {
  Link& link = links_.at(id);
  const model::ClaimId claim = ++last_claim_;
  ++claims_out_;
  Tell(&Observer::ClaimSent, ClaimStart{claim, attempt, link.sidecar, link.machine, wait_ms});
  const model::Offered offered{claim, id, clients_.AttemptWork(tries_.at(attempt).attempt, claim_number),
                               wait_ms};
  const double arrives = There(link, id);
  if (arrives < model::kNever) {
    Queue(arrives, What::kRequestArrives, link.sidecar, id, requests_.Put({offered, link.machine}));
  }
  return claim;
}

void Day::SendProbe(model::ConnectionId id) {
  Link& link = links_.at(id);
  Tell(&Observer::Probed, link.sidecar, link.machine);
  const double arrives = There(link, id);
  if (arrives == model::kNever) return;
  Queue(arrives, What::kProbeArrives, link.sidecar, id, static_cast<std::uint32_t>(link.machine));
}

void Day::Close(model::ConnectionId id) {
  const auto found = links_.find(id);
  if (found == links_.end()) return;
  Link link = found->second;
  links_.erase(found);
  if (link.machine < 0) {
    if (!link.turned_away) Tell(&Observer::DialFailed, link.sidecar, link.attempt);
    return;
  }
  if (!link.node_closed) {
    Tell(&Observer::Connection, ConnectionChange{link.sidecar, link.machine, false, false, false});
  }
  double arrives = There(link, id);
  // In a cut the node learns of it when the cut ends.
  if (arrives == model::kNever) arrives = network_.CutUntil(NowMs(), link.sidecar, link.machine);
  Queue(arrives, What::kCloseArrives, link.sidecar, id, static_cast<std::uint32_t>(link.machine));
}

void Day::ClaimOver(model::ClaimId claim, record::ClaimEnded::How how, double worked_ms) {
  --claims_out_;
  Tell(&Observer::ClaimEnded, claim, how, worked_ms);
}

void Day::CarryFleet() {
  // What is carried out may call the model again, which appends to a list of its own.
  model::FleetActions actions;
  actions.swap(fleet_actions_);
  for (const model::FleetAction& action : actions) {
    switch (action.what) {
      case model::FleetAction::What::kNode:
        CarryNode(action.machine, action.node);
        break;
      case model::FleetAction::What::kMachine: {
        const double started = fleet_.started_ms(action.machine);
        Tell(&Observer::MachineChanged, action.machine, action.state, started);
        if (action.state == model::MachineState::kUp) TellWarmth(action.machine);
        break;
      }
      case model::FleetAction::What::kSidecar:
        CarrySidecar(action.step);
        break;
      case model::FleetAction::What::kTrouble:
        Tell(&Observer::Trouble, action.step.target, action.step.what == model::Step::What::kTroubleBegins);
        break;
      case model::FleetAction::What::kDiscovery:
        break;
      case model::FleetAction::What::kTold:
        CarryTold(action.told);
        break;
    }
  }
  actions.clear();
  if (fleet_actions_.empty()) fleet_actions_.swap(actions);
}

void Day::CarryNode(int machine, const model::NodeAction& action) {
  using NodeWhat = model::NodeAction::What;
  if (action.what == NodeWhat::kEffect) return Tell(&Observer::Effect, action.claim);
  if (action.what == NodeWhat::kEnded || action.what == NodeWhat::kFell) return;
  const auto found = links_.find(action.connection);
  if (found == links_.end()) return;
  Link& link = found->second;
  const bool closes =
      action.what == NodeWhat::kClose || action.what == NodeWhat::kReset || action.what == NodeWhat::kForgot;
  if (closes && !std::exchange(link.node_closed, true)) {
    Tell(&Observer::Connection, ConnectionChange{link.sidecar, machine, false, true, false});
  }
  if (action.what == NodeWhat::kForgot) return;
  const double arrives =
      network_.FromNode(NowMs(), link.sidecar, machine, MessageKey(action.connection, link.messages++));
  if (arrives == model::kNever) return;
  link.back = std::max(link.back, arrives);
  Queue(link.back, What::kHeard, link.sidecar, action.connection, heard_.Put(action));
}

void Day::Heard(model::ConnectionId id, const model::NodeAction& action) {
  const auto found = links_.find(id);
  if (found == links_.end()) return;
  const int sidecar = found->second.sidecar;
  if (StandsStill(sidecar)) return Queue(NowMs(), What::kHeard, sidecar, id, heard_.Put(action));
  const bool over =
      action.what == model::NodeAction::What::kClose || action.what == model::NodeAction::What::kReset;
  if (over) links_.erase(found);
  Row(sidecar).process->Heard(id, action);
}

// What stood through a cut is reset at both ends.
void Day::EndCut(const model::LinkTrouble& trouble) {
  if (trouble.discovery) return EndDiscoveryCut(trouble);
  std::vector<model::ConnectionId> cut;
  for (const auto& [id, link] : links_) {
    if (link.machine >= 0 && Named(trouble.sidecars, link.sidecar) && Named(trouble.machines, link.machine)) {
      cut.push_back(id);
    }
  }
  std::sort(cut.begin(), cut.end());
  model::NodeAction reset;
  reset.what = model::NodeAction::What::kReset;
  for (const model::ConnectionId id : cut) {
    const auto found = links_.find(id);
    if (found == links_.end()) continue;
    const int machine = found->second.machine;
    if (!std::exchange(found->second.node_closed, true)) {
      Tell(&Observer::Connection, ConnectionChange{found->second.sidecar, machine, false, true, false});
    }
    fleet_.Disconnect(NowMs(), machine, id, fleet_actions_);
    CarryFleet();
    Heard(id, reset);
  }
}

void Day::EndDiscoveryCut(const model::LinkTrouble& trouble) {
  for (const auto& [id, call] : calls_) {
    if (Named(trouble.sidecars, call.sidecar)) Queue(NowMs(), What::kCallBroke, call.sidecar, id);
  }
}

void Day::TellWarmth(int machine) {
  const model::ExecuteNode* node = fleet_.node(machine);
  if (node == nullptr || node->reach() != model::ExecuteNode::Reach::kListens) return;
  const double share = node->Warmth(NowMs());
  Tell(&Observer::Warmed, machine, share);
  if (share < 1) Queue(NowMs() + kWarmedMs, What::kWarmed, 0, static_cast<std::uint64_t>(machine));
}

// ---- Discovery ----

model::CallId Day::Ask(int sidecar, int place, bool watch, std::int64_t since) {
  const model::CallId id = ++last_call_;
  Call& call = calls_[id];
  call = {sidecar, place, watch, since, 0, 0};
  // A connection first: there and back before the request goes.
  const double connected = NowMs() + 2 * figures_.network.same_ms;
  const double arrives = network_.ToDiscovery(connected, sidecar, CallKey(id, call.messages++));
  Tell(&Observer::Asked, sidecar, watch, false);
  constexpr int kDiscovery = model::Network::kDiscovery;
  if (network_.DialUp(NowMs(), sidecar, kDiscovery, CallKey(id, 0)) == model::kNever) return id;
  if (network_.Dropped(NowMs(), sidecar, kDiscovery, CallKey(id, 0))) {
    Queue(connected, What::kCallBroke, sidecar, id);
    return id;
  }
  if (arrives < model::kNever) Queue(arrives, What::kAskArrives, sidecar, id);
  return id;
}

model::CallId Day::AskOn(model::CallId before, std::int64_t since) {
  const Call old = calls_.at(before);
  calls_.erase(before);
  const model::CallId id = ++last_call_;
  Call& call = calls_[id];
  call = {old.sidecar, old.place, true, since, old.back, 0};
  const double arrives = network_.ToDiscovery(NowMs(), old.sidecar, CallKey(id, call.messages++));
  Tell(&Observer::Asked, old.sidecar, true, false);
  if (arrives < model::kNever) Queue(arrives, What::kAskArrives, old.sidecar, id);
  return id;
}

void Day::Leave(model::CallId call) {
  calls_.erase(call);
  discovery_.Leave(NowMs(), call);
}

void Day::AskArrives(int sidecar, model::CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  Call& call = found->second;
  if (call.place == discovery_.place() && discovery_.up()) {
    discovery_.Ask(NowMs(), id, call.watch, call.since, sidecar);
  } else {
    const double back = network_.FromDiscovery(NowMs(), sidecar, CallKey(id, call.messages++));
    if (back < model::kNever) Queue(back, What::kCallBroke, sidecar, id);
  }
}

void Day::CarryTold(const model::DiscoveryAction& action) {
  using ToldWhat = model::DiscoveryAction::What;
  if (action.what == ToldWhat::kListed) return Tell(&Observer::Listed, action.entry, action.revision);
  const auto found = calls_.find(action.call);
  if (found == calls_.end()) return;
  Call& call = found->second;
  const double arrives = network_.FromDiscovery(NowMs(), call.sidecar, CallKey(action.call, call.messages++));
  if (arrives == model::kNever) return;
  call.back = std::max(call.back, arrives);
  switch (action.what) {
    case ToldWhat::kTell:
      return Queue(call.back, What::kCallTold, call.sidecar, action.call, listings_.Put(action.listing));
    case ToldWhat::kLine:
      return Queue(call.back, What::kCallLine, call.sidecar, action.call);
    default:
      return Queue(call.back, What::kCallBroke, call.sidecar, action.call);
  }
}

// Told is what is new to it: what it remembers was told before, or came with its configuration.
void Day::HearList(int sidecar, const model::Listing& listing) {
  if (Row(sidecar).catches_up) return;
  for (const model::ListEntry& entry : Row(sidecar).told->Hear(listing)) {
    Tell(&Observer::Told, sidecar, entry, listing.revision);
  }
}

// ---- Sidecars ----

void Day::StartProcess(int sidecar) {
  Sidecar& row = Row(sidecar);
  row.phase = Phase::kBooting;
  Tell(&Observer::SidecarChanged, sidecar, record::Sidecar::STARTED);
  const double boot = figures_.sidecars[static_cast<std::size_t>(sidecar)].boot_ms;
  // A whole millisecond: its ticks are then such, too, and exact.
  Queue(std::ceil(NowMs() + boot), What::kReady, sidecar);
  if (row.alive_ms.empty()) return;
  Queue(NowMs() + row.alive_ms.front(), What::kKilled, sidecar);
  row.alive_ms.pop_front();
}

void Day::Ready(int sidecar) {
  Sidecar& row = Row(sidecar);
  const auto index = static_cast<std::uint64_t>(sidecar);
  row.process = std::make_unique<SidecarProcess>(
      static_cast<Outside&>(*this), sidecar, row.settings,
      seeds_.For("sidecar.seed").At(index, row.life).Next(),
      [this, sidecar](const model::Listing& listing) { HearList(sidecar, listing); });
  row.phase = Phase::kServing;
  Tell(&Observer::SidecarChanged, sidecar, record::Sidecar::READY);
  row.process->Start(row.told->Known());
}

void Day::CarrySidecar(const model::Step& step) {
  Sidecar& row = Row(step.target);
  const auto holder = static_cast<int>(step.amount);
  if (step.what == model::Step::What::kShortLife) return row.alive_ms.push_back(step.amount);
  if (row.phase == Phase::kDown) return;
  switch (step.what) {
    case model::Step::What::kHup:
      if (row.process == nullptr) return;  // it reads the new one anyway
      Tell(&Observer::SidecarChanged, step.target, record::Sidecar::HUP);
      return Carry({now_us_, 0, What::kHupRead, step.target, row.life, 0, 0});
    case model::Step::What::kTerm:
      if (row.phase != Phase::kServing && row.phase != Phase::kBooting) return;
      Tell(&Observer::SidecarChanged, step.target, record::Sidecar::TERM);
      row.down_ms = step.amount;
      if (StandsStill(step.target)) {
        Queue(NowMs() + figures_.rules.kill_after_ms, What::kKilled, step.target);
      }
      return Carry({now_us_, 0, What::kTermRead, step.target, row.life, 0, 0});
    case model::Step::What::kFreeze:
      if (!row.held_by.insert(holder).second || row.held_by.size() > 1) return;
      Tell(&Observer::SidecarChanged, step.target, record::Sidecar::FROZEN);
      if (row.process != nullptr) row.process->Froze();
      return;
    case model::Step::What::kLetGo:
      return LetGo(step.target, holder);
    case model::Step::What::kDescriptors:  // none are counted here
      return;
    default:
      row.down_ms = step.amount;
      return EndProcess(step.target, record::Sidecar::KILLED);
  }
}

void Day::TermRead(int sidecar) {
  Sidecar& row = Row(sidecar);
  if (row.phase == Phase::kBooting) return EndProcess(sidecar, record::Sidecar::EXITED);
  if (row.phase != Phase::kServing) return;
  row.phase = Phase::kStopping;
  double longest = 0;
  for (const model::ClassFigures& klass : figures_.classes) longest = std::max(longest, klass.deadline_ms);
  Queue(NowMs() + kRestartWindowMs, What::kDoorsClose, sidecar);
  Queue(NowMs() + longest + kLastAnswersMs, What::kGiveUp, sidecar);
}

// What has come meanwhile is read in the order in which it came: behind what discovery told where the process
// finds that it stood still, and in any case behind its turn, which was due long ago.
void Day::LetGo(int sidecar, int holder) {
  Sidecar& row = Row(sidecar);
  if (row.held_by.erase(holder) == 0 || !row.held_by.empty()) return;
  Tell(&Observer::SidecarChanged, sidecar, record::Sidecar::LET_GO);
  std::vector<Event> unread = std::exchange(row.unread, {});
  const auto news = [](const Event& event) {
    return event.what == What::kCallTold || event.what == What::kCallLine || event.what == What::kCallBroke;
  };
  auto rest = unread.begin();
  row.catches_up = true;
  if (row.process != nullptr) {
    if (row.process->LetGo()) rest = std::stable_partition(unread.begin(), unread.end(), news);
    for (auto event = unread.begin(); event != rest; ++event) Carry(*event);
    row.wake_us = 0;
    row.process->Turn();
  }
  for (; rest != unread.end(); ++rest) {
    // One that was starting serves from a whole millisecond on.
    rest->what == What::kReady ? Queue(std::ceil(NowMs()), What::kReady, sidecar) : Carry(*rest);
  }
  row.catches_up = false;
}

void Day::EndProcess(int sidecar, record::Sidecar::What what) {
  Sidecar& row = Row(sidecar);
  Tell(&Observer::SidecarChanged, sidecar, what);
  if (row.process != nullptr) row.process->Drop();
  row.process.reset();
  row.phase = Phase::kDown;
  ++row.life;
  row.wake_us = 0;
  row.held_by.clear();
  const std::set<model::TryId> tries = std::exchange(row.tries, {});
  for (const model::TryId id : tries) TellClient(id, {record::TryEnded::LOST, 0, 0, 0});
  for (const Event& event : std::exchange(row.unread, {})) {
    if (event.what == What::kTryArrives && !tries_.at(event.id).left) {
      TellClient(event.id, {record::TryEnded::LOST, 0, 0, 0});
    } else {
      Carry(event);  // nobody is there to read it, and what it brings is given back
    }
  }
  Queue(NowMs() + row.down_ms, What::kStart, sidecar);
}

void Day::WakeAt(int sidecar, double at_ms) {
  Sidecar& row = Row(sidecar);
  const std::int64_t at = ToUs(at_ms);
  if (row.wake_us != 0 && row.wake_us <= at) return;
  row.wake_us = at;
  Queue(at_ms, What::kWake, sidecar);
}

void Day::Defer(int sidecar) { Queue(NowMs(), What::kDeferred, sidecar); }

void Day::TakeSample() {
  for (std::size_t i = 0; i < sidecars_.size(); ++i) {
    const SidecarProcess* process = sidecars_[i].process.get();
    if (process != nullptr) {
      Tell(&Observer::Sampled, static_cast<int>(i), process->held(), process->connections());
    }
  }
  Queue(NowMs() + kSampleMs, What::kSample, 0);
}

}  // namespace bitternmux::lab
