#include "control/control_node.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "events/fleet_catalogue.h"
#include "fleet/validation/validation.h"

namespace bitternmux::control {
namespace asio = boost::asio;
namespace {

constexpr auto kTickEvery = std::chrono::milliseconds(50);
constexpr double kFeedBeatMs = 400;
constexpr double kCallMs = 2500;  // for an order or a read to be decided
constexpr std::size_t kMaxBodyBytes = 5 * 1024 * 1024;
// Of a bucket that another machine granted from before. With what routers may use meanwhile it stays inside
// the overage.
constexpr double kGrantorStartShare = 0.35;

std::uint64_t RandomNumber() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32 | device()) | 1;
}

fleet::Member MemberAt(const std::string& control, std::uint16_t internal_port) {
  return {fleet::WithPort(control, internal_port), control};
}

std::vector<fleet::Member> MembersAt(const std::vector<std::string>& controls, std::uint16_t internal_port) {
  std::vector<fleet::Member> members;
  for (const std::string& control : controls) members.push_back(MemberAt(control, internal_port));
  std::ranges::sort(members);
  return members;
}

ApiResponse Fault(int status, const std::string& why) {
  return {status, nlohmann::json{{"error", why}}.dump(), "", 0};
}

const char* NameOf(fleet::Replica::Role role) {
  using Role = fleet::Replica::Role;
  switch (role) {
    case Role::kRecovering:
      return "recovering";
    case Role::kLearner:
      return "learner";
    case Role::kFollower:
      return "follower";
    case Role::kCandidate:
      return "candidate";
    case Role::kOwner:
      return "owner";
  }
  return "";
}

}  // namespace

ControlNode::ControlNode(asio::io_context& io, fleet::NodeSettings settings, EventSink& events)
    : io_(io),
      settings_(std::move(settings)),
      events_(events),
      self_(MemberAt(settings_.control, settings_.first_internal_port)),
      incarnation_(RandomNumber()),
      tick_(io),
      seeds_(MembersAt(settings_.seeds, settings_.first_internal_port)),
      publisher_(incarnation_),
      list_role_(NowMs()),
      grantor_(settings_.quota_slack) {}

ControlNode::~ControlNode() = default;

double ControlNode::NowMs() const {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count();
}

void ControlNode::Start() {
  const double opening_ms = NowMs();
  store_ = std::make_unique<fleet::SqliteStore>(settings_.data_dir);
  events_.Write(fleet_events::kStorageOpened, {{"took_ms", NowMs() - opening_ms}});
  fleet::Replica::Options options;
  options.self = self_;
  options.seeds = seeds_;
  options.bootstrap = settings_.bootstrap;
  options.group_size = 2 * settings_.tolerated_machines + 1;
  options.incarnation = incarnation_;
  replica_ = std::make_unique<fleet::Replica>(std::move(options), store_->Load(), NowMs());
  storage_ = std::make_unique<StorageThread>(
      *store_, StorageThread::Handlers{[this](std::uint64_t ticket) {
                                         asio::post(io_, [this, ticket] {
                                           replica_->Saved(NowMs(), ticket);
                                           Drain();
                                         });
                                       },
                                       [this](const std::string& why) {
                                         asio::post(io_, [this, why] {
                                           events_.Write(fleet_events::kSaveFailed, {{"why", why}});
                                         });
                                       }});
  listener_ = std::make_unique<fleet::LinkListener>(
      io_, fleet::EndpointFromText(self_.internal),
      [this](fleet::tcp::socket socket) { Accepted(std::move(socket)); });
  platform_ = std::make_unique<PlatformList>(
      settings_.platform_address, [this](std::optional<fleet::ServerMap> servers, std::string why) {
        asio::post(io_,
                   [this, servers = std::move(servers), why = std::move(why)] { ListRead(servers, why); });
      });
  api_ = std::make_unique<OperatorApi>(
      settings_.control, kMaxBodyBytes, [this](ApiRequest request, ApiRespond respond) {
        asio::post(io_, [this, request = std::move(request), respond = std::move(respond)]() mutable {
          Serve(std::move(request), std::move(respond));
        });
      });
  PublishFleet();
  Tick();
}

void ControlNode::Stop() {
  tick_.cancel();
  for (const auto& [address, dialer] : peers_) dialer->Stop();
  api_.reset();
  platform_.reset();
  storage_.reset();
  io_.stop();
}

void ControlNode::Reseed(const fleet::NodeSettings& settings) {
  seeds_ = MembersAt(settings.seeds, settings.first_internal_port);
}

void ControlNode::ScheduleTick() {
  tick_.expires_after(kTickEvery);
  tick_.async_wait([this](const fleet::ErrorCode& error) {
    if (!error) Tick();
  });
}

void ControlNode::Tick() {
  const double now_ms = NowMs();
  replica_->Tick(now_ms);
  TendPeers();
  TendList();
  ExpireCalls();
  Drain();
  if (now_ms - beat_ms_ >= kFeedBeatMs) Beat();
  ScheduleTick();
}

// Carries out what the replica wants done.
void ControlNode::Drain() {
  fleet::ReplicaOutput output = replica_->TakeOutput();
  if (output.save) storage_->Save(output.save->first, std::move(output.save->second));
  for (const auto& [to, message] : output.sends) SendTo(to, message);
  PublishCommitted();
  for (const fleet::Decision& decision : output.decisions) Decided(decision);
  for (const fleet::ReadOutcome& outcome : output.reads) ReadDone(outcome);
  if (replica_->epoch() != published_epoch_ || replica_->role() != told_role_) {
    published_epoch_ = replica_->epoch();
    told_role_ = replica_->role();
    events_.Write(fleet_events::kRoleChanged, {{"role", NameOf(told_role_)}, {"epoch", published_epoch_}});
  }
  // Who waits for contact with an owner is told at once that there is one.
  const bool fresh = replica_->Fresh(NowMs());
  if (fresh && !was_fresh_) Beat();
  was_fresh_ = fresh;
}

// ---- Links ----

void ControlNode::TendPeers() {
  std::vector<fleet::Member> wanted = replica_->Peers();
  for (const fleet::Member& seed : seeds_) {
    if (seed.internal != self_.internal && std::ranges::find(wanted, seed) == wanted.end())
      wanted.push_back(seed);
  }
  std::erase_if(peers_, [&](const auto& entry) {
    const bool stays = std::ranges::any_of(wanted, [&](const auto& m) { return m.internal == entry.first; });
    if (!stays) entry.second->Stop();
    return !stays;
  });
  for (const fleet::Member& member : wanted) {
    if (peers_.contains(member.internal)) continue;
    fleet::Dialer::Handlers handlers;
    handlers.connected = [this](const LinkPointer& link) {
      link->Send(fleet::Hello{fleet::PeerRole::kControl, settings_.node_name, self_, incarnation_});
      if (list_role_.acting())
        link->Send(fleet::ListReading{
            list_role_.newest(), fleet::MakeServersChange({}, {}, newest_servers_, list_role_.newest())});
    };
    // Answers of a machine that has no link of its own to this one yet come back on this link.
    handlers.received = [this, address = member.internal](const LinkPointer&, const fleet::Message& message) {
      FromControl(address, message);
    };
    handlers.lost = [] {};
    const auto dialer = std::make_shared<fleet::Dialer>(io_, member.internal, std::move(handlers));
    peers_[member.internal] = dialer;
    dialer->Start();
  }
}

void ControlNode::SendTo(const std::string& address, const fleet::Message& message) {
  const auto found = peers_.find(address);
  if (found != peers_.end() && found->second->link()) return found->second->link()->Send(message);
  // One that is not known yet, as it has just come: it is answered where it asked.
  for (const auto& [key, from] : control_links_) {
    if (from == address) return accepted_.at(key)->Send(message);
  }
}

void ControlNode::Accepted(fleet::tcp::socket socket) {
  const auto link = std::make_shared<fleet::Link>(
      std::move(socket),
      [this](const LinkPointer& from, fleet::Message message) { Received(from, std::move(message)); },
      [this](const LinkPointer& from) { Lost(from); });
  accepted_[link.get()] = link;
  link->Start();
}

void ControlNode::Lost(const LinkPointer& link) {
  accepted_.erase(link.get());
  control_links_.erase(link.get());
  if (subscribers_.erase(link.get()) > 0) PublishFleet();
}

void ControlNode::Received(const LinkPointer& link, fleet::Message message) {
  if (const auto* hello = std::get_if<fleet::Hello>(&message)) {
    if (hello->role == fleet::PeerRole::kControl) control_links_[link.get()] = hello->member.internal;
    return;
  }
  if (const auto* subscribe = std::get_if<fleet::Subscribe>(&message)) {
    subscribers_[link.get()] = {link, subscribe->subscriber};
    for (const fleet::FeedEntry& entry : publisher_.CatchUp(*subscribe)) link->Send(entry);
    link->Send(fleet::FeedBeat{publisher_.feed(), publisher_.offset(), replica_->Fresh(NowMs())});
    return PublishFleet();
  }
  if (auto* request = std::get_if<fleet::QuotaRequest>(&message)) return AskQuota(link, std::move(*request));
  const auto from = control_links_.find(link.get());
  if (from != control_links_.end()) FromControl(from->second, message);
}

void ControlNode::FromControl(const std::string& address, const fleet::Message& message) {
  if (const auto* grant = std::get_if<fleet::QuotaGrant>(&message)) return GrantQuota(*grant);
  if (const auto* reading = std::get_if<fleet::ListReading>(&message)) return TakeReading(*reading);
  if (const auto* load = std::get_if<fleet::FeedLoad>(&message)) {
    return router_count_.Told(NowMs(), address, load->subscribers);
  }
  replica_->Receive(NowMs(), address, message);
  Drain();
}

// ---- The operator's API ----

void ControlNode::Serve(ApiRequest request, ApiRespond respond) {
  if (request.path == "/status" && request.method == "GET") return respond({200, Status(), "", 0});
  if (request.path != "/config") return respond(Fault(404, "no such path; there is /config, and /status"));
  if (request.method == "GET") return ServeGet(respond);
  if (request.method == "PUT") return ServePut(std::move(request), respond);
  respond(Fault(405, "GET or PUT"));
}

// True: the call was answered, since this machine is not the owner.
bool ControlNode::Redirect(const ApiRespond& respond) {
  if (replica_->role() == fleet::Replica::Role::kOwner) return false;
  const auto owner = replica_->Owner(NowMs());
  if (owner && owner->internal != self_.internal) {
    respond({307, "", "http://" + owner->control + "/config", 0});
  } else {
    respond(Fault(503, "no owner of the configuration is known; try again or elsewhere"));
  }
  return true;
}

void ControlNode::ServePut(ApiRequest request, const ApiRespond& respond) {
  if (request.if_match_malformed || !request.if_match) {
    return respond(Fault(400, "If-Match has to name the version that the change builds on"));
  }
  if (Redirect(respond)) return;
  fleet::Order order;
  try {
    order.version = fleet::ValidateConfiguration(request.body).version;
  } catch (const fleet::ConfigurationError& error) {
    return respond(Fault(400, error.what()));
  }
  order.builds_on = *request.if_match;
  order.digest = fleet::DigestOf(request.body);
  order.text = std::move(request.body);
  const std::uint64_t id = ++last_call_;
  orders_[id] = {respond, NowMs()};
  replica_->Propose(NowMs(), id, std::move(order));
  Drain();
}

void ControlNode::ServeGet(const ApiRespond& respond) {
  if (Redirect(respond)) return;
  const std::uint64_t id = ++last_call_;
  reads_[id] = {respond, NowMs()};
  replica_->Read(NowMs(), id);
  Drain();
}

void ControlNode::Decided(const fleet::Decision& decision) {
  const auto found = orders_.find(decision.id);
  if (found == orders_.end()) return;
  const ApiRespond respond = std::move(found->second.respond);
  orders_.erase(found);
  const std::uint64_t version = replica_->committed().value.version;
  switch (decision.outcome) {
    case fleet::OrderOutcome::kTaken:
      events_.Write(fleet_events::kOrderDecided, {{"outcome", "taken"}, {"version", version}});
      return respond({200, nlohmann::json{{"version", version}}.dump(), "", 0});
    case fleet::OrderOutcome::kConflict:
      return respond(Fault(412, "version " + std::to_string(version) + " is in place"));
    case fleet::OrderOutcome::kOld:
      return respond(Fault(400, "the version is not above " + std::to_string(version)));
    case fleet::OrderOutcome::kNotOwner:
      return respond(Fault(503, "this machine is no longer the owner; send the same again"));
  }
}

void ControlNode::ReadDone(const fleet::ReadOutcome& outcome) {
  const auto found = reads_.find(outcome.id);
  if (found == reads_.end()) return;
  const ApiRespond respond = std::move(found->second.respond);
  reads_.erase(found);
  if (!outcome.current) return respond(Fault(503, "this machine is no longer the owner"));
  const fleet::ShardValue& value = replica_->committed().value;
  if (value.version == 0) return respond(Fault(404, "there is no configuration yet"));
  respond({200, value.configuration, "", 0});
}

// An order that is not decided in time may still be taken: the answer promises nothing.
void ControlNode::ExpireCalls() {
  const double now_ms = NowMs();
  for (auto* calls : {&orders_, &reads_}) {
    for (auto at = calls->begin(); at != calls->end();) {
      if (now_ms - at->second.asked_ms < kCallMs) {
        ++at;
        continue;
      }
      at->second.respond(Fault(504, "not decided in time; send the same again"));
      at = calls->erase(at);
    }
  }
}

std::string ControlNode::Status() const {
  nlohmann::json members = nlohmann::json::array();
  for (const fleet::Member& member : replica_->committed().value.members) members.push_back(member.control);
  return nlohmann::json{{"node", settings_.node_name},
                        {"role", NameOf(replica_->role())},
                        {"epoch", replica_->epoch()},
                        {"fresh", replica_->Fresh(NowMs())},
                        {"version", replica_->committed().value.version},
                        {"members", members},
                        {"servers", publisher_.state().servers.size()},
                        {"reads_platform_list", list_role_.acting()},
                        {"platform_list_age_ms", NowMs() - list_role_.heard_ms()},
                        {"subscribers", subscribers_.size()}}
      .dump();
}

// ---- The feed ----

void ControlNode::Publish(bool news) {
  if (!news || subscribers_.empty()) return;
  const auto frame = std::make_shared<const std::string>(fleet::EncodeFrame(publisher_.Newest()));
  for (const auto& [key, subscriber] : subscribers_) subscriber.link->SendFrame(frame);
}

void ControlNode::PublishCommitted() {
  const fleet::ShardValue& value = replica_->committed().value;
  const bool owner = replica_->role() == fleet::Replica::Role::kOwner;
  const bool begins = owner && granting_epoch_ != replica_->epoch() && replica_->Fresh(NowMs());
  if (value.version > publisher_.state().configuration_version || begins) {
    try {
      if (owner && value.version > 0)
        grantor_.Configure(NowMs(), fleet::ReadConfiguration(value.configuration));
    } catch (const fleet::ConfigurationError& error) {
      events_.Write(fleet_events::kConfigurationUnreadable, {{"why", error.what()}});
    }
  }
  if (begins) {
    granting_epoch_ = replica_->epoch();
    if (value.version > 0) grantor_.Begin(NowMs(), kGrantorStartShare);
  }
  if (value.version > publisher_.state().configuration_version) {
    Publish(publisher_.SetConfiguration(value.version, value.configuration));
  }
  PublishFleet();
}

void ControlNode::PublishFleet() {
  fleet::FleetView view;
  view.control = replica_->committed().value.members;
  if (view.control.empty()) view.control = seeds_;
  view.routers = publisher_.state().fleet.routers;
  if (view.control != publisher_.state().fleet.control) {
    std::string members;
    for (const fleet::Member& member : view.control) members += member.internal + " ";
    events_.Write(fleet_events::kMembersChanged, {{"members", members}});
  }
  Publish(publisher_.SetFleet(std::move(view)));
}

// Each tells all others, and each sums up for itself.
void ControlNode::CountRouters() {
  const double now_ms = NowMs();
  const auto own = static_cast<std::uint32_t>(subscribers_.size());
  router_count_.Told(now_ms, self_.internal, own);
  for (const auto& [address, dialer] : peers_) {
    if (dialer->link()) dialer->link()->Send(fleet::FeedLoad{own});
  }
  fleet::FleetView view = publisher_.state().fleet;
  view.routers = router_count_.Total(now_ms);
  Publish(publisher_.SetFleet(std::move(view)));
}

void ControlNode::Beat() {
  beat_ms_ = NowMs();
  CountRouters();
  const fleet::FeedBeat beat{publisher_.feed(), publisher_.offset(), replica_->Fresh(beat_ms_)};
  const auto frame = std::make_shared<const std::string>(fleet::EncodeFrame(beat));
  for (const auto& [key, subscriber] : subscribers_) subscriber.link->SendFrame(frame);
}

// ---- The platform's list ----

std::size_t ControlNode::Rank() const {
  std::vector<std::string> order = {self_.internal};
  for (const fleet::Member& member : replica_->Peers()) order.push_back(member.internal);
  std::ranges::sort(order);
  return static_cast<std::size_t>(std::ranges::find(order, self_.internal) - order.begin());
}

void ControlNode::TendList() {
  const bool before = list_role_.acting();
  if (!list_role_.ShouldRead(NowMs(), Rank())) return;
  if (!before) events_.Write(fleet_events::kListRoleTaken, {});
  platform_->Read();
}

void ControlNode::ListRead(std::optional<fleet::ServerMap> servers, const std::string& why) {
  if (!servers) {
    list_role_.Failed();
    events_.Write(fleet_events::kListReadFailed, {{"why", why}});
    return;
  }
  const fleet::ListPosition position = list_role_.Read(NowMs());
  if (position == fleet::ListPosition{}) return;
  const bool changed = *servers != newest_servers_ || position.reading == 1;
  newest_servers_ = std::move(*servers);
  fleet::ListReading reading{position, std::nullopt};
  if (changed) reading.change = fleet::MakeServersChange({}, {}, newest_servers_, position);
  for (const auto& [address, dialer] : peers_) {
    if (dialer->link()) dialer->link()->Send(reading);
  }
  Publish(publisher_.SetServers(position, newest_servers_));
}

void ControlNode::TakeReading(const fleet::ListReading& reading) {
  if (!list_role_.Hear(NowMs(), reading.position)) return;
  if (reading.change) {
    newest_servers_.clear();
    for (const fleet::ServerEntry& entry : reading.change->changed) newest_servers_[entry.id] = entry;
  }
  Publish(publisher_.SetServers(reading.position, newest_servers_));
}

// ---- Quota ----

// `asker` of a request that is passed on: this machine's address, a space, and the agent's name.
void ControlNode::AskQuota(const LinkPointer& link, fleet::QuotaRequest request) {
  if (request.asker.empty()) {
    const auto found = subscribers_.find(link.get());
    if (found == subscribers_.end()) return;
    request.asker = self_.internal + " " + found->second.name;
  }
  if (replica_->role() == fleet::Replica::Role::kOwner && granting_epoch_ == replica_->epoch()) {
    return GrantQuota(grantor_.Ask(NowMs(), request));
  }
  const auto owner = replica_->Owner(NowMs());
  if (owner && owner->internal != self_.internal && !control_links_.contains(link.get()))
    SendTo(owner->internal, request);
}

void ControlNode::GrantQuota(const fleet::QuotaGrant& grant) {
  const auto space = grant.asker.find(' ');
  if (space == std::string::npos) return;
  const std::string address = grant.asker.substr(0, space);
  if (address != self_.internal) return SendTo(address, grant);
  const std::string name = grant.asker.substr(space + 1);
  for (const auto& [key, subscriber] : subscribers_) {
    if (subscriber.name == name) return subscriber.link->Send(grant);
  }
}

}  // namespace bitternmux::control
