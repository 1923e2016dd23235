#include "lab/virtual/watch.h"

#include <utility>

namespace bitternmux::lab {
namespace {

constexpr double kSilenceMs = 4500;  // as in the sidecar's watch

}  // namespace

Watch::Watch(Outside& outside, int sidecar, const MachineList& machines, TimerWheel& wheel,
             AddTimer add_timer, Updated updated, std::function<void()> broken)
    : outside_(outside),
      sidecar_(sidecar),
      machines_(machines),
      wheel_(wheel),
      add_timer_(std::move(add_timer)),
      updated_(std::move(updated)),
      broken_(std::move(broken)),
      place_(outside.ConfiguredPlace()) {}

void Watch::Start() {
  Leave(call_);
  call_.whole = whole_due_;
  call_.id = outside_.Ask(sidecar_, place_, !whole_due_, machines_.revision());
  Heard(call_);
}

void Watch::MoveTo(int place) {
  if (place == place_) return;
  place_ = place;
  if (!whole_due_) {
    Leave(old_);
    old_ = std::exchange(call_, {});
  }
  whole_due_ = true;
  Start();
}

void Watch::Heard(Call& call) {
  wheel_.Cancel(call.silence);
  call.silence = add_timer_(outside_.NowMs() + kSilenceMs, [this, id = call.id] { Broke(id); });
}

void Watch::Leave(Call& call) {
  wheel_.Cancel(call.silence);
  if (call.id != 0) outside_.Leave(call.id);
  call = {};
}

void Watch::Drop() {
  Leave(call_);
  Leave(old_);
}

void Watch::Told(model::CallId id, const model::Listing& listing) {
  Call& call = id == old_.id ? old_ : call_;
  if (id == 0 || id != call.id) return;
  Heard(call);
  if (&call == &call_) {
    if (whole_due_) {
      whole_due_ = false;
      Leave(old_);
    }
    if (call.whole) {
      call.whole = false;
      call.id = outside_.AskOn(call.id, listing.revision);
      Heard(call);
    }
  }
  updated_(listing);
}

void Watch::Line(model::CallId id) {
  if (id != 0 && id == call_.id) Heard(call_);
  if (id != 0 && id == old_.id) Heard(old_);
}

void Watch::Broke(model::CallId id) {
  if (id == 0) return;
  if (id == old_.id) return Leave(old_);
  if (id != call_.id) return;
  Leave(call_);
  broken_();
}

}  // namespace bitternmux::lab
