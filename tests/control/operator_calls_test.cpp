// Calls at a control machine whose bytes are not what they should be: each gets an answer that can be read,
// and none of them ends the machine.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "control/control_machine.h"

namespace bitternmux::control {
namespace {

// A whole configuration whose names have letters of two, three and four bytes.
std::string Configuration(int version) {
  return "{\"version\":" + std::to_string(version) +
         ",\"routes\":[{\"name\":\"\xe6\x9d\xb1\xe4\xba\xac\",\"host\":\"h\",\"path_prefix\":\"/p/\","
         "\"route_type\":\"safe\",\"timeout_ms\":2500,\"service\":\"s\"}],\"services\":[{\"name\":\"s\"}],"
         "\"limits\":{\"max_body_bytes\":4096},"
         "\"tenants\":[{\"name\":\"Associa\xc3\xa7\xc3\xa3o \xf0\x9f\x9a\x9a\",\"api_keys\":[\"k\"]}]}";
}

// The reason that an answer gives, in the form in which all reasons are given.
std::string ReasonOf(const ApiResponse& response) {
  const auto body = nlohmann::json::parse(response.body, nullptr, /*allow_exceptions=*/false);
  if (!body.is_object() || !body.contains("error") || !body["error"].is_string()) return "";
  return body["error"].get<std::string>();
}

void CheckRefused(ControlMachine& machine, const std::string& configuration) {
  CAPTURE(configuration);
  ApiResponse response;
  REQUIRE_NOTHROW(response = machine.PutConfiguration(configuration, 1));
  CHECK(response.status == 400);
  CHECK_FALSE(ReasonOf(response).empty());
}

// It has taken the first configuration.
class ConfiguredMachine : public ControlMachine {
 public:
  ConfiguredMachine() : ControlMachine({kSelf}) {
    RunFor(1000);
    REQUIRE(PutConfiguration(Configuration(1), 0).status == 200);
  }
};

}  // namespace

// Guards against an invalid configuration that ends each control machine which reads it.
TEST_CASE(
    "operator calls: a configuration that is cut short, within a letter or not, is refused with a reason") {
  ConfiguredMachine machine;
  const std::string whole = Configuration(2);
  for (std::size_t size = 0; size < whole.size(); ++size) CheckRefused(machine, whole.substr(0, size));
  CHECK(machine.PutConfiguration(whole, 1).status == 200);
}

// Guards against the same with bytes that are no UTF-8, or letters where none may stand.
TEST_CASE("operator calls: a configuration whose bytes are no JSON in UTF-8 is refused with a reason") {
  ConfiguredMachine machine;
  const std::vector<std::string> texts = {
      "{\"version\":2,\"tenants\":[{\"name\":\"Jo\xe3o\"}]}",  // Latin-1
      "{\xc2\xa0\"version\":2}",                               // a no-break space outside a string
      "{\"version\"\xef\xbc\x9a 2}",                           // a full-width colon
      "{\xef\xbb\xbf\"version\":2}",                           // a byte order mark behind the first byte
      "{\"version\":2,\"a\":\"\xc0\xaf\"}",                    // a letter in more bytes than it needs
      "{\"version\":2,\"a\":\"\xed\xa0\x80\"}",                // half of a pair, as bytes
      "{\"version\":2,\"a\":\"\\ud800\"}",                     // and as an escape
      "{\"version\":2,\"a\":\"\xf5\x80\x80\x80\"}",            // beyond the last letter
      std::string("{\"version\":2,\"\0\xff\":1}", 20),
      std::string("\xff\xfe{\0", 4),  // UTF-16
      "\x80",
  };
  for (const std::string& text : texts) CheckRefused(machine, text);
  CHECK(machine.PutConfiguration(Configuration(2), 1).status == 200);
}

// Guards against the same with changes at drawn places.
TEST_CASE("operator calls: a configuration with drawn bytes in it is answered in a way that can be read") {
  constexpr int kConfigurations = 4000;
  constexpr unsigned kSeed = 81;
  ConfiguredMachine machine;
  std::mt19937 random(kSeed);
  const auto draw = [&](std::size_t below) {
    return std::uniform_int_distribution<std::size_t>(0, below - 1)(random);
  };
  for (int i = 0; i < kConfigurations; ++i) {
    std::string text = Configuration(1);
    for (std::size_t changes = 1 + draw(3); changes > 0; --changes) {
      const std::size_t place = draw(text.size());
      const char byte = static_cast<char>(draw(256));
      if (draw(3) == 0) {
        text.erase(place, 1 + draw(4));
      } else if (draw(2) == 0) {
        text.insert(place, 1, byte);
      } else {
        text[place] = byte;
      }
    }
    CAPTURE(i, text);
    ApiResponse response;
    REQUIRE_NOTHROW(response = machine.PutConfiguration(text, 1));
    REQUIRE(response.status != 0);
    if (response.status != 200) REQUIRE_FALSE(ReasonOf(response).empty());
  }
}

// Guards against the same by the name of a zone in a path, which comes with its escapes resolved.
TEST_CASE("operator calls: the name of a zone that is no UTF-8 is not known, and the answer says so") {
  ConfiguredMachine machine;
  for (const char* zone : {"\xff", "mai\xc3", "\xe6\x9d", "S\xe3o"}) {
    for (const char* method : {"POST", "DELETE"}) {
      ApiResponse response;
      REQUIRE_NOTHROW(response = machine.Call(method, std::string("/evacuations/") + zone));
      CHECK(response.status == 404);
      CHECK_FALSE(ReasonOf(response).empty());
    }
  }
}

// Guards against the same by a body or a path of a tally.
TEST_CASE("operator calls: an add whose id is no UTF-8, or that is cut within a letter, is refused") {
  ConfiguredMachine machine;
  for (const char* body : {"{\"id\":\"\xff\",\"owner\":1}", "{\"id\":\"\xc3", "\xc2\xa0{}"}) {
    ApiResponse response;
    REQUIRE_NOTHROW(response = machine.Call("POST", "/tallies/\xff", body));
    CHECK(response.status == 400);
    CHECK_FALSE(ReasonOf(response).empty());
  }
}

// Guards against a control machine that ends at each GET /status since it counts a call that was no UTF-8.
TEST_CASE("operator calls: the state can be read behind calls whose method or path is no UTF-8") {
  ConfiguredMachine machine;
  for (const char* path :
       {"/\xff", "/\xfe", "/\xff/config", "/stat\xfas", "/evacuations/\xff", "/tallies/\xff"})
    for (const char* method : {"GET", "G\xc3T"}) REQUIRE_NOTHROW(machine.Call(method, path));
  ApiResponse response;
  REQUIRE_NOTHROW(response = machine.Call("GET", "/status"));
  CHECK(response.status == 200);
  const auto status = nlohmann::json::parse(response.body);
  CHECK(status["node"] == "n\xef\xbf\xbd 1");
  CHECK(status["api_calls"]["PUT /config 200"] == 1);
  CHECK(status["api_calls"]["other 404"] == 8);
}

// Guards against a map of counts that grows with the paths that callers make up.
TEST_CASE("operator calls: what is not served is counted together") {
  ConfiguredMachine machine;
  for (int i = 0; i < 1000; ++i) machine.Call("GET", "/made/up/" + std::to_string(i));
  for (int i = 0; i < 1000; ++i) machine.Call("M" + std::to_string(i), "/config");
  const auto counts = nlohmann::json::parse(machine.Call("GET", "/status").body)["api_calls"];
  CHECK(counts["other 404"] == 1000);
  CHECK(counts["other 405"] == 1000);
  CHECK(counts.size() == 3);
}

}  // namespace bitternmux::control
