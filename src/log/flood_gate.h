// Bounds how often each event is told, since a peer can make some of them happen as often as it likes. Each
// event has a bucket of tokens of its own (RFC 2697's idea in its simplest form): kBurst at once, then
// kPerSecond. What is left out is counted, and the count is told.
//
// No I/O, no clock. State: one row for each event ever told, and their names are constants of the program.
#ifndef BITTERNMUX_SRC_LOG_FLOOD_GATE_H_
#define BITTERNMUX_SRC_LOG_FLOOD_GATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

namespace bitternmux::log {

class FloodGate {
 public:
  static constexpr double kBurst = 10;
  static constexpr double kEachMs = 10'000;

  // May this event be told? If so: how many of its name were left out since the last that was.
  std::optional<std::uint64_t> Pass(std::string_view event, double now_ms);
  // An event that has been quiet for long enough, with how many were left out before that: due now and then,
  // so that a count is told even if no further event of the name comes. Nothing: none is due.
  std::optional<std::pair<std::string_view, std::uint64_t>> Settle(double now_ms);

 private:
  struct Bucket {
    double tokens = kBurst;
    double filled_ms = 0;
    std::uint64_t left_out = 0;
  };

  static void Fill(Bucket& bucket, double now_ms);

  std::map<std::string_view, Bucket> buckets_;
};

}  // namespace bitternmux::log

#endif  // BITTERNMUX_SRC_LOG_FLOOD_GATE_H_
