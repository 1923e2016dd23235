// Guards against a crash loop that starts without delay, and against delays where starts did not fail.
#include "startup/start_history.h"

#include <catch2/catch.hpp>

namespace bitternmux {
namespace {

constexpr std::int64_t kNow = 1'796'000'000'000;

// Serializes and parses `starts`, as between one process and the next.
StartHistory ReadBack(const StartHistory& starts) {
  const auto read = StartHistory::Parse(starts.Serialize());
  REQUIRE(read);
  return *read;
}

}  // namespace

TEST_CASE("failed starts in a row are delayed from the fourth on, the delay doubles up to a limit") {
  StartHistory starts;
  std::vector<std::int64_t> delays;
  for (int i = 0; i < 20; ++i) delays.push_back((starts = ReadBack(starts)).Begin(kNow + i * 1000));
  CHECK(std::vector(delays.begin(), delays.begin() + 10) ==
        std::vector<std::int64_t>{0, 0, 0, 500, 1000, 2000, 4000, 8000, 16'000, 16'000});
  CHECK(delays.back() == StartHistory::kMaxDelayMs);
  CHECK(starts.Serialize().size() < 512);
}

TEST_CASE(
    "a start that reached full, was stopped on request, is too old or lies in the future does not count") {
  const auto how = GENERATE(0, 1, 2, 3);
  StartHistory starts;
  for (int i = 0; i < 6; ++i) {
    const std::int64_t at = how == 2   ? kNow - StartHistory::kMaxAgeMs - 6 + i
                            : how == 3 ? kNow + 5 + i
                                       : kNow - 6 + i;
    starts.Begin(at);
    if (how == 0) starts.Full(at);
    if (how == 1) starts.Stopped(at);
  }
  CHECK(ReadBack(starts).Begin(kNow) == 0);
}

TEST_CASE("a start that was full for a minute clears itself and all earlier starts, but not later ones") {
  StartHistory starts;
  for (int i = 0; i < 6; ++i) starts.Begin(kNow + i);
  starts.Full(kNow + 5);
  CHECK(ReadBack(starts).Begin(kNow + 6) > 0);
  starts.Begin(kNow + 6);
  starts.Forget(kNow + 5);
  CHECK(ReadBack(starts).Begin(kNow + 7) == 0);
  CHECK(ReadBack(starts).Serialize().find("1796000000006 started") != std::string::npos);
}

TEST_CASE("truncated or foreign text is not parsed") {
  StartHistory starts;
  starts.Begin(kNow);
  const std::string text = starts.Serialize();
  for (std::size_t size = 0; size < text.size(); ++size)
    CHECK_FALSE(StartHistory::Parse(text.substr(0, size)));
  for (const std::string other : {"bitternmux starts 2\nend\n", "bitternmux starts 1\n12 starts\nend\n",
                                  "bitternmux starts 1\n99999999999999999999 full\nend\n"})
    CHECK_FALSE(StartHistory::Parse(other));
  CHECK_FALSE(StartHistory::Parse(text + "more"));
}

}  // namespace bitternmux
