// Between the HTTP interface and the deciders of a control machine: reads and checks what an operator has
// sent, and words the answers.
#ifndef BITTERNMUX_SRC_CONTROL_OPERATOR_SERVICE_H_
#define BITTERNMUX_SRC_CONTROL_OPERATOR_SERVICE_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "control/operator_api.h"
#include "control/tally_service.h"
#include "events/event.h"
#include "fleet/control/control_core.h"

namespace bitternmux::control {

using CallCounts = std::map<std::string, std::uint64_t>;

class OperatorService {
 public:
  // `zones`: of the deployment, as the settings name them. `status`: the body of GET /status.
  OperatorService(fleet::ControlCore& core, EventSink& events, std::vector<std::string> zones,
                  std::function<std::string()> status)
      : core_(core), events_(events), zones_(std::move(zones)), status_(std::move(status)), tallies_(core) {}

  // The longest body of a call of that method and path, in bytes; 0: it has none.
  static std::size_t MaxBodyBytes(std::string_view method, std::string_view path);

  void Serve(double now_ms, ApiRequest request, const ApiRespond& respond);
  void Answer(const fleet::CallAnswer& answer);
  void Answer(const fleet::TallyAnswer& answer) { tallies_.Answer(answer); }
  // Answers since the start, by "METHOD /first-part-of-the-path status", or "other status" for what is not
  // served.
  const CallCounts& counts() const { return counts_; }

 private:
  // A call that the deciders have, and how its answer is to be worded.
  struct OpenCall {
    enum class Kind { kConfiguration, kEvacuations };
    Kind kind = Kind::kConfiguration;
    std::string path;
    ApiRespond respond;
  };

  static ApiResponse ResponseTo(const OpenCall& call, const fleet::CallAnswer& answer);
  void Route(double now_ms, ApiRequest request, const ApiRespond& respond);
  void Count(const std::string& method, const std::string& path, int status);
  void ServeConfiguration(double now_ms, ApiRequest request, const ApiRespond& respond);
  void ServePut(double now_ms, ApiRequest request, const ApiRespond& respond);
  void ServeEvacuations(double now_ms, const ApiRequest& request, const ApiRespond& respond);
  void ServeEvacuation(double now_ms, const ApiRequest& request, const ApiRespond& respond);
  bool KnowsZone(const std::string& zone) const;
  std::uint64_t Open(OpenCall::Kind kind, const std::string& path, const ApiRespond& respond);

  fleet::ControlCore& core_;
  EventSink& events_;
  const std::vector<std::string> zones_;
  const std::function<std::string()> status_;
  TallyService tallies_;
  std::uint64_t last_call_ = 0;
  std::map<std::uint64_t, OpenCall> open_;
  CallCounts counts_;
};

}  // namespace bitternmux::control

#endif  // BITTERNMUX_SRC_CONTROL_OPERATOR_SERVICE_H_
