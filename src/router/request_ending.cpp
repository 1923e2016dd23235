// The end of a request: final response, metrics, log entry and quota refund.
#include <algorithm>

#include "events/fleet_catalogue.h"
#include "router/caller_time.h"
#include "router/request_flow.h"
#include "router/request_headers.h"

namespace bitternmux::router {
void RequestFlow::Refuse(std::optional<double> retry_ms, EndReason reason) {
  if (stream_started_) return Abort(EndReason::kStreamBroke);
  if (may_have_run_ && !route_->Repeatable()) return Respond(502, "it may have run", reason);
  http::Headers headers = {{"X-Request-Id", request_id_}};
  if (retry_ms) {
    const double spread = std::uniform_real_distribution<double>(0, 1)(state_.random);
    const double advised_ms = RetryAfterMs(*retry_ms, spread, RemainingMs(SteadyNowMs()));
    headers.emplace_back("Retry-After", FormatSeconds(advised_ms));
  }
  if (const auto responder = responder_.lock()) responder->Respond(503, headers, "");
  Finish(reason);
}

void RequestFlow::Respond(int status, std::string_view why, EndReason reason) {
  if (const auto responder = responder_.lock()) {
    responder->Respond(status, {{"X-Request-Id", request_id_}, {"Content-Type", "text/plain"}}, why);
  }
  Finish(reason);
}

// Aborts the client's stream such that it does not look complete.
void RequestFlow::Abort(EndReason reason) {
  if (const auto responder = responder_.lock()) responder->Abort();
  Finish(reason);
}

void RequestFlow::OnDeadline() {
  if (phase_ == Phase::kFinished) return;
  if (attempt_) {
    Upstream::Cancel(attempt_->connection);
    may_have_run_ = true;
    const Attempt attempt = TakeAttempt();
    FinishAttempt(attempt, attempt.response_started ? ServerOutcome::kAbandoned : ServerOutcome::kFailed);
  }
  if (stream_started_) return Abort(EndReason::kOutOfTime);
  may_have_run_ ? Respond(504, "out of time", EndReason::kOutOfTime)
                : Refuse(std::nullopt, EndReason::kNoTime);
}

void RequestFlow::ClientDisconnected() {
  if (phase_ == Phase::kFinished) return;
  if (attempt_) {
    Upstream::Cancel(attempt_->connection);
    may_have_run_ = true;
    FinishAttempt(TakeAttempt(), ServerOutcome::kAbandoned);
  }
  Finish(EndReason::kClientLeft);
}

void RequestFlow::RecordEnd(EndReason reason) {
  state_.metrics.CountEnded(reason);
  const bool late = route_ != nullptr && first_event_ms_ > route_->target_latency_ms;
  if (reason == EndReason::kServed && late) state_.metrics.CountLate();
  state_.events.Write(fleet_events::kRequestEnded, {{"id", request_id_},
                                                    {"reason", NameOf(reason)},
                                                    {"route", route_ != nullptr ? route_->path_prefix : ""},
                                                    {"tokens_in", prompt_ ? prompt_->tokens_in : 0.0},
                                                    {"cost", cost_},
                                                    {"sends", attempt_count_},
                                                    {"first_event_ms", first_event_ms_},
                                                    {"took_ms", SteadyNowMs() - started_ms_}});
}

void RequestFlow::Finish(EndReason reason) {
  if (phase_ == Phase::kFinished) return;
  phase_ = Phase::kFinished;
  timer_.cancel();
  RecordEnd(reason);
  if (state_.waiting_for_quota.erase(request_number_) > 0)
    state_.quota.Withdraw(tenant_->name, request_number_);
  if (!charged_ || may_have_run_ || tenant_ == nullptr) return;
  state_.quota.GiveBack(SteadyNowMs(), tenant_->name, charged_ms_, cost_);
}

}  // namespace bitternmux::router
