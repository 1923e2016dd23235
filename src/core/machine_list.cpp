#include "core/machine_list.h"

#include <algorithm>

namespace bitternmux {
namespace {

// Names that the settings do not list share the index after those that they do: kept one by one, a long day's
// would pile up.
int IndexOf(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
}

}  // namespace

std::vector<cartspring::HostEntry> MachineList::Apply(const MachineUpdate& update, double unix_ahead_ms) {
  revision_ = update.revision;
  if (update.complete) {
    // Absent from a complete list means gone: its address is dropped, so that nothing can be sent there.
    std::unordered_map<std::string, Known> kept;
    for (const Machine& machine : update.machines) {
      const auto found = known_.find(machine.id);
      if (found != known_.end()) kept.insert(*found);
    }
    known_ = std::move(kept);
  }
  std::vector<cartspring::HostEntry> entries;
  for (const Machine& machine : update.machines) {
    Known& known = known_[machine.id];
    // The same start keeps the time it was first read as: a wall clock that is set would else look like a
    // restart.
    if (machine.up_since_ms <= 0) {
      known.started_ms = 0;
    } else if (machine.up_since_ms != known.up_since_ms) {
      known.started_ms = machine.up_since_ms - unix_ahead_ms;
    }
    known.up_since_ms = machine.up_since_ms;
    known.live = machine.state == cartspring::HostState::kLive;
    if (!machine.address.empty()) known.address = machine.address;
    known.kind = IndexOf(settings_.kinds, machine.kind);
    entries.push_back({machine.id, IndexOf(settings_.zones, machine.zone), known.kind, machine.cell,
                       machine.state, machine.size, known.started_ms});
    if (machine.state == cartspring::HostState::kGone) known_.erase(machine.id);
  }
  return entries;
}

const std::string& MachineList::AddressOf(const std::string& id) const {
  static const std::string kNone;
  const auto found = known_.find(id);
  return found == known_.end() ? kNone : found->second.address;
}

bool MachineList::IsLive(const std::string& id) const {
  const auto found = known_.find(id);
  return found != known_.end() && found->second.live;
}

int MachineList::KindOf(const std::string& id) const {
  const auto found = known_.find(id);
  return found == known_.end() ? static_cast<int>(settings_.kinds.size()) : found->second.kind;
}

std::vector<std::string> MachineList::Live() const {
  std::vector<std::string> out;
  for (const auto& [id, known] : known_) {
    if (known.live) out.push_back(id);
  }
  return out;
}

}  // namespace bitternmux
