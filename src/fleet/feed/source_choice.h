// When a subscriber leaves its source for another one: a decider of the agent.
//
// A source is left when it falls silent, when the link to it breaks or does not come up, when it has not been
// in contact with the owner of the configuration for a second (half of one if it never was since it was
// chosen), and when it holds less than the subscriber for as long: it has missed what the subscriber has
// heard.
#ifndef BITTERNMUX_SRC_FLEET_FEED_SOURCE_CHOICE_H_
#define BITTERNMUX_SRC_FLEET_FEED_SOURCE_CHOICE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "fleet/feed/feed.h"

namespace bitternmux::fleet {

class SourceChoice {
 public:
  static constexpr double kSilentMs = 1000;     // a source that is not heard for so long is left
  static constexpr double kStaleMs = 1000;      // and so is one that is not fresh for so long,
  static constexpr double kNeverFreshMs = 450;  // or that never was since it was chosen

  // `start`: subscribers begin at different sources.
  explicit SourceChoice(std::size_t start) : next_(start) {}

  // The next of these addresses; they are not empty.
  const std::string& Choose(double now_ms, const std::vector<std::string>& addresses);
  void Heard(double now_ms) { heard_ms_ = now_ms; }
  // True: the source is in contact with the owner now, and was not before.
  bool Beat(double now_ms, const FeedBeat& beat, const FeedState& held);
  // A dial to the source has come to nothing.
  void Failed() { heard_ms_ = kNeverMs; }
  bool ShouldLeave(double now_ms) const;
  bool Fresh(double now_ms) const { return fresh_ && now_ms - fresh_ms_ < kStaleMs; }
  // The source holds less than the subscriber, as its last beat said.
  bool behind() const { return behind_; }

 private:
  std::size_t next_;
  double heard_ms_ = 0, fresh_ms_ = 0;
  bool fresh_ = false;
  bool was_fresh_ = false;  // since it was chosen
  bool behind_ = false;
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_FEED_SOURCE_CHOICE_H_
