// What can be seen of a run from outside the sidecars, as it happens: the record is written from this, and so
// is the summary.
//
// Times are microseconds since the run began and never go back. What a sidecar does has the time at which it
// shows at the sidecar's own sockets; an effect has the time at its machine.
#ifndef BITTERNMUX_LAB_VIRTUAL_OBSERVER_H_
#define BITTERNMUX_LAB_VIRTUAL_OBSERVER_H_

#include <cstdint>
#include <string>

#include "lab/model/clients.h"
#include "lab/model/discovery.h"
#include "lab/model/fleet.h"
#include "lab/record/record.pb.h"

namespace bitternmux::lab {

struct TryOutcome {
  record::TryEnded::How how = record::TryEnded::LOST;
  int status = 0;
  std::uint64_t claim = 0;  // SERVED: whose answer it was
  double retry_after_ms = 0;
};

struct ClaimStart {
  std::uint64_t claim = 0;
  model::TryId attempt = 0;
  int sidecar = 0;
  int machine = 0;
  double wait_ms = 0;  // how long the sidecar says that it waits
};

struct ConnectionChange {
  int sidecar = 0;
  int machine = 0;
  bool opened = false;  // else closed
  bool by_node = false;
  bool turned_away = false;
  model::TryId attempt = 0;  // that one turned away was dialed for; 0: none, or not known
};

// What a sidecar's process holds, as the system has it.
struct Measure {
  std::int64_t memory_bytes = 0;
  int descriptors = 0;
  std::int64_t cpu_us = 0;  // since it started
};

class Observer {
 public:
  virtual ~Observer() = default;
  virtual void TrySent(std::int64_t, const model::Try&) {}
  virtual void TryEnded(std::int64_t, const model::Try&, const TryOutcome&) {}
  // A claim's first and last byte go out together here.
  virtual void ClaimSent(std::int64_t, const ClaimStart&) {}
  virtual void ClaimEnded(std::int64_t, std::uint64_t /*claim*/, record::ClaimEnded::How,
                          double /*worked_ms*/) {}
  virtual void Effect(std::int64_t, std::uint64_t /*claim*/) {}
  virtual void Probed(std::int64_t, int /*sidecar*/, int /*machine*/) {}
  virtual void Connection(std::int64_t, const ConnectionChange&) {}
  // A dial came to nothing: refused, given up, or its process ended before. Virtual runs only: on sockets it
  // shows nowhere outside the sidecar. The try that it was made for; 0: none.
  virtual void DialFailed(std::int64_t, int /*sidecar*/, model::TryId) {}
  virtual void MachineChanged(std::int64_t, int /*machine*/, model::MachineState, double /*started_ms*/) {}
  virtual void Warmed(std::int64_t, int /*machine*/, double /*share*/) {}
  virtual void Listed(std::int64_t, const model::ListEntry&, std::int64_t /*revision*/) {}
  virtual void Told(std::int64_t, int /*sidecar*/, const model::ListEntry&, std::int64_t /*revision*/) {}
  virtual void Asked(std::int64_t, int /*sidecar*/, bool /*watch*/, bool /*failed*/) {}
  virtual void SidecarChanged(std::int64_t, int /*sidecar*/, record::Sidecar::What) {}
  virtual void Sampled(std::int64_t, int /*sidecar*/, std::size_t /*jobs held*/,
                       std::size_t /*connections*/) {}
  // These four are of loopback runs. EXITED comes with the process's exit code, CRASHED with the signal.
  virtual void SidecarEnded(std::int64_t, int /*sidecar*/, record::Sidecar::What, int /*code*/) {}
  virtual void Measured(std::int64_t, int /*sidecar*/, const Measure&) {}
  virtual void Late(std::int64_t, std::int64_t /*by_us*/) {}
  // Nothing may be concluded from the run.
  virtual void Void(std::int64_t, const std::string& /*reason*/) {}
  virtual void Trouble(std::int64_t, int /*trouble*/, bool /*begins*/) {}
  // Nothing follows.
  virtual void Over(std::int64_t) {}
};

}  // namespace bitternmux::lab

#endif  // BITTERNMUX_LAB_VIRTUAL_OBSERVER_H_
