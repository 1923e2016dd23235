// The chain on sockets: a built program for each hop, and in one thread of this process the servers of all
// hops, each hop's discovery, and one more server beside them that the load can be sent straight to.
#ifndef BITTERNMUX_LAB_DEPTH_SOCKET_CHAIN_H_
#define BITTERNMUX_LAB_DEPTH_SOCKET_CHAIN_H_

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/depth/chain.h"

namespace bitternmux::lab::depth {

// What came to the servers of each hop, the first hop's first.
struct ServerCounts {
  std::vector<std::uint64_t> attempts;
  std::vector<std::uint64_t> longest_wait_ms;  // the longest Req-Deadline-Ms among them
  std::vector<std::string> last_ids;           // the Req-Id of the last of them
};

class SocketChain {
 public:
  // One sidecar for each hop: `chain.own_sidecars` counts for nothing. Starts all and waits until each
  // program is up, knows its servers and has been asked once. Throws std::runtime_error that says what cannot
  // be.
  SocketChain(const Chain& chain, const std::string& program, std::uint64_t seed);
  ~SocketChain();
  SocketChain(const SocketChain&) = delete;
  SocketChain& operator=(const SocketChain&) = delete;

  std::string first() const;     // the address of the first sidecar
  std::string straight() const;  // and of the server beside the chain
  // Since the start; what the chain was warmed up with is not in it.
  ServerCounts counts() const;

 private:
  class Impl;
  const std::unique_ptr<Impl> impl_;
};

// The figures of calls sent through the chain and straight to the server, in turn, open loop.
nlohmann::json PlaySockets(const Chain& chain, const Calls& calls, const std::string& program,
                           std::uint64_t seed);

}  // namespace bitternmux::lab::depth

#endif  // BITTERNMUX_LAB_DEPTH_SOCKET_CHAIN_H_
