#include "lab/simulation/zone_operator.h"

#include <string>

namespace bitternmux::lab::simulation {
namespace {

constexpr std::uint64_t kStream = 0x65766163756174ULL;  // sets its random numbers apart from the day's
constexpr double kShareOfDays = 0.35;
constexpr std::size_t kLeastOrders = 2, kMostOrders = 7;
constexpr double kShareTheOtherWay = 0.85;  // others repeat what an order before them asked for
constexpr double kTriesMs = 5000;           // in which an order may be sent again
constexpr double kFinalAnswerMs = 2500;

// What strikes in the moment of an acknowledgement.
enum Strikes : std::size_t {
  kKill,
  kPower,
  kPowerAll,
  kFreeze,
  kIsolate,
  kCutZone,
  kLoseDisk,
  kLoseDiskAndPowerAll,
  kStrikes
};

}  // namespace

ZoneOperator::ZoneOperator(World& world) : world_(world), draws_(world.options().seed ^ kStream) {}

bool ZoneOperator::WorksOn(std::uint64_t seed) { return Clock(~seed ^ kStream).Chance(kShareOfDays); }

void ZoneOperator::Draw(double for_ms) {
  if (!world_.options().evacuations) return;
  const std::size_t orders = kLeastOrders + draws_.Below(kMostOrders - kLeastOrders + 1);
  for (std::size_t i = 0; i < orders; ++i)
    world_.clock().After(draws_.Between(0, for_ms - kTriesMs), [this] { Order(); });
}

std::size_t ZoneOperator::Send(World::Acknowledged acknowledged) {
  const std::size_t zone = draws_.Below(world_.zones());
  const bool begins = evacuated_.contains(zone) != draws_.Chance(kShareTheOtherWay);
  if (begins) {
    evacuated_.insert(zone);
  } else {
    evacuated_.erase(zone);
  }
  const std::string by = "zone-operator-" + std::to_string(++number_);
  return world_.Evacuate(by, {World::NameOfZone(zone), begins}, kTriesMs, std::move(acknowledged));
}

void ZoneOperator::Order() {
  if (draws_.Chance(0.25)) StrikeOwnerSoon();
  if (!draws_.Chance(0.4)) {
    Send(nullptr);
    return;
  }
  const std::size_t kind = draws_.Below(kStrikes);
  Send([this, kind](std::size_t machine) { Strike(machine, kind); });
}

// While the order is on its way, or about to be decided.
void ZoneOperator::StrikeOwnerSoon() {
  const std::size_t kind = draws_.Below(kStrikes);
  world_.clock().After(draws_.Between(0, 25), [this, kind] {
    if (const auto owner = world_.ActingOwner()) Strike(*owner, kind);
  });
}

void ZoneOperator::Strike(std::size_t machine, std::size_t kind) {
  const double for_ms = draws_.Between(100, 3000);
  switch (kind) {
    case kKill:
      return world_.Kill(machine, for_ms);
    case kPower:
      return world_.Power(machine, for_ms);
    case kPowerAll:
      return world_.KillAll(for_ms, /*power=*/true, /*everyone=*/draws_.Chance(0.5));
    case kFreeze:
      return world_.Freeze(machine, for_ms);
    case kIsolate:
      return world_.Isolate(machine, for_ms);
    case kCutZone:
      return world_.CutZone(world_.ZoneOf(machine), for_ms);
    default:
      break;
  }
  if (!world_.MayLoseDisk(machine)) return;
  world_.WipeAndRestart(machine, for_ms);
  if (kind != kLoseDiskAndPowerAll) return;
  for (const std::size_t i : world_.Present()) {
    if (i != machine) world_.Power(i, draws_.Between(100, 1500));
  }
}

void ZoneOperator::Close() {
  if (!world_.options().evacuations || draws_.Chance(0.3)) return;
  const std::size_t kind = draws_.Chance(0.5) ? kPowerAll : kLoseDiskAndPowerAll;
  const std::size_t call = Send([this, kind](std::size_t machine) { Strike(machine, kind); });
  const double end_ms = world_.clock().now_ms() + kFinalAnswerMs;
  while (world_.open(call) && world_.clock().now_ms() < end_ms) world_.RunFor(1);
}

}  // namespace bitternmux::lab::simulation
