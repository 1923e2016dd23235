#include "lab/simulation/operators.h"

namespace bitternmux::lab::simulation {
namespace {

constexpr double kLeastPauseMs = 60, kMostPauseMs = 900;
constexpr std::size_t kLargePadding = 600'000;

}  // namespace

void Operators::Begin() {
  working_ = true;
  for (std::size_t i = 0; i < operators_.size(); ++i) Work(i);
}

void Operators::Storm(double for_ms, double gap_ms) {
  storm_until_ms_ = world_.clock().now_ms() + for_ms;
  storm_gap_ms_ = gap_ms;
}

void Operators::Work(std::size_t i) {
  if (!working_) return;
  Clock& clock = world_.clock();
  const bool storm = clock.now_ms() < storm_until_ms_;
  const double pause_ms = storm ? storm_gap_ms_ : clock.Between(kLeastPauseMs, kMostPauseMs);
  clock.After(pause_ms, [this, i] { Work(i); });
  Operator& one = operators_[i];
  if (one.call && world_.open(*one.call)) return;
  Learn(one);
  Act(i);
}

void Operators::Learn(Operator& one) {
  if (!one.call) return;
  const CallRecord& record = world_.call(*one.call);
  const bool knows = record.end == CallEnd::kTaken || record.end == CallEnd::kRead;
  if (knows && record.version > one.current) one.current = record.version;
}

void Operators::Act(std::size_t i) {
  Clock& clock = world_.clock();
  Operator& one = operators_[i];
  const std::string by = "operator-" + std::to_string(i) + "-" + std::to_string(++number_);
  const bool refused = one.call && world_.call(*one.call).end == CallEnd::kRefused;
  if (!sent_.empty() && clock.Chance(0.1)) {
    return world_.PutAgain(sent_[clock.Below(sent_.size())]);
  }
  if (refused || clock.Chance(0.25)) {
    one.call = world_.Get(by);
    return;
  }
  if (clock.Chance(0.05)) {  // never to be taken: it is not above what it builds on
    one.call = world_.Put(by, one.current, one.current);
    return;
  }
  const std::size_t padding = clock.Chance(0.02) ? kLargePadding : clock.Below(300);
  one.call = world_.Put(by, one.current + 1 + clock.Below(3), one.current, padding);
  sent_.push_back(*one.call);
}

}  // namespace bitternmux::lab::simulation
