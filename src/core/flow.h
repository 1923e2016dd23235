// A body on its way from one connection to another, in pieces: a bounded queue with room told back.
//
// Without I/O: one side puts what it has read, the other takes what it can write. Each sets the call that
// wakes it, which must not act at once but later in a turn of its own, since it comes from within the other
// side's call.
#ifndef BITTERNMUX_SRC_CORE_FLOW_H_
#define BITTERNMUX_SRC_CORE_FLOW_H_

#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace bitternmux {

class Flow {
 public:
  // `most`: bytes from which on the reading side should pause.
  explicit Flow(std::size_t most) : most_(most) {}

  // ---- The side that reads ----

  void Put(std::string bytes) {
    if (abandoned_ || bytes.empty()) return;
    bytes_.empty() ? bytes_.swap(bytes) : void(bytes_.append(bytes));
    if (on_bytes) on_bytes();
  }
  std::size_t most() const { return most_; }
  bool Full() const { return bytes_.size() >= most_; }
  // Nothing more comes; `whole`: all of it came.
  void End(bool whole) {
    if (std::exchange(ended_, true)) return;
    whole_ = whole;
    if (on_bytes) on_bytes();
  }
  std::function<void()> on_room;  // it was full and is no longer

  // ---- The side that writes ----

  // All that is there.
  std::string Take() {
    const bool full = Full();
    std::string out = std::exchange(bytes_, {});
    if (full && on_room) on_room();
    return out;
  }
  bool Ended() const { return ended_ && bytes_.empty(); }  // with nothing left to take
  bool Whole() const { return whole_; }
  // Nobody takes any more; what is put is dropped.
  void Abandon() {
    abandoned_ = true;
    on_bytes = nullptr;
    Take();
  }
  std::function<void()> on_bytes;  // there is something to take, or the end

 private:
  const std::size_t most_;
  std::string bytes_;
  bool ended_ = false, whole_ = false, abandoned_ = false;
};

}  // namespace bitternmux

#endif  // BITTERNMUX_SRC_CORE_FLOW_H_
