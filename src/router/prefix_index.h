// Which parts of prompts a server is believed to keep: inferred from what was sent to it, since nobody tells.
//
// Two sources. What this router has sent there lately; and a home for each part, which all routers agree on
// without asking, by the highest hash of the part and the server's id (rendezvous hashing): since the walk
// prefers a home, it keeps the part.
//
// Bounds: kMaxParts parts for each server, of which those unused for the longest give way.
#ifndef BITTERNMUX_SRC_ROUTER_PREFIX_INDEX_H_
#define BITTERNMUX_SRC_ROUTER_PREFIX_INDEX_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "router/prompt.h"

namespace bitternmux::router {

class PrefixIndex {
 public:
  static constexpr std::size_t kMaxParts = 2048;
  static constexpr double kKeptMs = 20'000;  // for which a part that is not used is believed to be kept

  void Sent(double now_ms, const std::string& server, const Prompt& prompt);
  void Forget(const std::string& server) { servers_.erase(server); }
  bool Keeps(double now_ms, const std::string& server, std::uint64_t chain) const;
  // How well a server suits a part as its home: the one with the highest weight is it.
  static std::uint64_t HomeWeight(std::uint64_t chain, std::string_view server);

 private:
  using Parts = std::unordered_map<std::uint64_t, double>;  // chain: when it was last sent
  static void Trim(Parts& parts);

  std::unordered_map<std::string, Parts> servers_;
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_PREFIX_INDEX_H_
