// What the fleet's programs share: their command line, their settings, their log, their signals.
#ifndef BITTERNMUX_SRC_APPS_FLEET_PROGRAM_H_
#define BITTERNMUX_SRC_APPS_FLEET_PROGRAM_H_

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <string>

#include "events/event.h"
#include "fleet/settings/node_settings.h"

namespace bitternmux {

// A program between its start and its end.
class FleetProcess {
 public:
  virtual ~FleetProcess() = default;
  virtual void Start() = 0;
  virtual void Stop() = 0;                              // SIGTERM
  virtual void Resettle(const fleet::NodeSettings&) {}  // SIGHUP, or the file has changed
};

using MakeProcess = std::function<std::unique_ptr<FleetProcess>(boost::asio::io_context&,
                                                                const fleet::NodeSettings&, EventSink&)>;
// Says what the settings lack for this program; empty: nothing.
using CheckSettings = std::function<std::string(const fleet::NodeSettings&)>;

// The whole of main. Exit codes: 0 fine, 1 failed, 2 faulty settings or command line.
int RunFleetProgram(int count, char** words, const char* usage, const CheckSettings& check,
                    const MakeProcess& make);

}  // namespace bitternmux

#endif  // BITTERNMUX_SRC_APPS_FLEET_PROGRAM_H_
