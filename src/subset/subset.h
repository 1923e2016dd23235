// Which of a fleet's hosts an instance ranks for a request: a lasting part that differs between instances.
//
// Where every instance ranks every host, all rank the same few first: what one does is harmless, all of them
// together crowd these and leave the others idle, and each pays for a connection to each host. So an instance
// has an order of its own of all hosts, in which it goes down no further than it needs. The order is drawn
// host by host: hosts that come and go move no other, and instances that come and go move none at all. Of
// whatever drops out (gone, ill, cold, full), the next in the order takes the place at once.
//
// Does no I/O, reads no clock and draws no chance after the seed.
#ifndef BITTERNMUX_SRC_SUBSET_SUBSET_H_
#define BITTERNMUX_SRC_SUBSET_SUBSET_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cartspring {

class Subset {
 public:
  explicit Subset(std::uint64_t seed) : seed_(seed) {}

  // A host's place in the own order, the least comes first: an exponential draw of the instance's and the
  // host's own, so that each host is before another as often as their shares (above 0) have it.
  double SortKey(const std::string& host, double share) const {
    const std::uint64_t drawn = Mix(seed_ ^ Mix(std::hash<std::string>()(host)));
    return -std::log((static_cast<double>(drawn >> 11) + 0.5) * 0x1p-53) / share;
  }

  // How many hosts an instance ranks: a few, but no fewer than let each host be ranked by a few instances.
  // A small tier ranks all, a larger one less the larger it is.
  static std::size_t SizeFor(std::size_t hosts, int instances) {
    const double shared = kMinInstancesPerHost * static_cast<double>(hosts) / std::max(1, instances);
    return std::min(hosts, static_cast<std::size_t>(std::ceil(std::max(kMinInstancesPerHost, shared))));
  }

 private:
  static constexpr double kMinInstancesPerHost = 3;

  static std::uint64_t Mix(std::uint64_t z) {
    z = (z ^ (z >> 33)) * 0xff51afd7ed558ccdu;
    z = (z ^ (z >> 33)) * 0xc4ceb9fe1a85ec53u;
    return z ^ (z >> 33);
  }

  std::uint64_t seed_;
};

}  // namespace cartspring

#endif  // BITTERNMUX_SRC_SUBSET_SUBSET_H_
