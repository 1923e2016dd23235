// The watch on discovery of one sidecar in a virtual run. Does what the sidecar's watch does on sockets: from
// the version that the list holds, with the whole list first after a move, and broken by silence. Inside the
// package only.
#ifndef BITTERNMUX_LAB_VIRTUAL_WATCH_H_
#define BITTERNMUX_LAB_VIRTUAL_WATCH_H_

#include <functional>

#include "core/machine_list.h"
#include "core/timer_wheel.h"
#include "lab/virtual/outside.h"
#include "lab/virtual/pool.h"

namespace bitternmux::lab {

class Watch {
 public:
  using Updated = std::function<void(const model::Listing&)>;

  Watch(Outside& outside, int sidecar, const MachineList& machines, TimerWheel& wheel, AddTimer add_timer,
        Updated updated, std::function<void()> broken);

  void Start();            // anew if one is on
  void MoveTo(int place);  // discovery is elsewhere from now on
  void Drop();             // the process ends

  // What has come on a call; those that were left are ignored.
  void Told(model::CallId call, const model::Listing& listing);
  void Line(model::CallId call);
  void Broke(model::CallId call);

 private:
  struct Call {
    model::CallId id = 0;  // 0: none
    bool whole = false;    // the whole list is awaited
    TimerWheel::Id silence = 0;
  };

  void Heard(Call& call);
  void Leave(Call& call);

  Outside& outside_;
  const int sidecar_;
  const MachineList& machines_;
  TimerWheel& wheel_;
  const AddTimer add_timer_;
  const Updated updated_;
  const std::function<void()> broken_;
  int place_;
  bool whole_due_ = false;  // the discovery at this place has not told its whole list yet
  Call call_;               // to this place
  Call old_;                // to the place before it, until the list from this one has come
};

}  // namespace bitternmux::lab

#endif  // BITTERNMUX_LAB_VIRTUAL_WATCH_H_
