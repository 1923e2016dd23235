// The sections of a scenario, each read into its part of the figures. Inside the package only.
#ifndef BITTERNMUX_LAB_SCENARIO_SECTIONS_H_
#define BITTERNMUX_LAB_SCENARIO_SECTIONS_H_

#include "lab/model/figures.h"
#include "lab/scenario/reader.h"

namespace bitternmux::lab::scenario {

// Everything but the troubles. `whole` is the file's top table.
void ReadDay(Reader& whole, model::Figures& figures);

// The id of a server's machine; `process` counts the machines that followed one another in its stead. Ids
// tell nothing.
std::string MachineId(std::uint64_t seed, int server, int process);

// How many there are for sure, whatever is drawn.
struct Sure {
  int servers = 0, sidecars = 0;
};

// The troubles, once the rest has been read: they become steps, troubles of links, bursts of arrivals, and
// further processes of machines.
void ReadTroubles(Reader& whole, const Sure& sure, model::Figures& figures);

// What the sidecars' settings say otherwise than the day would have them, by their own names. To be read
// last.
void ReadSettings(Reader& whole, model::Figures& figures);

}  // namespace bitternmux::lab::scenario

#endif  // BITTERNMUX_LAB_SCENARIO_SECTIONS_H_
