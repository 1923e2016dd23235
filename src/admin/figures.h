// The figures that operators read, in the words of their page.
#ifndef BITTERNMUX_SRC_ADMIN_FIGURES_H_
#define BITTERNMUX_SRC_ADMIN_FIGURES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "cartspring/balancer.h"
#include "core/stats.h"

namespace bitternmux::admin {

// What stands now, beside what was counted.
struct Standing {
  std::size_t outstanding = 0;  // jobs taken and not ended
  std::size_t discovered = 0;   // execute nodes in the list
  std::size_t ejected = 0;      // listed ones that are avoided
  std::uint64_t sighup_applied = 0, sighup_rejected = 0;
  std::string_view state;  // from its start to full service
  double state_ms = 0;     // in it so far
};

// The state's name, for the door and the log.
std::string_view NameOf(cartspring::ServiceState state);

// One JSON object.
std::string WriteFigures(const Stats& stats, const Standing& standing);

}  // namespace bitternmux::admin

#endif  // BITTERNMUX_SRC_ADMIN_FIGURES_H_
