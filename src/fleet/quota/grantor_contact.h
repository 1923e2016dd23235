// Tells whether a quota grantor answers and, while it is silent, until when it may be expected back; pure
// decision logic without I/O.
//
// The grantor is the owner of its shard. If it is lost, the replica group elects a successor within a time
// that depends on the machines, the links and the disks; it is learned from the silences that ended. A
// silence that lasts longer says that this router is the one that is cut off: waiting on is no use then, and
// another router may reach the grantor. If the grantor was not asked for a while, an old silence no longer
// says that it is away; an answer that comes without delay is waited for then.
//
// State: fixed. Times in milliseconds on one clock. Not thread-safe.
#ifndef BITTERNMUX_SRC_FLEET_QUOTA_GRANTOR_CONTACT_H_
#define BITTERNMUX_SRC_FLEET_QUOTA_GRANTOR_CONTACT_H_

#include <optional>

namespace bitternmux::fleet {

class GrantorContact {
 public:
  // Time without an answer from which on the grantor counts as silent: many round trips.
  static constexpr double kSilentMs = 100;
  // Time in which a lost grantor is replaced, until silences have been observed.
  static constexpr double kPriorOutageMs = 1000;

  // A request is sent to the grantor.
  void Asked(double now_ms);
  void Answered(double now_ms);

  // When the grantor begins to count as silent if it does not answer; none: no request is unanswered.
  std::optional<double> SilentFromMs() const;
  bool IsSilent(double now_ms) const;
  // Until when the answer that is outstanding is worth waiting for; none: no request is unanswered.
  std::optional<double> ExpectedBackMs() const;

 private:
  static constexpr double kStaleMs = 1000;         // without a request, after which a silence is old
  static constexpr double kOutageWeight = 0.25;    // of a new outage in the mean
  static constexpr double kMaxOutageMs = 3000;     // longer ones are this router's own
  static constexpr double kOutageTolerance = 1.5;  // of the mean: outages differ

  // When the first request since its last answer was sent, or since the silence was found to be old.
  std::optional<double> unanswered_since_ms_;
  double asked_ms_ = 0;            // when the last request was sent
  bool successor_is_due_ = false;  // an earlier part of the silence has lasted until then
  double mean_outage_ms_ = kPriorOutageMs;
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_QUOTA_GRANTOR_CONTACT_H_
