// Tracks which parts of prompts a server is believed to have cached. This is inferred from what was sent to
// it, because servers do not report it.
//
// There are two sources: what this router has sent there recently, and a home server for each part, on
// which all routers agree without communicating. The home has the highest hash of the part and the server's
// id (rendezvous hashing); since server selection prefers the home, the part stays cached there.
//
// Bounds: kMaxParts parts for each server; the least recently used are evicted.
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
  static constexpr double kRetentionMs = 20'000;  // an unused part is assumed to stay cached this long

  void OnSent(double now_ms, const std::string& server, const Prompt& prompt);
  void Forget(const std::string& server) { servers_.erase(server); }
  bool IsCached(double now_ms, const std::string& server, std::uint64_t prefix_hash) const;
  // The rendezvous weight of a server for a part: the server with the highest weight is the part's home.
  static std::uint64_t HomeWeight(std::uint64_t prefix_hash, std::string_view server);

 private:
  using PrefixSentTimes = std::unordered_map<std::uint64_t, double>;  // by prefix hash: when it was last sent
  static void Trim(PrefixSentTimes& parts);

  std::unordered_map<std::string, PrefixSentTimes> servers_;
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_PREFIX_INDEX_H_
