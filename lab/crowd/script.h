// What one hostile client sends on one connection, as a value.
#ifndef BITTERNMUX_LAB_CROWD_SCRIPT_H_
#define BITTERNMUX_LAB_CROWD_SCRIPT_H_

#include <cstddef>
#include <string>

namespace bitternmux::lab::crowd {

// `opening`, then `repeated` as often as `repeats` says, then `ending`. The connection stays open behind
// that.
struct Script {
  enum class Pace { kAtOnce, kOneByteARound };

  std::string name;  // of its kind
  std::string opening;
  std::string repeated;
  std::size_t repeats = 0;
  std::string ending;
  bool reads = true;  // takes what is answered, and drops it
  Pace pace = Pace::kAtOnce;
  // Closes with a reset once all is sent, and comes again.
  bool leaves = false;

  std::size_t size() const { return opening.size() + repeated.size() * repeats + ending.size(); }
  // At most `most` of its bytes from `offset` on.
  std::string Bytes(std::size_t offset, std::size_t most) const;
};

}  // namespace bitternmux::lab::crowd

#endif  // BITTERNMUX_LAB_CROWD_SCRIPT_H_
