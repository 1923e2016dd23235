#include "lab/simulation/targeted_faults.h"

#include <utility>
#include <vector>

namespace bitternmux::lab::simulation {
namespace {

constexpr double kNeededMs = 13'000;      // for an exchange and its planned end before the end of trouble
constexpr double kCaughtUpMs = 800;       // after which a machine that has come is a learner that holds all
constexpr double kBeginsWithinMs = 4000;  // an exchange that is waited for
constexpr double kSlowDisk = 30;          // times as slow
constexpr double kElectionMs = 100;       // in which a successor is elected that the owner has called
constexpr double kReadingMs = 450;        // in which an owner reads the list once
constexpr double kUnreadMs = 1500;        // for which a successor does not reach the platform

}  // namespace

std::optional<TargetedFaults::Group> TargetedFaults::DrawGroup() {
  const auto owner = world_.ActingOwner();
  const std::vector<std::size_t> present = world_.Present();
  if (!owner || present.size() != 3) return std::nullopt;
  std::vector<std::size_t> others;
  for (const std::size_t i : present) {
    if (!world_.control(i).up() || world_.control(i).frozen()) return std::nullopt;
    if (i != *owner) others.push_back(i);
  }
  if (world_.clock().Chance(0.5)) std::swap(others[0], others[1]);
  return Group{*owner, others[0], others[1]};
}

void TargetedFaults::PutAtOwner(const Group& group) {
  const auto* core = world_.control(group.owner).core();
  if (core == nullptr) return;
  const std::uint64_t version = core->replica().committed().value.version;
  world_.PutAt(group.owner, version + 1 + world_.clock().Below(3), version);
}

void TargetedFaults::Strike(double left_ms) {
  Clock& clock = world_.clock();
  const std::size_t kind = clock.Below(8);
  if (kind == 0) return LosePromise();
  if (kind == 1) return LoseOwnersWrite();
  if (kind == 7) return ReadBehindSuccessor();
  if (left_ms < kNeededMs) return;
  if (kind == 2) SplitExchange();
  if (kind == 3) LoseSuccessor();
  if (kind == 4) LoseSuccessorInStandstill();
  if (kind == 5) LoseEndOfExchange();
  if (kind == 6) ReplaceByUnknown();
}

// The owner hands over, and does not hear that another one has been elected; who has promised to follow that
// one loses power and comes back to the former owner, which has an order.
void TargetedFaults::LosePromise() {
  const auto group = DrawGroup();
  if (!group) return;
  world_.OncePrepared([this, group = *group](std::size_t candidate) {
    if (candidate == group.owner) return;
    const std::size_t voter = candidate == group.second ? group.third : group.second;
    world_.CutPair(candidate, group.owner, /*both_ways=*/true, 800);
    world_.OncePromised([this, group, voter, candidate](std::size_t machine) {
      if (machine != voter) return;
      world_.CutPair(candidate, voter, /*both_ways=*/true, 500);
      world_.Power(voter, world_.clock().Between(3, 20));
      world_.clock().After(world_.clock().Between(5, 60), [this, group] { PutAtOwner(group); });
    });
  });
  world_.Terminate(group->owner, 300);
}

// The owner hands over, and does not hear that another one has been elected. The list changes when the
// successor has read it, which then does not reach the platform; the former owner does, and goes before it
// gives up.
void TargetedFaults::ReadBehindSuccessor() {
  const auto group = DrawGroup();
  if (!group) return;
  Clock& clock = world_.clock();
  const double shown_ms = clock.now_ms() + kListLagMs;
  world_.platform().Change();
  clock.At(shown_ms - kElectionMs, [this, group = *group, shown_ms] {
    if (world_.ActingOwner() != group.owner) return;
    world_.OncePrepared([this, group, shown_ms](std::size_t successor) {
      if (successor == group.owner || world_.clock().now_ms() >= shown_ms) return;
      world_.CutPair(group.second, group.owner, /*both_ways=*/true, kUnreadMs);
      world_.CutPair(group.third, group.owner, /*both_ways=*/true, kUnreadMs);
      world_.clock().At(shown_ms, [this, successor] { world_.CutFromPlatform(successor, kUnreadMs); });
      world_.clock().At(shown_ms + kReadingMs, [this, group] { world_.Kill(group.owner, 300); });
    });
    world_.Terminate(group.owner, 300);
  });
}

// An order is on one disk and on its way to that of the owner, which loses power; then the one that has it is
// cut off, and the other two go on.
void TargetedFaults::LoseOwnersWrite() {
  const auto group = DrawGroup();
  if (!group) return;
  Disk& disk = world_.control(group->owner).disk();
  disk.SetSlowness(kSlowDisk);
  world_.CutPair(group->owner, group->third, /*both_ways=*/true, 600);
  world_.clock().After(200, [this, group = *group] { PutAtOwner(group); });
  world_.OnceAcknowledged([this, group = *group](std::size_t machine) {
    if (machine != group.owner) return;
    world_.Power(group.owner, 100);
    world_.Isolate(group.second, 4000);
  });
  world_.clock().After(700, [&disk] { disk.SetSlowness(1); });
}

// A machine comes that is to take the place of `third`; `then` follows once it holds all.
void TargetedFaults::WithSuccessor(std::function<void(const Group&, std::size_t successor)> then) {
  const auto group = DrawGroup();
  if (!group) return;
  world_.ReplacePlanned(group->third, 6000);
  const std::size_t successor = world_.size() - 1;
  world_.clock().After(kCaughtUpMs,
                       [group = *group, successor, then = std::move(then)] { then(group, successor); });
}

// Nobody but the members can tell the successor of the group.
void TargetedFaults::ReplaceByUnknown() {
  const auto group = DrawGroup();
  if (group) world_.ReplaceByUnknown(group->third, world_.clock().Between(1500, 3000));
}

// When the owner begins to exchange a member for the successor, if it does so within some seconds.
void TargetedFaults::OnceExchanging(const Group& group, std::size_t successor, std::function<void()> then) {
  const double until_ms = world_.clock().now_ms() + kBeginsWithinMs;
  world_.OnceExchanging([this, group, successor, until_ms, then = std::move(then)](std::size_t machine) {
    const bool as_planned = machine == group.owner && !world_.Counts(successor) && world_.DisksLost() == 0;
    if (as_planned && world_.clock().now_ms() < until_ms) then();
  });
}

// The owner and the successor on one side, the other one and who is to be exchanged on the other.
void TargetedFaults::SplitExchange() {
  WithSuccessor([this](const Group& group, std::size_t successor) {
    world_.CutPair(group.third, group.owner, /*both_ways=*/true, 5000);
    world_.CutPair(group.third, successor, /*both_ways=*/true, 5000);
    OnceExchanging(group, successor, [this, group, successor] {
      world_.CutPair(group.second, group.owner, /*both_ways=*/true, 3000);
      world_.CutPair(group.second, successor, /*both_ways=*/true, 3000);
      world_.clock().After(100, [this, group] { PutAtOwner(group); });
    });
  });
}

// Only the owner has accepted the exchange when its successor goes for good; then another disk is lost.
void TargetedFaults::LoseSuccessor() {
  WithSuccessor([this](const Group& group, std::size_t successor) {
    OnceExchanging(group, successor, [this, group, successor] {
      world_.Isolate(group.owner, 400);
      world_.Replace(successor, 1500);
      world_.WipeAndRestart(group.second, 600);  // borne, as the owner keeps its disk
    });
    world_.Freeze(group.third, 2500);
  });
}

// The owner stands still, with an order in its buffers, and the successor goes for good meanwhile. If the
// owner begins the exchange all the same, it loses its disk.
void TargetedFaults::LoseSuccessorInStandstill() {
  WithSuccessor([this](const Group& group, std::size_t successor) {
    world_.Freeze(group.third, 5000);
    world_.Freeze(group.owner, 2500);
    PutAtOwner(group);
    world_.clock().After(1000, [this, successor] {
      if (!world_.Counts(successor) && world_.DisksLost() == 0) world_.Replace(successor, 1500);
    });
    OnceExchanging(group, successor, [this, group] {
      world_.clock().After(world_.clock().Between(10, 40),
                           [this, group] { world_.WipeAndRestart(group.owner, 300); });
    });
  });
}

// The value that ends an exchange is on its way when its owner, whose disk is slow, loses power; the owner
// and who was exchanged on one side, the other two on the other.
void TargetedFaults::LoseEndOfExchange() {
  WithSuccessor([this](const Group& group, std::size_t successor) {
    world_.Freeze(group.third, 2200);
    Disk& disk = world_.control(group.owner).disk();
    OnceExchanging(group, successor, [this, group, successor, &disk] {
      disk.SetSlowness(kSlowDisk);
      world_.OnceExchanged([this, group, successor, &disk](std::size_t) {
        world_.clock().After(world_.clock().Between(2, 12), [this, group, successor, &disk] {
          for (const std::size_t one : {group.owner, group.third}) {
            world_.CutPair(one, group.second, /*both_ways=*/true, 3000);
            world_.CutPair(one, successor, /*both_ways=*/true, 3000);
          }
          world_.Power(group.owner, 40);
          disk.SetSlowness(1);
        });
      });
    });
  });
}

}  // namespace bitternmux::lab::simulation
