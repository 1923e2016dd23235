#include "lab/model/network.h"

#include <algorithm>

namespace bitternmux::lab::model {
namespace {

bool Named(const std::vector<int>& list, int number) {
  return list.empty() || std::find(list.begin(), list.end(), number) != list.end();
}

}  // namespace

Network::Network(const Figures& figures, const Seeds& seeds)
    : figures_(figures),
      jitter_(seeds.For("network.jitter")),
      delays_(seeds.For("network.delay")),
      drops_(seeds.For("network.drop")),
      passings_(seeds.For("network.passing")) {}

double Network::Delay(double one_way, std::uint64_t key) const {
  return one_way * (1 + jitter_.At(key).Exponential(figures_.network.jitter));
}

double Network::OneWay(int sidecar, int machine) const {
  if (machine == kDiscovery) return figures_.network.same_ms;  // each zone has a front of its own
  const int zone = figures_.sidecars[static_cast<std::size_t>(sidecar)].zone;
  const int other = figures_.machines[static_cast<std::size_t>(machine)].zone;
  return zone == other ? figures_.network.same_ms : figures_.network.cross_ms;
}

bool Network::Hits(const LinkTrouble& trouble, int sidecar, int machine) const {
  if (trouble.discovery != (machine == kDiscovery)) return false;
  return Named(trouble.sidecars, sidecar) && (trouble.discovery || Named(trouble.machines, machine));
}

double Network::Arrives(double now, double delay, Way way, int sidecar, int machine,
                        std::uint64_t key) const {
  double leaves = now;
  // What one trouble holds back may run into the next.
  for (const LinkTrouble& trouble : figures_.network.troubles) {
    if (leaves < trouble.from_ms || leaves >= trouble.until_ms || !Hits(trouble, sidecar, machine)) continue;
    const LinkFault lost = way == Way::kThere ? LinkFault::kCutTo : LinkFault::kCutFrom;
    if (trouble.fault == LinkFault::kCut || trouble.fault == lost) return kNever;
    if (trouble.fault == LinkFault::kDelay) {
      Stream stream = delays_.At(key * 2 + (way == Way::kBack ? 1 : 0));
      delay += trouble.amount * (1 + stream.Exponential(trouble.share));
    }
    const bool held = (trouble.fault == LinkFault::kStallTo && way == Way::kThere) ||
                      (trouble.fault == LinkFault::kStallFrom && way == Way::kBack);
    if (held) leaves = trouble.until_ms;
  }
  return leaves + delay;
}

double Network::ToNode(double now, int sidecar, int machine, std::uint64_t key) const {
  return Arrives(now, Delay(OneWay(sidecar, machine), key), Way::kThere, sidecar, machine, key);
}

double Network::FromNode(double now, int sidecar, int machine, std::uint64_t key) const {
  return Arrives(now, Delay(OneWay(sidecar, machine), key), Way::kBack, sidecar, machine, key);
}

double Network::ToDiscovery(double now, int sidecar, std::uint64_t key) const {
  return ToNode(now, sidecar, kDiscovery, key);
}

double Network::FromDiscovery(double now, int sidecar, std::uint64_t key) const {
  return FromNode(now, sidecar, kDiscovery, key);
}

double Network::Local(std::uint64_t key) const { return Delay(figures_.network.client_ms, key); }

double Network::CutUntil(double now, int sidecar, int machine) const {
  double until = now;
  for (const LinkTrouble& trouble : figures_.network.troubles) {
    const bool on = until >= trouble.from_ms && until < trouble.until_ms;
    const bool cut = trouble.fault == LinkFault::kCut || trouble.fault == LinkFault::kCutTo;
    if (on && cut && Hits(trouble, sidecar, machine)) until = trouble.until_ms;
  }
  return until;
}

double Network::DialUp(double now, int sidecar, int machine, std::uint64_t key) const {
  for (const LinkTrouble& trouble : figures_.network.troubles) {
    if (now < trouble.from_ms || now >= trouble.until_ms || !Hits(trouble, sidecar, machine)) continue;
    if (Cuts(trouble.fault) || trouble.fault == LinkFault::kNoDial) return kNever;
  }
  const double trips = Delay(2 * OneWay(sidecar, machine) * figures_.network.handshake_rtts, key);
  // The first message there or back waits for the end of a stall.
  const double there = Arrives(now, trips / 2, Way::kThere, sidecar, machine, key);
  return Arrives(there, trips / 2, Way::kBack, sidecar, machine, key);
}

Passing Network::Passes(double now, int sidecar, int machine, std::uint64_t key) const {
  Passing passing;
  for (const LinkTrouble& trouble : figures_.network.troubles) {
    if (now < trouble.from_ms || now >= trouble.until_ms || !Hits(trouble, sidecar, machine)) continue;
    const LinkFault fault = trouble.fault;
    passing.lost |= fault == LinkFault::kCut || fault == LinkFault::kCutFrom;
    if (fault == LinkFault::kSlowBytes) passing.bytes_per_s = trouble.amount;
    if (passings_.At(key, static_cast<std::uint64_t>(fault)).Unit() >= trouble.share) continue;
    if (fault == LinkFault::kCutShort) passing.cut_after = trouble.amount;
    passing.twice |= fault == LinkFault::kDouble;
  }
  return passing;
}

bool Network::Dropped(double now, int sidecar, int machine, std::uint64_t key) const {
  for (const LinkTrouble& trouble : figures_.network.troubles) {
    if (trouble.fault != LinkFault::kDrop || now < trouble.from_ms || now >= trouble.until_ms) continue;
    if (Hits(trouble, sidecar, machine) && drops_.At(key).Unit() < trouble.share) return true;
  }
  return false;
}

}  // namespace bitternmux::lab::model
