// What befalls whole zones of the simulated world.
#include "lab/simulation/world.h"

namespace bitternmux::lab::simulation {

std::string World::ApplicationsOf(std::size_t zone) { return "applications-" + std::to_string(zone); }

std::string World::NameOfZone(std::size_t zone) { return "zone-" + std::to_string(zone); }

void World::PlaceInZones() {
  for (std::size_t zone = 0; zone < options_.zones; ++zone)
    network_.Place(ApplicationsOf(zone), NameOfZone(zone));
  for (std::size_t i = 0; i < edges_.size(); ++i)
    network_.Place(edges_[i]->name(), NameOfZone(i % options_.zones));
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
