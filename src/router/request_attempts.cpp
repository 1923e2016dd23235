// How a request is sent to servers, one after the other, and what each of these attempts comes to.
#include <algorithm>
#include <cmath>

#include "events/fleet_catalogue.h"
#include "router/request_flow.h"
#include "router/request_headers.h"

namespace bitternmux::router {
namespace {

constexpr int kMostSends = 4;                    // of one request, rejected ones included
constexpr double kLeastTimeMs = 5;               // with less left nothing is sent
constexpr double kBusyRetryMs = 250;             // after which one that found all servers busy may come back
constexpr std::size_t kMostUnsent = 256 * 1024;  // to a client, before its server is no longer read
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
  if (!answer.chosen) {
    const bool busy = answer.why == ServerChoice::Nothing::kAllBusy;
    return Refuse(kBusyRetryMs, busy ? EndReason::kServersBusy : EndReason::kNoServer);
  }
  SendTo(*answer.chosen);
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
    const bool resumes = name == "last-event-id" && !events_.last_id().empty();
    if (IsPassedOn(name) && !resumes) headers.emplace_back(name, value);
  }
  if (!events_.last_id().empty()) headers.emplace_back("Last-Event-Id", events_.last_id());
  const double left_ms = std::max(1.0, std::floor(Left(SteadyNowMs())));
  headers.emplace_back("X-Deadline-Ms", std::to_string(static_cast<std::int64_t>(left_ms)));
  headers.emplace_back("X-Expected-Instance", chosen.id);
  if (tenant_ != nullptr) headers.emplace_back("X-Tenant", tenant_->name);
  if (prompt_) headers.emplace_back("Priority", std::to_string(PriorityLevel()));
  return http::WriteRequestHead(message_.method, message_.target, headers, body_->size());
}

void RequestFlow::SendTo(const ServerChoice::Chosen& chosen) {
  phase_ = Phase::kSent;
  chosen_ = chosen;
  answer_ = Answer::kUnknown;
  attempt_begun_ = false;
  buffered_.clear();
  ++sends_;
  sent_ms_ = SteadyNowMs();
  excluded_.push_back(chosen.id);
  NoteInheritedBytes(chosen.id);
  state_.choice.Sent(sent_ms_, chosen.id, chosen, prompt_ ? &*prompt_ : nullptr);
  attempt_ = state_.upstream.Begin({chosen.id, chosen.address, request_id_, HeadFor(chosen), body_},
                                   shared_from_this());
  state_.loads_changed();
}

void RequestFlow::AttemptOver(ServerOutcome outcome) {
  attempt_.reset();
  if (!chosen_) return;
  state_.choice.Ended(SteadyNowMs(), chosen_->id, attempt_begun_, chosen_->uncached_tokens, outcome);
  state_.loads_changed();
  state_.events.Write(fleet_events::kServerTrouble,
                      {{"server", chosen_->id}, {"outcome", static_cast<int>(outcome)}});
  chosen_.reset();
}

void RequestFlow::OnHead(const http::Message& head) {
  if (const auto load = ReadLoad(head)) state_.choice.Reported(SteadyNowMs(), chosen_->id, *load);
  head_ = head;
  head_.body.clear();
  if (head.status == 421) {
    answer_ = Answer::kMisdirected;
  } else if (head.Find("x-not-executed")) {
    answer_ = Answer::kNotRun;
  } else if (head.status / 100 == 2 && head.Find("x-response-seal") &&
             route_->type == fleet::RouteType::kStreaming) {
    answer_ = Answer::kStream;
  } else {
    answer_ = Answer::kBuffered;
  }
}

void RequestFlow::OnBody(std::string bytes) {
  if (answer_ != Answer::kStream) {
    buffered_ += bytes;
    return;
  }
  const std::string events = events_.Take(bytes);
  if (events.empty()) return;
  if (!attempt_begun_) {
    NoteFirstEvent();
  }
  const auto responder = responder_.lock();
  if (!responder) return;
  if (!passing_) PassHead(head_);
  responder->Piece(events);
  if (attempt_ && responder->Unsent() > kMostUnsent) Upstream::Pause(attempt_, true);
}

// The first event, or an answer that is none of events.
void RequestFlow::NoteFirstEvent() {
  const double now_ms = SteadyNowMs();
  attempt_begun_ = true;
  state_.choice.Begun(now_ms, chosen_->id, *chosen_, now_ms - sent_ms_);
  state_.loads_changed();
  state_.metrics.FirstEvent(chosen_->expected_ms, now_ms - sent_ms_);
  if (first_event_ms_ == 0) first_event_ms_ = now_ms - began_ms_;
  state_.events.Write(fleet_events::kFirstEvent, {{"id", request_id_},
                                                  {"server", chosen_->id},
                                                  {"weighed", chosen_->weighed},
                                                  {"uncached", chosen_->uncached_tokens},
                                                  {"expected_ms", chosen_->expected_ms},
                                                  {"came_ms", now_ms - sent_ms_}});
}

// An attempt has ended inside an event.
void RequestFlow::NoteTornEvent(AttemptEnd end) {
  if (events_.unfinished() == 0 || !chosen_) return;
  state_.metrics.AttemptTorn(events_.unfinished());
  state_.events.Write(fleet_events::kAttemptTorn, {{"id", request_id_},
                                                   {"attempt", sends_},
                                                   {"server", chosen_->id},
                                                   {"bytes", events_.unfinished()},
                                                   {"closed", end == AttemptEnd::kComplete},
                                                   {"last_id", events_.last_id()}});
}

// The bytes in front of a new attempt's are those of an earlier one.
void RequestFlow::NoteInheritedBytes(const std::string& server) {
  if (events_.unfinished() == 0) return;
  state_.events.Write(
      fleet_events::kAttemptInherits,
      {{"id", request_id_}, {"attempt", sends_}, {"server", server}, {"bytes", events_.unfinished()}});
}

void RequestFlow::ClientTook() {
  const auto responder = responder_.lock();
  if (attempt_ && responder && responder->Unsent() <= kMostUnsent / 2) Upstream::Pause(attempt_, false);
}

void RequestFlow::PassHead(const http::Message& head) {
  passing_ = true;
  if (const auto responder = responder_.lock()) responder->BeginStream(head.status, PassedBack(head));
}

void RequestFlow::OnEnd(AttemptEnd end) {
  if (phase_ == Phase::kOver) return;
  NoteTornEvent(end);
  if (end == AttemptEnd::kUnreachable) {
    AttemptOver(ServerOutcome::kUnreachable);
    return Failed(/*reached=*/false);
  }
  if (answer_ == Answer::kNotRun || answer_ == Answer::kMisdirected) {
    AttemptOver(answer_ == Answer::kNotRun ? ServerOutcome::kRejected : ServerOutcome::kMisdirected);
    return NotRun();
  }
  may_have_run_ = true;
  ++runs_;
  if (end == AttemptEnd::kBroken) {
    AttemptOver(ServerOutcome::kFailed);
    return passing_ ? StreamBroke() : Failed(/*reached=*/true);
  }
  PassAnswer();
}

// The answer came whole.
void RequestFlow::PassAnswer() {
  const auto responder = responder_.lock();
  const bool sealed = head_.Find("x-response-seal").has_value();
  if (answer_ == Answer::kStream) {
    AttemptOver(ServerOutcome::kAnswered);
    if (!responder) return Over(EndReason::kClientLeft);
    if (!passing_) PassHead(head_);
    responder->Piece(events_.TakeRest());
    responder->EndStream();
    return Over(EndReason::kServed);
  }
  const bool success = head_.status / 100 == 2 && sealed;
  if (success && chosen_ && !attempt_begun_) NoteFirstEvent();
  AttemptOver(success || head_.status / 100 == 4 || head_.status == 504 ? ServerOutcome::kAnswered
                                                                        : ServerOutcome::kFailed);
  if (!success && passing_) return StreamBroke();
  if (!success && head_.status / 100 != 4 && route_->Repeatable() && MayRepeat(SteadyNowMs()))
    return Dispatch();
  if (!responder) return Over(EndReason::kClientLeft);
  const bool unclear = head_.status / 100 == 2 && !sealed;
  if (unclear || (PromisesNotRun(head_.status) && !route_->Repeatable()))
    return Respond(502, "the server's answer is none", EndReason::kUnclearAnswer);
  responder->Respond(head_.status, PassedBack(head_), buffered_);
  Over(success ? EndReason::kServed : EndReason::kServerFailed);
}

// The server has said that it did not run the request.
void RequestFlow::NotRun() {
  const double now_ms = SteadyNowMs();
  const bool again =
      sends_ < kMostSends && Left(now_ms) > kLeastTimeMs && state_.budget.Spend(now_ms, service_);
  if (again) return Dispatch();
  if (passing_) return StreamBroke();
  Refuse(kBusyRetryMs, EndReason::kRejected);
}

// The attempt came to nothing. Unless a server was reached it never ran.
void RequestFlow::Failed(bool reached) {
  const double now_ms = SteadyNowMs();
  if (!reached) {
    if (sends_ < kMostSends && Left(now_ms) > kLeastTimeMs) return Dispatch();
    if (passing_) return StreamBroke();
    return Refuse(kBusyRetryMs, EndReason::kUnreachable);
  }
  if (route_->Repeatable() && MayRepeat(now_ms)) return Dispatch();
  Respond(502, "the server broke off", EndReason::kServerBroke);
}

// May a request that has run, or may have, be sent to one more server?
bool RequestFlow::MayRepeat(double now_ms) {
  return runs_ < route_->max_attempts && sends_ < kMostSends && Left(now_ms) > kLeastTimeMs &&
         state_.budget.Spend(now_ms, service_);
}

// A stream has begun for the client. Where it may be resumed another server goes on behind the last whole
// event.
void RequestFlow::StreamBroke() {
  events_.TakeRest();
  if (route_->resumable && !events_.last_id().empty() && MayRepeat(SteadyNowMs())) {
    state_.metrics.StreamResumed();
    return Dispatch();
  }
  if (const auto responder = responder_.lock()) responder->BreakOff();
  Over(EndReason::kStreamBroke);
}

}  // namespace bitternmux::router
