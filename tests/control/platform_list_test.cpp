#include "control/platform_list.h"

#include <catch2/catch.hpp>

namespace bitternmux::control {

TEST_CASE("platform list: a page is read, fields that are not known are passed over") {
  const ListPage page =
      ParseListPage(R"({"instances":[{"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1",
    "slots":64,"state":"draining","cold_remaining_ms":0,
    "stage":"dual","models":[],"id":"i-1"}],"next_token":"p-50"})");
  REQUIRE(page.servers.size() == 1);
  CHECK(page.servers[0].draining);
  CHECK(page.servers[0].slots == 64);
  CHECK(page.next_token == "p-50");
  CHECK(ParseListPage(R"({"instances":[],"next_token":null})").next_token.empty());
}

TEST_CASE("platform list: a server is cold while time remains of that, and not where none is told") {
  const auto is_cold = [](const std::string& field) {
    return ParseListPage(R"({"instances":[{"service":"s","address":"10.0.0.9:80","id":"i-1")" + field + "}]}")
        .servers.at(0)
        .cold;
  };
  CHECK(is_cold(R"(,"cold_remaining_ms":2400)"));
  CHECK(is_cold(R"(,"cold_remaining_ms":0.5)"));
  CHECK_FALSE(is_cold(R"(,"cold_remaining_ms":0)"));
  CHECK_FALSE(is_cold(R"(,"cold_remaining_ms":null)"));
  CHECK_FALSE(is_cold(""));
}

// Guards against one odd entry that ends each router which dials it, or that takes the whole list along.
TEST_CASE("platform list: entries whose address is no ip:port are left out and told, the others stay") {
  const ListPage page = ParseListPage(R"({"instances":[
    {"service":"s","address":"10.0.0.9:80","id":"i-1"},{"service":"s","address":"","id":"i-2"},
    {"service":"s","address":"host:80","id":"i-3"},{"service":"s","address":"10.0.0.9","id":"i-4"},
    {"service":"s","address":"10.0.0.9:0","id":"i-5"},{"service":"s","address":"10.0.0.9:70000","id":"i-6"},
    {"service":"s","address":"::1:80","id":"i-7"}],"next_token":"p-50"})");
  REQUIRE(page.servers.size() == 2);
  CHECK(page.servers[0].id == "i-1");
  CHECK(page.servers[1].id == "i-7");
  CHECK(page.unreachable.size() == 5);
  CHECK(page.next_token == "p-50");
}

TEST_CASE("platform list: what is no page is an error and no empty list") {
  for (const char* text :
       {"", "{", "[]", "{}", R"({"instances":[{"id":"i"}]})", R"({"instances":3})",
        "{\"instances\":[{\"id\":\"\xff\",\"service\":\"s\",\"address\":\"a\"}]}", "{\"instances\":[\xc3"}) {
    CHECK_THROWS_AS(ParseListPage(text), std::runtime_error);
  }
}

}  // namespace bitternmux::control
