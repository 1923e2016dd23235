// A fleet of built programs for a story. Where one of the story's checks failed, it tells the logs of all its
// programs before it ends, so that the failure can be traced.
#ifndef BITTERNMUX_TESTS_SUPPORT_STORY_FLEET_H_
#define BITTERNMUX_TESTS_SUPPORT_STORY_FLEET_H_

#include "lab/fleet/fleet_stand.h"

namespace bitternmux::lab::fleet {

class StoryFleet : public FleetStand {
 public:
  explicit StoryFleet(Ways ways = Ways::kDirect);
  ~StoryFleet();
};

}  // namespace bitternmux::lab::fleet

#endif  // BITTERNMUX_TESTS_SUPPORT_STORY_FLEET_H_
