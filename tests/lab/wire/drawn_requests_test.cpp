#include "lab/wire_play/drawn_requests.h"

#include <catch2/catch.hpp>
#include <string>

namespace bitternmux::lab::wire {

TEST_CASE("drawn requests: no rule is broken, whatever servers and clients do") {
  constexpr std::uint64_t kSeeds = 200;
  std::size_t runs = 0, served = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const DrawnResult result = PlayDrawnRequests(seed);
    std::string found;
    for (const Finding& finding : result.findings)
      found += std::string(NameOf(finding.rule)) + " " + finding.request_id + ": " + finding.what + "\n";
    CAPTURE(seed);
    CHECK(found == "");
    CHECK(result.not_continued == 0);
    runs += result.runs;
    served += result.served;
  }
  // The seeds are what they are meant to be: more runs than requests, and many requests that are served.
  CHECK(runs > kSeeds * kDrawnRequests);
  CHECK(served > kSeeds * kDrawnRequests / 3);
}

}  // namespace bitternmux::lab::wire
