// A day of the simulation, drawn from its seed: operators, tokens and changes of the list go on while faults
// strike, overlap and repeat; then calm comes back, and what must hold of any history is checked.
#ifndef BITTERNMUX_LAB_SIMULATION_DAY_H_
#define BITTERNMUX_LAB_SIMULATION_DAY_H_

#include <cstdint>

#include "lab/simulation/history.h"
#include "lab/simulation/world.h"

namespace bitternmux::lab::simulation {

// What must be there how long after the end of trouble.
constexpr double kOwnerWithinMs = 1500;
constexpr double kOwnerOnSlowDisksWithinMs = 4000;
constexpr double kCaughtUpWithinMs = 4000;
constexpr double kListWithinMs = 3000;
constexpr double kVersionWithinMs = 2000;
constexpr double kAcknowledgedWithinMs = 4000;
constexpr double kLoadsWithinMs = 6000;

WorldOptions DrawOptions(std::uint64_t seed);
// Plays the day of that seed.
History PlayDay(std::uint64_t seed);

// Ends all trouble but that all disks are thirty times slower, starts all control processes again and checks
// that there is an owner before long.
void CheckSlowDisks(World& world);
// Ends all trouble and checks what must hold from then on; for tests of single sequences too.
void CheckCalm(World& world);
// Lets adds reach all machines, reads all totals at all of them and checks all answers on tallies.
void CheckTallies(World& world);
// CheckCalm and all that is checked from the history.
void CheckAll(World& world);

}  // namespace bitternmux::lab::simulation

#endif  // BITTERNMUX_LAB_SIMULATION_DAY_H_
