#include "ctl/tally_calls.h"

#include <catch2/catch.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace bitternmux::ctl {

TEST_CASE("ctl: the name of a tally is escaped in its path") {
  CHECK(TallyPath("t3") == "/tallies/t3");
  CHECK(TallyPath("a b/c?d") == "/tallies/a%20b%2Fc%3Fd");
}

TEST_CASE("ctl: the body of an add has the id and the amount, an id that is no UTF-8 is refused") {
  const auto json = nlohmann::json::parse(TallyAddBody("5c0e\"7a", -4));
  CHECK(json == nlohmann::json{{"id", "5c0e\"7a"}, {"owner", -4}});
  CHECK_THROWS_AS(TallyAddBody("\xff", 1), std::invalid_argument);
}

TEST_CASE("ctl: an amount is a whole number and nothing beside it") {
  CHECK(ReadAmount("-9223372036854775808") == std::numeric_limits<std::int64_t>::min());
  for (const char* word : {"", "4x", " 4", "4.0", "9223372036854775808"}) CHECK_FALSE(ReadAmount(word));
}

TEST_CASE("ctl: the total of an answer, if it has one") {
  CHECK(ReadTotal(R"({"total":1873})") == 1873);
  for (const char* body : {"", "[]", "{}", R"({"total":"7"})"}) CHECK_FALSE(ReadTotal(body));
}

}  // namespace bitternmux::ctl
