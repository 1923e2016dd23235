// A text as changes of an earlier one: copies of its parts, and what is new. The texts are JSON, which is cut
// at the ends of objects: a configuration in which a few routes change costs little more than these.
#ifndef BITTERNMUX_SRC_FLEET_DELTA_TEXT_DELTA_H_
#define BITTERNMUX_SRC_FLEET_DELTA_TEXT_DELTA_H_

#include <optional>
#include <string>
#include <string_view>

namespace bitternmux::fleet {

std::string MakeDelta(std::string_view base, std::string_view text);

// None if the delta was not made from that base.
std::optional<std::string> ApplyDelta(std::string_view base, std::string_view delta);

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_DELTA_TEXT_DELTA_H_
