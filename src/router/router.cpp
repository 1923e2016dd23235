#include "router/router.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <random>

#include "events/fleet_catalogue.h"

namespace bitternmux::router {
namespace asio = boost::asio;
namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(200);
constexpr double kQuotaTickIntervalMs = 50;
constexpr auto kLoadReportInterval = std::chrono::milliseconds(40);
constexpr double kAllLoadsReportIntervalMs = 1000;  // between reports of all loads, changed or not
constexpr double kQuotaLogIntervalMs = 4000;
constexpr std::size_t kInitialRouterCount = 64;  // until the control machines report the number

std::uint64_t RandomNumber() {
  std::random_device device;
  return static_cast<std::uint64_t>(device()) << 32 | device();
}

}  // namespace

Router::Router(asio::io_context& io, fleet::NodeSettings settings, EventSink& events)
    : io_(io),
      settings_(std::move(settings)),
      events_(events),
      budget_(std::make_shared<budget::ClientBudget>(
          budget::ClientBudget::BoundsFor(settings_.memory_mb, settings_.max_fds))),
      relief_log_(events),
      state_{io,
             events,
             Upstream(io, budget_),
             ServerChoice(ChoiceOptions(), settings_.zone, RandomNumber()),
             fleet::QuotaLedger(
                 {RandomNumber(),
                  SteadyNowMs(),
                  {settings_.quota_window_s * 1000, settings_.quota_overage, settings_.quota_slack}}),
             RetryBudget(
                 {settings_.retry_budget_ratio, settings_.budget_slack, settings_.budget_window_s * 1000},
                 SteadyNowMs()),
             nullptr,
             false,
             Shutdown(settings_.grace_s * 1000),
             0,
             {},
             {},
             [this] { ProcessQuota(); },
             [this] { ScheduleLoadReport(); },
             std::mt19937(static_cast<std::mt19937::result_type>(RandomNumber())),
             {}},
      front_(
          io,
          [this](http::Message message, const std::shared_ptr<Responder>& responder) {
            return RequestFlow::Begin(state_, std::move(message), responder);
          },
          budget_, [this](const http::Message& head) { return WantsBody(head); }),
      readiness_(
          io,
          [this](const http::Message& message, const std::shared_ptr<Responder>& responder) {
            AnswerProbe(message.target, *responder);
            return std::shared_ptr<OpenRequest>();
          },
          budget_, [](const http::Message&) { return false; }),
      tick_timer_(io),
      quota_timer_(io),
      load_report_timer_(io) {
  SetRouterCount(kInitialRouterCount);
}

bool Router::WantsBody(const http::Message& head) const {
  if (state_.table == nullptr) return true;
  const fleet::Route* route = state_.table->Match(head.Find("host").value_or(""), head.target);
  if (route == nullptr) return false;
  if (route->is_public || !state_.table->has_tenants()) return true;
  const auto key = head.Find("x-api-key");
  return key && state_.table->TenantOf(*key) != nullptr;
}

void Router::AnswerProbe(std::string_view target, Responder& responder) const {
  if (target == "/readyz") return responder.Respond(ready_ ? 200 : 503, {}, "");
  if (target != "/metrics") return responder.Respond(404, {}, "");
  responder.Respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                    state_.metrics.Text(state_.upstream.figures(), budget_->relieved()));
}

void Router::Start() {
  front_.Listen(settings_.front);
  readiness_.Listen(settings_.readiness);
  fleet::Dialer::Handlers handlers;
  handlers.connected = [this](const LinkPointer& link) {
    link->Send(fleet::Hello{fleet::PeerRole::kRouter, settings_.node_name, {}, 0});
    link->Send(follower_.Ask(settings_.node_name));
  };
  handlers.received = [this](const LinkPointer& link, const fleet::Message& message) {
    OnAgentMessage(link, message);
  };
  handlers.lost = [] {};
  agent_ = std::make_shared<fleet::Dialer>(io_, settings_.agent_listen, std::move(handlers));
  agent_->Start();
  Tick();
}

void Router::OnAgentMessage(const LinkPointer& link, const fleet::Message& message) {
  if (const auto* entry = std::get_if<fleet::FeedEntry>(&message)) return ApplyFeedEntry(link, *entry);
  if (const auto* beat = std::get_if<fleet::FeedBeat>(&message)) {
    had_fresh_feed_ = had_fresh_feed_ || beat->fresh;
    return UpdateReadiness();
  }
  if (const auto* grant = std::get_if<fleet::QuotaGrant>(&message)) {
    state_.quota.Granted(SteadyNowMs(), *grant);
    return ProcessQuota();
  }
  if (const auto* loads = std::get_if<fleet::ServerLoads>(&message)) {
    state_.choice.OnFleetLoads(SteadyNowMs(), *loads);
  }
}

void Router::ApplyFeedEntry(const LinkPointer& link, const fleet::FeedEntry& entry) {
  const fleet::FeedFollower::Applied applied = follower_.Apply(entry);
  if (applied.configuration) ApplyConfiguration();
  const bool zones_changed =
      applied.evacuations && evacuated_.Set(SteadyNowMs(), follower_.state().evacuations.zones);
  if (applied.servers || zones_changed || !state_.servers_known) ApplyServers();
  if (applied.fleet && follower_.state().fleet.routers > 0) SetRouterCount(follower_.state().fleet.routers);
  if (applied.gap) link->Send(follower_.Ask(settings_.node_name));
  UpdateReadiness();
  if (state_.table == nullptr || !state_.servers_known || state_.waiting_for_table.empty()) return;
  for (const auto& waiting : std::exchange(state_.waiting_for_table, {})) {
    if (const auto flow = waiting.lock()) flow->OnRouteTableAvailable();
  }
}

// Servers are not used before the set of evacuated zones is known.
void Router::ApplyServers() {
  const fleet::FeedState& known = follower_.state();
  if (known.list_position == fleet::ListPosition{} || known.evacuations.position == fleet::Position{}) return;
  state_.choice.Update(SteadyNowMs(), evacuated_.MarkDraining(known.servers));
  state_.servers_known = true;
  state_.upstream.Prune([&](const std::string& id) { return known.servers.contains(id); });
}

// Sets the number of routers that share the fleet-wide limits.
void Router::SetRouterCount(std::size_t count) {
  state_.quota.SetRouters(count);
  state_.budget.SetRouters(count);
}

void Router::ApplyConfiguration() {
  try {
    fleet::Configuration configuration = fleet::ReadConfiguration(follower_.state().configuration);
    front_.Use(configuration.limits);
    ProtectCold(configuration);
    state_.table = std::make_shared<const RouteTable>(std::move(configuration));
    events_.Write(fleet_events::kConfigurationInForce, {{"version", state_.table->version()}});
  } catch (const fleet::ConfigurationError& error) {
    events_.Write(fleet_events::kConfigurationUnreadable, {{"why", error.what()}});
  }
}

// Limits requests to cold servers, for the services where the settings ask for it.
void Router::ProtectCold(const fleet::Configuration& configuration) {
  ServerChoice::ColdTimes cold_ms_by_service;
  for (const fleet::Service& service : configuration.services) {
    if (settings_.cold_overage && service.cold_rate_s > 0)
      cold_ms_by_service[service.name] = service.cold_start_s * 1000;
  }
  state_.choice.ProtectCold(std::move(cold_ms_by_service));
}

void Router::UpdateReadiness() {
  const bool ready =
      !state_.shutdown.begun() && state_.table != nullptr && state_.servers_known && had_fresh_feed_;
  if (ready != ready_) events_.Write(fleet_events::kReadinessChanged, {{"ready", ready}});
  ready_ = ready;
}

// ---- Quota ----

void Router::ProcessQuota() {
  for (const fleet::QuotaRequest& request : state_.quota.TakeRequests()) {
    if (agent_->link()) agent_->link()->Send(request);
  }
  for (const fleet::QuotaVerdict& verdict : state_.quota.TakeVerdicts()) {
    const auto found = state_.waiting_for_quota.find(verdict.request);
    if (found == state_.waiting_for_quota.end()) continue;
    const auto flow = found->second.lock();
    state_.waiting_for_quota.erase(found);
    if (flow) flow->QuotaDecided(verdict.admitted, verdict.retry_ms);
  }
  ScheduleQuotaTick();
}

// While requests wait, the ledger ticks every kQuotaTickIntervalMs, or as soon as the wait of a request ends.
void Router::ScheduleQuotaTick() {
  const double now_ms = SteadyNowMs();
  const std::optional<double> end_ms = state_.quota.NextEndMs(now_ms);
  if (!end_ms) return;
  const double due_ms = std::clamp(*end_ms, now_ms, now_ms + kQuotaTickIntervalMs);
  if (quota_tick_due_ms_ && *quota_tick_due_ms_ <= due_ms) return;
  quota_tick_due_ms_ = due_ms;
  const double wait_us = std::ceil((due_ms - now_ms) * 1000);
  quota_timer_.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(wait_us)));
  quota_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    quota_tick_due_ms_.reset();
    state_.quota.Tick(SteadyNowMs());
    ProcessQuota();
  });
}

void Router::LogQuotaFigures(double now_ms) {
  if (now_ms - quota_logged_ms_ < kQuotaLogIntervalMs) return;
  quota_logged_ms_ = now_ms;
  for (const auto& [tenant, figures] : state_.quota.TakeFigures()) {
    events_.Write(fleet_events::kQuotaRefusals, {{"tenant", tenant},
                                                 {"leased", std::llround(figures.leased)},
                                                 {"granted", std::llround(figures.granted)},
                                                 {"ungranted", std::llround(figures.ungranted)},
                                                 {"refused", std::llround(figures.refused)},
                                                 {"unanswered", std::llround(figures.unanswered)}});
  }
}

// ---- Load ----

void Router::SendLoads(bool all) {
  const fleet::ServerLoads loads = state_.choice.TakeLoadUpdate(SteadyNowMs(), all);
  if (agent_->link() && (all || !loads.rows.empty())) agent_->link()->Send(loads);
}

void Router::ScheduleLoadReport() {
  if (load_report_scheduled_) return;
  load_report_scheduled_ = true;
  load_report_timer_.expires_after(kLoadReportInterval);
  load_report_timer_.async_wait([this](const boost::system::error_code& error) {
    load_report_scheduled_ = false;
    if (!error) SendLoads(/*all=*/false);
  });
}

// ---- Stopping ----

void Router::Stop() {
  if (state_.shutdown.begun()) return;
  state_.shutdown.Begin(SteadyNowMs());
  front_.BeginClosing();
  UpdateReadiness();
}

void Router::Tick() {
  const double now_ms = SteadyNowMs();
  if (evacuated_.Tick(now_ms)) ApplyServers();
  state_.quota.Tick(now_ms);
  ProcessQuota();
  LogQuotaFigures(now_ms);
  relief_log_.Tick(now_ms, *budget_);
  if (now_ms - all_loads_sent_ms_ >= kAllLoadsReportIntervalMs) {
    all_loads_sent_ms_ = now_ms;
    SendLoads(/*all=*/true);
  }
  if (state_.shutdown.ClosesIdleConnections(now_ms)) front_.CloseIdle();
  if (state_.shutdown.MayExit(now_ms, front_.sessions())) return End();
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Tick();
  });
}

// A request in progress and its connection to a server own each other until one of them ends, so all must be
// closed here.
void Router::End() {
  front_.CloseAll();
  agent_->Stop();
  io_.stop();
}

}  // namespace bitternmux::router
