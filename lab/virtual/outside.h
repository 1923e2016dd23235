// What a sidecar's process of a virtual run has around it: the time, its connections' other ends, discovery,
// and its clients. Inside the package only.
#ifndef BITTERNMUX_LAB_VIRTUAL_OUTSIDE_H_
#define BITTERNMUX_LAB_VIRTUAL_OUTSIDE_H_

#include <cstdint>
#include <string>

#include "core/job_table.h"
#include "lab/model/clients.h"
#include "lab/model/discovery.h"
#include "lab/model/execute_node.h"
#include "lab/model/figures.h"
#include "lab/record/record.pb.h"

namespace bitternmux::lab {

class Outside {
 public:
  virtual ~Outside() = default;
  virtual const model::Figures& figures() const = 0;
  virtual double NowMs() const = 0;
  // The process wants its Turn called then, at the latest.
  virtual void WakeAt(int sidecar, double at_ms) = 0;
  // The process wants its Deferred called as soon as this call and what else is due now are over.
  virtual void Defer(int sidecar) = 0;

  // ---- Its clients ----
  virtual void Answered(int sidecar, model::TryId id, const Answer& answer) = 0;

  // ---- Execute nodes ----
  // Dials the address; the connection gets the number that is given back. Pool::Dialed or Pool::DialFailed
  // follows, or nothing does. `id`: the try that it is made for; 0: none.
  virtual model::ConnectionId Dial(int sidecar, const std::string& address, model::TryId id) = 0;
  // Writes a claim on a connection that is up; gives its number. `wait_ms`: how long the sidecar says that it
  // waits.
  virtual model::ClaimId Send(model::ConnectionId connection, model::TryId id, int claim_number,
                              double wait_ms) = 0;
  virtual void SendProbe(model::ConnectionId connection) = 0;
  // The sidecar closes it; nothing is heard from it any more.
  virtual void Close(model::ConnectionId connection) = 0;
  virtual void ClaimOver(model::ClaimId claim, record::ClaimEnded::How how, double worked_ms) = 0;

  // ---- Discovery ----
  // Connects to discovery at a place and asks for the whole list, or for a watch from a revision on.
  // Watch::Told, Line or Broke follow, or nothing does.
  virtual model::CallId Ask(int sidecar, int place, bool watch, std::int64_t since) = 0;
  // On the connection of a call that has been answered, asks for a watch.
  virtual model::CallId AskOn(model::CallId call, std::int64_t since) = 0;
  virtual void Leave(model::CallId call) = 0;
  // The place that the configuration file names now.
  virtual int ConfiguredPlace() const = 0;
};

}  // namespace bitternmux::lab

#endif  // BITTERNMUX_LAB_VIRTUAL_OUTSIDE_H_
