// What was asked and answered in a run, and what was seen to be wrong while it ran.
#ifndef BITTERNMUX_LAB_SIMULATION_HISTORY_H_
#define BITTERNMUX_LAB_SIMULATION_HISTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet/messages/messages.h"
#include "lab/simulation/tally_history.h"

namespace bitternmux::lab::simulation {

enum class CallKind { kPut, kGet, kEvacuate, kTakeBack };
enum class CallEnd { kUnknown, kTaken, kRefused, kRead };

// One call of an operator, with all its tries.
struct CallRecord {
  CallKind kind = CallKind::kPut;
  std::string by;
  std::uint64_t version = 0;  // that a PUT sets, or that a GET has read
  std::uint64_t builds_on = 0;
  std::uint64_t digest = 0;
  double began_ms = 0;
  double ended_ms = 0;
  CallEnd end = CallEnd::kUnknown;
  bool stale = false;  // a PUT that is refused for its age alone
  std::string answered_by;
  std::string zone = {};     // of an evacuation, or of its end
  bool tells_zones = false;  // there was a clear answer, which told of the evacuated zones
  std::vector<std::string> told_zones = {};
};

inline const char* NameOf(CallKind kind) {
  switch (kind) {
    case CallKind::kPut:
      return "PUT";
    case CallKind::kGet:
      return "GET";
    case CallKind::kEvacuate:
      return "EVACUATE";
    case CallKind::kTakeBack:
      return "TAKE BACK";
  }
  return "";
}

// A router has sent a request to a server of a zone that is evacuated as far as any machine knew then.
struct ZoneChoice {
  std::string router, zone;
  double at_ms = 0;
  double no_trouble_since_ms = 0;  // of the router's machine and the control machines
};

// A rule that does not hold, by its number in docs/design/control-review.md.
struct Violation {
  int invariant = 0;
  double at_ms = 0;
  std::string what;
};

struct Measure {
  std::vector<double> owner_ms;      // from the end of trouble to an acting owner
  std::vector<double> caught_up_ms;  // and to a group that is whole and caught up
  std::vector<double> list_ms;       // from a change of the list to the last router
  std::vector<double> version_ms;    // from an acknowledgement to the last router
  double most_unanswered_bytes = 0;
};

struct History {
  std::vector<CallRecord> calls;
  std::map<std::uint64_t, fleet::ShardValue> committed;  // by sequence
  std::map<std::uint64_t, double> committed_ms;          // when each was first seen to be committed
  std::vector<ZoneChoice> zone_choices;
  std::vector<std::string> lines;  // faults and roles, for people
  std::vector<Violation> violations;
  Measure measure;
  TallyHistory tallies;
};

}  // namespace bitternmux::lab::simulation

#endif  // BITTERNMUX_LAB_SIMULATION_HISTORY_H_
