#include "agent/agent.h"

#include <algorithm>
#include <chrono>
#include <random>

#include "events/fleet_catalogue.h"

namespace bitternmux::agent {
namespace asio = boost::asio;
namespace {

constexpr auto kTickEvery = std::chrono::milliseconds(100);
constexpr double kBeatMs = 400;

std::uint64_t RandomNumber() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32 | device()) | 1;
}

}  // namespace

Agent::Agent(asio::io_context& io, const fleet::NodeSettings& settings, EventSink& events)
    : io_(io),
      events_(events),
      node_name_(settings.node_name),
      listen_(settings.agent_listen),
      internal_port_(settings.first_internal_port),
      publisher_(RandomNumber()),
      source_(RandomNumber()),
      budget_(std::make_shared<budget::ClientBudget>(
          budget::ClientBudget::BoundsFor(settings.memory_mb, settings.max_fds))),
      relief_log_(events),
      tick_(io) {
  Reseed(settings);
}

void Agent::Reseed(const fleet::NodeSettings& settings) {
  seeds_.clear();
  for (const std::string& seed : settings.seeds) seeds_.push_back(fleet::WithPort(seed, internal_port_));
}

double Agent::NowMs() const {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count();
}

void Agent::Start() {
  listener_ = std::make_unique<fleet::LinkListener>(
      io_, fleet::EndpointFromText(listen_), budget_,
      [this](fleet::tcp::socket socket) { Accepted(std::move(socket)); });
  Choose();
  Tick();
}

void Agent::Stop() {
  tick_.cancel();
  if (control_) control_->Stop();
  io_.stop();
}

void Agent::Tick() {
  const double now_ms = NowMs();
  if (source_.ShouldLeave(now_ms)) {
    if (source_.behind()) events_.Write(fleet_events::kSourceBehind, {{"control", control_address_}});
    Choose();
  }
  if (now_ms - beat_ms_ >= kBeatMs) Beat();
  relief_log_.Tick(now_ms, *budget_);
  tick_.expires_after(kTickEvery);
  tick_.async_wait([this](const fleet::ErrorCode& error) {
    if (!error) Tick();
  });
}

// ---- The control machines ----

std::vector<std::string> Agent::ControlAddresses() const {
  std::vector<std::string> addresses;
  for (const fleet::Member& member : follower_.state().fleet.control) addresses.push_back(member.internal);
  for (const std::string& seed : seeds_) {
    if (std::ranges::find(addresses, seed) == addresses.end()) addresses.push_back(seed);
  }
  return addresses;
}

// Goes on to the next control machine; agents begin at different ones.
void Agent::Choose() {
  const std::vector<std::string> addresses = ControlAddresses();
  if (addresses.empty()) return;
  if (control_) control_->Stop();
  control_address_ = source_.Choose(NowMs(), addresses);
  fleet::Dialer::Handlers handlers;
  handlers.connected = [this](const LinkPointer& link) {
    link->Send(fleet::Hello{fleet::PeerRole::kAgent, node_name_, {}, publisher_.feed()});
    link->Send(follower_.Ask(node_name_));
    events_.Write(fleet_events::kFeedConnected, {{"control", control_address_}});
  };
  handlers.received = [this](const LinkPointer& link, fleet::Message message) {
    FromControl(link, std::move(message));
  };
  handlers.lost = [this] {
    events_.Write(fleet_events::kFeedLost, {{"control", control_address_}});
    asio::post(io_, [this] { Choose(); });
  };
  handlers.failed = [this] { source_.Failed(); };
  control_ = std::make_shared<fleet::Dialer>(io_, control_address_, std::move(handlers));
  control_->Start();
}

void Agent::FromControl(const LinkPointer& link, fleet::Message message) {
  if (!control_ || control_->link() != link) return;
  source_.Heard(NowMs());
  if (const auto* entry = std::get_if<fleet::FeedEntry>(&message)) return Take(*entry);
  if (const auto* beat = std::get_if<fleet::FeedBeat>(&message)) {
    if (source_.Beat(NowMs(), *beat, follower_.state())) Beat();
    if (follower_.Lacks(*beat)) link->Send(follower_.Ask(node_name_));
    return;
  }
  if (const auto* grant = std::get_if<fleet::QuotaGrant>(&message)) {
    for (const auto& [key, router] : routers_) router->Send(*grant);
    return;
  }
  if (std::holds_alternative<fleet::ServerLoads>(message)) {
    for (const auto& [key, router] : routers_) router->Send(message);
  }
}

void Agent::Take(const fleet::FeedEntry& entry) {
  const fleet::FeedFollower::Applied applied = follower_.Apply(entry);
  const fleet::FeedState& state = follower_.state();
  if (applied.configuration)
    Publish(publisher_.SetConfiguration(state.configuration_version, state.configuration));
  if (applied.servers) Publish(publisher_.SetServers(state.list_position, state.servers));
  if (applied.fleet) Publish(publisher_.SetFleet(state.fleet));
  if (applied.evacuations) Publish(publisher_.SetEvacuations(state.evacuations));
  if (applied.gap && control_ && control_->link()) control_->link()->Send(follower_.Ask(node_name_));
}

// ---- The router ----

void Agent::Accepted(fleet::tcp::socket socket) {
  const auto link = std::make_shared<fleet::Link>(
      std::move(socket),
      [this](const LinkPointer& from, fleet::Message message) { FromRouter(from, std::move(message)); },
      [this](const LinkPointer& from) { RouterLost(from); });
  if (link->FindsPlace(budget_)) link->Start();
}

// What it had in work is nobody's any more. A connection that never was a router's had nothing.
void Agent::RouterLost(const LinkPointer& link) {
  if (routers_.erase(link.get()) == 0) return;
  if (control_ && control_->link()) control_->link()->Send(fleet::ServerLoads{true, {}});
}

void Agent::FromRouter(const LinkPointer& link, fleet::Message message) {
  if (const auto* subscribe = std::get_if<fleet::Subscribe>(&message)) {
    routers_[link.get()] = link;
    for (const fleet::FeedEntry& entry : publisher_.CatchUp(*subscribe)) link->Send(entry);
    return link->Send(CurrentBeat());
  }
  if (const auto* request = std::get_if<fleet::QuotaRequest>(&message)) {
    if (control_ && control_->link()) control_->link()->Send(*request);
    return;
  }
  if (std::holds_alternative<fleet::ServerLoads>(message) && control_ && control_->link()) {
    control_->link()->Send(message);
  }
}

void Agent::Publish(bool news) {
  if (!news) return;
  const auto frame = std::make_shared<const std::string>(fleet::EncodeFrame(publisher_.Newest()));
  for (const auto& [key, router] : routers_) router->SendFrame(frame, routers_.size());
}

fleet::FeedBeat Agent::CurrentBeat() const {
  const bool fresh = control_ && control_->link() && source_.Fresh(NowMs());
  const fleet::FeedState& state = follower_.state();
  return {publisher_.feed(), publisher_.offset(), fresh, state.configuration_version, state.list_position};
}

void Agent::Beat() {
  beat_ms_ = NowMs();
  const fleet::FeedBeat beat = CurrentBeat();
  for (const auto& [key, router] : routers_) router->Send(beat);
}

}  // namespace bitternmux::agent
