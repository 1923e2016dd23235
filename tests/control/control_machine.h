// A control machine of a group of one or two in simulated time, whose disk takes no time: for tests of the
// calls that it answers.
#ifndef BITTERNMUX_TESTS_CONTROL_CONTROL_MACHINE_H_
#define BITTERNMUX_TESTS_CONTROL_CONTROL_MACHINE_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "control/node_status.h"
#include "control/operator_service.h"

namespace bitternmux::control {

inline const fleet::Member kSelf = {"10.0.0.1:1", "10.0.0.1:2", 0};
inline const fleet::Member kOther = {"10.0.0.2:1", "10.0.0.2:2", 0};

// As a settings file in Latin-1 may have it.
inline const std::string kNodeName = "n\xf3 1";

class ControlMachine {
 public:
  explicit ControlMachine(std::vector<fleet::Member> group)
      : core_(Options(std::move(group)), std::nullopt, 0) {}

  // What it answers, as far as that is decided at once or within the time for a call. Status 0: nothing.
  ApiResponse Call(ApiRequest request) {
    std::optional<ApiResponse> response;
    service_.Serve(now_ms_, std::move(request), [&](ApiResponse given) { response = std::move(given); });
    const double until_ms = now_ms_ + fleet::kCallMs + fleet::kHoldMs;
    for (Drain(); !response && now_ms_ < until_ms; Drain()) Tick();
    return response.value_or(ApiResponse{0, "", "", 0});
  }
  ApiResponse Call(const std::string& method, const std::string& path, const std::string& body = "") {
    ApiRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    return Call(std::move(request));
  }
  ApiResponse PutConfiguration(const std::string& body, std::uint64_t builds_on) {
    ApiRequest request;
    request.method = "PUT";
    request.path = "/config";
    request.body = body;
    request.if_match = builds_on;
    return Call(std::move(request));
  }
  void RunFor(double ms) {
    for (const double until_ms = now_ms_ + ms; now_ms_ < until_ms;) {
      Tick();
      Drain();
    }
  }
  void Hear(const fleet::Message& message) { core_.FromControl(now_ms_, kOther.internal, message); }
  void ShowServerIn(const std::string& zone) {
    fleet::ListReading reading;
    reading.position = reading.content = {{1, 1}, 1};
    reading.change.emplace();
    reading.change->position = reading.position;
    reading.change->whole = true;
    reading.change->changed = {{"i", "s", "10.0.0.9:80", zone, 4, false}};
    Hear(reading);
  }

 private:
  static constexpr double kTickMs = 50;

  static fleet::ControlCore::Options Options(std::vector<fleet::Member> group) {
    fleet::ControlCore::Options options;
    options.replica.self = kSelf;
    options.replica.group_size = group.size();
    options.replica.seeds = std::move(group);
    options.replica.bootstrap = true;
    options.replica.new_store = fleet::Replica::kMaxFirstStore + 1;
    return options;
  }
  void Tick() {
    now_ms_ += kTickMs;
    core_.Tick(now_ms_);
  }
  void Drain() {
    for (bool saved = true; saved;) {
      fleet::ControlOutput output = core_.TakeOutput(now_ms_);
      for (const fleet::CallAnswer& answer : output.answers) service_.Answer(answer);
      saved = output.save.has_value();
      if (saved) core_.Saved(now_ms_, output.save->first);
    }
  }

  double now_ms_ = 0;
  fleet::ControlCore core_;
  OperatorService service_{core_, Unheard(), {"maia", "vila real"}, [this] {
                             return WriteNodeStatus(kNodeName, core_, service_.counts(), now_ms_);
                           }};
};

}  // namespace bitternmux::control

#endif  // BITTERNMUX_TESTS_CONTROL_CONTROL_MACHINE_H_
