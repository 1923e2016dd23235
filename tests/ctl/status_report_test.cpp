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

nlohmann::json Peer(const std::string& address, bool reached, int missing_here, int missing_there) {
  return {{"address", address},
          {"reached", reached},
          {"missing_here", missing_here},
          {"missing_there", missing_there}};
}

// An owner with that state of its tallies.
std::vector<MachineStatus> OwnerWith(bool settled, const std::vector<nlohmann::json>& peers) {
  MachineStatus machine = Machine("10.1.0.1:8665", "owner", true);
  auto json = nlohmann::json::parse(machine.result.body);
  json["tallies"] = {{"adds", 1873}, {"settled", settled}, {"peers", peers}};
  machine.result.body = json.dump();
  return {machine};
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

// Guards against a tool that ends without a word where a machine answers in Latin-1, as a proxy's page may
// be.
TEST_CASE("ctl: an answer that is no UTF-8 is told as JSON with a mark in the place of its odd bytes") {
  const std::vector<MachineStatus> machines = {Machine("10.1.0.1:8665", "owner", true),
                                               {"10.1.0.2:8665", {502, "fun\xe7\xe3o em falta"}},
                                               {"10.1.0.3:8665", {200, "{\"role\":\"own\xc3"}}};
  const auto json = nlohmann::json::parse(WriteStatusJson(machines));
  CHECK(json[0]["role"] == "owner");
  CHECK(json[1]["error"] == "fun\xef\xbf\xbd\xef\xbf\xbdo em falta");
  CHECK(json[2]["control"] == "10.1.0.3:8665");
  CHECK(WriteStatus(machines).find("10.1.0.2:8665          no answer: status 502") != std::string::npos);
}

// Guards against the same where a field has another type.
TEST_CASE("ctl: a state with fields of other types is told as far as it can be read") {
  const std::vector<MachineStatus> machines = {
      {"a:1", {200, R"({"role":3,"epoch":"x","fresh":"yes","platform_list_age_ms":[],"tallies":7})"}},
      {"b:1", {200, R"({"role":"owner","fresh":true,"tallies":{"settled":3,"peers":{"a":1}}})"}},
      {"c:1", {200, R"({"role":"follower","tallies":{"settled":true,"peers":[1,{"address":4}]}})"}}};
  const std::string text = WriteStatus(machines);
  for (const char* control : {"a:1 ", "b:1 ", "c:1 "}) CHECK(text.find(control) != std::string::npos);
  CHECK(IsHealthy(machines));
  CHECK_FALSE(IsConnected(machines));
  CHECK(nlohmann::json::parse(WriteStatusJson(machines)).size() == 3);
}

TEST_CASE("ctl: a fleet without an owner, or with one that has no majority, is not healthy and says so") {
  const std::vector<MachineStatus> machines = {
      Machine("a:1", "owner", false), Machine("b:1", "candidate", false), {"c:1", {200, "no json"}}};
  CHECK_FALSE(IsHealthy(machines));
  CHECK(WriteStatus(machines).find("not taken") != std::string::npos);
}

TEST_CASE(
    "ctl: machines that reach each other and serve reads are connected, copies may differ for a moment") {
  const auto machines =
      OwnerWith(true, {Peer("10.1.0.2:7680", true, 12, 3), Peer("10.1.0.3:7680", true, 0, 0)});
  CHECK(IsConnected(machines));
  const std::string text = WriteStatus(machines);
  CHECK(text.find("1873") != std::string::npos);
  CHECK(text.find("10.1.0.1:8665 lacks 12 adds to tallies that 10.1.0.2:7680 has, which lacks 3\n") !=
        std::string::npos);
  CHECK(text.find("10.1.0.3") == std::string::npos);
}

TEST_CASE("ctl: a machine that is cut off from another, or serves no reads yet, is told") {
  const auto apart = OwnerWith(true, {Peer("10.1.0.2:7680", false, 0, 7)});
  CHECK_FALSE(IsConnected(apart));
  const std::string text = WriteStatus(apart);
  CHECK(text.find("10.1.0.1:8665 and 10.1.0.2:7680 do not reach each other") != std::string::npos);
  CHECK(text.find("which lacks 7, by what it told last") != std::string::npos);
  CHECK(IsHealthy(apart));  // it owns the configuration all the same
  CHECK(text.find("not taken") == std::string::npos);

  const auto behind = OwnerWith(false, {});
  CHECK_FALSE(IsConnected(behind));
  CHECK(WriteStatus(behind).find("does not answer reads of tallies yet") != std::string::npos);
}

TEST_CASE("ctl: machines that give no answer, or say nothing of tallies, are not called cut off") {
  CHECK(IsConnected({Machine("a:1", "owner", true), {"c:1", {0, "Couldn't connect to server"}}}));
}

TEST_CASE("ctl: which answers are clear") {
  for (const int status : {200, 400, 404, 412, 413}) CHECK(CallResult{status, ""}.Clear());
  for (const int status : {0, 408, 429, 500, 503, 504}) CHECK_FALSE(CallResult{status, ""}.Clear());
}

}  // namespace bitternmux::ctl
