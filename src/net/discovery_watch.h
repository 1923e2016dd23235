// The watch on discovery: one call at a time, whose answer goes on for as long as its connection stands.
#ifndef BITTERNMUX_SRC_NET_DISCOVERY_WATCH_H_
#define BITTERNMUX_SRC_NET_DISCOVERY_WATCH_H_

#include <functional>
#include <memory>
#include <string>

#include "core/machine_list.h"
#include "net/runtime.h"

namespace bitternmux::net {

class DiscoveryWatch {
 public:
  using Updated = std::function<void(const MachineUpdate&)>;

  DiscoveryWatch(Runtime& runtime, std::string address, const MachineList& machines, Updated updated,
                 std::function<void()> broken);
  ~DiscoveryWatch();

  // Watches from the version that the list holds, anew if a watch is on. When it breaks, for whatever reason,
  // that is told once and nothing more happens: when to ask again is the module's to say.
  void Watch();

 private:
  class Call;

  Runtime& runtime_;
  const std::string address_;
  const MachineList& machines_;
  const Updated updated_;
  const std::function<void()> broken_;
  std::shared_ptr<Call> call_;
};

}  // namespace bitternmux::net

#endif  // BITTERNMUX_SRC_NET_DISCOVERY_WATCH_H_
