// What befalls whole zones of the simulated world.
#include <algorithm>
#include <utility>

#include "lab/simulation/world.h"

namespace bitternmux::lab::simulation {

std::string World::ApplicationsOf(std::size_t zone) { return "applications-" + std::to_string(zone); }

std::string World::NameOfZone(std::size_t zone) { return "zone-" + std::to_string(zone); }

std::vector<std::string> World::ZonesOfServers(const WorldOptions& options) {
  if (!options.evacuations) return {"z"};
  std::vector<std::string> zones;
  for (std::size_t zone = 0; zone < options.zones; ++zone) zones.push_back(NameOfZone(zone));
  return zones;
}

void World::PlaceInZones() {
  for (std::size_t zone = 0; zone < options_.zones; ++zone)
    network_.Place(ApplicationsOf(zone), NameOfZone(zone));
  for (std::size_t i = 0; i < edges_.size(); ++i)
    network_.Place(edges_[i]->name(), NameOfZone(i % options_.zones));
}

// ---- Machines in touch ----

// No control machine has started or is in trouble, and no two are cut off from each other.
bool World::ControlIsCalm() {
  std::vector<std::uint64_t> lives;
  for (const auto& machine : controls_) lives.push_back(machine->life());
  const bool same_lives = std::exchange(control_lives_, lives) == lives;
  const std::vector<std::size_t> present = Present();
  const auto is_calm = [&](std::size_t i) {
    const std::string& address = controls_[i]->address();
    const auto is_cut = [&](std::size_t other) {
      return network_.IsCut(address, controls_[other]->address());
    };
    return !controls_[i]->InTrouble() && !controls_[i]->disk().InTrouble() && !network_.IsSlow(address) &&
           std::ranges::none_of(present, is_cut);
  };
  return same_lives && std::ranges::all_of(present, is_calm);
}

bool World::EdgeIsCalm(std::size_t i) {
  const EdgeMachine& edge = *edges_[i];
  const std::pair lives{edge.life(), edge.router_life()};
  const bool same_lives = std::exchange(edge_lives_[i], lives) == lives;
  const auto is_cut = [&](std::size_t control) {
    const std::string& address = controls_[control]->address();
    return network_.IsCut(edge.name(), address) || network_.IsCut(address, edge.name());
  };
  return same_lives && edge.up() && edge.router_up() && !edge.frozen() &&
         std::ranges::none_of(Present(), is_cut);
}

void World::NoteCalm() {
  const bool control_is_calm = ControlIsCalm() && !history_.tallies.loses_messages;
  for (std::size_t i = 0; i < edges_.size(); ++i) {
    const bool edge_is_calm = EdgeIsCalm(i);
    if (!control_is_calm || !edge_is_calm) no_trouble_since_ms_[edges_[i]->name()] = clock_.now_ms();
  }
}

void World::CutZones(std::size_t from, std::size_t to, bool both_ways, double for_ms) {
  if (calm_ || from == to) return;
  Tell("zone " + std::to_string(from) + " does not reach zone " + std::to_string(to) +
       (both_ways ? ", nor the other way round" : "") + ", for " + std::to_string(for_ms));
  CutBoth(NameOfZone(from), NameOfZone(to), for_ms, both_ways);
}

void World::CutZone(std::size_t zone, double for_ms) {
  for (std::size_t other = 0; other < options_.zones; ++other) CutZones(zone, other, true, for_ms);
}

void World::FlapZone(std::size_t zone, double cut_ms, double whole_ms, std::size_t times) {
  if (calm_ || times == 0) return;
  CutZone(zone, cut_ms);
  clock_.After(cut_ms + whole_ms,
               [this, zone, cut_ms, whole_ms, times] { FlapZone(zone, cut_ms, whole_ms, times - 1); });
}

void World::PowerZone(std::size_t zone, double down_ms) {
  if (calm_) return;
  Tell("zone " + std::to_string(zone) + " loses power");
  for (const std::size_t i : Present()) {
    if (zone_of_[i] == zone) Power(i, down_ms * clock_.Between(0.9, 1.3));
  }
  for (std::size_t i = 0; i < edges_.size(); ++i) {
    if (i % options_.zones == zone) KillEdge(i, down_ms, /*both=*/true);
  }
}

}  // namespace bitternmux::lab::simulation
