// A simulated disk: what is on it outlasts the process and the power. A write takes its time, may be torn
// away by a kill or a loss of power while it runs, and waits while the disk is stalled or full.
#ifndef BITTERNMUX_LAB_SIMULATION_DISK_H_
#define BITTERNMUX_LAB_SIMULATION_DISK_H_

#include <functional>
#include <optional>
#include <utility>

#include "fleet/replication/replica.h"
#include "lab/simulation/clock.h"

namespace bitternmux::lab::simulation {

class Disk {
 public:
  using Saved = std::function<void(std::uint64_t ticket)>;

  Disk(Clock& clock, double sync_ms) : clock_(clock), sync_ms_(sync_ms) {}

  const std::optional<fleet::DurableState>& content() const { return content_; }
  // The newest state that waits takes the place of an older one, as in the storage thread.
  void Save(std::uint64_t ticket, fleet::DurableState state, Saved saved) {
    waiting_ = Write{ticket, std::move(state), std::move(saved)};
    if (!writing_) Begin();
  }
  // The process is gone, or the power: a write under way is there or is not.
  void Interrupt() {
    if (writing_ && writing_->begun && clock_.Chance(0.5)) content_ = writing_->state;
    writing_.reset();
    waiting_.reset();
    ++life_;
  }
  void Wipe() { content_.reset(); }
  void Stall(double for_ms) { stalled_until_ms_ = clock_.now_ms() + for_ms; }
  void SetSlowness(double times) { slowness_ = times; }
  void SetFull(bool full) { full_ = full; }
  bool full() const { return full_; }
  bool stalled() const { return clock_.now_ms() < stalled_until_ms_; }
  bool InTrouble() const { return full() || stalled() || slowness_ > 1; }
  double DrawSyncMs() const { return sync_ms_ * slowness_ * clock_.Between(0.8, 1.5); }

 private:
  struct Write {
    std::uint64_t ticket;
    fleet::DurableState state;
    Saved saved;
    bool begun = false;
  };
  static constexpr double kRetryMs = 150;
  static constexpr double kLookMs = 10;  // while it is stalled

  void Begin() {
    writing_ = std::exchange(waiting_, std::nullopt);
    if (writing_) Wait();
  }
  void Wait() {
    const std::uint64_t life = life_;
    if (full_) {
      clock_.After(kRetryMs, [this, life] {
        if (life != life_) return;
        if (waiting_) writing_ = std::exchange(waiting_, std::nullopt);
        Wait();
      });
      return;
    }
    if (stalled()) {
      clock_.After(kLookMs, [this, life] {
        if (life == life_) Wait();
      });
      return;
    }
    writing_->begun = true;
    clock_.After(DrawSyncMs(), [this, life] {
      if (life == life_) Finish();
    });
  }
  void Finish() {
    if (stalled()) return Wait();
    content_ = writing_->state;
    const Saved saved = std::move(writing_->saved);
    const std::uint64_t ticket = writing_->ticket;
    writing_.reset();
    if (waiting_) Begin();
    saved(ticket);
  }

  Clock& clock_;
  const double sync_ms_;
  double slowness_ = 1;
  double stalled_until_ms_ = 0;
  bool full_ = false;
  std::uint64_t life_ = 0;
  std::optional<fleet::DurableState> content_;
  std::optional<Write> writing_, waiting_;
};

}  // namespace bitternmux::lab::simulation

#endif  // BITTERNMUX_LAB_SIMULATION_DISK_H_
