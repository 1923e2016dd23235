// The calls on tallies: reads and checks what an application has sent, and words the answers.
//
//   POST /tallies/NAME {"id": "...", "owner": 4}   adds 4; an id counts once
//   GET  /tallies/NAME                             {"total": 1873}
#ifndef BITTERNMUX_SRC_CONTROL_TALLY_SERVICE_H_
#define BITTERNMUX_SRC_CONTROL_TALLY_SERVICE_H_

#include <cstdint>
#include <map>
#include <string>

#include "control/operator_api.h"
#include "fleet/control/control_core.h"

namespace bitternmux::control {

class TallyService {
 public:
  static constexpr const char* kPathPrefix = "/tallies/";
  // So that no sum of as many adds as are kept leaves its range.
  static constexpr std::int64_t kMostAmount = 9'000'000'000'000;
  static constexpr std::size_t kMostBodyBytes = 4096;

  explicit TallyService(fleet::ControlCore& core) : core_(core) {}

  void Serve(double now_ms, const ApiRequest& request, const ApiRespond& respond);
  void Answer(const fleet::TallyAnswer& answer);

 private:
  fleet::ControlCore& core_;
  std::uint64_t last_call_ = 0;
  std::map<std::uint64_t, ApiRespond> open_;
};

// The add that the body of a call asks for. Throws std::invalid_argument with what is wrong with it.
fleet::TallyAdd ReadTallyAdd(const std::string& tally, const std::string& body);

}  // namespace bitternmux::control

#endif  // BITTERNMUX_SRC_CONTROL_TALLY_SERVICE_H_
