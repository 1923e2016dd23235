#include "lab/simulation/applications.h"

#include <algorithm>
#include <utility>

namespace bitternmux::lab::simulation {
namespace {

constexpr double kLeastPauseMs = 20, kMostPauseMs = 250;  // between two calls of a zone
constexpr double kLeastAgainMs = 20, kMostAgainMs = 200;  // until an add is sent again
constexpr double kTriesMs = 10'000;
constexpr double kShareOfReads = 0.35;
constexpr double kShareSentTwice = 0.1;
constexpr double kShareThatGivesUp = 0.3;  // when it is refused
constexpr std::int64_t kMostAmount = 9, kLeastAmount = -2;

}  // namespace

std::string TallyName(std::size_t number) { return "tally-" + std::to_string(number); }

void Applications::Begin() {
  working_ = true;
  for (std::size_t zone = 0; zone < world_.zones(); ++zone) Work(zone);
}

void Applications::Work(std::size_t zone) {
  if (!working_) return;
  Clock& clock = world_.clock();
  clock.After(clock.Between(kLeastPauseMs, kMostPauseMs), [this, zone] { Work(zone); });
  clock.Chance(kShareOfReads) ? Read(zone) : Add(zone);
}

std::vector<std::size_t> Applications::Nearest(std::size_t zone) {
  std::vector<std::size_t> machines = world_.Present();
  for (std::size_t i = machines.size(); i > 1; --i)
    std::swap(machines[i - 1], machines[world_.clock().Below(i)]);
  std::stable_partition(machines.begin(), machines.end(),
                        [&](std::size_t i) { return world_.ZoneOf(i) == zone; });
  return machines;
}

void Applications::Add(std::size_t zone) {
  Clock& clock = world_.clock();
  auto& adds = world_.history().tallies.adds;
  const auto amount = kLeastAmount + static_cast<std::int64_t>(clock.Below(kMostAmount - kLeastAmount + 1));
  adds.push_back({"id-" + std::to_string(++ids_), TallyName(clock.Below(kTallies)), amount, {}});
  Attempt attempt;
  attempt.zone = zone;
  attempt.add = adds.size() - 1;
  attempt.machines = Nearest(zone);
  attempt.until_ms = clock.now_ms() + kTriesMs;
  attempt.gives_up_when_refused = clock.Chance(kShareThatGivesUp);
  if (attempt.machines.empty()) return;
  if (clock.Chance(kShareSentTwice)) {
    Attempt second = attempt;
    second.next = 1;
    Send(std::move(second));
  }
  Send(std::move(attempt));
}

void Applications::Send(Attempt attempt) {
  Clock& clock = world_.clock();
  if (clock.now_ms() >= attempt.until_ms) return;
  const std::size_t machine = attempt.machines[attempt.next++ % attempt.machines.size()];
  world_.AddToTally(attempt.zone, machine, attempt.add, [this, attempt](TallyEnd end) {
    if (end == TallyEnd::kAcknowledged) return;
    if (end == TallyEnd::kRefused && attempt.gives_up_when_refused) return;
    Clock& time = world_.clock();
    time.After(time.Between(kLeastAgainMs, kMostAgainMs), [this, attempt] { Send(attempt); });
  });
}

void Applications::Read(std::size_t zone) {
  const std::vector<std::size_t> machines = Nearest(zone);
  if (machines.empty()) return;
  // A machine that is not the nearest shows how far adds have come.
  const bool far = world_.clock().Chance(0.4);
  const std::size_t machine = far ? machines[world_.clock().Below(machines.size())] : machines.front();
  world_.ReadTally(zone, machine, TallyName(world_.clock().Below(kTallies)));
}

}  // namespace bitternmux::lab::simulation
