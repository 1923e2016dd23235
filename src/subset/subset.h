// Which hosts of a fleet an instance ranks for a request: a stable subset that differs between instances.
//
// If every instance ranked every host, all would rank the same few first. One instance does no harm that way,
// but all of them together overload these hosts and leave the others idle, and each instance pays for a
// connection to every host. So each instance has its own order of all hosts and uses no more of its beginning
// than it needs. The sort key of each host is independent: hosts that join or leave do not move other hosts,
// and instances that join or leave change nothing. If a host drops out (gone, unhealthy, cold or full), the
// next one in the order replaces it at once.
//
// Does no I/O, reads no clock and generates no random numbers beyond the given seed.
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

  // The sort key of `host` in this instance's order, smallest first: an exponential variate derived from the
  // instance's seed and the host's name. Over all instances a host precedes another with a probability in
  // proportion to their shares (`share` is above 0).
  double SortKey(const std::string& host, double share) const {
    const std::uint64_t mixed = Mix(seed_ ^ Mix(std::hash<std::string>()(host)));
    return -std::log((static_cast<double>(mixed >> 11) + 0.5) * 0x1p-53) / share;
  }

  // How many hosts an instance ranks: a few, and enough that each host is ranked by a few instances on
  // average. In a small tier each instance ranks all hosts; the larger the tier, the fewer.
  static std::size_t SizeFor(std::size_t hosts, int instances) {
    const double per_instance = kMinDegree * static_cast<double>(hosts) / std::max(1, instances);
    return std::min(hosts, static_cast<std::size_t>(std::ceil(std::max(kMinDegree, per_instance))));
  }

 private:
  // Minimum number of hosts per instance and, on average, of instances per host.
  static constexpr double kMinDegree = 3;

  static std::uint64_t Mix(std::uint64_t z) {
    z = (z ^ (z >> 33)) * 0xff51afd7ed558ccdu;
    z = (z ^ (z >> 33)) * 0xc4ceb9fe1a85ec53u;
    return z ^ (z >> 33);
  }

  std::uint64_t seed_;
};

}  // namespace cartspring

#endif  // BITTERNMUX_SRC_SUBSET_SUBSET_H_
