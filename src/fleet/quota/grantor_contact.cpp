#include "fleet/quota/grantor_contact.h"

namespace bitternmux::fleet {

void GrantorContact::Asked(double now_ms) {
  const bool is_stale = unanswered_since_ms_ && now_ms - asked_ms_ > kStaleMs;
  if (is_stale) successor_is_due_ = now_ms >= *ExpectedBackMs();
  if (!unanswered_since_ms_ || is_stale) unanswered_since_ms_ = now_ms;
  asked_ms_ = now_ms;
}

void GrantorContact::Answered(double now_ms) {
  if (IsSilent(now_ms)) {
    const double outage_ms = now_ms - *unanswered_since_ms_;
    if (outage_ms <= kMaxOutageMs) mean_outage_ms_ += kOutageWeight * (outage_ms - mean_outage_ms_);
  }
  unanswered_since_ms_.reset();
  successor_is_due_ = false;
}

std::optional<double> GrantorContact::SilentFromMs() const {
  if (!unanswered_since_ms_) return std::nullopt;
  return *unanswered_since_ms_ + kSilentMs;
}

bool GrantorContact::IsSilent(double now_ms) const {
  const std::optional<double> silent_from_ms = SilentFromMs();
  return silent_from_ms && now_ms >= *silent_from_ms;
}

std::optional<double> GrantorContact::ExpectedBackMs() const {
  if (!unanswered_since_ms_) return std::nullopt;
  const double outage_ms = successor_is_due_ ? 0 : kOutageTolerance * mean_outage_ms_;
  return *unanswered_since_ms_ + kSilentMs + outage_ms;
}

}  // namespace bitternmux::fleet
