// Calls on /evacuations at a control machine: what is answered, and where a call is sent on to.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "control/control_machine.h"

namespace bitternmux::control {
namespace {

std::vector<std::string> Zones(const ApiResponse& response) {
  return nlohmann::json::parse(response.body).at("zones").get<std::vector<std::string>>();
}

}  // namespace

TEST_CASE("evacuation calls: a zone is evacuated, told, and taken back, a repeat is acknowledged") {
  ControlMachine machine({kSelf});
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
  ControlMachine machine({kSelf});
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
  ControlMachine machine({kSelf});
  machine.RunFor(1000);
  machine.ShowServerIn("braga");
  CHECK(machine.Call("POST", "/evacuations/braga").status == 200);
}

// Guards against an operator that asks for an evacuation and is sent on to /config.
TEST_CASE("evacuation calls: elsewhere than at the owner they are sent on under the same path") {
  ControlMachine machine({kSelf, kOther});
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
  ControlMachine machine({kSelf, kOther});
  CHECK(machine.Call("POST", "/evacuations/maia").status == 503);
}

}  // namespace bitternmux::control
