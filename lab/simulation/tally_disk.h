// The part of a simulated disk that holds adds to tallies. Appends that wait are written together with one
// sync; a batch that is interrupted is there whole or not at all. Trouble of the disk (disk.h) holds it up.
#ifndef BITTERNMUX_LAB_SIMULATION_TALLY_DISK_H_
#define BITTERNMUX_LAB_SIMULATION_TALLY_DISK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "fleet/tallies/tally_ledger.h"
#include "lab/simulation/clock.h"
#include "lab/simulation/disk.h"

namespace bitternmux::lab::simulation {

class TallyDisk {
 public:
  using Stored = std::function<void(std::uint64_t ticket)>;

  TallyDisk(Clock& clock, const Disk& disk) : clock_(clock), disk_(disk) {}

  void Append(fleet::TallyWrite write, Stored stored) {
    waiting_.push_back({std::move(write), std::move(stored)});
    if (batch_.empty()) Begin();
  }
  // A prefix of each log, as the program's store returns it.
  std::vector<fleet::TallyAdds> Load() const {
    std::vector<fleet::TallyAdds> logs;
    for (const auto& [origin, rows] : rows_) {
      fleet::TallyAdds log{origin, 1, {}};
      for (const auto& [number, add] : rows) {
        if (number != log.adds.size() + 1) break;
        log.adds.push_back(add);
      }
      if (!log.adds.empty()) logs.push_back(std::move(log));
    }
    return logs;
  }
  // The process is gone, or the power.
  void Interrupt() {
    if (syncing_ && clock_.Chance(0.5)) Keep();
    batch_.clear();
    waiting_.clear();
    syncing_ = false;
    ++life_;
  }
  void Wipe() {
    rows_.clear();
    caught_up_ = false;
  }
  bool HasCaughtUp() const { return caught_up_; }
  void MarkCaughtUp() { caught_up_ = true; }

 private:
  struct Waiting {
    fleet::TallyWrite write;
    Stored stored;
  };
  static constexpr double kRetryMs = 150;  // of a write that a full disk has refused
  static constexpr double kLookMs = 10;    // while it is stalled

  void Begin() {
    batch_ = std::exchange(waiting_, {});
    if (!batch_.empty()) Wait();
  }
  void Later(double delay_ms, void (TallyDisk::*then)()) {
    clock_.After(delay_ms, [this, then, life = life_] {
      if (life == life_) (this->*then)();
    });
  }
  void Wait() {
    if (disk_.full()) return Later(kRetryMs, &TallyDisk::Wait);
    if (disk_.stalled()) return Later(kLookMs, &TallyDisk::Wait);
    syncing_ = true;
    Later(disk_.DrawSyncMs(), &TallyDisk::Finish);
  }
  void Finish() {
    if (disk_.stalled()) return Wait();
    Keep();
    syncing_ = false;
    const std::vector<Waiting> written = std::exchange(batch_, {});
    Begin();
    written.back().stored(written.back().write.ticket);
  }
  void Keep() {
    for (const Waiting& append : batch_) {
      caught_up_ |= append.write.caught_up;
      for (const fleet::TallyAdds& log : append.write.logs) {
        std::uint64_t number = log.first;
        for (const fleet::TallyAdd& add : log.adds) rows_[log.origin].emplace(number++, add);
      }
    }
  }

  Clock& clock_;
  const Disk& disk_;
  std::map<std::uint64_t, std::map<std::uint64_t, fleet::TallyAdd>> rows_;  // by origin and number
  bool caught_up_ = false;                                                  // was it marked so?
  std::vector<Waiting> batch_, waiting_;
  bool syncing_ = false;
  std::uint64_t life_ = 0;
};

}  // namespace bitternmux::lab::simulation

#endif  // BITTERNMUX_LAB_SIMULATION_TALLY_DISK_H_
