// Between the HTTP interface and the deciders of a control machine: reads and checks what an operator has
// sent, and words the answers.
#ifndef BITTERNMUX_SRC_CONTROL_OPERATOR_SERVICE_H_
#define BITTERNMUX_SRC_CONTROL_OPERATOR_SERVICE_H_

#include <functional>
#include <map>
#include <string>

#include "control/operator_api.h"
#include "control/tally_service.h"
#include "events/event.h"
#include "fleet/control/control_core.h"

namespace bitternmux::control {

class OperatorService {
 public:
  // `status`: the body of GET /status.
  OperatorService(fleet::ControlCore& core, EventSink& events, std::function<std::string()> status)
      : core_(core), events_(events), status_(std::move(status)), tallies_(core) {}

  void Serve(double now_ms, ApiRequest request, const ApiRespond& respond);
  void Answer(const fleet::CallAnswer& answer);
  void Answer(const fleet::TallyAnswer& answer) { tallies_.Answer(answer); }
  // Answers since the start, by "METHOD /first-part-of-the-path status".
  const std::map<std::string, std::uint64_t>& counts() const { return counts_; }

 private:
  void Route(double now_ms, ApiRequest request, const ApiRespond& respond);
  void Count(const std::string& what, const std::string& path, int status);
  void ServePut(double now_ms, ApiRequest request, const ApiRespond& respond);

  fleet::ControlCore& core_;
  EventSink& events_;
  const std::function<std::string()> status_;
  TallyService tallies_;
  std::uint64_t last_call_ = 0;
  std::map<std::uint64_t, ApiRespond> open_;
  std::map<std::string, std::uint64_t> counts_;
};

}  // namespace bitternmux::control

#endif  // BITTERNMUX_SRC_CONTROL_OPERATOR_SERVICE_H_
