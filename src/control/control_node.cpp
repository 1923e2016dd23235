#include "control/control_node.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

#include "control/node_status.h"
#include "events/fleet_catalogue.h"

namespace bitternmux::control {
namespace asio = boost::asio;
namespace {

constexpr auto kTickEvery = std::chrono::milliseconds(50);
// While adds to tallies wait for answers to probes, which are due sooner than the next tick.
constexpr auto kProbingTickEvery = std::chrono::milliseconds(static_cast<int>(fleet::kProbeEveryMs));
constexpr auto kOpenAgainAfter = std::chrono::milliseconds(200);

std::uint64_t RandomNumber() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32 | device()) | 1;
}

// SQLite keeps signed numbers.
std::uint64_t RandomStore() { return (RandomNumber() >> 1) + fleet::Replica::kMaxFirstStore + 1; }

fleet::Member MemberAt(const std::string& control, std::uint16_t internal_port) {
  return {fleet::WithPort(control, internal_port), control, 0};
}

std::vector<std::string> Zones(const fleet::NodeSettings& settings) {
  std::vector<std::string> zones = settings.zones;
  if (!settings.zone.empty()) zones.push_back(settings.zone);
  return zones;
}

std::vector<fleet::Member> MembersAt(const std::vector<std::string>& controls, std::uint16_t internal_port) {
  std::vector<fleet::Member> members;
  members.reserve(controls.size());
  for (const std::string& control : controls) members.push_back(MemberAt(control, internal_port));
  std::ranges::sort(members);
  return members;
}

}  // namespace

ControlNode::ControlNode(asio::io_context& io, fleet::NodeSettings settings, EventSink& events)
    : io_(io),
      settings_(std::move(settings)),
      events_(events),
      self_(MemberAt(settings_.control, settings_.first_internal_port)),
      incarnation_(RandomNumber()),
      seeds_(MembersAt(settings_.seeds, settings_.first_internal_port)),
      tick_(io),
      probing_tick_(io),
      budget_(std::make_shared<budget::ClientBudget>(
          budget::ClientBudget::BoundsFor(settings_.memory_mb, settings_.max_fds))),
      relief_log_(events) {}

ControlNode::~ControlNode() = default;

double ControlNode::NowMs() const {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count();
}

// ---- Start and end ----

void ControlNode::Start() {
  for (const std::string& contract : settings_.unknown_contracts)
    events_.Write(fleet_events::kContractUnknown, {{"contract", contract}});
  OpenAndServe();
}

void ControlNode::OpenAndServe() {
  if (OpenStore()) return StartServing();
  tick_.expires_after(kOpenAgainAfter);
  tick_.async_wait([this](const fleet::ErrorCode& error) {
    if (!error) OpenAndServe();
  });
}

bool ControlNode::OpenStore() {
  const double opening_ms = NowMs();
  try {
    if (!store_) {
      auto store = std::make_unique<fleet::SqliteStore>(settings_.data_dir);
      loaded_ = store->Load();
      store_ = std::move(store);
    }
    if (!OpenTallies()) return false;
    events_.Write(fleet_events::kStorageOpened, {{"took_ms", NowMs() - opening_ms}});
    return true;
  } catch (const fleet::StorageUnreadable& error) {
    events_.Write(fleet_events::kStorageUnreadable, {{"why", error.what()}});
    try {
      fleet::SqliteStore::SetAside(settings_.data_dir);
    } catch (const fleet::StorageError&) {
      return false;
    }
    return false;
  } catch (const fleet::StorageError& error) {
    if (!told_unavailable_) events_.Write(fleet_events::kStorageUnavailable, {{"why", error.what()}});
    told_unavailable_ = true;
    return false;
  }
}

bool ControlNode::OpenTallies() {
  try {
    const bool existed = fleet::SqliteTallyStore::EverExisted(settings_.data_dir);
    auto store = std::make_unique<fleet::SqliteTallyStore>(settings_.data_dir);
    loaded_tallies_ = store->Load();
    const bool fleet_begins = !loaded_ && settings_.bootstrap;
    const bool older_than_tallies = loaded_ && !existed;
    if (!tallies_lost_ && (fleet_begins || older_than_tallies)) store->MarkCaughtUp();
    tallies_caught_up_ = store->HasCaughtUp();
    tally_store_ = std::move(store);
    return true;
  } catch (const fleet::StorageUnreadable& error) {
    events_.Write(fleet_events::kStorageUnreadable, {{"why", error.what()}});
    tallies_lost_ = true;
    fleet::SqliteTallyStore::SetAside(settings_.data_dir);
    return false;
  }
}

void ControlNode::StartServing() {
  fleet::ControlCore::Options options;
  options.replica.self = self_;
  options.replica.seeds = seeds_;
  options.replica.bootstrap = settings_.bootstrap;
  options.replica.group_size = 2 * settings_.tolerated_machines + 1;
  options.replica.incarnation = incarnation_;
  options.replica.new_store = RandomStore();
  options.quota = {settings_.quota_window_s * 1000, settings_.quota_overage, settings_.quota_slack};
  options.tallies.origin = incarnation_;
  // At least one machine goes with each zone.
  options.tallies.copies = std::max(settings_.tolerated_machines, settings_.tolerated_zones) + 1;
  options.tallies.zones = settings_.tolerated_zones + 1;
  options.tallies.zone = settings_.zone;
  options.tallies.may_have_lost_disk = !tallies_caught_up_;
  options.loaded_tallies = std::move(loaded_tallies_);
  core_ =
      std::make_unique<fleet::ControlCore>(std::move(options), std::exchange(loaded_, std::nullopt), NowMs());
  StartSaving();
  ControlLinks::Handlers links;
  links.control_connected = [this](const std::string& address) {
    core_->ControlConnected(address);
    Drain();
  };
  links.from_control = [this](const std::string& address, const fleet::Message& message) {
    core_->FromControl(NowMs(), address, message);
    Drain();
  };
  links.subscribed = [this](fleet::SubscriberId id, const fleet::Subscribe& subscribe) {
    core_->Subscribed(NowMs(), id, subscribe);
    Drain();
  };
  links.from_subscriber = [this](fleet::SubscriberId id, fleet::QuotaRequest request) {
    core_->FromSubscriber(NowMs(), id, std::move(request));
    Drain();
  };
  links.loads_told = [this](fleet::SubscriberId id, const fleet::ServerLoads& loads) {
    core_->LoadsTold(id, loads);
  };
  links.lost = [this](fleet::SubscriberId id) { core_->Unsubscribed(id); };
  const fleet::Hello hello{fleet::PeerRole::kControl, settings_.node_name, self_, incarnation_};
  const std::string& listen = settings_.internal_listen.empty() ? self_.internal : settings_.internal_listen;
  links_ = std::make_unique<ControlLinks>(io_, listen, hello, budget_, std::move(links));
  platform_ = std::make_unique<PlatformList>(
      settings_.platform_address, [this](std::optional<fleet::ServerMap> servers, std::string why) {
        asio::post(io_,
                   [this, servers = std::move(servers), why = std::move(why)] { ListRead(servers, why); });
      });
  operator_service_ =
      std::make_unique<OperatorService>(*core_, events_, Zones(settings_), [this] { return Status(); });
  api_ = std::make_unique<OperatorApi>(
      settings_.control, &OperatorService::MaxBodyBytes, budget_,
      [this](ApiRequest request, ApiRespond respond) {
        asio::post(io_, [this, request = std::move(request), respond = std::move(respond)]() mutable {
          operator_service_->Serve(NowMs(), std::move(request), respond);
          Drain();
        });
      });
  Tick();
}

void ControlNode::StartSaving() {
  const auto tell_failure = [this](const std::string& why) {
    asio::post(io_, [this, why] { events_.Write(fleet_events::kSaveFailed, {{"why", why}}); });
  };
  StorageThread::Handlers saving;
  saving.saved = [this](std::uint64_t ticket) {
    asio::post(io_, [this, ticket] {
      core_->Saved(NowMs(), ticket);
      Drain();
    });
  };
  saving.failed = tell_failure;
  storage_ = std::make_unique<StorageThread>(*store_, std::move(saving));
  TallyStorageThread::Handlers storing;
  storing.saved = [this](std::uint64_t ticket) {
    asio::post(io_, [this, ticket] {
      core_->TalliesStored(NowMs(), ticket);
      Drain();
    });
  };
  storing.failed = tell_failure;
  tally_storage_ = std::make_unique<TallyStorageThread>(*tally_store_, std::move(storing));
}

void ControlNode::Stop() {
  stopping_ = true;
  if (!core_) return End();
  core_->Leave(NowMs());
}

void ControlNode::End() {
  tick_.cancel();
  probing_tick_.cancel();
  api_.reset();
  platform_.reset();
  storage_.reset();
  tally_storage_.reset();
  links_.reset();
  io_.stop();
}

void ControlNode::Reseed(const fleet::NodeSettings& settings) {
  seeds_ = MembersAt(settings.seeds, settings.first_internal_port);
  if (core_) core_->SetSeeds(seeds_);
}

// ---- The loop ----

void ControlNode::ScheduleTick() {
  tick_.expires_after(kTickEvery);
  tick_.async_wait([this](const fleet::ErrorCode& error) {
    if (!error) Tick();
  });
}

void ControlNode::Tick() {
  const double now_ms = NowMs();
  core_->Tick(now_ms);
  budget_->EndOverdue(now_ms);
  relief_log_.Tick(now_ms, *budget_);
  links_->UsePeers(core_->replica().Peers());
  Drain();
  if (stopping_ && core_->replica().MayStop(now_ms)) return End();
  ScheduleTick();
}

void ControlNode::ScheduleProbingTick() {
  if (probing_tick_scheduled_ || !core_->tallies().waits_for_probes()) return;
  probing_tick_scheduled_ = true;
  probing_tick_.expires_after(kProbingTickEvery);
  probing_tick_.async_wait([this](const fleet::ErrorCode& error) {
    if (error) return;
    probing_tick_scheduled_ = false;
    core_->TickTallies(NowMs());
    Drain();
  });
}

// Carries out what was decided.
void ControlNode::Drain() {
  fleet::ControlOutput output = core_->TakeOutput(NowMs());
  if (output.save) storage_->Save(output.save->first, std::move(output.save->second));
  for (fleet::TallyWrite& write : output.tally_writes) tally_storage_->Write(std::move(write));
  for (const fleet::ControlSend& send : output.sends) links_->Send(send);
  for (const fleet::CallAnswer& answer : output.answers) {
    if (answer.reply.outcome == fleet::CallOutcome::kTaken) {
      events_.Write(
          fleet_events::kOrderDecided,
          {{"outcome", "taken"}, {"version", answer.version}, {"evacuated_zones", answer.evacuated.size()}});
    }
    operator_service_->Answer(answer);
  }
  for (const fleet::TallyAnswer& answer : output.tally_answers) operator_service_->Answer(answer);
  for (const fleet::ControlNotice& notice : output.notices) Tell(notice);
  if (output.read_list) platform_->Read();
  ScheduleProbingTick();
}

void ControlNode::Tell(const fleet::ControlNotice& notice) {
  using Kind = fleet::ControlNotice::Kind;
  switch (notice.kind) {
    case Kind::kRole:
      return events_.Write(fleet_events::kRoleChanged, {{"role", notice.text}, {"epoch", notice.number}});
    case Kind::kMembers:
      return events_.Write(fleet_events::kMembersChanged, {{"members", notice.text}});
    case Kind::kListRoleTaken:
      return events_.Write(fleet_events::kListRoleTaken, {});
    case Kind::kQuotaRoleTaken:
      return events_.Write(fleet_events::kQuotaRoleTaken, {{"epoch", notice.number}});
    case Kind::kConfigurationUnreadable:
      return events_.Write(fleet_events::kConfigurationUnreadable, {{"why", notice.text}});
    case Kind::kSubscriberAhead:
      return events_.Write(fleet_events::kSubscriberAhead,
                           {{"subscriber", notice.text}, {"version", notice.number}});
  }
}

void ControlNode::ListRead(std::optional<fleet::ServerMap> servers, const std::string& why) {
  if (!servers) {
    events_.Write(fleet_events::kListReadFailed, {{"why", why}});
  } else if (list_fault_ != why) {
    list_fault_ = why;
    if (!why.empty()) events_.Write(fleet_events::kListEntriesUnusable, {{"entries", why}});
  }
  core_->ListRead(NowMs(), std::move(servers));
  Drain();
}

std::string ControlNode::Status() const {
  return WriteNodeStatus(settings_.node_name, *core_, operator_service_->counts(), NowMs());
}

}  // namespace bitternmux::control
