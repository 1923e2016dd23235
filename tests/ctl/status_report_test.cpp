#include "ctl/status_report.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace bitternmux::ctl {
namespace {

MachineStatus Machine(const std::string& control, const std::string& role, bool fresh) {
  const nlohmann::json json = {{"role", role},
                               {"epoch", 3},
                               {"version", 48},
                               {"fresh", fresh},
                               {"subscribers", 6},
                               {"servers", 16},
                               {"platform_list_age_ms", 250.0}};
  return {control, {200, json.dump()}};
}

}  // namespace

TEST_CASE("ctl: the state of the control machines, for people and as JSON") {
  const std::vector<MachineStatus> machines = {Machine("10.1.0.1:8665", "owner", true),
                                               Machine("10.1.0.2:8665", "follower", true),
                                               {"10.1.0.3:8665", {0, "Couldn't connect to server"}}};
  CHECK(IsHealthy(machines));
  const std::string text = WriteStatus(machines);
  CHECK(text.find("owner") != std::string::npos);
  CHECK(text.find("10.1.0.3:8665          no answer: Couldn't connect") != std::string::npos);
  CHECK(text.find("not taken") == std::string::npos);
  const auto json = nlohmann::json::parse(WriteStatusJson(machines));
  CHECK(json.size() == 3);
  CHECK(json[0]["version"] == 48);
  CHECK(json[2]["error"] == "Couldn't connect to server");
}

TEST_CASE("ctl: a fleet without an owner, or with one that has no majority, is not healthy and says so") {
  const std::vector<MachineStatus> machines = {
      Machine("a:1", "owner", false), Machine("b:1", "candidate", false), {"c:1", {200, "no json"}}};
  CHECK_FALSE(IsHealthy(machines));
  CHECK(WriteStatus(machines).find("not taken") != std::string::npos);
}

TEST_CASE("ctl: which answers are clear") {
  for (const int status : {200, 400, 404, 412, 413}) CHECK(CallResult{status, ""}.Clear());
  for (const int status : {0, 408, 429, 500, 503, 504}) CHECK_FALSE(CallResult{status, ""}.Clear());
}

}  // namespace bitternmux::ctl
