#include "router/server_choice.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "fleet/load/load_board.h"

namespace bitternmux::router {
namespace {

constexpr double kOtherZoneMs = 6;  // covers the latency and the price of cross-zone traffic
// Prefilling a prompt delays the other requests on that server: the prefill time counts by this weight for
// each of them.
constexpr double kBesideShare = 0.02;
constexpr double kReadAgainShare = 2.0;
// Time within kEasyShare of the target latency counts only by kEasySlope. Prefill costs are never reduced.
constexpr double kEasyShare = 0.6, kEasySlope = 0.15;
constexpr double kWaitingRequests = 10;  // running requests that a request waiting for a slot counts as
constexpr double kReportLifeMs = 4000;   // decay time of the others' share of a report
constexpr double kFleetLoadMs = 1600;    // received fleet loads are used up to this age
constexpr double kAsideFirstMs = 400, kAsideMostMs = 8000;
constexpr int kOthersToBelieve = 2;      // other routers that must have set a server aside
constexpr double kOwnAnswerMs = 1000;    // for which an own answer takes precedence over those routers
constexpr double kMisdirectedMs = 5000;  // another server has its address; the list will soon show it
constexpr double kBusyShare = 1.25;      // share of a server's slots from which on it counts as busy
constexpr double kLeastColdMs = 250;     // least remaining time assumed for a server listed as cold

}  // namespace

ServerChoice::ServerChoice(ChoiceOptions options, std::string own_zone, std::uint64_t seed)
    : options_(options),
      own_zone_(std::move(own_zone)),
      random_(static_cast<std::mt19937::result_type>(seed)) {}

void ServerChoice::Update(double now_ms, const fleet::ServerMap& listed) {
  std::erase_if(servers_, [&](const auto& entry) {
    const bool gone = !listed.contains(entry.first);
    if (gone) kept_.Forget(entry.first);
    return gone;
  });
  services_.clear();
  by_load_key_.clear();
  for (const auto& [id, entry] : listed) {
    Server& server = servers_[id];
    if (entry.cold && !server.entry.cold) server.cold_since_ms = now_ms;
    server.entry = entry;
    server.told.server = fleet::LoadKey(id);
    by_load_key_[server.told.server].push_back(&server);
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

bool ServerChoice::SeesFleet(double now_ms) const { return now_ms - loads_heard_ms_ <= kFleetLoadMs; }

ServerChoice::LoadSight ServerChoice::See(const std::string& service, double now_ms) const {
  const auto found = service_loads_.find(service);
  if (found == service_loads_.end() || !SeesFleet(now_ms)) return {};
  const ServiceLoad& load = found->second;
  const double age_ms = loads_age_ms_ + now_ms - loads_heard_ms_;
  return {&load, age_ms, load.requests.After(age_ms), load.prefill_tokens.After(age_ms)};
}

// Uses the fresher of the server's own report and the fleet's sums, weighted by its persistence. If no
// fleet load is available, the report decays to the mean, because a server that gets no requests sends no
// newer report.
double ServerChoice::Queue(const Server& server, const LoadSight& sight, double unreported, double now_ms) {
  const double report_age_ms = now_ms - server.reported_ms;
  const bool has_reported = server.others >= 0;
  if (sight.load == nullptr) {
    if (!has_reported) return unreported + server.own;
    return unreported + std::exp(-report_age_ms / kReportLifeMs) * (server.others - unreported) + server.own;
  }
  const double mean = sight.load->mean_requests;
  const bool report_counts = has_reported && report_age_ms < sight.age_ms;
  const double others = report_counts ? server.others : OthersRequests(server);
  const double kept = report_counts ? sight.load->requests.After(report_age_ms) : sight.requests_kept;
  return mean + kept * (others - mean) + server.own;
}

// A server is set aside after this router's own failures there, or if several other routers have set it
// aside: a single router may only have a bad link. A recent answer to this router takes precedence.
bool ServerChoice::IsAside(const Server& server, double now_ms) const {
  if (now_ms < server.aside_until_ms || !reach_.MayTry(now_ms, server.entry.zone)) return true;
  if (!SeesFleet(now_ms) || now_ms - server.answered_ms < kOwnAnswerMs) return false;
  return server.in_fleet.set_aside - server.told.set_aside >= kOthersToBelieve;
}

// Whether this is a cold server that gets no requests.
bool ServerChoice::IsProtected(const Server& server) const {
  return server.entry.cold && cold_ms_by_service_.contains(server.entry.service);
}

// How long a protected server may still be cold. The list only tells that it is cold, not for how long.
double ServerChoice::WarmInMs(const Server& server, double now_ms) const {
  const double cold_ms = cold_ms_by_service_.at(server.entry.service);
  return std::max(kLeastColdMs, server.cold_since_ms + cold_ms - now_ms);
}

// Tokens to be prefilled for requests that were sent there and have not begun.
double ServerChoice::PrefillAhead(const Server& server, const LoadSight& sight) {
  if (sight.load == nullptr) return server.prefill_tokens;
  const double mean = sight.load->mean_prefill_tokens;
  return mean + sight.prefill_kept * (OthersPrefill(server) - mean) + server.prefill_tokens;
}

// Tokens of the prompt's leading parts that the server is believed to have cached. The last part belongs to
// this request alone and is not counted. The part before it is the session's; the session's home server
// caches everything up to and including it.
double ServerChoice::SavedTokens(const Server& server, const std::string& home, const Prompt& prompt,
                                 double now_ms) const {
  double saved = 0, tokens = 0;
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    const PromptPart& part = prompt.parts[i];
    tokens += part.tokens;
    const bool of_session = i + 2 == prompt.parts.size();
    const bool at_home = of_session && server.entry.id == home;
    if (at_home || kept_.Keeps(now_ms, server.entry.id, part.chain)) saved = tokens;
  }
  return saved;
}

// The home server of the prompt's session, on which all routers agree; empty if there is no session.
std::string ServerChoice::HomeOf(const std::vector<Server*>& of_service, const Prompt& prompt,
                                 double now_ms) const {
  if (prompt.parts.size() < 2) return {};
  const std::uint64_t chain = prompt.parts[prompt.parts.size() - 2].chain;
  std::string home;
  std::uint64_t best = 0;
  for (const Server* server : of_service) {
    if (server->entry.draining || IsProtected(*server) || IsAside(*server, now_ms)) continue;
    const std::uint64_t weight = PrefixIndex::HomeWeight(chain, server->entry.id);
    if (home.empty() || weight > best) {
      home = server->entry.id;
      best = weight;
    }
  }
  return home;
}

// The reason why none of a service's servers was ranked.
ServerChoice::Answer ServerChoice::NothingLeft(double now_ms, const std::vector<Server*>& of_service,
                                               bool busy) const {
  if (busy) return {std::nullopt, Nothing::kAllBusy};
  Answer answer{std::nullopt, Nothing::kNoServer};
  for (const Server* server : of_service) {
    if (server->entry.draining || !IsProtected(*server)) continue;
    const double warm_in_ms = WarmInMs(*server, now_ms);
    const bool first = answer.why == Nothing::kNoServer;
    answer.retry_ms = first ? warm_in_ms : std::min(answer.retry_ms, warm_in_ms);
    answer.why = Nothing::kAllCold;
  }
  return answer;
}

ServerChoice::Answer ServerChoice::Choose(double now_ms, const ServerAsk& ask) {
  const auto found = services_.find(ask.service);
  if (found == services_.end()) return {std::nullopt, Nothing::kNoServer};
  const std::vector<Server*>& of_service = found->second;
  double known = 0, known_count = 0;
  for (const Server* server : of_service) {
    if (server->others < 0) continue;
    known += server->others;
    ++known_count;
  }
  const double unreported = known_count > 0 ? known / known_count : 0;
  const auto fits = [&](const Server* server) {
    return !server->entry.draining && !IsProtected(*server) &&
           std::ranges::find(ask.excluded, server->entry.id) == ask.excluded.end();
  };
  const bool all_aside = std::ranges::none_of(
      of_service, [&](const Server* server) { return fits(server) && !IsAside(*server, now_ms); });
  const FirstEventModel& model = models_[ask.service];
  const LoadSight sight = See(ask.service, now_ms);
  const std::string home = ask.prompt != nullptr ? HomeOf(of_service, *ask.prompt, now_ms) : std::string();
  std::vector<Ranked> ranking;
  bool busy = false;
  for (const Server* server : of_service) {
    if (!fits(server) || (!all_aside && IsAside(*server, now_ms))) continue;
    const double queue = Queue(*server, sight, unreported, now_ms);
    if (server->slots > 0 && queue >= kBusyShare * server->slots) {
      busy = true;
      continue;
    }
    const double uncached =
        ask.prompt == nullptr
            ? 0
            : std::max(0.0, ask.prompt->tokens_in - SavedTokens(*server, home, *ask.prompt, now_ms));
    const WorkAhead work = {uncached + PrefillAhead(*server, sight), queue};
    const double pace = server->pace.At(now_ms);
    const double expected_ms = pace * model.Expected(work);
    const double read_ms = model.MsPerToken() * uncached;
    double key = expected_ms;
    if (server->slots > 0 && queue >= server->slots)
      key += pace * model.MsPerRequest() * kWaitingRequests * (queue - server->slots + 1);
    if (server->entry.zone != own_zone_) key += kOtherZoneMs;
    key -= (1 - kEasySlope) * std::min(key, kEasyShare * ask.aim_ms);
    key += kReadAgainShare * read_ms + kBesideShare * read_ms * queue;
    ranking.push_back({server, key, Unit(), queue, uncached, expected_ms, work});
  }
  if (ranking.empty()) return NothingLeft(now_ms, of_service, busy);
  std::ranges::sort(ranking, [](const Ranked& one, const Ranked& other) {
    return one.key != other.key ? one.key < other.key : one.tie < other.tie;
  });
  const Ranked* kept = &ranking.front();
  for (int round = 0, chosen = 0; round < options_.rounds && chosen == 0; ++round) {
    for (const Ranked& candidate : ranking) {
      if (Unit() < std::min(1.0, options_.skip_per_request * candidate.queue)) continue;
      kept = &candidate;
      chosen = 1;
      break;
    }
  }
  Chosen chosen{kept->server->entry.id,
                kept->server->entry.address,
                kept->uncached_tokens,
                kept->expected_ms,
                kept->work,
                static_cast<int>(ranking.size()),
                reach_.IsCutOff(kept->server->entry.zone)};
  return {std::move(chosen), Nothing::kNone};
}

void ServerChoice::Sent(double now_ms, const std::string& id, const Chosen& chosen, const Prompt* prompt) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  loads_changed_ = true;
  reach_.Sent(now_ms, found->second.entry.zone);
  ++found->second.own;
  found->second.prefill_tokens += chosen.uncached_tokens;
  if (prompt == nullptr) return;
  kept_.Sent(now_ms, id, *prompt);
}

void ServerChoice::Begun(double now_ms, const std::string& id, const Chosen& chosen, double came_ms) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  Server& server = found->second;
  reach_.Heard(now_ms, server.entry.zone);
  server.prefill_tokens = std::max(0.0, server.prefill_tokens - chosen.uncached_tokens);
  loads_changed_ = true;
  FirstEventModel& model = models_[server.entry.service];
  server.pace.Learn(now_ms, model.Expected(chosen.work), came_ms);
  model.Learn(chosen.work, came_ms);
}

void ServerChoice::Ended(double now_ms, const std::string& id, bool begun, double uncached_tokens,
                         ServerOutcome outcome) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  Server& server = found->second;
  loads_changed_ = true;
  server.own = std::max(0, server.own - 1);
  if (!begun) server.prefill_tokens = std::max(0.0, server.prefill_tokens - uncached_tokens);
  const auto aside = [&](double least_ms) {
    server.failures = std::min(server.failures + 1, 10);
    const double pause = std::min(kAsideMostMs, kAsideFirstMs * std::exp2(server.failures - 1));
    server.aside_until_ms = now_ms + std::max(least_ms, pause * (0.5 + Unit()));
  };
  switch (outcome) {
    case ServerOutcome::kAnswered:
      reach_.Heard(now_ms, server.entry.zone);
      server.failures = 0;
      server.aside_until_ms = server.failed_until_ms = 0;
      server.answered_ms = now_ms;
      return;
    case ServerOutcome::kMisdirected:
      reach_.Heard(now_ms, server.entry.zone);
      return aside(kMisdirectedMs);
    case ServerOutcome::kFailed:
      kept_.Forget(id);
      aside(0);
      server.failed_until_ms = server.aside_until_ms;
      return;
    case ServerOutcome::kUnreachable:
      kept_.Forget(id);
      return aside(0);
    case ServerOutcome::kRejected:
      reach_.Heard(now_ms, server.entry.zone);
      server.aside_until_ms = std::max(server.aside_until_ms, now_ms + kAsideFirstMs * (0.25 + 0.5 * Unit()));
      return;
    case ServerOutcome::kLeft:
      return;
  }
}

void ServerChoice::Reported(double now_ms, const std::string& id, const LoadReport& report) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  Server& server = found->second;
  reach_.Heard(now_ms, server.entry.zone);
  server.others = std::max(0.0, report.running + report.waiting - server.own);
  server.reported_ms = now_ms;
  if (report.slots > 0) server.slots = report.slots;
}

void ServerChoice::Silent(double now_ms, const std::string& id, double since_ms) {
  const auto found = servers_.find(id);
  if (found != servers_.end()) reach_.Silent(now_ms, found->second.entry.zone, id, since_ms);
}

fleet::ServerLoads ServerChoice::TakeLoads(double now_ms, bool whole) {
  loads_changed_ = false;
  fleet::ServerLoads loads;
  loads.whole = whole;
  for (auto& [id, server] : servers_) {
    fleet::ServerLoad row = server.told;
    row.requests = server.own;
    row.prefill_tokens = static_cast<std::int32_t>(server.prefill_tokens);
    row.set_aside = now_ms < server.failed_until_ms ? 1 : 0;
    if (whole ? !row.IsNothing() : row != server.told) loads.rows.push_back(row);
    server.told = row;
  }
  return loads;
}

void ServerChoice::FleetLoads(double now_ms, const fleet::ServerLoads& loads) {
  const double interval_ms = now_ms - loads_heard_ms_;
  loads_heard_ms_ = now_ms;
  loads_age_ms_ = loads.age_ms;
  std::unordered_map<const Server*, fleet::ServerLoad> earlier;
  for (auto& [id, server] : servers_) earlier[&server] = server.in_fleet;
  if (loads.whole) {
    for (auto& [id, server] : servers_) server.in_fleet = {};
  }
  for (const fleet::ServerLoad& row : loads.rows) {
    const auto found = by_load_key_.find(row.server);
    if (found == by_load_key_.end()) continue;
    for (Server* server : found->second) server->in_fleet = row;
  }
  LearnLoads(interval_ms, earlier);
}

// Compares the received loads with those received before.
void ServerChoice::LearnLoads(double interval_ms,
                              const std::unordered_map<const Server*, fleet::ServerLoad>& earlier) {
  const auto number = [](std::int32_t value) { return static_cast<double>(value); };
  for (const auto& [service, of_service] : services_) {
    ServiceLoad& load = service_loads_[service];
    load.mean_requests = load.mean_prefill_tokens = 0;
    std::vector<LoadPersistence::Pair> requests, prefill;
    const auto count = static_cast<double>(of_service.size());
    for (const Server* server : of_service) {
      const fleet::ServerLoad& before = earlier.at(server);
      load.mean_requests += OthersRequests(*server) / count;
      load.mean_prefill_tokens += OthersPrefill(*server) / count;
      requests.push_back({number(before.requests), number(server->in_fleet.requests)});
      prefill.push_back({number(before.prefill_tokens), number(server->in_fleet.prefill_tokens)});
    }
    load.requests.Learn(interval_ms, requests);
    load.prefill_tokens.Learn(interval_ms, prefill);
  }
}

}  // namespace bitternmux::router
