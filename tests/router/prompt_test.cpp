#include "router/prompt.h"

#include <catch2/catch.hpp>

#include "router/prefix_index.h"

namespace bitternmux::router {

TEST_CASE("prompt: parses counts and parts, a part identifies all parts before it") {
  const auto count = ParseTokenCount("1460, 80");
  REQUIRE(count);
  CHECK(count->tokens_in == 1460);
  CHECK(count->Total() == 1540);
  CHECK_FALSE(ParseTokenCount("1460"));
  CHECK_FALSE(ParseTokenCount("a,b"));
  const auto one = ParsePromptPrefix("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
  const auto other = ParsePromptPrefix("5c1e07a3:800,91bd3f06:410");
  REQUIRE(one.size() == 3);
  CHECK(one[2].tokens == 250);
  CHECK(one[1].prefix_hash != other[1].prefix_hash);
  CHECK(ParsePromptPrefix("5c1e07a2:800")[0].prefix_hash == one[0].prefix_hash);
  CHECK(ParsePromptPrefix("xyz:1").empty());
  CHECK(ParsePromptPrefix("5c:1,bad").size() == 1);
  std::string many;
  for (int i = 0; i < 100; ++i) many += "1:1,";
  CHECK(ParsePromptPrefix(many).size() == kMaxPromptParts);
}

TEST_CASE("prefix index: assumes for a limited time and number of parts that what was sent is cached") {
  PrefixIndex index;
  Prompt prompt;
  prompt.parts = {{1, 10}, {2, 10}};
  index.OnSent(0, "a", prompt);
  CHECK(index.IsCached(1, "a", 1));
  CHECK_FALSE(index.IsCached(1, "b", 1));
  CHECK_FALSE(index.IsCached(PrefixIndex::kRetentionMs + 1, "a", 1));
  index.Forget("a");
  CHECK_FALSE(index.IsCached(1, "a", 1));
  for (std::uint64_t i = 0; i < 3 * PrefixIndex::kMaxParts; ++i) {
    prompt.parts = {{100 + i, 1}};
    index.OnSent(static_cast<double>(i) * 0.001, "a", prompt);
  }
  CHECK(index.IsCached(10, "a", 100 + 3 * PrefixIndex::kMaxParts - 1));
  CHECK_FALSE(index.IsCached(10, "a", 100));
}

}  // namespace bitternmux::router
