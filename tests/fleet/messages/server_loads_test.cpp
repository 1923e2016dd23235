#include "fleet/messages/server_loads.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cereal/cereal.hpp>
#include <limits>
#include <random>

#include "fleet/messages/codec.h"

namespace bitternmux::fleet {

TEST_CASE("server loads: rows come back sorted, whatever numbers they hold") {
  constexpr std::int32_t kMost = std::numeric_limits<std::int32_t>::max();
  constexpr std::int32_t kLeast = std::numeric_limits<std::int32_t>::min();
  std::vector<ServerLoad> rows = {
      {0xffffffffu, kMost, kLeast, 0}, {0, 0, 0, 0}, {300, 1, 128, 2}, {7, 127, 16'384, -1}};
  const std::vector<ServerLoad> back = UnpackLoads(PackLoads(rows));
  std::ranges::sort(rows, {}, &ServerLoad::server);
  CHECK(back == rows);
  CHECK(UnpackLoads("").empty());
  ServerLoads loads{true, rows, 12.5F};
  const std::string frame = EncodeFrame(loads);
  const auto again = std::get<ServerLoads>(DecodePayload(std::string_view(frame).substr(kFrameHeaderBytes)));
  CHECK(again.whole);
  CHECK(again.rows == rows);
  CHECK(again.age_ms == 12.5F);
}

TEST_CASE("server loads: a row of a fleet of 240 servers takes 8 bytes at the most") {
  std::mt19937 random(4);
  std::vector<ServerLoad> rows;
  for (int i = 0; i < 240; ++i) {
    rows.push_back({static_cast<std::uint32_t>(random()), static_cast<std::int32_t>(random() % 20),
                    static_cast<std::int32_t>(random() % 16'000), 0});
  }
  CHECK(PackLoads(rows).size() <= 240 * 8);
}

TEST_CASE("server loads: rows that are cut or spoilt are refused") {
  const std::string first = PackLoads({{300, 1, 128, 0}});
  const std::string packed = PackLoads({{300, 1, 128, 0}, {70'000, 3, 9000, 1}});
  REQUIRE(packed.starts_with(first));
  for (std::size_t size = 1; size < packed.size(); ++size) {
    const std::string cut = packed.substr(0, size);
    if (cut == first) {
      CHECK(UnpackLoads(cut).size() == 1);
    } else {
      CHECK_THROWS_AS(UnpackLoads(cut), cereal::Exception);
    }
  }
  CHECK_THROWS_AS(UnpackLoads(std::string(6, '\xff')), cereal::Exception);
  CHECK_THROWS_AS(UnpackLoads(std::string(1, '\x01')), cereal::Exception);
}

}  // namespace bitternmux::fleet
