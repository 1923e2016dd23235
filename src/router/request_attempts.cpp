// Sends a request to one server after another and handles the outcome of each attempt.
#include <algorithm>
#include <cmath>
#include <utility>

#include "events/fleet_catalogue.h"
#include "router/request_flow.h"
#include "router/request_headers.h"

namespace bitternmux::router {
namespace {

constexpr int kMostSends = 4;         // per request, including rejected attempts
constexpr double kLeastTimeMs = 5;    // no attempt is made with less time left
constexpr double kBusyRetryMs = 250;  // Retry-After when all servers are busy
constexpr std::size_t kMostUnsent =
    256 * 1024;  // buffered for a client before reading from the server pauses
constexpr int kUsualPriority = 5, kLeastUrgent = 9;

}  // namespace

void RequestFlow::Dispatch() {
  const double now_ms = SteadyNowMs();
  if (Left(now_ms) < kLeastTimeMs) return Refuse(0, EndReason::kNoTime);
  ServerAsk ask;
  ask.service = service_;
  ask.aim_ms = route_->target_latency_ms;
  ask.prompt = prompt_ ? &*prompt_ : nullptr;
  ask.excluded = excluded_;
  ask.repeatable = route_->Repeatable();
  const ServerChoice::Answer answer = state_.choice.Choose(now_ms, ask);
  answer.chosen ? SendTo(*answer.chosen) : RefuseUnchosen(answer);
}

// Refuses a request for which no server was chosen.
void RequestFlow::RefuseUnchosen(const ServerChoice::Answer& answer) {
  switch (answer.why) {
    case ServerChoice::Nothing::kAllCold:
      return Refuse(answer.retry_ms, EndReason::kServersCold);
    case ServerChoice::Nothing::kAllBusy:
      return Refuse(kBusyRetryMs, EndReason::kServersBusy);
    case ServerChoice::Nothing::kNone:
    case ServerChoice::Nothing::kNoServer:
      return Refuse(kBusyRetryMs, EndReason::kNoServer);
  }
}

int RequestFlow::PriorityLevel() const {
  const int level = tenant_ != nullptr ? tenant_->priority + route_->priority : route_->priority;
  return std::clamp(kUsualPriority - 2 + level, 0, kLeastUrgent);
}

std::string RequestFlow::HeadFor(const ServerChoice::Chosen& chosen) const {
  http::Headers headers;
  headers.emplace_back("Host", std::string(message_.Find("host").value_or("")));
  headers.emplace_back("X-Request-Id", request_id_);
  for (const auto& [name, value] : message_.headers) {
    const bool resumes = name == "last-event-id" && !position_.last_id().empty();
    if (IsPassedOn(name) && !resumes) headers.emplace_back(name, value);
  }
  if (!position_.last_id().empty()) headers.emplace_back("Last-Event-Id", position_.last_id());
  const double left_ms = std::max(1.0, std::floor(Left(SteadyNowMs())));
  headers.emplace_back("X-Deadline-Ms", std::to_string(static_cast<std::int64_t>(left_ms)));
  headers.emplace_back("X-Expected-Instance", chosen.id);
  if (tenant_ != nullptr) headers.emplace_back("X-Tenant", tenant_->name);
  if (prompt_) headers.emplace_back("Priority", std::to_string(PriorityLevel()));
  return http::WriteRequestHead(message_.method, message_.target, headers, body_->size());
}

void RequestFlow::SendTo(const ServerChoice::Chosen& chosen) {
  phase_ = Phase::kSent;
  ++sends_;
  excluded_.push_back(chosen.id);
  position_.BeginAttempt();
  Attempt& attempt = attempt_.emplace();
  attempt.server = chosen;
  attempt.sent_ms = SteadyNowMs();
  state_.choice.Sent(attempt.sent_ms, chosen.id, chosen, prompt_ ? &*prompt_ : nullptr);
  attempt.connection = state_.upstream.Begin(
      {chosen.id, chosen.address, request_id_, HeadFor(chosen), body_, chosen.zone_cut_off},
      shared_from_this());
  state_.loads_changed();
}

Attempt RequestFlow::TakeAttempt() {
  Attempt attempt = std::move(*attempt_);
  attempt_.reset();
  return attempt;
}

void RequestFlow::AttemptOver(const Attempt& attempt, ServerOutcome outcome) {
  const ServerChoice::Chosen& server = attempt.server;
  state_.choice.Ended(SteadyNowMs(), server.id, attempt.begun, server.uncached_tokens, outcome);
  state_.loads_changed();
  state_.events.Write(fleet_events::kServerTrouble, {{"id", request_id_},
                                                     {"attempt", sends_},
                                                     {"server", server.id},
                                                     {"outcome", static_cast<int>(outcome)}});
}

void RequestFlow::OnHead(const http::Message& head) {
  Attempt& attempt = *attempt_;
  if (const auto load = ReadLoad(head)) state_.choice.Reported(SteadyNowMs(), attempt.server.id, *load);
  attempt.head = head;
  attempt.head.body.clear();
  if (head.status == 421) {
    attempt.answer = Attempt::Answer::kMisdirected;
  } else if (head.Find("x-not-executed")) {
    attempt.answer = Attempt::Answer::kNotRun;
  } else if (head.status / 100 == 2 && head.Find("x-response-seal") &&
             route_->type == fleet::RouteType::kStreaming) {
    attempt.answer = Attempt::Answer::kStream;
  } else {
    attempt.answer = Attempt::Answer::kBuffered;
  }
}

void RequestFlow::OnBody(std::string bytes) {
  Attempt& attempt = *attempt_;
  if (attempt.answer != Attempt::Answer::kStream) {
    attempt.body += bytes;
    return;
  }
  const std::string events = attempt.events.Take(bytes);
  if (events.empty()) return;
  if (!position_.Advance(events)) return RefuseEvents();
  if (!attempt.begun) NoteFirstEvent();
  const auto responder = responder_.lock();
  if (!responder) return;
  if (!passing_) PassHead(attempt.head);
  responder->Piece(events);
  if (responder->Unsent() > kMostUnsent) Upstream::Pause(attempt.connection, true);
}

// Records the first event of a stream, or a complete response that is not a stream.
void RequestFlow::NoteFirstEvent() {
  const double now_ms = SteadyNowMs();
  Attempt& attempt = *attempt_;
  const ServerChoice::Chosen& server = attempt.server;
  const double came_ms = now_ms - attempt.sent_ms;
  attempt.begun = true;
  state_.choice.Begun(now_ms, server.id, server, came_ms);
  state_.loads_changed();
  state_.metrics.FirstEvent(server.expected_ms, came_ms);
  if (first_event_ms_ == 0) first_event_ms_ = now_ms - began_ms_;
  state_.events.Write(fleet_events::kFirstEvent, {{"id", request_id_},
                                                  {"server", server.id},
                                                  {"weighed", server.weighed},
                                                  {"uncached", server.uncached_tokens},
                                                  {"expected_ms", server.expected_ms},
                                                  {"came_ms", came_ms}});
}

// Counts and logs an attempt that ended in the middle of an event.
void RequestFlow::NoteTornEvent(const Attempt& attempt, AttemptEnd end) {
  const std::size_t bytes = attempt.events.unfinished();
  if (bytes == 0) return;
  state_.metrics.AttemptTorn(bytes);
  state_.events.Write(fleet_events::kAttemptTorn, {{"id", request_id_},
                                                   {"attempt", sends_},
                                                   {"server", attempt.server.id},
                                                   {"bytes", bytes},
                                                   {"closed", end != AttemptEnd::kBroken},
                                                   {"last_id", position_.last_id()}});
}

// A server that should have continued a stream resent events that the client already has. The session may
// release its reference to this request during the call.
void RequestFlow::RefuseEvents() {
  const auto self = shared_from_this();
  Upstream::Cancel(attempt_->connection);
  const Attempt attempt = TakeAttempt();
  may_have_run_ = true;
  ++runs_;
  state_.metrics.StreamNotContinued();
  state_.events.Write(fleet_events::kStreamNotContinued, {{"id", request_id_},
                                                          {"attempt", sends_},
                                                          {"server", attempt.server.id},
                                                          {"last_id", position_.last_id()}});
  AttemptOver(attempt, ServerOutcome::kFailed);
  StreamBroke();
}

void RequestFlow::ClientTook() {
  const auto responder = responder_.lock();
  if (attempt_ && responder && responder->Unsent() <= kMostUnsent / 2)
    Upstream::Pause(attempt_->connection, false);
}

void RequestFlow::PassHead(const http::Message& head) {
  passing_ = true;
  if (const auto responder = responder_.lock()) responder->BeginStream(head.status, PassedBack(head));
}

void RequestFlow::OnEnd(AttemptEnd end) {
  if (phase_ == Phase::kOver || !attempt_) return;
  const auto answer = attempt_->answer;
  const bool success = attempt_->head.status / 100 == 2 && attempt_->head.Find("x-response-seal");
  const bool whole = end == AttemptEnd::kComplete || end == AttemptEnd::kCompleteByClose;
  if (whole && answer == Attempt::Answer::kBuffered && success && !attempt_->begun) NoteFirstEvent();
  Attempt attempt = TakeAttempt();
  NoteTornEvent(attempt, end);
  if (end == AttemptEnd::kDialTimedOut || end == AttemptEnd::kUnacknowledged)
    state_.choice.Silent(SteadyNowMs(), attempt.server.id, attempt.sent_ms);
  if (end == AttemptEnd::kUnreachable || end == AttemptEnd::kDialTimedOut) {
    AttemptOver(attempt, ServerOutcome::kUnreachable);
    return Failed(/*reached=*/false);
  }
  if (answer == Attempt::Answer::kNotRun || answer == Attempt::Answer::kMisdirected) {
    AttemptOver(attempt,
                answer == Attempt::Answer::kNotRun ? ServerOutcome::kRejected : ServerOutcome::kMisdirected);
    return NotRun();
  }
  may_have_run_ = true;
  ++runs_;
  // A server that dies in the middle of an event also closes its connection, which looks like a normal end.
  const bool torn = end == AttemptEnd::kCompleteByClose && attempt.events.unfinished() > 0;
  if (!whole || torn) {
    AttemptOver(attempt, ServerOutcome::kFailed);
    return passing_ ? StreamBroke() : Failed(/*reached=*/true);
  }
  answer == Attempt::Answer::kStream ? PassStreamEnd(attempt) : PassAnswer(attempt);
}

// Forwards the regular end of a stream.
void RequestFlow::PassStreamEnd(Attempt& attempt) {
  AttemptOver(attempt, ServerOutcome::kAnswered);
  const auto responder = responder_.lock();
  if (!responder) return Over(EndReason::kClientLeft);
  if (!passing_) PassHead(attempt.head);
  responder->Piece(attempt.events.TakeRest());
  responder->EndStream();
  Over(EndReason::kServed);
}

// Forwards a complete response that is not a stream, or repeats the request if that is allowed.
void RequestFlow::PassAnswer(const Attempt& attempt) {
  const http::Message& head = attempt.head;
  const bool sealed = head.Find("x-response-seal").has_value();
  const bool success = head.status / 100 == 2 && sealed;
  AttemptOver(attempt, success || head.status / 100 == 4 || head.status == 504 ? ServerOutcome::kAnswered
                                                                               : ServerOutcome::kFailed);
  if (!success && passing_) return StreamBroke();
  if (!success && head.status / 100 != 4 && route_->Repeatable() && MayRepeat(SteadyNowMs()))
    return Dispatch();
  const auto responder = responder_.lock();
  if (!responder) return Over(EndReason::kClientLeft);
  const bool unclear = head.status / 100 == 2 && !sealed;
  if (unclear || (PromisesNotRun(head.status) && !route_->Repeatable()))
    return Respond(502, "the server's answer is none", EndReason::kUnclearAnswer);
  responder->Respond(head.status, PassedBack(head), attempt.body);
  Over(success ? EndReason::kServed : EndReason::kServerFailed);
}

// The server reported that it did not execute the request.
void RequestFlow::NotRun() {
  const double now_ms = SteadyNowMs();
  const bool again =
      sends_ < kMostSends && Left(now_ms) > kLeastTimeMs && state_.budget.Spend(now_ms, service_);
  if (again) return Dispatch();
  Refuse(kBusyRetryMs, EndReason::kRejected);
}

// The attempt failed. If no server was reached, the request was not executed.
void RequestFlow::Failed(bool reached) {
  const double now_ms = SteadyNowMs();
  if (!reached) {
    if (sends_ < kMostSends && Left(now_ms) > kLeastTimeMs) return Dispatch();
    return Refuse(kBusyRetryMs, EndReason::kUnreachable);
  }
  if (route_->Repeatable() && MayRepeat(now_ms)) return Dispatch();
  Respond(502, "the server broke off", EndReason::kServerBroke);
}

// Whether a request that was or may have been executed may be sent to another server. Spends retry budget.
bool RequestFlow::MayRepeat(double now_ms) {
  return runs_ < route_->max_attempts && sends_ < kMostSends && Left(now_ms) > kLeastTimeMs &&
         state_.budget.Spend(now_ms, service_);
}

// A stream of which the client has received a part was cut off. If the route allows it, another server
// resumes the stream after the last complete event.
void RequestFlow::StreamBroke() {
  if (route_->resumable && position_.CanContinue() && MayRepeat(SteadyNowMs())) {
    state_.metrics.StreamResumed();
    return Dispatch();
  }
  BreakOff(EndReason::kStreamBroke);
}

}  // namespace bitternmux::router
