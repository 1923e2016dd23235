#include "fleet/control/control_core.h"

#include <algorithm>
#include <utility>

namespace bitternmux::fleet {
namespace {

constexpr double kGrantContactMs = 500;  // an owner grants quota on a majority's word that is no older

// Loads are told so often at the most, and so that they cost the subscribers of one machine no more.
constexpr double kLoadsEveryMs = 50;
constexpr double kLoadBytesPerMs = 500;
constexpr double kLoadRowBytes = 8, kLoadFrameBytes = 60;
constexpr double kLoadsRefreshMs = 1000;  // after which all rows are told again
constexpr double kLoadsGoneMs = 2500;     // after which those of a silent control machine are dropped
const char* const kOwnLoads = "";         // the source of this machine's own sums

bool IsAboutTallies(const Message& message) {
  return std::holds_alternative<TallyState>(message) || std::holds_alternative<TallyStored>(message) ||
         std::holds_alternative<TallyFetch>(message) || std::holds_alternative<TallyPiece>(message);
}

}  // namespace

const char* NameOf(Replica::Role role) {
  switch (role) {
    case Replica::Role::kLearner:
      return "learner";
    case Replica::Role::kFollower:
      return "follower";
    case Replica::Role::kCandidate:
      return "candidate";
    case Replica::Role::kOwner:
      return "owner";
  }
  return "";
}

namespace {

// A machine that is no member yet has joined with an empty disk, in this life or in one before it.
TallyLedger::Options TallyOptions(TallyLedger::Options options, const Replica& replica) {
  if (replica.role() == Replica::Role::kLearner) options.may_have_lost_disk = true;
  return options;
}

}  // namespace

ControlCore::ControlCore(Options options, std::optional<DurableState> loaded, double now_ms)
    : first_seeds_(options.replica.seeds),
      replica_(options.replica, std::move(loaded), now_ms),
      calls_(replica_),
      list_reader_(options.replica.self.internal, options.replica.incarnation),
      publisher_(options.replica.incarnation),
      grantor_(options.quota),
      tallies_(TallyOptions(options.tallies, replica_), std::move(options.loaded_tallies), now_ms) {
  PublishMembers();
  UseTallyPeers(now_ms);
}

void ControlCore::ToControl(const std::string& address, Message message) {
  output_.sends.push_back({address, 0, std::move(message)});
}

void ControlCore::ToAllControl(const Message& message) {
  for (const Member& peer : replica_.Peers()) ToControl(peer.internal, message);
}

void ControlCore::ToSubscriber(SubscriberId id, Message message) {
  output_.sends.push_back({"", id, std::move(message)});
}

// ---- Events ----

void ControlCore::Tick(double now_ms) {
  replica_.Tick(now_ms);
  calls_.Tick(now_ms);
  TendList(now_ms);
  if (now_ms - beat_ms_ >= kFeedBeatMs) Beat(now_ms);
  if (LoadsDue(now_ms)) TellLoads(now_ms);
  UseTallyPeers(now_ms);
  tallies_.Tick(now_ms);
}

void ControlCore::FromControl(double now_ms, const std::string& address, const Message& message) {
  if (const auto* grant = std::get_if<QuotaGrant>(&message)) return GrantQuota(*grant);
  if (const auto* request = std::get_if<QuotaRequest>(&message)) return AskQuota(now_ms, *request, true);
  if (const auto* reading = std::get_if<ListReading>(&message)) {
    if (list_.Take(now_ms, *reading)) return Publish(publisher_.SetServers(list_.content(), list_.servers()));
    if (reading->position > list_.newest()) ToControl(address, ListRequest{list_.newest()});
    return;
  }
  if (std::holds_alternative<ListRequest>(message)) return TellWholeList(address);
  if (const auto* report = std::get_if<ListReport>(&message)) {
    ServerMap servers;
    for (const ServerEntry& entry : report->servers) servers[entry.id] = entry;
    return Report(now_ms, report->assignment, std::move(servers));
  }
  if (const auto* assignment = std::get_if<ListAssignment>(&message)) {
    return list_reader_.Assigned(*assignment);
  }
  if (const auto* load = std::get_if<FeedLoad>(&message)) {
    return router_count_.Told(now_ms, address, load->subscribers);
  }
  if (const auto* loads = std::get_if<ServerLoads>(&message)) {
    loads_heard_ms_[address] = now_ms;
    return fleet_loads_.Set(address, *loads);
  }
  if (IsAboutTallies(message)) return tallies_.Receive(now_ms, address, message);
  replica_.Receive(now_ms, address, message);
}

// It may have missed what was told on an earlier link.
void ControlCore::ControlConnected(const std::string& address) { TellWholeList(address); }

void ControlCore::TellWholeList(const std::string& address) {
  if (replica_.role() != Replica::Role::kOwner || list_.newest().epoch != replica_.epoch()) return;
  ToControl(address, list_.Whole());
}

void ControlCore::Subscribed(double now_ms, SubscriberId id, const Subscribe& subscribe) {
  subscribers_[id] = subscribe.subscriber;
  const bool configuration_ahead = subscribe.configuration_version > publisher_.state().configuration_version;
  const bool list_ahead =
      publisher_.state().list_position != ListPosition{} && subscribe.servers > list_.newest();
  if (configuration_ahead || list_ahead) {
    output_.notices.push_back(
        {ControlNotice::Kind::kSubscriberAhead, subscribe.subscriber, subscribe.configuration_version});
  }
  for (FeedEntry& entry : publisher_.CatchUp(subscribe)) ToSubscriber(id, std::move(entry));
  ToSubscriber(id, BeatNow(now_ms));
}

void ControlCore::Unsubscribed(SubscriberId id) {
  subscribers_.erase(id);
  own_loads_.Drop(std::to_string(id));
}

void ControlCore::FromSubscriber(double now_ms, SubscriberId id, QuotaRequest request) {
  const auto found = subscribers_.find(id);
  if (found == subscribers_.end()) return;
  // `asker`: this machine's address, a space, and the agent's name.
  request.asker = replica_.self().internal + " " + found->second;
  AskQuota(now_ms, std::move(request), false);
}

void ControlCore::Put(double now_ms, std::uint64_t call, Order order) {
  calls_.Put(now_ms, call, std::move(order));
}

void ControlCore::Evacuate(double now_ms, std::uint64_t call, EvacuationOrder order) {
  calls_.Evacuate(now_ms, call, std::move(order));
}

void ControlCore::Get(double now_ms, std::uint64_t call) { calls_.Get(now_ms, call); }

void ControlCore::Saved(double now_ms, std::uint64_t ticket) { replica_.Saved(now_ms, ticket); }

void ControlCore::Leave(double now_ms) { replica_.Leave(now_ms); }

void ControlCore::SetSeeds(std::vector<Member> seeds) { replica_.SetSeeds(std::move(seeds)); }

ControlOutput ControlCore::TakeOutput(double now_ms) {
  if (replica_.role() != told_role_) calls_.Tick(now_ms);  // calls may have waited for that
  const bool begins_to_act = replica_.epoch() != assigner_.assignment().epoch && replica_.Acting(now_ms);
  if (begins_to_act) TendList(now_ms);  // the list is wanted at once
  ReplicaOutput decided = replica_.TakeOutput();
  output_.save = std::move(decided.save);
  for (auto& [to, message] : decided.sends) ToControl(to, std::move(message));
  PublishCommitted(now_ms);
  for (const Decision& decision : decided.decisions) calls_.Decided(now_ms, decision);
  for (const ReadOutcome& outcome : decided.reads) {
    if (outcome.id < kConfirmations) {
      calls_.ReadDone(now_ms, outcome);
    } else if (outcome.id == confirmation_ && outcome.current) {
      PublishList(now_ms);
    }
  }
  const ShardValue& committed = replica_.committed().value;
  for (CallReply& reply : calls_.TakeReplies()) {
    CallAnswer answer{std::move(reply), committed.version, nullptr, committed.evacuated};
    if (answer.reply.outcome == CallOutcome::kRead) answer.configuration = CommittedConfiguration();
    output_.answers.push_back(std::move(answer));
  }
  TakeTallies();
  TellRole();
  // Who waits for contact with an owner is told at once that there is one.
  const bool fresh = replica_.Fresh(now_ms);
  if (fresh && !was_fresh_) Beat(now_ms);
  was_fresh_ = fresh;
  return std::exchange(output_, {});
}

// Answers that nobody has read yet share one copy.
std::shared_ptr<const std::string> ControlCore::CommittedConfiguration() {
  const std::string& text = replica_.committed().value.configuration;
  if (!read_configuration_ || *read_configuration_ != text)
    read_configuration_ = std::make_shared<const std::string>(text);
  return read_configuration_;
}

// ---- Tallies ----

void ControlCore::UseTallyPeers(double now_ms) {
  std::vector<std::string> addresses;
  for (const Member& member : replica_.Group()) addresses.push_back(member.internal);
  tallies_.SetPeers(now_ms, addresses);
}

void ControlCore::AddToTally(double now_ms, std::uint64_t call, TallyAdd add) {
  tallies_.Add(now_ms, call, std::move(add));
}

void ControlCore::ReadTally(double now_ms, std::uint64_t call, const std::string& tally) {
  tallies_.Read(now_ms, call, tally);
}

void ControlCore::TalliesStored(double now_ms, std::uint64_t ticket) { tallies_.Stored(now_ms, ticket); }

void ControlCore::TickTallies(double now_ms) { tallies_.Tick(now_ms); }

void ControlCore::TakeTallies() {
  TallyOutput decided = tallies_.TakeOutput();
  for (auto& [to, message] : decided.sends) ToControl(to, std::move(message));
  output_.tally_writes = std::move(decided.writes);
  output_.tally_answers = std::move(decided.answers);
}

void ControlCore::TellRole() {
  if (replica_.epoch() == told_epoch_ && replica_.role() == told_role_) return;
  told_epoch_ = replica_.epoch();
  told_role_ = replica_.role();
  output_.notices.push_back({ControlNotice::Kind::kRole, NameOf(told_role_), told_epoch_.counter});
}

// ---- The feed ----

void ControlCore::Publish(bool news) {
  if (news && !subscribers_.empty()) output_.sends.push_back({"", 0, publisher_.Newest()});
}

void ControlCore::ConfigureGrantor(double now_ms) {
  const ShardValue& value = replica_.committed().value;
  if (value.version == 0) return;
  try {
    grantor_.Configure(now_ms, ReadConfiguration(value.configuration));
  } catch (const ConfigurationError& error) {
    output_.notices.push_back({ControlNotice::Kind::kConfigurationUnreadable, error.what(), value.version});
  }
}

void ControlCore::PublishCommitted(double now_ms) {
  const ShardValue& value = replica_.committed().value;
  const bool owner = replica_.role() == Replica::Role::kOwner;
  const bool begins = owner && granting_epoch_ != replica_.epoch() && replica_.Acting(now_ms);
  const bool news = value.version > publisher_.state().configuration_version;
  if (owner) grantor_.SetDrained(value.drained);
  if (owner && (news || begins)) ConfigureGrantor(now_ms);
  if (begins) {
    granting_epoch_ = replica_.epoch();
    wanted_drained_.reset();
    if (value.version > 0) TakeGrantingOver(now_ms);
  }
  if (news) Publish(publisher_.SetConfiguration(value.version, value.configuration));
  Publish(publisher_.SetEvacuations({replica_.committed().position, value.evacuated}));
  PublishMembers();
}

// While members are being exchanged the group of before is still needed: the new one is told once it stands
// alone.
void ControlCore::PublishMembers() {
  if (!replica_.committed().value.previous_members.empty()) return;
  FleetView view = publisher_.state().fleet;
  view.control = replica_.committed().value.members;
  if (view.control.empty()) view.control = first_seeds_;
  if (view.control != publisher_.state().fleet.control) {
    std::string members;
    for (const Member& member : view.control) members += member.internal + " ";
    output_.notices.push_back({ControlNotice::Kind::kMembers, members, 0});
  }
  Publish(publisher_.SetFleet(std::move(view)));
}

// Each tells all others, and each sums up for itself.
void ControlCore::CountRouters(double now_ms) {
  const auto own = static_cast<std::uint32_t>(subscribers_.size());
  router_count_.Told(now_ms, replica_.self().internal, own);
  ToAllControl(FeedLoad{own});
  FleetView view = publisher_.state().fleet;
  view.routers = router_count_.Total(now_ms);
  Publish(publisher_.SetFleet(std::move(view)));
}

FeedBeat ControlCore::BeatNow(double now_ms) const {
  return {publisher_.feed(), publisher_.offset(), replica_.Fresh(now_ms),
          publisher_.state().configuration_version, list_.newest()};
}

void ControlCore::Beat(double now_ms) {
  beat_ms_ = now_ms;
  CountRouters(now_ms);
  if (!subscribers_.empty()) output_.sends.push_back({"", 0, BeatNow(now_ms)});
}

// ---- Load ----

void ControlCore::LoadsTold(SubscriberId id, const ServerLoads& loads) {
  if (subscribers_.contains(id)) own_loads_.Set(std::to_string(id), loads);
}

bool ControlCore::LoadsDue(double now_ms) const {
  const double bytes = kLoadFrameBytes + kLoadRowBytes * static_cast<double>(load_rows_);
  const double span_ms = static_cast<double>(subscribers_.size()) * bytes / kLoadBytesPerMs;
  return now_ms - loads_told_ms_ >= std::max(kLoadsEveryMs, span_ms);
}

// The routers that this machine feeds tell it at once; what the others' routers have is as old as the word of
// their control machine.
float ControlCore::LoadsAgeMs(double now_ms) const {
  double sum_ms = 0;
  for (const auto& [address, heard_ms] : loads_heard_ms_) sum_ms += now_ms - heard_ms;
  return static_cast<float>(sum_ms / static_cast<double>(loads_heard_ms_.size() + 1));
}

// A machine that waits to join is named by the owner alone: it is told as it tells.
void ControlCore::TellLoadsToControl(const ServerLoads& own) {
  ToAllControl(own);
  const std::vector<Member> peers = replica_.Peers();
  for (const auto& [address, heard_ms] : loads_heard_ms_) {
    if (std::ranges::find(peers, address, &Member::internal) == peers.end()) ToControl(address, own);
  }
}

void ControlCore::TellLoads(double now_ms) {
  loads_told_ms_ = now_ms;
  std::erase_if(loads_heard_ms_, [&](const auto& entry) {
    const bool gone = now_ms - entry.second > kLoadsGoneMs;
    if (gone) fleet_loads_.Drop(entry.first);
    return gone;
  });
  const bool refresh = now_ms - loads_refreshed_ms_ >= kLoadsRefreshMs;
  if (refresh) loads_refreshed_ms_ = now_ms;
  ServerLoads own = own_loads_.TakeChanges();
  fleet_loads_.Set(kOwnLoads, own);
  if (refresh) own = own_loads_.All();
  if (refresh || !own.rows.empty()) TellLoadsToControl(own);
  ServerLoads fleet = fleet_loads_.TakeChanges();
  load_rows_ = fleet.rows.size();
  if (refresh) fleet = fleet_loads_.All();
  fleet.age_ms = LoadsAgeMs(now_ms);
  if ((refresh || !fleet.rows.empty()) && !subscribers_.empty())
    output_.sends.push_back({"", 0, std::move(fleet)});
}

// ---- The platform's list ----

void ControlCore::TendList(double now_ms) {
  if (replica_.Acting(now_ms)) {
    const std::vector<LiveProcess> live = replica_.LiveMembers(now_ms);
    const auto self = std::ranges::find(live, replica_.self().internal, &LiveProcess::internal);
    const bool begins = assigner_.assignment().epoch != replica_.epoch();
    if (begins && self != live.end()) assigner_.Begin(now_ms, replica_.epoch(), *self);
    const bool changed = assigner_.Tick(now_ms, live) || begins;
    if (changed || now_ms - assigned_ms_ >= kHeartbeatMs) {
      assigned_ms_ = now_ms;
      list_reader_.Assigned(assigner_.assignment());
      ToAllControl(assigner_.assignment());
    }
  }
  if (list_reader_.ShouldRead(now_ms, replica_.epoch(), replica_.Fresh(now_ms))) output_.read_list = true;
  if (list_reader_.acting() && !was_reading_) {
    output_.notices.push_back({ControlNotice::Kind::kListRoleTaken, "", 0});
  }
  was_reading_ = list_reader_.acting();
}

void ControlCore::ListRead(double now_ms, std::optional<ServerMap> servers) {
  const auto under = list_reader_.Ended();
  if (!servers || !under) return;
  if (replica_.role() == Replica::Role::kOwner) return Report(now_ms, *under, std::move(*servers));
  const auto owner = replica_.Owner(now_ms);
  if (!owner) return;
  ListReport report{*under, {}};
  for (auto& [id, entry] : *servers) report.servers.push_back(std::move(entry));
  ToControl(owner->internal, std::move(report));
}

void ControlCore::Report(double now_ms, const ListAssignment& under, ServerMap servers) {
  if (!replica_.Acting(now_ms) || under.epoch != replica_.epoch()) return;
  if (!assigner_.Heard(now_ms, under)) return;
  unconfirmed_list_ = std::move(servers);
  replica_.Read(now_ms, ++confirmation_);
}

void ControlCore::PublishList(double now_ms) {
  if (!unconfirmed_list_ || replica_.role() != Replica::Role::kOwner) return;
  ToAllControl(list_.Publish(now_ms, replica_.epoch(), std::move(*unconfirmed_list_)));
  unconfirmed_list_.reset();
  Publish(publisher_.SetServers(list_.content(), list_.servers()));
}

// ---- Quota ----

// Who granted before had to hear from a majority, of which one at least has voted for this owner since; how
// long that one had heard no owner bounds how long the former one may still grant.
void ControlCore::TakeGrantingOver(double now_ms) {
  const Accession& accession = replica_.accession();
  grantor_.TakeOver(now_ms, accession.elected_ms + kGrantContactMs - accession.owner_silent_ms);
  output_.notices.push_back({ControlNotice::Kind::kQuotaRoleTaken, "", replica_.epoch().counter});
}

void ControlCore::AskQuota(double now_ms, QuotaRequest request, bool passed_on) {
  const bool grants = replica_.Acting(now_ms) && granting_epoch_ == replica_.epoch();
  if (grants && replica_.ConfirmedWithin(now_ms, kGrantContactMs)) {
    GrantQuota(grantor_.Ask(now_ms, request));
    return TellDrained(now_ms);
  }
  const auto owner = replica_.Owner(now_ms);
  if (owner && owner->internal != replica_.self().internal && !passed_on) {
    ToControl(owner->internal, std::move(request));
  }
}

void ControlCore::TellDrained(double now_ms) {
  std::vector<std::string> wanted = grantor_.WantedDrained(now_ms);
  if (wanted == wanted_drained_) return;
  wanted_drained_ = wanted;
  replica_.SetDrained(now_ms, std::move(wanted));
}

void ControlCore::GrantQuota(const QuotaGrant& grant) {
  const auto space = grant.asker.find(' ');
  if (space == std::string::npos) return;
  const std::string address = grant.asker.substr(0, space);
  if (address != replica_.self().internal) return ToControl(address, grant);
  const std::string name = grant.asker.substr(space + 1);
  for (const auto& [id, subscriber] : subscribers_) {
    if (subscriber == name) return ToSubscriber(id, grant);
  }
}

}  // namespace bitternmux::fleet
