// What is in work at servers, as routers, agents and control machines tell each other of it.
//
// These are the most frequent messages of a large fleet, so their rows are packed: sorted by server, each
// number in as few bytes as it needs (LEB128), servers as differences. With 240 servers a row takes 7 or 8
// bytes.
#ifndef BITTERNMUX_SRC_FLEET_MESSAGES_SERVER_LOADS_H_
#define BITTERNMUX_SRC_FLEET_MESSAGES_SERVER_LOADS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bitternmux::fleet {

// What is in work at one server; absolute values.
struct ServerLoad {
  std::uint32_t server = 0;         // LoadKey of its id
  std::int32_t requests = 0;        // sent there and not ended
  std::int32_t prefill_tokens = 0;  // to be read for those of them that have not begun to answer

  std::int32_t set_aside = 0;  // routers that it has failed lately, though it could be reached

  // Nothing is in work there and nothing is told of it.
  bool IsNothing() const { return requests == 0 && prefill_tokens == 0 && set_aside == 0; }
  bool operator==(const ServerLoad&) const = default;
};

std::string PackLoads(std::vector<ServerLoad> rows);
// Sorted by server. Throws cereal::Exception where the bytes are not what PackLoads makes.
std::vector<ServerLoad> UnpackLoads(std::string_view packed);

// A router's rows, or the sums of a control machine's routers, or those of the fleet.
struct ServerLoads {
  bool whole = false;  // what was told before and is not here is nothing any more
  std::vector<ServerLoad> rows;
  float age_ms = 0;  // when it was sent: how old the words are on the mean that the rows are sums of

  template <class Archive>
  void save(Archive& archive) const {
    archive(whole, age_ms, PackLoads(rows));
  }
  template <class Archive>
  void load(Archive& archive) {
    std::string packed;
    archive(whole, age_ms, packed);
    rows = UnpackLoads(packed);
  }
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_MESSAGES_SERVER_LOADS_H_
