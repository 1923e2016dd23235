// One start, or a start after a start after a start: how long this one holds back before it takes anything
// on.
//
// A start that did not get to *full* before the next one counts as failed. Up to kFree of them cost nothing:
// a release, or a kill of the whole fleet and one more, must not. Beyond that each doubles the time held
// back, up to kMostMs. Forgotten are all starts once one was full for kForgetMs; one that was told to stop;
// those older than kAgeMs; and those that lie ahead, since a clock that went back must not lock a sidecar
// out.
//
// Does no I/O and reads no clock. Unix times in ms. State: kMost starts, the oldest is forgotten first.
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

  // What Text gave before; none where it is anything else.
  static std::optional<StartHistory> Parse(std::string_view text);
  std::string Serialize() const;

  // This life begins. How long it is to hold back, in ms.
  std::int64_t Begin(std::int64_t unix_ms);
  // Of those before it, so many failed, as of Begin.
  std::size_t failed() const { return failed_; }
  // The life that began then has got to full.
  void Full(std::int64_t began);
  // It has been full for kForgetMs: nothing up to then counts any more.
  void Forget(std::int64_t began);
  // It was told to stop, and its end is no failure.
  void Stopped(std::int64_t began);

 private:
  struct Start {
    std::int64_t unix_ms = 0;
    bool full = false;
  };

  std::vector<Start> starts_;  // the oldest first
  std::size_t failed_ = 0;
};

}  // namespace bitternmux

#endif  // BITTERNMUX_SRC_STARTUP_START_HISTORY_H_
