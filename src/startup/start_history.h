// Records the starts of a sidecar over several processes, and decides from them how long a new process waits
// before it accepts any work. This limits the load of a crash loop.
//
// A start that did not reach *full* before the next start counts as failed. Up to kFreeFailures failures
// cause no delay, because a release, or a kill of the complete fleet followed by one more kill, must not.
// Each further failure doubles the delay, up to kMaxDelayMs. These starts are dropped:
// - all starts up to one that has stayed *full* for kResetAfterFullMs;
// - a start that was stopped on request;
// - starts older than kMaxAgeMs;
// - starts in the future: a clock that went back must not lock a sidecar out.
//
// Does no I/O and reads no clock. Unix times in ms. Memory is bounded by kMaxStarts starts; the oldest is
// dropped first.
#ifndef BITTERNMUX_SRC_STARTUP_START_HISTORY_H_
#define BITTERNMUX_SRC_STARTUP_START_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bitternmux {

class StartHistory {
 public:
  static constexpr std::size_t kMaxStarts = 16, kFreeFailures = 2;
  static constexpr std::int64_t kFirstDelayMs = 500, kMaxDelayMs = 16'000, kResetAfterFullMs = 60'000,
                                kMaxAgeMs = 600'000;

  // Parses the output of Serialize; nullopt for any other text.
  static std::optional<StartHistory> Parse(std::string_view text);
  std::string Serialize() const;

  // Records the start of this process. Returns for how long it must wait before it accepts work, in ms.
  std::int64_t Begin(std::int64_t unix_ms);
  // Number of earlier starts that counted as failed when Begin was called.
  std::size_t failed() const { return failed_; }
  // The process that started at `start_unix_ms` has reached *full*.
  void Full(std::int64_t start_unix_ms);
  // That process has been *full* for kResetAfterFullMs: drops its start and all earlier ones.
  void Forget(std::int64_t start_unix_ms);
  // That process was stopped on request, so its end is not a failure.
  void Stopped(std::int64_t start_unix_ms);

 private:
  struct Start {
    std::int64_t unix_ms = 0;
    bool full = false;
  };

  std::vector<Start> starts_;  // oldest first
  std::size_t failed_ = 0;
};

}  // namespace bitternmux

#endif  // BITTERNMUX_SRC_STARTUP_START_HISTORY_H_
