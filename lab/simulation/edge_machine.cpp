#include "lab/simulation/edge_machine.h"

#include <algorithm>
#include <utility>

namespace bitternmux::lab::simulation {

EdgeMachine::EdgeMachine(Clock& clock, EdgeSurroundings& surroundings, std::string name,
                         const fleet::QuotaBounds& bounds)
    : clock_(clock), surroundings_(surroundings), name_(std::move(name)), bounds_(bounds) {}

void EdgeMachine::Boot(std::vector<std::string> seeds) {
  if (up()) return;
  seeds_ = std::move(seeds);
  ++life_;
  frozen_until_ms_ = 0;
  agent_ = std::make_unique<Agent>(1 + clock_.Below(1'000'000'000));
  if (!router_up()) BootRouter();
  Choose();
  Tick(life_);
}

void EdgeMachine::BootRouter() {
  router_ = std::make_unique<Router>(
      fleet::QuotaLedger::Options{1 + clock_.Below(1'000'000'000), clock_.now_ms(), bounds_},
      clock_.Below(1'000'000'000));
  ++router_life_;
  TickLoads(router_life_);
  if (up()) FeedRouter();
}

void EdgeMachine::KillAgent() {
  if (!up()) return;
  surroundings_.CloseLink(name_, link_);
  agent_.reset();
  buffered_.clear();
  ++life_;
  link_ = 0;
}

// What it had in work is nobody's any more.
void EdgeMachine::KillRouter() {
  router_.reset();
  TellLoads({true, {}, 0});
}

void EdgeMachine::Freeze(double for_ms) {
  frozen_until_ms_ = clock_.now_ms() + for_ms;
  clock_.At(frozen_until_ms_, [this, life = life_] {
    if (life == life_) Unfreeze();
  });
}

void EdgeMachine::Unfreeze() {
  frozen_until_ms_ = clock_.now_ms();
  auto buffered = std::exchange(buffered_, {});
  for (const std::function<void()>& input : buffered) input();
}

void EdgeMachine::Input(std::uint64_t life, std::function<void()> input) {
  if (!up() || life != life_) return;
  if (clock_.now_ms() < frozen_until_ms_) {
    buffered_.push_back(std::move(input));
  } else {
    input();
  }
}

void EdgeMachine::Tick(std::uint64_t life) {
  if (!up() || life != life_) return;
  const bool frozen = clock_.now_ms() < frozen_until_ms_;
  if (!frozen && agent_->choice.ShouldLeave(clock_.now_ms())) Choose();
  clock_.After(kTickMs, [this, life] { Tick(life); });
}

void EdgeMachine::Choose() {
  std::vector<std::string> addresses;
  for (const fleet::Member& member : agent_->follower.state().fleet.control)
    addresses.push_back(member.internal);
  for (const std::string& seed : seeds_) {
    if (std::ranges::find(addresses, seed) == addresses.end()) addresses.push_back(seed);
  }
  if (link_ != 0) surroundings_.CloseLink(name_, link_);
  source_ = agent_->choice.Choose(clock_.now_ms(), addresses);
  connected_ = false;
  link_ = ++last_link_;
  surroundings_.Dial(name_, link_, source_);
}

void EdgeMachine::Connected(std::uint64_t life, std::uint64_t link) {
  Input(life, [this, link] {
    if (link != link_) return;
    connected_ = true;
    surroundings_.ToSource(name_, link_, agent_->follower.Ask(name_));
  });
}

void EdgeMachine::DialFailed(std::uint64_t life, std::uint64_t link) {
  Input(life, [this, link] {
    if (link == link_) agent_->choice.Failed();
  });
}

void EdgeMachine::Lost(std::uint64_t life, std::uint64_t link) {
  Input(life, [this, link] {
    if (link == link_) Choose();
  });
}

void EdgeMachine::FromSource(std::uint64_t life, std::uint64_t link, const fleet::Message& message) {
  Input(life, [this, link, message] {
    if (link != link_) return;
    agent_->choice.Heard(clock_.now_ms());
    if (const auto* entry = std::get_if<fleet::FeedEntry>(&message)) return Take(*entry);
    if (const auto* grant = std::get_if<fleet::QuotaGrant>(&message)) {
      surroundings_.Granted(name_, *grant);
      if (!router_up()) return;
      router_->ledger.Granted(clock_.now_ms(), *grant);
      return QuotaChanged();
    }
    if (const auto* loads = std::get_if<fleet::ServerLoads>(&message)) return TakeFleetLoads(*loads);
    const auto* beat = std::get_if<fleet::FeedBeat>(&message);
    if (beat == nullptr) return;
    agent_->choice.Beat(clock_.now_ms(), *beat, agent_->follower.state());
    if (agent_->follower.Lacks(*beat)) surroundings_.ToSource(name_, link_, agent_->follower.Ask(name_));
  });
}

void EdgeMachine::Take(const fleet::FeedEntry& entry) {
  const fleet::FeedFollower::Applied applied = agent_->follower.Apply(entry);
  const fleet::FeedState& state = agent_->follower.state();
  fleet::FeedPublisher& publisher = agent_->publisher;
  if (applied.configuration)
    ToRouter(publisher.SetConfiguration(state.configuration_version, state.configuration));
  if (applied.servers) ToRouter(publisher.SetServers(state.list_position, state.servers));
  if (applied.fleet) ToRouter(publisher.SetFleet(state.fleet));
  if (applied.evacuations) ToRouter(publisher.SetEvacuations(state.evacuations));
  if (applied.gap) surroundings_.ToSource(name_, link_, agent_->follower.Ask(name_));
  surroundings_.ObserveEdge(name_);
}

void EdgeMachine::ToRouter(bool news) {
  if (news && router_up()) Apply(agent_->publisher.Newest());
}

void EdgeMachine::Apply(const fleet::FeedEntry& entry) {
  const fleet::FeedFollower::Applied applied = router_->follower.Apply(entry);
  const std::size_t routers = router_->follower.state().fleet.routers;
  if (applied.fleet && routers > 0) router_->ledger.SetRouters(routers);
  const bool zones_changed =
      applied.evacuations && router_->evacuated.Set(clock_.now_ms(), router_state().evacuations.zones);
  if (applied.servers || zones_changed || !router_->servers_known) UseServers();
  if (applied.gap) FeedRouter();
}

// Nothing is sent before it is known which zones are evacuated.
void EdgeMachine::UseServers() {
  const fleet::FeedState& known = router_state();
  if (known.list_position == fleet::ListPosition{} || known.evacuations.position == fleet::Position{}) return;
  router_->choice.Update(clock_.now_ms(), router_->evacuated.MarkDraining(known.servers));
  router_->servers_known = true;
}

void EdgeMachine::FeedRouter() {
  for (const fleet::FeedEntry& entry : agent_->publisher.CatchUp(router_->follower.Ask(name_))) Apply(entry);
}

// ---- Quota ----

void EdgeMachine::Request(const fleet::Tenant& tenant, double tokens) {
  if (!router_up() || router_state().configuration_version == 0) return;
  const std::uint64_t id = ++last_request_;
  switch (router_->ledger.Ask(clock_.now_ms(), id, tenant, tokens)) {
    case fleet::QuotaAnswer::kAdmitted:
      surroundings_.Admitted(name_, tokens);
      if (!holding_) Serve();
      break;
    case fleet::QuotaAnswer::kWait:
      router_->waiting[id] = tokens;
      break;
    case fleet::QuotaAnswer::kRefused:
      break;
  }
  QuotaChanged();
}

void EdgeMachine::QuotaChanged() {
  for (const fleet::QuotaRequest& request : router_->ledger.TakeRequests()) {
    Input(life_, [this, request] {
      if (connected_) surroundings_.ToSource(name_, link_, request);
    });
  }
  for (const fleet::QuotaVerdict& verdict : router_->ledger.TakeVerdicts()) {
    const auto found = router_->waiting.find(verdict.request);
    if (verdict.admitted) surroundings_.Admitted(name_, found->second);
    router_->waiting.erase(found);
  }
  if (router_->ticking || !router_->ledger.waiting()) return;
  router_->ticking = true;
  clock_.After(kQuotaTickMs, [this, life = router_life_] { TickQuota(life); });
}

void EdgeMachine::TickQuota(std::uint64_t router_life) {
  if (!router_up() || router_life != router_life_) return;
  router_->ticking = false;
  router_->ledger.Tick(clock_.now_ms());
  QuotaChanged();
}

// ---- Load ----

// A server begins to answer and ends, or hangs for good while requests are held.
void EdgeMachine::Serve() {
  constexpr double kMostTokens = 5000, kBeginsWithinMs = 300, kMostMs = 1500;
  router::ServerQuery query;
  query.service = "model";
  auto answer = router_->choice.Choose(clock_.now_ms(), query);
  if (!answer.chosen) return;
  router::ServerChoice::Chosen chosen = std::move(*answer.chosen);
  chosen.uncached_tokens = clock_.Between(0, kMostTokens);
  surroundings_.Chosen(name_, chosen.id);
  router_->choice.OnSent(clock_.now_ms(), chosen.id, chosen, nullptr);
  if (holding_) return;
  const double begins_ms = clock_.Between(1, kBeginsWithinMs);
  const auto mine = [this, life = router_life_] { return router_up() && router_life_ == life; };
  clock_.After(begins_ms, [this, mine, chosen, begins_ms] {
    if (mine()) router_->choice.OnFirstEvent(clock_.now_ms(), chosen.id, chosen, begins_ms);
  });
  clock_.After(begins_ms + clock_.Between(1, kMostMs), [this, mine, chosen] {
    const auto answered = router::ServerOutcome::kAnswered;
    if (mine()) router_->choice.OnEnded(clock_.now_ms(), chosen.id, /*begun=*/true, 0, answered);
  });
}

void EdgeMachine::HoldRequests() {
  constexpr int kHeld = 2;
  holding_ = true;
  for (int i = 0; i < kHeld && router_up(); ++i) Serve();
}

fleet::ServerLoads EdgeMachine::OwnLoads() {
  return router_->choice.TakeLoadUpdate(clock_.now_ms(), /*whole=*/true);
}

void EdgeMachine::TickLoads(std::uint64_t router_life) {
  if (!router_up() || router_life != router_life_) return;
  if (router_->evacuated.Tick(clock_.now_ms())) UseServers();
  const bool whole = clock_.now_ms() - router_->loads_refreshed_ms >= kLoadsRefreshMs;
  if (whole) router_->loads_refreshed_ms = clock_.now_ms();
  if (whole || router_->choice.loads_changed())
    TellLoads(router_->choice.TakeLoadUpdate(clock_.now_ms(), whole));
  clock_.After(kLoadsTickMs, [this, router_life] { TickLoads(router_life); });
}

void EdgeMachine::TellLoads(const fleet::ServerLoads& loads) {
  Input(life_, [this, loads] {
    if (connected_) surroundings_.ToSource(name_, link_, loads);
  });
}

void EdgeMachine::TakeFleetLoads(const fleet::ServerLoads& loads) {
  if (!router_up()) return;
  router_->choice.OnFleetLoads(clock_.now_ms(), loads);
  if (loads.whole) router_->fleet_loads.clear();
  for (const fleet::ServerLoad& row : loads.rows) router_->fleet_loads[row.server] = row;
}

}  // namespace bitternmux::lab::simulation
