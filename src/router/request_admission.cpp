// Admission of a request: its route, tenant, deadline and quota.
#include <algorithm>
#include <chrono>

#include "router/caller_time.h"
#include "router/request_flow.h"
#include "router/request_headers.h"

namespace bitternmux::router {
namespace {

constexpr double kElsewhereRetryMs = 0;   // a new connection reaches another router, which can serve at once
constexpr double kMaxTableWaitMs = 400;   // in which the agent delivers the configuration and the server list
constexpr double kResponseGraceMs = 150;  // after the deadline, for the server's own deadline error to arrive
constexpr double kDefaultDeadlineMs = 30'000;

}  // namespace

void RequestFlow::Admit() {
  if (const auto id = message_.Find("x-request-id")) request_id_ = *id;
  deadline_ms_ = started_ms_ + ClientTimeMs();
  if (table_ == nullptr || !state_.servers_known) return WaitForTable();
  const auto host = message_.Find("host");
  route_ = table_->Match(host.value_or(""), message_.target);
  if (route_ == nullptr) return Respond(404, "no route", EndReason::kNoRoute);
  if (!FindTenant()) return Respond(401, "unknown key", EndReason::kUnknownKey);
  // It was not wanted as its head came, and a newer configuration has it now.
  if (message_.body_discarded) return Refuse(kElsewhereRetryMs, EndReason::kStarting);
  deadline_ms_ = std::min(deadline_ms_, started_ms_ + route_->timeout_ms);
  if (!state_.shutdown.Admits(SteadyNowMs(), deadline_ms_))
    return Refuse(kElsewhereRetryMs, EndReason::kStopping);
  body_ = std::make_shared<const std::string>(std::move(message_.body));
  message_.body = std::string();
  if (const auto count = message_.Find("x-token-count")) prompt_ = ParseTokenCount(*count);
  if (prompt_) {
    if (const auto prefix = message_.Find("x-prompt-prefix")) prompt_->parts = ParsePromptPrefix(*prefix);
  }
  const double draw = std::uniform_real_distribution<double>(0, 1)(state_.random);
  service_ = RouteTable::PickService(*route_, draw);
  state_.budget.CountRequest(started_ms_, service_);
  timer_.expires_after(std::chrono::microseconds(
      static_cast<std::int64_t>((deadline_ms_ - started_ms_ + kResponseGraceMs) * 1000)));
  timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
    const auto self = weak.lock();
    if (!error && self) self->OnDeadline();
  });
  RequestQuota();
}

// How long the client waits, by its own word.
double RequestFlow::ClientTimeMs() const {
  const auto header = message_.Find("x-deadline-ms");
  const auto number = header ? http::WholeNumber(*header) : std::nullopt;
  return number ? static_cast<double>(*number) : kDefaultDeadlineMs;
}

// A router that has just started receives its configuration and server list shortly after.
void RequestFlow::WaitForTable() {
  phase_ = Phase::kWaitingForTable;
  state_.waiting_for_table.push_back(weak_from_this());
  const double wait_ms = std::min(kMaxTableWaitMs, SpareWaitMs(RemainingMs(SteadyNowMs()), 0));
  timer_.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(wait_ms * 1000)));
  timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
    const auto self = weak.lock();
    if (!error && self && self->phase_ == Phase::kWaitingForTable)
      self->Refuse(kElsewhereRetryMs, EndReason::kStarting);
  });
}

void RequestFlow::OnRouteTableAvailable() {
  if (phase_ != Phase::kWaitingForTable) return;
  timer_.cancel();
  phase_ = Phase::kAdmitting;
  table_ = state_.table;
  Admit();
}

// Returns false if tenants are configured, the API key belongs to none and the route is not public.
bool RequestFlow::FindTenant() {
  if (!table_->has_tenants()) return true;
  const auto key = message_.Find("x-api-key");
  tenant_ = key ? table_->TenantOf(*key) : nullptr;
  return tenant_ != nullptr || route_->is_public;
}

double RequestFlow::QuotaWaitEndMs(double now_ms) const {
  const double work_ms = state_.choice.LeastFirstEventMs(service_, prompt_ ? &*prompt_ : nullptr);
  return now_ms + SpareWaitMs(RemainingMs(now_ms), work_ms);
}

void RequestFlow::RequestQuota() {
  if (tenant_ == nullptr) return Dispatch();
  cost_ = !tenant_->counts_tokens ? 1 : prompt_ ? prompt_->Total() : tenant_->uncached_tokens;
  charged_ms_ = SteadyNowMs();
  switch (state_.quota.Ask(charged_ms_, request_number_, *tenant_, cost_, QuotaWaitEndMs(charged_ms_))) {
    case fleet::QuotaAnswer::kAdmitted:
      charged_ = true;
      Dispatch();
      break;
    case fleet::QuotaAnswer::kRefused:
      QuotaDecided(false, state_.quota.RetryMs(charged_ms_));
      break;
    case fleet::QuotaAnswer::kWait:
      phase_ = Phase::kWaitingForQuota;
      state_.waiting_for_quota[request_number_] = weak_from_this();
      break;
  }
  state_.quota_changed();
}

void RequestFlow::QuotaDecided(bool admitted, double retry_ms) {
  if (phase_ == Phase::kFinished) {
    const double now_ms = SteadyNowMs();
    if (admitted && tenant_ != nullptr) state_.quota.GiveBack(now_ms, tenant_->name, now_ms, cost_);
    return;
  }
  charged_ = admitted;
  charged_ms_ = SteadyNowMs();
  if (admitted) return Dispatch();
  if (const auto responder = responder_.lock()) {
    responder->Respond(
        429, {{"X-Request-Id", request_id_}, {"Retry-After", FormatSeconds(std::max(50.0, retry_ms))}}, "");
  }
  Finish(EndReason::kQuota);
}

}  // namespace bitternmux::router
