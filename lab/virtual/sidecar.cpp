#include "lab/virtual/sidecar.h"

#include <algorithm>
#include <cmath>

namespace bitternmux::lab {
namespace {

constexpr double kTickMs = 2;  // these four as the program has them
constexpr int kOtherDescriptors = 24;
constexpr double kNodeShare = 0.4;
constexpr int kFewestConnections = 8;

std::size_t MostConnections(int descriptors) {
  return static_cast<std::size_t>(kNodeShare * std::max(kFewestConnections, descriptors - kOtherDescriptors));
}

std::string NameOf(const std::vector<std::string>& names, int index) {
  return names[static_cast<std::size_t>(index)];
}

}  // namespace

SidecarProcess::SidecarProcess(Outside& outside, int number, const cartspring::Settings& settings,
                               std::uint64_t seed, std::function<void(const model::Listing&)> heard_list)
    : outside_(outside),
      number_(number),
      settings_(settings),
      start_ms_(outside.NowMs()),
      heard_list_(std::move(heard_list)),
      wheel_(start_ms_, kTickMs),
      still_(start_ms_),
      facade_(settings, seed),
      machines_(settings),
      jobs_(settings, facade_, machines_),
      pool_(outside, number, jobs_, machines_, settings, MostConnections(outside.figures().rules.descriptors),
            wheel_, [this](double at, auto callback) { return AddTimer(at, std::move(callback)); }),
      watch_(
          outside, number, machines_, wheel_,
          [this](double at, auto callback) { return AddTimer(at, std::move(callback)); },
          [this](const model::Listing& listing) {
            heard_list_(listing);
            Apply(listing, false);
          },
          [this] {
            facade_.WatchBroken(outside_.NowMs());
            jobs_.Tick(outside_.NowMs());
          }) {
  jobs_.Attach(pool_, [this] { watch_.Start(); });
}

// What is due already is due at the next tick. The wheel takes the last turn for the present, and turns that
// were left out would let it come before what is due then, too.
TimerWheel::Id SidecarProcess::AddTimer(double at_ms, std::function<void()> callback) {
  at_ms = std::max(at_ms, NextTickMs());
  due_.push(at_ms);
  return wheel_.Add(at_ms, std::move(callback));
}

double SidecarProcess::NextTickMs() const {
  return start_ms_ + (std::floor((outside_.NowMs() - start_ms_) / kTickMs) + 1) * kTickMs;
}

void SidecarProcess::Plan() {
  double next = facade_.NextTimerMs();
  if (!due_.empty()) next = std::min(next, due_.top());
  if (next == model::kNever) return;
  const double tick = start_ms_ + std::ceil((next - start_ms_) / kTickMs) * kTickMs;
  outside_.WakeAt(number_, std::max(tick, NextTickMs()));
}

void SidecarProcess::Turn() {
  const double now = outside_.NowMs();
  while (!due_.empty() && due_.top() <= now) due_.pop();
  wheel_.Turn(now);  // claims that ran out of time are told before the module's own timers ring
  jobs_.Tick(now);
  Plan();
}

void SidecarProcess::Start(const model::Listing& known) {
  Apply(known, true);
  Plan();
}

// Our clock stands for Unix time, too: both begin at the run's first moment.
void SidecarProcess::Apply(const model::Listing& listing, bool remembered) {
  const model::Figures& figures = outside_.figures();
  MachineUpdate update;
  update.revision = listing.revision;
  update.complete = listing.complete;
  update.machines.reserve(listing.entries.size());
  for (const model::ListEntry& entry : listing.entries) {
    const model::MachineFigures& machine = figures.machines[static_cast<std::size_t>(entry.machine)];
    Machine& out = update.machines.emplace_back();
    out.id = machine.id;
    out.state = entry.phase == model::Phase::kServing    ? cartspring::HostState::kLive
                : entry.phase == model::Phase::kDraining ? cartspring::HostState::kDraining
                                                         : cartspring::HostState::kGone;
    if (entry.phase == model::Phase::kGone) continue;
    out.address = std::to_string(machine.place);
    out.zone = NameOf(figures.network.zones, machine.zone);
    out.kind = NameOf(figures.kinds, machine.kind);
    out.cell = machine.cell;
    out.size = machine.size;
    out.up_since_ms = std::max(0.0, entry.started_ms);
  }
  const double now = outside_.NowMs();
  const auto entries = machines_.Apply(update, 0);
  if (remembered) {
    facade_.MachinesRemembered(now, entries);
  } else {
    update.complete ? facade_.MachinesListed(now, entries) : facade_.MachinesChanged(now, entries);
  }
  pool_.Prune();
  jobs_.Tick(now);
}

void SidecarProcess::Take(const model::Try& attempt, double lay_ms) {
  const model::Figures& figures = outside_.figures();
  const model::ClassFigures& klass = figures.classes[static_cast<std::size_t>(attempt.klass)];
  Job job;
  job.request_id = std::to_string(attempt.id);
  job.method = klass.repeat == model::Repeat::kSafe ? "GET" : "POST";
  job.klass = attempt.klass;
  // As the program has it: its time went on while nobody read it.
  job.patience_ms =
      std::max(0.0, attempt.patience_ms - std::min(still_.MaxUnreadMs(outside_.NowMs()), lay_ms));
  job.work_hint_ms = attempt.hint_ms;
  ids_[attempt.id] = 0;
  const JobId taken =
      jobs_.Take(outside_.NowMs(), std::move(job), [this, id = attempt.id](const Answer& answer) {
        ids_.erase(id);
        outside_.Answered(number_, id, answer);
      });
  // The answer may have come before.
  const auto found = ids_.find(attempt.id);
  if (found != ids_.end()) found->second = taken;
  Plan();
}

void SidecarProcess::ClientLeft(model::TryId id) {
  const auto found = ids_.find(id);
  if (found == ids_.end()) return;
  const JobId job = found->second;
  ids_.erase(found);
  jobs_.SubmitterLeft(outside_.NowMs(), job);
  Plan();
}

void SidecarProcess::Deferred() {
  pool_.Deferred();
  Plan();
}

void SidecarProcess::Reload() {
  watch_.MoveTo(outside_.ConfiguredPlace());
  Plan();
}

void SidecarProcess::Drop() {
  pool_.Drop();
  watch_.Drop();
}

void SidecarProcess::Dialed(model::ConnectionId connection) {
  pool_.Dialed(connection);
  Plan();
}

void SidecarProcess::DialFailed(model::ConnectionId connection) {
  pool_.DialFailed(connection);
  Plan();
}

void SidecarProcess::Heard(model::ConnectionId connection, const model::NodeAction& action) {
  pool_.Heard(connection, action);
  Plan();
}

void SidecarProcess::Told(model::CallId call, const model::Listing& listing) {
  watch_.Told(call, listing);
  Plan();
}

void SidecarProcess::Line(model::CallId call) {
  watch_.Line(call);
  Plan();
}

void SidecarProcess::CallBroke(model::CallId call) {
  watch_.Broke(call);
  Plan();
}

}  // namespace bitternmux::lab
