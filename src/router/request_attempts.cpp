// Sends a request to one server after another and handles the outcome of each attempt.
#include <algorithm>
#include <cmath>
#include <utility>

#include "events/fleet_catalogue.h"
#include "router/caller_time.h"
#include "router/request_flow.h"
#include "router/request_headers.h"

namespace bitternmux::router {
namespace {

constexpr int kMaxAttempts = 4;        // per request, including rejected attempts
constexpr double kMinRemainingMs = 5;  // no attempt is made with less time left
// Buffered for a client before reading from the server pauses.
constexpr std::size_t kMaxUnsentBytes = 256 * 1024;
// Of a response that is no stream, or of an event of a stream, held until it is complete. A larger one is
// forwarded as it arrives.
constexpr std::size_t kMaxBufferedBytes = 256 * 1024;
constexpr int kLowestPriority = 9;   // that servers distinguish
constexpr int kRoutePriorities = 3;  // of them told apart within a tenant's priority

EndReason EndReasonFor(ServerChoice::NoChoiceReason reason) {
  switch (reason) {
    case ServerChoice::NoChoiceReason::kAllCold:
      return EndReason::kServersCold;
    case ServerChoice::NoChoiceReason::kAllBusy:
      return EndReason::kServersBusy;
    case ServerChoice::NoChoiceReason::kNone:
    case ServerChoice::NoChoiceReason::kNoServer:
      break;
  }
  return EndReason::kNoServer;
}

}  // namespace

void RequestFlow::Dispatch() {
  const double now_ms = SteadyNowMs();
  if (RemainingMs(now_ms) < kMinRemainingMs) return Refuse(std::nullopt, EndReason::kNoTime);
  ServerQuery query;
  query.service = service_;
  query.prompt = prompt_ ? &*prompt_ : nullptr;
  query.excluded = tried_servers_;
  query.repeatable = route_->Repeatable();
  const ServerChoice::Answer answer = state_.choice.Choose(now_ms, query);
  answer.chosen ? SendTo(*answer.chosen) : Refuse(answer.retry_ms, EndReasonFor(answer.no_choice_reason));
}

// By the tenant's priority first, then by the route's.
int RequestFlow::PriorityLevel() const {
  const int tenant_priority = tenant_ != nullptr ? tenant_->priority : 0;
  const int level = kRoutePriorities * tenant_priority + std::min(route_->priority, kRoutePriorities - 1);
  return std::clamp(level, 0, kLowestPriority);
}

std::string RequestFlow::HeadFor(const ServerChoice::Chosen& chosen) const {
  http::Headers headers;
  headers.emplace_back("Host", std::string(message_.Find("host").value_or("")));
  headers.emplace_back("X-Request-Id", request_id_);
  for (const auto& [name, value] : message_.headers) {
    const bool resumes = name == "last-event-id" && !position_.last_id().empty();
    if (IsForwarded(name) && !resumes) headers.emplace_back(name, value);
  }
  if (!position_.last_id().empty()) headers.emplace_back("Last-Event-Id", position_.last_id());
  const double left_ms = std::max(1.0, std::floor(RemainingMs(SteadyNowMs())));
  headers.emplace_back("X-Deadline-Ms", std::to_string(static_cast<std::int64_t>(left_ms)));
  headers.emplace_back("X-Expected-Instance", chosen.id);
  if (tenant_ != nullptr) headers.emplace_back("X-Tenant", tenant_->name);
  if (prompt_) headers.emplace_back("Priority", std::to_string(PriorityLevel()));
  return http::WriteRequestHead(message_.method, message_.target, headers, body_->size());
}

void RequestFlow::SendTo(const ServerChoice::Chosen& chosen) {
  phase_ = Phase::kSent;
  ++attempt_count_;
  tried_servers_.push_back(chosen.id);
  position_.BeginAttempt();
  Attempt& attempt = attempt_.emplace();
  attempt.server = chosen;
  attempt.sent_ms = SteadyNowMs();
  state_.choice.OnSent(attempt.sent_ms, chosen.id, chosen, prompt_ ? &*prompt_ : nullptr);
  const double spare_ms = SpareWaitMs(RemainingMs(attempt.sent_ms), chosen.expected_ms);
  attempt.connection = state_.upstream.Begin(
      {chosen.id, chosen.address, request_id_, HeadFor(chosen), body_, chosen.zone_cut_off, spare_ms},
      shared_from_this());
  state_.loads_changed();
}

Attempt RequestFlow::TakeAttempt() {
  Attempt attempt = std::move(*attempt_);
  attempt_.reset();
  return attempt;
}

void RequestFlow::FinishAttempt(const Attempt& attempt, ServerOutcome outcome) {
  const ServerChoice::Chosen& server = attempt.server;
  state_.choice.OnEnded(SteadyNowMs(), server.id, attempt.response_started, server.uncached_tokens, outcome);
  state_.loads_changed();
  state_.events.Write(fleet_events::kServerTrouble, {{"id", request_id_},
                                                     {"attempt", attempt_count_},
                                                     {"server", server.id},
                                                     {"outcome", static_cast<int>(outcome)}});
}

void RequestFlow::OnConnected(double dial_ms) {
  if (attempt_) state_.choice.OnConnected(attempt_->server.id, dial_ms);
}

void RequestFlow::OnHead(const http::Message& head) {
  Attempt& attempt = *attempt_;
  if (const auto load = ParseLoadReport(head))
    state_.choice.OnLoadReport(SteadyNowMs(), attempt.server.id, *load);
  attempt.head = head;
  attempt.head.body.clear();
  if (head.status == 421) {
    attempt.answer = Attempt::Answer::kMisdirected;
  } else if (head.Find("x-not-executed")) {
    attempt.answer = Attempt::Answer::kNotExecuted;
  } else if (head.status / 100 == 2 && head.Find("x-response-seal") &&
             route_->type == fleet::RouteType::kStreaming) {
    attempt.answer = Attempt::Answer::kStream;
  } else {
    attempt.answer = Attempt::Answer::kBuffered;
  }
}

void RequestFlow::OnBody(std::string bytes) {
  Attempt& attempt = *attempt_;
  const auto responder = responder_.lock();
  if (attempt.answer == Attempt::Answer::kPassedOn) return ForwardPiece(bytes);
  if (attempt.answer == Attempt::Answer::kUnheldStream) return ForwardUnheld(bytes);
  if (attempt.answer == Attempt::Answer::kBuffered) {
    attempt.body += bytes;
    if (attempt.body.size() > kMaxBufferedBytes) return PassOnLargeResponse();
    if (responder) responder->HoldAnswer(attempt.body.capacity());
    return;
  }
  if (attempt.answer != Attempt::Answer::kStream) return;  // nobody reads why it was not executed
  const std::string events = attempt.events.Feed(bytes);
  const bool too_large = attempt.events.incomplete_bytes() > kMaxBufferedBytes;
  if (responder) responder->HoldAnswer(too_large ? 0 : attempt.events.incomplete_bytes());
  if (!events.empty() && !position_.Advance(events)) return RejectRepeatedEvents();
  if (!events.empty()) ForwardEvents(events);
  if (too_large) PassOnLargeEvent();
}

void RequestFlow::ForwardEvents(std::string_view events) {
  if (!attempt_->response_started) RecordFirstEvent();
  if (responder_.expired()) return;
  if (!stream_started_) ForwardHead(attempt_->head);
  ForwardPiece(events);
}

// The splitter tells at the end whether the last event is complete.
void RequestFlow::ForwardUnheld(std::string_view bytes) {
  attempt_->events.Feed(bytes);
  attempt_->events.TakePart();
  ForwardPiece(bytes);
}

void RequestFlow::ForwardPiece(std::string_view bytes) {
  const auto responder = responder_.lock();
  if (!responder) return;
  responder->SendChunk(bytes);
  if (responder->UnsentBytes() > kMaxUnsentBytes) Upstream::Pause(attempt_->connection, true);
}

bool RequestFlow::MustNotReturn(const http::Message& head) const {
  const bool unclear = head.status / 100 == 2 && !head.Find("x-response-seal");
  return unclear || (StatusMeansNotExecuted(head.status) && !route_->Repeatable());
}

// It is not repeated from here on, whatever its status.
void RequestFlow::PassOnLargeResponse() {
  Attempt& attempt = *attempt_;
  if (stream_started_ || MustNotReturn(attempt.head)) {
    const auto self = shared_from_this();
    Upstream::Cancel(attempt.connection);
    may_have_run_ = true;
    ++executions_;
    FinishAttempt(TakeAttempt(), ServerOutcome::kFailed);
    return stream_started_ ? OnStreamBroken()
                           : Respond(502, "the server's answer is none", EndReason::kUnclearAnswer);
  }
  if (attempt.head.status / 100 == 2) RecordFirstEvent();
  attempt.answer = Attempt::Answer::kPassedOn;
  ForwardHead(attempt.head);
  const std::string body = std::exchange(attempt.body, {});
  if (const auto responder = responder_.lock()) responder->HoldAnswer(0);
  ForwardPiece(body);
}

// The rest of the stream is forwarded as it arrives, and no other server continues it.
void RequestFlow::PassOnLargeEvent() {
  const std::string part = attempt_->events.TakePart();
  if (!position_.AdvancePart(part)) return RejectRepeatedEvents();
  attempt_->answer = Attempt::Answer::kUnheldStream;
  ForwardEvents(part);
}

// Records the first event of a stream, or a complete response that is not a stream.
void RequestFlow::RecordFirstEvent() {
  const double now_ms = SteadyNowMs();
  Attempt& attempt = *attempt_;
  const ServerChoice::Chosen& server = attempt.server;
  const double observed_ms = now_ms - attempt.sent_ms;
  attempt.response_started = true;
  state_.choice.OnFirstEvent(now_ms, server.id, server, observed_ms);
  state_.loads_changed();
  state_.metrics.RecordFirstEvent(server.expected_ms, observed_ms);
  if (first_event_ms_ == 0) first_event_ms_ = now_ms - started_ms_;
  state_.events.Write(fleet_events::kFirstEvent, {{"id", request_id_},
                                                  {"server", server.id},
                                                  {"weighed", server.ranked_servers},
                                                  {"uncached", server.uncached_tokens},
                                                  {"expected_ms", server.expected_ms},
                                                  {"came_ms", observed_ms}});
}

// Counts and logs an attempt that ended in the middle of an event.
void RequestFlow::RecordTornEvent(const Attempt& attempt, AttemptEnd end) {
  if (!attempt.events.inside_event()) return;
  const std::size_t bytes = attempt.events.incomplete_bytes();
  state_.metrics.CountTornAttempt(bytes);
  state_.events.Write(fleet_events::kAttemptTorn, {{"id", request_id_},
                                                   {"attempt", attempt_count_},
                                                   {"server", attempt.server.id},
                                                   {"bytes", bytes},
                                                   {"closed", end != AttemptEnd::kBroken},
                                                   {"last_id", position_.last_id()}});
}

// A server that should have continued a stream resent events that the client already has. The session may
// release its reference to this request during the call.
void RequestFlow::RejectRepeatedEvents() {
  const auto self = shared_from_this();
  Upstream::Cancel(attempt_->connection);
  const Attempt attempt = TakeAttempt();
  may_have_run_ = true;
  ++executions_;
  state_.metrics.CountUncontinuedStream();
  state_.events.Write(fleet_events::kStreamNotContinued, {{"id", request_id_},
                                                          {"attempt", attempt_count_},
                                                          {"server", attempt.server.id},
                                                          {"last_id", position_.last_id()}});
  FinishAttempt(attempt, ServerOutcome::kFailed);
  OnStreamBroken();
}

void RequestFlow::ClientDrained() {
  const auto responder = responder_.lock();
  if (attempt_ && responder && responder->UnsentBytes() <= kMaxUnsentBytes / 2)
    Upstream::Pause(attempt_->connection, false);
}

void RequestFlow::ForwardHead(const http::Message& head) {
  stream_started_ = true;
  if (const auto responder = responder_.lock()) responder->BeginStream(head.status, ReturnedHeaders(head));
}

void RequestFlow::OnEnd(AttemptEnd end) {
  if (phase_ == Phase::kFinished || !attempt_) return;
  const auto answer = attempt_->answer;
  const bool success = attempt_->head.status / 100 == 2 && attempt_->head.Find("x-response-seal");
  const bool complete = end == AttemptEnd::kComplete || end == AttemptEnd::kCompleteByClose;
  if (complete && answer == Attempt::Answer::kBuffered && success && !attempt_->response_started)
    RecordFirstEvent();
  Attempt attempt = TakeAttempt();
  RecordTornEvent(attempt, end);
  if (end == AttemptEnd::kDialTimedOut || end == AttemptEnd::kUnacknowledged)
    state_.choice.OnNoResponse(SteadyNowMs(), attempt.server.id, attempt.sent_ms);
  if (end == AttemptEnd::kUnreachable || end == AttemptEnd::kDialTimedOut) {
    FinishAttempt(attempt, ServerOutcome::kUnreachable);
    return OnAttemptFailed(/*reached=*/false);
  }
  if (answer == Attempt::Answer::kNotExecuted || answer == Attempt::Answer::kMisdirected) {
    FinishAttempt(attempt, answer == Attempt::Answer::kNotExecuted ? ServerOutcome::kRejected
                                                                   : ServerOutcome::kMisdirected);
    return OnNotExecuted(attempt.server.expected_ms);
  }
  may_have_run_ = true;
  ++executions_;
  const bool unheld = answer == Attempt::Answer::kPassedOn || answer == Attempt::Answer::kUnheldStream;
  // A server that dies in the middle of an event also closes its connection, which looks like a normal end.
  const bool torn = end == AttemptEnd::kCompleteByClose && attempt.events.inside_event();
  if (!complete || torn) {
    FinishAttempt(attempt, ServerOutcome::kFailed);
    if (unheld) return Abort(EndReason::kStreamBroke);
    return stream_started_ ? OnStreamBroken() : OnAttemptFailed(/*reached=*/true);
  }
  const bool forwarded = answer == Attempt::Answer::kStream || unheld;
  forwarded ? ForwardStreamEnd(attempt) : ForwardResponse(attempt);
}

// Forwards the regular end of a stream.
void RequestFlow::ForwardStreamEnd(Attempt& attempt) {
  const bool success = attempt.head.status / 100 == 2;
  FinishAttempt(attempt, success ? ServerOutcome::kAnswered : ServerOutcome::kFailed);
  const auto responder = responder_.lock();
  if (!responder) return Finish(EndReason::kClientLeft);
  if (!stream_started_) ForwardHead(attempt.head);
  responder->SendChunk(attempt.events.TakeRemainder());
  responder->EndStream();
  Finish(success ? EndReason::kServed : EndReason::kServerFailed);
}

// Forwards a complete response that is not a stream, or repeats the request if that is allowed.
void RequestFlow::ForwardResponse(const Attempt& attempt) {
  const http::Message& head = attempt.head;
  const bool sealed = head.Find("x-response-seal").has_value();
  const bool success = head.status / 100 == 2 && sealed;
  FinishAttempt(attempt, success || head.status / 100 == 4 || head.status == 504 ? ServerOutcome::kAnswered
                                                                                 : ServerOutcome::kFailed);
  if (!success && stream_started_) return OnStreamBroken();
  if (!success && head.status / 100 != 4 && route_->Repeatable() && MayRepeat(SteadyNowMs()))
    return Dispatch();
  const auto responder = responder_.lock();
  if (!responder) return Finish(EndReason::kClientLeft);
  if (MustNotReturn(head)) return Respond(502, "the server's answer is none", EndReason::kUnclearAnswer);
  responder->Respond(head.status, ReturnedHeaders(head), attempt.body);
  Finish(success ? EndReason::kServed : EndReason::kServerFailed);
}

// The server reported that it did not execute the request. `expected_ms`: the time in which it was expected
// to answer, after which it may accept a request again.
void RequestFlow::OnNotExecuted(double expected_ms) {
  const double now_ms = SteadyNowMs();
  const bool again = attempt_count_ < kMaxAttempts && RemainingMs(now_ms) > kMinRemainingMs &&
                     state_.budget.Spend(now_ms, service_);
  if (again) return Dispatch();
  Refuse(expected_ms, EndReason::kRejected);
}

// The attempt failed. If no server was reached, the request was not executed.
void RequestFlow::OnAttemptFailed(bool reached) {
  const double now_ms = SteadyNowMs();
  if (!reached) {
    if (attempt_count_ < kMaxAttempts && RemainingMs(now_ms) > kMinRemainingMs) return Dispatch();
    return Refuse(state_.choice.NextTrialMs(now_ms, service_), EndReason::kUnreachable);
  }
  if (route_->Repeatable() && MayRepeat(now_ms)) return Dispatch();
  Respond(502, "the server broke off", EndReason::kServerBroke);
}

// Whether a request that was or may have been executed may be sent to another server. Spends retry budget.
bool RequestFlow::MayRepeat(double now_ms) {
  return executions_ < route_->max_attempts && attempt_count_ < kMaxAttempts &&
         RemainingMs(now_ms) > kMinRemainingMs && state_.budget.Spend(now_ms, service_);
}

// A stream of which the client has received a part was cut off. If the route allows it, another server
// resumes the stream after the last complete event.
void RequestFlow::OnStreamBroken() {
  if (route_->resumable && position_.CanContinue() && MayRepeat(SteadyNowMs())) {
    state_.metrics.CountResumedStream();
    return Dispatch();
  }
  Abort(EndReason::kStreamBroke);
}

}  // namespace bitternmux::router
