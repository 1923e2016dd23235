// Calls on /evacuations at a control machine: what is answered, and where a call is sent on to.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>

#include "control/operator_service.h"

namespace bitternmux::control {
namespace {

const fleet::Member kSelf = {"10.0.0.1:1", "10.0.0.1:2", 0};
const fleet::Member kOther = {"10.0.0.2:1", "10.0.0.2:2", 0};
constexpr double kTickMs = 50;

// A control machine of a group of one or two, whose disk takes no time.
class Machine {
 public:
  explicit Machine(std::vector<fleet::Member> group) : core_(Options(std::move(group)), std::nullopt, 0) {}

  // As far as it is decided at once or within the time for a call.
  ApiResponse Call(const std::string& method, const std::string& path) {
    std::optional<ApiResponse> response;
    ApiRequest request;
    request.method = method;
    request.path = path;
    service_.Serve(now_ms_, std::move(request), [&](ApiResponse given) { response = std::move(given); });
    const double until_ms = now_ms_ + fleet::kCallMs + fleet::kHoldMs;
    for (Drain(); !response && now_ms_ < until_ms; Drain()) Tick();
    return response.value_or(ApiResponse{0, "", "", 0});
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
  OperatorService service_{core_, Unheard(), {"maia", "vila real"}, [] { return std::string(); }};
};

std::vector<std::string> Zones(const ApiResponse& response) {
  return nlohmann::json::parse(response.body).at("zones").get<std::vector<std::string>>();
}

}  // namespace

TEST_CASE("evacuation calls: a zone is evacuated, told, and taken back, a repeat is acknowledged") {
  Machine machine({kSelf});
  machine.RunFor(1000);
  CHECK(Zones(machine.Call("GET", "/evacuations")).empty());
  for (int i = 0; i < 2; ++i) {
    CHECK(machine.Call("POST", "/evacuations/maia").status == 200);
    CHECK(machine.Call("POST", "/evacuations/vila real").status == 200);
  }
  CHECK(Zones(machine.Call("GET", "/evacuations")) == std::vector<std::string>{"maia", "vila real"});
  for (int i = 0; i < 2; ++i) CHECK(machine.Call("DELETE", "/evacuations/maia").status == 200);
  CHECK(Zones(machine.Call("GET", "/evacuations")) == std::vector<std::string>{"vila real"});
}

TEST_CASE("evacuation calls: names that are none, and methods that are not served") {
  Machine machine({kSelf});
  machine.RunFor(1000);
  for (const char* method : {"POST", "DELETE"}) {
    CHECK(machine.Call(method, "/evacuations/").status == 400);
    CHECK(machine.Call(method, "/evacuations/" + std::string(257, 'z')).status == 400);
    const ApiResponse unknown = machine.Call(method, "/evacuations/braga");
    CHECK(unknown.status == 404);
    CHECK(unknown.body.find("braga") != std::string::npos);
    CHECK(machine.Call(method, "/evacuations").status == 405);
  }
  for (const char* method : {"GET", "PUT"}) CHECK(machine.Call(method, "/evacuations/maia").status == 405);
  CHECK(Zones(machine.Call("GET", "/evacuations")).empty());
}

TEST_CASE("evacuation calls: a zone that only the platform's list names is known") {
  Machine machine({kSelf});
  machine.RunFor(1000);
  machine.ShowServerIn("braga");
  CHECK(machine.Call("POST", "/evacuations/braga").status == 200);
}

// Guards against an operator that asks for an evacuation and is sent on to /config.
TEST_CASE("evacuation calls: elsewhere than at the owner they are sent on under the same path") {
  Machine machine({kSelf, kOther});
  fleet::Heartbeat heartbeat;
  heartbeat.epoch = {2, 2};
  heartbeat.round = 1;
  machine.Hear(heartbeat);
  const ApiResponse redirected = machine.Call("POST", "/evacuations/vila real");
  CHECK(redirected.status == 307);
  CHECK(redirected.location == "http://10.0.0.2:2/evacuations/vila%20real");
  CHECK(machine.Call("GET", "/evacuations").location == "http://10.0.0.2:2/evacuations");
  CHECK(machine.Call("GET", "/config").location == "http://10.0.0.2:2/config");
}

TEST_CASE("evacuation calls: where no owner is known they are held, and then refused without a change") {
  Machine machine({kSelf, kOther});
  CHECK(machine.Call("POST", "/evacuations/maia").status == 503);
}

}  // namespace bitternmux::control
