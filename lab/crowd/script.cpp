#include "lab/crowd/script.h"

#include <algorithm>

namespace bitternmux::lab::crowd {

std::string Script::Bytes(std::size_t offset, std::size_t most) const {
  std::string bytes;
  const std::size_t repeated_bytes = repeated.size() * repeats;
  while (bytes.size() < most && offset < size()) {
    const std::size_t room = most - bytes.size();
    std::size_t taken = 0;
    if (offset < opening.size()) {
      taken = std::min(room, opening.size() - offset);
      bytes.append(opening, offset, taken);
    } else if (offset < opening.size() + repeated_bytes) {
      const std::size_t within = (offset - opening.size()) % repeated.size();
      taken = std::min(room, repeated.size() - within);
      bytes.append(repeated, within, taken);
    } else {
      const std::size_t within = offset - opening.size() - repeated_bytes;
      taken = std::min(room, ending.size() - within);
      bytes.append(ending, within, taken);
    }
    offset += taken;
  }
  return bytes;
}

}  // namespace bitternmux::lab::crowd
