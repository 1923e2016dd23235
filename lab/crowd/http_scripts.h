// Kinds of hostile HTTP clients. Sizes and texts are drawn from a seed, so that no listener can be fitted to
// one of them.
#ifndef BITTERNMUX_LAB_CROWD_HTTP_SCRIPTS_H_
#define BITTERNMUX_LAB_CROWD_HTTP_SCRIPTS_H_

#include <cstddef>
#include <random>
#include <string>
#include <vector>

#include "lab/crowd/script.h"

namespace bitternmux::lab::crowd {

using Random = std::mt19937;

// The requests that a listener takes.
struct HttpTarget {
  std::string method = "POST", path = "/", host = "desk.example";
  std::string headers;                     // further lines, each with its end
  std::size_t max_body_bytes = 1'048'576;  // of a legal request
  std::size_t max_head_bytes = 16'384;
};

using HttpKind = Script (*)(const HttpTarget&, Random&);

// ---- Heads, of legal size and short of their end ----
Script ManyShortHeaders(const HttpTarget& target, Random& random);
Script OddHeaders(const HttpTarget& target, Random& random);
Script LongHeader(const HttpTarget& target, Random& random);
// One byte a round, so that a timer that each byte restarts never ends.
Script DrippedHead(const HttpTarget& target, Random& random);

// ---- Bodies of legal size, short of their end ----
Script AnnouncedBody(const HttpTarget& target, Random& random);
Script LargeChunks(const HttpTarget& target, Random& random);
Script SmallChunks(const HttpTarget& target, Random& random);
// A small part at once, the rest one byte a round.
Script DrippedBody(const HttpTarget& target, Random& random);

// ---- Bodies over the limit ----
Script AnnouncedOver(const HttpTarget& target, Random& random);
Script EndlessChunks(const HttpTarget& target, Random& random);
Script EnormousChunk(const HttpTarget& target, Random& random);

// ---- Whole requests whose answers nobody reads, one behind the other ----
Script NeverReads(const HttpTarget& target, Random& random);

// ---- Connections ----
Script Silent(const HttpTarget& target, Random& random);
Script FirstBytes(const HttpTarget& target, Random& random);
// Sends a part of a request, goes by a reset and comes again.
Script Leaves(const HttpTarget& target, Random& random);

const std::vector<HttpKind>& HeadKinds();
const std::vector<HttpKind>& BodyKinds();
const std::vector<HttpKind>& OverLimitKinds();
const std::vector<HttpKind>& ConnectionKinds();

// `count` scripts of these kinds in turn, each drawn anew.
std::vector<Script> Draw(const std::vector<HttpKind>& kinds, const HttpTarget& target, std::size_t count,
                         Random& random);

}  // namespace bitternmux::lab::crowd

#endif  // BITTERNMUX_LAB_CROWD_HTTP_SCRIPTS_H_
