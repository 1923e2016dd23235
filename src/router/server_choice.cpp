#include "router/server_choice.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "fleet/load/load_board.h"

namespace bitternmux::router {
namespace {

// Prefilling a prompt delays the other requests on that server: the prefill time counts by this weight for
// each of them.
constexpr double kInterferenceWeight = 0.02;
constexpr double kPrefillWeight = 2.0;
constexpr double kRequestsPerWaiting = 10;   // running requests that a request waiting for a slot counts as
constexpr double kReportDecayMs = 4000;      // decay time of the others' share of a report
constexpr double kMaxFleetLoadAgeMs = 1600;  // received fleet loads are used up to this age
constexpr double kInitialSetAsideMs = 400, kMaxSetAsideMs = 8000;
constexpr int kMinRoutersSettingAside = 2;  // other routers that must have set a server aside
// An own answer takes precedence over those routers for this time.
constexpr double kOwnAnswerPrecedenceMs = 1000;
constexpr double kMisdirectedSetAsideMs = 5000;  // another server has its address; the list will soon show it
constexpr double kBusySlotShare = 1.25;          // share of a server's slots from which on it counts as busy
constexpr double kListIntervalMs = 400;          // between two readings of the platform's list
constexpr double kMinColdMs = 250;               // least remaining time assumed for a server listed as cold

}  // namespace

ServerChoice::ServerChoice(ChoiceOptions options, std::string own_zone, std::uint64_t seed)
    : options_(options),
      random_(static_cast<std::mt19937::result_type>(seed)),
      zone_latency_(std::move(own_zone)) {}

void ServerChoice::Update(double now_ms, const fleet::ServerMap& listed) {
  std::erase_if(servers_, [&](const auto& entry) {
    const bool gone = !listed.contains(entry.first);
    if (gone) prefix_index_.Forget(entry.first);
    return gone;
  });
  services_.clear();
  by_load_key_.clear();
  for (const auto& [id, entry] : listed) {
    Server& server = servers_[id];
    if (entry.cold && !server.entry.cold) server.cold_since_ms = now_ms;
    server.entry = entry;
    server.last_published.server = fleet::LoadKey(id);
    by_load_key_[server.last_published.server].push_back(&server);
    if (server.slots <= 0) server.slots = entry.slots;
    services_[entry.service].push_back(&server);
    service_loads_.try_emplace(entry.service);
  }
  std::erase_if(service_loads_, [&](const auto& entry) { return !services_.contains(entry.first); });
}

bool ServerChoice::Serves(const std::string& id, const std::string& address) const {
  const auto found = servers_.find(id);
  return found != servers_.end() && !found->second.entry.draining && found->second.entry.address == address;
}

bool ServerChoice::HasFleetLoads(double now_ms) const {
  return now_ms - loads_received_ms_ <= kMaxFleetLoadAgeMs;
}

ServerChoice::LoadView ServerChoice::ViewLoads(const std::string& service, double now_ms) const {
  const auto found = service_loads_.find(service);
  if (found == service_loads_.end() || !HasFleetLoads(now_ms)) return {};
  const ServiceLoad& load = found->second;
  const double age_ms = loads_age_ms_ + now_ms - loads_received_ms_;
  return {&load, age_ms, load.requests.After(age_ms), load.prefill_tokens.After(age_ms)};
}

// Uses the fresher of the server's own report and the fleet's sums, weighted by its persistence. If no
// fleet load is available, the report decays to the mean, because a server that gets no requests sends no
// newer report.
double ServerChoice::Queue(const Server& server, const LoadView& view, double unreported_load,
                           double now_ms) {
  const double report_age_ms = now_ms - server.reported_ms;
  const bool has_reported = server.others_requests >= 0;
  if (view.load == nullptr) {
    if (!has_reported) return unreported_load + server.own_requests;
    return unreported_load +
           std::exp(-report_age_ms / kReportDecayMs) * (server.others_requests - unreported_load) +
           server.own_requests;
  }
  const double mean = view.load->mean_requests;
  const bool report_counts = has_reported && report_age_ms < view.age_ms;
  const double others_requests = report_counts ? server.others_requests : OthersRequests(server);
  const double remaining_share =
      report_counts ? view.load->requests.After(report_age_ms) : view.requests_remaining;
  return mean + remaining_share * (others_requests - mean) + server.own_requests;
}

// A server is set aside after this router's own failures there, or if several other routers have set it
// aside: a single router may only have a bad link. A recent answer to this router takes precedence.
bool ServerChoice::IsSetAside(const Server& server, double now_ms) const {
  if (now_ms < server.set_aside_until_ms || !zone_reach_.MayTry(now_ms, server.entry.zone)) return true;
  if (!HasFleetLoads(now_ms) || now_ms - server.answered_ms < kOwnAnswerPrecedenceMs) return false;
  return server.fleet_total.set_aside - server.last_published.set_aside >= kMinRoutersSettingAside;
}

// Whether this is a cold server that gets no requests.
bool ServerChoice::IsProtected(const Server& server) const {
  return server.entry.cold && cold_ms_by_service_.contains(server.entry.service);
}

// How long a protected server may still be cold. The list only tells that it is cold, not for how long.
double ServerChoice::WarmInMs(const Server& server, double now_ms) const {
  const double cold_ms = cold_ms_by_service_.at(server.entry.service);
  return std::max(kMinColdMs, server.cold_since_ms + cold_ms - now_ms);
}

// Tokens to be prefilled for requests that were sent there and have not begun.
double ServerChoice::PendingPrefillTokens(const Server& server, const LoadView& view) {
  if (view.load == nullptr) return server.prefill_tokens;
  const double mean = view.load->mean_prefill_tokens;
  return mean + view.prefill_remaining * (OthersPrefill(server) - mean) + server.prefill_tokens;
}

// Tokens of the prompt's leading parts that the server is believed to have cached. The last part belongs to
// this request alone and is not counted. The part before it is the session's; the session's home server
// caches everything up to and including it.
double ServerChoice::CachedTokens(const Server& server, const std::string& home, const Prompt& prompt,
                                  double now_ms) const {
  double cached_tokens = 0, tokens = 0;
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    const PromptPart& part = prompt.parts[i];
    tokens += part.tokens;
    const bool is_session_part = i + 2 == prompt.parts.size();
    const bool at_home = is_session_part && server.entry.id == home;
    if (at_home || prefix_index_.IsCached(now_ms, server.entry.id, part.prefix_hash)) cached_tokens = tokens;
  }
  return cached_tokens;
}

// The home server of the prompt's session, on which all routers agree; empty if there is no session.
std::string ServerChoice::HomeOf(const std::vector<Server*>& service_servers, const Prompt& prompt,
                                 double now_ms) const {
  if (prompt.parts.size() < 2) return {};
  const std::uint64_t prefix_hash = prompt.parts[prompt.parts.size() - 2].prefix_hash;
  std::string home;
  std::uint64_t best = 0;
  for (const Server* server : service_servers) {
    if (server->entry.draining || IsProtected(*server) || IsSetAside(*server, now_ms)) continue;
    const std::uint64_t weight = PrefixIndex::HomeWeight(prefix_hash, server->entry.id);
    if (home.empty() || weight > best) {
      home = server->entry.id;
      best = weight;
    }
  }
  return home;
}

// The reason why none of a service's servers was ranked. `busy_ms`: the least time in which a server that was
// left out as busy would answer.
ServerChoice::Answer ServerChoice::ExplainNoChoice(double now_ms, const std::string& service,
                                                   const std::optional<double>& busy_ms) const {
  if (busy_ms) return {std::nullopt, NoChoiceReason::kAllBusy, *busy_ms};
  Answer answer{std::nullopt, NoChoiceReason::kNoServer, NextTrialMs(now_ms, service)};
  for (const Server* server : services_.at(service)) {
    if (server->entry.draining || !IsProtected(*server)) continue;
    const double warm_in_ms = WarmInMs(*server, now_ms);
    const bool first = answer.no_choice_reason == NoChoiceReason::kNoServer;
    answer.retry_ms = first ? warm_in_ms : std::min(answer.retry_ms, warm_in_ms);
    answer.no_choice_reason = NoChoiceReason::kAllCold;
  }
  return answer;
}

double ServerChoice::NextTrialMs(double now_ms, const std::string& service) const {
  std::optional<double> next_ms;
  if (const auto found = services_.find(service); found != services_.end()) {
    for (const Server* server : found->second) {
      if (server->entry.draining || IsProtected(*server)) continue;
      const double trial_ms = std::max(0.0, server->set_aside_until_ms - now_ms);
      next_ms = next_ms ? std::min(*next_ms, trial_ms) : trial_ms;
    }
  }
  return next_ms.value_or(kListIntervalMs);
}

ServerChoice::Answer ServerChoice::Choose(double now_ms, const ServerQuery& query) {
  const auto found = services_.find(query.service);
  if (found == services_.end())
    return {std::nullopt, NoChoiceReason::kNoServer, NextTrialMs(now_ms, query.service)};
  const std::vector<Server*>& service_servers = found->second;
  double reported_sum = 0, reported_count = 0;
  for (const Server* server : service_servers) {
    if (server->others_requests < 0) continue;
    reported_sum += server->others_requests;
    ++reported_count;
  }
  const double unreported_load = reported_count > 0 ? reported_sum / reported_count : 0;
  const auto eligible = [&](const Server* server) {
    return !server->entry.draining && !IsProtected(*server) &&
           std::ranges::find(query.excluded, server->entry.id) == query.excluded.end();
  };
  const bool all_set_aside = std::ranges::none_of(service_servers, [&](const Server* server) {
    return eligible(server) && !IsSetAside(*server, now_ms);
  });
  const FirstEventModel& model = models_[query.service];
  const LoadView view = ViewLoads(query.service, now_ms);
  const std::string home =
      query.prompt != nullptr ? HomeOf(service_servers, *query.prompt, now_ms) : std::string();
  std::vector<RankedServer> ranking;
  std::optional<double> busy_ms;
  for (const Server* server : service_servers) {
    if (!eligible(server) || (!all_set_aside && IsSetAside(*server, now_ms))) continue;
    const double queue = Queue(*server, view, unreported_load, now_ms);
    const double uncached =
        query.prompt == nullptr
            ? 0
            : std::max(0.0, query.prompt->tokens_in - CachedTokens(*server, home, *query.prompt, now_ms));
    const WorkAhead work = {uncached + PendingPrefillTokens(*server, view), queue};
    const double pace = server->pace.At(now_ms);
    const double expected_ms = pace * model.Expected(work);
    if (server->slots > 0 && queue >= kBusySlotShare * server->slots) {
      busy_ms = std::min(busy_ms.value_or(expected_ms), expected_ms);
      continue;
    }
    const double prefill_ms = model.MsPerToken() * uncached;
    double cost = expected_ms;
    if (server->slots > 0 && queue >= server->slots)
      cost += pace * model.MsPerRequest() * kRequestsPerWaiting * (queue - server->slots + 1);
    cost += zone_latency_.ExtraMs(server->entry.zone);
    cost += kPrefillWeight * prefill_ms + kInterferenceWeight * prefill_ms * queue;
    ranking.push_back({server, cost, UniformRandom(), queue, uncached, expected_ms, work});
  }
  if (ranking.empty()) return ExplainNoChoice(now_ms, query.service, busy_ms);
  std::ranges::sort(ranking, [](const RankedServer& one, const RankedServer& other) {
    return one.cost != other.cost ? one.cost < other.cost : one.tie_breaker < other.tie_breaker;
  });
  const RankedServer* selected = &ranking.front();
  for (int round = 0, found_one = 0; round < options_.rounds && found_one == 0; ++round) {
    for (const RankedServer& candidate : ranking) {
      if (UniformRandom() < std::min(1.0, options_.skip_per_request * candidate.queue)) continue;
      selected = &candidate;
      found_one = 1;
      break;
    }
  }
  Chosen chosen{selected->server->entry.id,
                selected->server->entry.address,
                selected->uncached_tokens,
                selected->expected_ms,
                selected->work,
                static_cast<int>(ranking.size()),
                zone_reach_.IsCutOff(selected->server->entry.zone)};
  return {std::move(chosen), NoChoiceReason::kNone};
}

double ServerChoice::LeastFirstEventMs(const std::string& service, const Prompt* prompt) const {
  const WorkAhead work = {prompt != nullptr ? prompt->tokens_in : 0, 0};
  const auto found = models_.find(service);
  return found != models_.end() ? found->second.Expected(work) : FirstEventModel().Expected(work);
}

void ServerChoice::OnSent(double now_ms, const std::string& id, const Chosen& chosen, const Prompt* prompt) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  loads_changed_ = true;
  zone_reach_.OnSent(now_ms, found->second.entry.zone);
  ++found->second.own_requests;
  found->second.prefill_tokens += chosen.uncached_tokens;
  if (prompt == nullptr) return;
  prefix_index_.OnSent(now_ms, id, *prompt);
}

void ServerChoice::OnFirstEvent(double now_ms, const std::string& id, const Chosen& chosen,
                                double observed_ms) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  Server& server = found->second;
  zone_reach_.OnResponse(now_ms, server.entry.zone);
  server.prefill_tokens = std::max(0.0, server.prefill_tokens - chosen.uncached_tokens);
  loads_changed_ = true;
  FirstEventModel& model = models_[server.entry.service];
  server.pace.Learn(now_ms, model.Expected(chosen.work), observed_ms);
  model.Learn(chosen.work, observed_ms);
}

void ServerChoice::OnEnded(double now_ms, const std::string& id, bool begun, double uncached_tokens,
                           ServerOutcome outcome) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  Server& server = found->second;
  loads_changed_ = true;
  server.own_requests = std::max(0, server.own_requests - 1);
  if (!begun) server.prefill_tokens = std::max(0.0, server.prefill_tokens - uncached_tokens);
  const auto set_server_aside = [&](double least_ms) {
    server.failures = std::min(server.failures + 1, 10);
    const double pause = std::min(kMaxSetAsideMs, kInitialSetAsideMs * std::exp2(server.failures - 1));
    server.set_aside_until_ms = now_ms + std::max(least_ms, pause * (0.5 + UniformRandom()));
  };
  switch (outcome) {
    case ServerOutcome::kAnswered:
      zone_reach_.OnResponse(now_ms, server.entry.zone);
      server.failures = 0;
      server.set_aside_until_ms = server.failure_published_until_ms = 0;
      server.answered_ms = now_ms;
      return;
    case ServerOutcome::kMisdirected:
      zone_reach_.OnResponse(now_ms, server.entry.zone);
      return set_server_aside(kMisdirectedSetAsideMs);
    case ServerOutcome::kFailed:
      prefix_index_.Forget(id);
      set_server_aside(0);
      server.failure_published_until_ms = server.set_aside_until_ms;
      return;
    case ServerOutcome::kUnreachable:
      prefix_index_.Forget(id);
      return set_server_aside(0);
    case ServerOutcome::kRejected:
      zone_reach_.OnResponse(now_ms, server.entry.zone);
      server.set_aside_until_ms =
          std::max(server.set_aside_until_ms, now_ms + kInitialSetAsideMs * (0.25 + 0.5 * UniformRandom()));
      return;
    case ServerOutcome::kAbandoned:
      return;
  }
}

void ServerChoice::OnLoadReport(double now_ms, const std::string& id, const LoadReport& report) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  Server& server = found->second;
  zone_reach_.OnResponse(now_ms, server.entry.zone);
  server.others_requests = std::max(0.0, report.running + report.waiting - server.own_requests);
  server.reported_ms = now_ms;
  if (report.slots > 0) server.slots = report.slots;
}

void ServerChoice::OnConnected(const std::string& id, double dial_ms) {
  const auto found = servers_.find(id);
  if (found != servers_.end()) zone_latency_.OnConnected(found->second.entry.zone, dial_ms);
}

void ServerChoice::OnNoResponse(double now_ms, const std::string& id, double since_ms) {
  const auto found = servers_.find(id);
  if (found != servers_.end()) zone_reach_.OnNoResponse(now_ms, found->second.entry.zone, id, since_ms);
}

fleet::ServerLoads ServerChoice::TakeLoadUpdate(double now_ms, bool whole) {
  loads_changed_ = false;
  fleet::ServerLoads loads;
  loads.whole = whole;
  for (auto& [id, server] : servers_) {
    fleet::ServerLoad row = server.last_published;
    row.requests = server.own_requests;
    row.prefill_tokens = static_cast<std::int32_t>(server.prefill_tokens);
    row.set_aside = now_ms < server.failure_published_until_ms ? 1 : 0;
    if (whole ? !row.IsNothing() : row != server.last_published) loads.rows.push_back(row);
    server.last_published = row;
  }
  return loads;
}

void ServerChoice::OnFleetLoads(double now_ms, const fleet::ServerLoads& loads) {
  const double interval_ms = now_ms - loads_received_ms_;
  loads_received_ms_ = now_ms;
  loads_age_ms_ = loads.age_ms;
  std::unordered_map<const Server*, fleet::ServerLoad> earlier;
  for (auto& [id, server] : servers_) earlier[&server] = server.fleet_total;
  if (loads.whole) {
    for (auto& [id, server] : servers_) server.fleet_total = {};
  }
  for (const fleet::ServerLoad& row : loads.rows) {
    const auto found = by_load_key_.find(row.server);
    if (found == by_load_key_.end()) continue;
    for (Server* server : found->second) server->fleet_total = row;
  }
  LearnLoadPersistence(interval_ms, earlier);
}

// Compares the received loads with those received before.
void ServerChoice::LearnLoadPersistence(double interval_ms,
                                        const std::unordered_map<const Server*, fleet::ServerLoad>& earlier) {
  const auto number = [](std::int32_t value) { return static_cast<double>(value); };
  for (const auto& [service, service_servers] : services_) {
    ServiceLoad& load = service_loads_[service];
    load.mean_requests = load.mean_prefill_tokens = 0;
    std::vector<LoadPersistence::Pair> requests, prefill;
    const auto count = static_cast<double>(service_servers.size());
    for (const Server* server : service_servers) {
      const fleet::ServerLoad& before = earlier.at(server);
      load.mean_requests += OthersRequests(*server) / count;
      load.mean_prefill_tokens += OthersPrefill(*server) / count;
      requests.push_back({number(before.requests), number(server->fleet_total.requests)});
      prefill.push_back({number(before.prefill_tokens), number(server->fleet_total.prefill_tokens)});
    }
    load.requests.Learn(interval_ms, requests);
    load.prefill_tokens.Learn(interval_ms, prefill);
  }
}

}  // namespace bitternmux::router
