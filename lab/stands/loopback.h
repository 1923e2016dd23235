// A day on sockets: built sidecars between stand-ins, in real time.
#ifndef BITTERNMUX_LAB_STANDS_LOOPBACK_H_
#define BITTERNMUX_LAB_STANDS_LOOPBACK_H_

#include <string>
#include <vector>

#include "lab/model/figures.h"
#include "lab/virtual/observer.h"

namespace bitternmux::lab {

struct Played {
  std::string void_reason;  // empty: the run counts
  bool interrupted = false;
};

// Plays the day and tells the observers, who must outlive the call. `program` is the built bitternmux. Ends
// all that it has started, also when it is interrupted (SIGINT, SIGTERM), which makes the run void.
//
// A run is void if the lab itself ran late: by more than the rules' answer_slack once, which could make an
// answer look late, or with more than 1% of the tries sent over 20 ms after they were due. Also if a sidecar
// is not up when the arrivals begin or ends by itself.
//
// Throws std::runtime_error if it cannot begin.
Played PlayOnLoopback(const model::Figures& figures, const std::string& program,
                      std::vector<Observer*> observers);

// The scenario's fleet, discovery and sidecars without its clients, for a person: troubles come at their
// times, and any request is served. Prints addresses and how to ask; ends with SIGINT or SIGTERM.
void KeepUp(model::Figures figures, const std::string& program);

}  // namespace bitternmux::lab

#endif  // BITTERNMUX_LAB_STANDS_LOOPBACK_H_
