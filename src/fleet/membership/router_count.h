// How many routers the fleet has, for shares of limits that hold over all of them: a decider.
//
// Each control machine tells the others how many agents it feeds. The count is the sum of what was told
// lately, and falls only after kHoldMs: a share that is too small costs little, one that is too large breaks
// a limit, and machines that restart or move from one control machine to another must not look as if they
// were gone.
//
// Bounds: a row for each control machine that was heard of; one that is silent for kHoldMs goes.
#ifndef BITTERNMUX_SRC_FLEET_MEMBERSHIP_ROUTER_COUNT_H_
#define BITTERNMUX_SRC_FLEET_MEMBERSHIP_ROUTER_COUNT_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace bitternmux::fleet {

class RouterCount {
 public:
  static constexpr double kHoldMs = 30'000;
  static constexpr double kToldMs = 3'000;  // for which what a machine told is counted

  // `from`: a control machine's address, this one's own included.
  void Told(double now_ms, const std::string& from, std::uint32_t routers);
  // The most that there were at any moment of the last kHoldMs, as far as is known.
  std::uint32_t Total(double now_ms);

 private:
  struct Row {
    std::uint32_t routers = 0;
    double told_ms = 0;
  };
  std::map<std::string, Row> rows_;
  std::deque<std::pair<double, std::uint32_t>> most_;  // falling counts, the oldest first
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_MEMBERSHIP_ROUTER_COUNT_H_
