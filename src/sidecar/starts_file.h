// The file in which a sidecar's starts are kept from one process to the next: written whole, by rename.
#ifndef BITTERNMUX_SRC_SIDECAR_STARTS_FILE_H_
#define BITTERNMUX_SRC_SIDECAR_STARTS_FILE_H_

#include <cstdint>
#include <string>

#include "events/event.h"
#include "startup/start_history.h"

namespace bitternmux {

class StartsFile {
 public:
  // `folder`: empty for none, and nothing is ever held back. `listen` tells the sidecars of a machine apart.
  // What cannot be read or kept is told once to `events`, which has to outlive this, and counts as no start.
  StartsFile(const std::string& folder, const std::string& listen, EventSink& events);

  // This process begins. How long it is to hold back, in ms.
  std::int64_t Begin();
  std::size_t failed() const { return failed_; }  // starts before it, as of Begin
  // As Starts has them, of the start that Begin told. Another process may have started here since.
  void Full();
  void Forget();
  void Stopped();

 private:
  StartHistory Load();
  void Keep(const StartHistory& starts);
  void Tell(const char* why);

  const std::string path_;  // empty: none
  EventSink& events_;
  std::int64_t began_ = 0;  // Unix time, ms
  std::size_t failed_ = 0;
  bool told_ = false;
};

}  // namespace bitternmux

#endif  // BITTERNMUX_SRC_SIDECAR_STARTS_FILE_H_
