// The watch on discovery: a call whose answer goes on for as long as its connection stands.
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
  // Goes over to another discovery. Versions are each discovery's own, so that the new one is asked for its
  // whole list first; until that has come, the old watch stays.
  void MoveTo(const std::string& address);
  // Reads at once all that discovery has told by now.
  void CatchUp();

 private:
  class Call;

  void Told(const MachineUpdate& update, const std::shared_ptr<Call>& by);
  void Broke(const std::shared_ptr<Call>& call);

  Runtime& runtime_;
  std::string address_;
  const MachineList& machines_;
  const Updated updated_;
  const std::function<void()> broken_;
  bool whole_due_ = false;      // the discovery at this address has not told its whole list yet
  std::shared_ptr<Call> call_;  // to this address
  std::shared_ptr<Call> old_;   // to the address before it, until the list from this one has come
};

}  // namespace bitternmux::net

#endif  // BITTERNMUX_SRC_NET_DISCOVERY_WATCH_H_
