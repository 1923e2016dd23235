// One stand-in alone, for a person or another program to talk to. Both run until SIGINT or SIGTERM.
#ifndef BITTERNMUX_LAB_STANDS_SOLO_H_
#define BITTERNMUX_LAB_STANDS_SOLO_H_

#include <functional>
#include <string>
#include <vector>

#include "lab/model/figures.h"

namespace bitternmux::lab {

// Told the address once the stand-in listens.
using Listens = std::function<void(const std::string& address)>;

// A day without clients or delays, of one site and one sidecar: whoever asks.
model::Figures SoloFigures();

// The day's first machine, at `listen` (ip:port; port 0: any). Serves any request with an id, with the work
// of the class that its path names. Throws std::invalid_argument or std::runtime_error for an address that it
// cannot have.
void ServeQuotes(const model::Figures& figures, const std::string& listen, const Listens& listens);

// Discovery with the day's machines; `addresses` has one for each. Throws likewise.
void ServeDiscovery(const model::Figures& figures, const std::vector<std::string>& addresses,
                    const std::string& listen, const Listens& listens);

}  // namespace bitternmux::lab

#endif  // BITTERNMUX_LAB_STANDS_SOLO_H_
