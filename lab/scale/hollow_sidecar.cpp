#include "lab/scale/hollow_sidecar.h"

#include <algorithm>
#include <boost/asio/strand.hpp>
#include <chrono>
#include <cstdio>
#include <map>
#include <mutex>

#include "core/facade.h"
#include "core/job_table.h"
#include "core/timer_wheel.h"
#include "net/discovery_watch.h"
#include "net/node_pool.h"
#include "net/runtime.h"

namespace bitternmux::lab::scale {
namespace {

namespace asio = boost::asio;

// As the program has them.
constexpr double kTickMs = 2;
constexpr double kNodeShare = 0.4;
constexpr double kPassingShare = 0.125;

constexpr int kShards = 4;

double UnixAheadMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count() - NowMs();
}

}  // namespace

class HollowSidecar::Impl {
 public:
  Impl(asio::io_context& io, Config config, double calls_per_s, std::function<void(std::int64_t)> updated)
      : config_(std::move(config)),
        updated_(std::move(updated)),
        wheel_(NowMs(), kTickMs),
        runtime_{asio::make_strand(io), NowMs, wheel_},
        facade_(config_.settings, config_.seed),
        machines_(config_.settings),
        jobs_(config_.settings, facade_, machines_),
        pool_(runtime_, jobs_, machines_, config_.settings,
              static_cast<std::size_t>(kNodeShare * config_.sockets),
              static_cast<std::size_t>(kPassingShare * config_.memory_mb * 1024 * 1024)),
        watch_(
            runtime_, config_.discovery, machines_, [this](const MachineUpdate& update) { Updated(update); },
            [this] {
              facade_.WatchBroken(NowMs());
              jobs_.Tick(NowMs());
            }),
        call_every_ms_(calls_per_s > 0 ? 1000 / calls_per_s : 0),
        call_due_ms_(NowMs() + call_every_ms_) {
    jobs_.Attach(pool_, [this] { watch_.Watch(); });
  }

  void Begin() {
    facade_.MachinesRemembered(NowMs(), machines_.Apply({0, true, {}}, UnixAheadMs()));
    pool_.Prune();
    jobs_.Tick(NowMs());
  }

  void Turn() {
    wheel_.Turn(NowMs());
    jobs_.Tick(NowMs());
    facade_.StateChanges(NowMs(), state_);
    if (call_every_ms_ > 0 && NowMs() >= call_due_ms_) Call();
  }

  std::uint64_t answered() const { return answered_; }

 private:
  void Updated(const MachineUpdate& update) {
    const auto entries = machines_.Apply(update, UnixAheadMs());
    update.complete ? facade_.MachinesListed(NowMs(), entries) : facade_.MachinesChanged(NowMs(), entries);
    pool_.Prune();
    jobs_.Tick(NowMs());
    updated_(update.revision);
  }

  void Call() {
    // What a late turn missed is not made up for: it would come all at once.
    call_due_ms_ = std::max(call_due_ms_, NowMs() - call_every_ms_) + call_every_ms_;
    char id[24];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(config_.seed << 20 | ++calls_));
    Job job;
    job.klass = static_cast<int>(calls_ % config_.settings.classes.size());
    const auto& klass = config_.settings.classes[static_cast<std::size_t>(job.klass)];
    const bool safe = klass.effect == cartspring::Effect::kSafe;
    job.request_id = id;
    job.method = safe ? "GET" : "POST";
    job.target = "/" + klass.name;
    job.headers = {{"Req-Id", id}, {"Req-Kind", klass.name}};
    if (!safe) job.body = std::make_shared<const std::string>(200, 'x');
    job.patience_ms = klass.deadline_ms;
    jobs_.Take(NowMs(), std::move(job),
               [this](const Answer& answer) { answered_ += answer.kind == Answer::Kind::kServed; });
  }

  const Config config_;
  const std::function<void(std::int64_t)> updated_;
  TimerWheel wheel_;
  net::Runtime runtime_;
  Facade facade_;
  MachineList machines_;
  JobTable jobs_;
  net::NodePool pool_;
  net::DiscoveryWatch watch_;
  const std::uint64_t state_ = 0;
  const double call_every_ms_;
  double call_due_ms_;
  std::uint64_t calls_ = 0, answered_ = 0;
};

HollowSidecar::HollowSidecar(asio::io_context& io, Config config, double calls_per_s,
                             std::function<void(std::int64_t)> updated)
    : impl_(std::make_unique<Impl>(io, std::move(config), calls_per_s, std::move(updated))) {}
HollowSidecar::~HollowSidecar() = default;
void HollowSidecar::Begin() { impl_->Begin(); }
void HollowSidecar::Turn() { impl_->Turn(); }
std::uint64_t HollowSidecar::answered() const { return impl_->answered(); }

struct HollowFleet::Shard {
  explicit Shard(int its_turn_ms) : turn_ms(its_turn_ms), turn(thread.io()) {}

  // They are turned one after the other over the time of one turn, as processes of their own would be.
  void Turn() {
    turn.async_wait([this](const boost::system::error_code& error) {
      if (error) return;
      const std::size_t each = (members.size() + kParts - 1) / kParts;
      for (std::size_t i = part * each; i < std::min(members.size(), (part + 1) * each); ++i) {
        members[i]->Turn();
      }
      part = (part + 1) % kParts;
      turn.expires_after(std::chrono::microseconds(turn_ms * 1000 / static_cast<int>(kParts)));
      Turn();
    });
  }

  static constexpr std::size_t kParts = 8;
  const int turn_ms;
  mutable std::mutex mutex;  // of reached
  // When each of them came to its latest versions, by member; a version that was passed over counts as
  // reached with the next one.
  std::vector<std::map<std::int64_t, double>> reached;
  std::size_t part = 0;
  StandThread thread;
  asio::steady_timer turn;
  std::vector<std::unique_ptr<HollowSidecar>> members;
};

HollowFleet::HollowFleet(const Scenario& scenario, const Plan& plan, const std::string& discovery) {
  for (int i = 0; i < kShards; ++i) shards_.push_back(std::make_unique<Shard>(scenario.hollow_turn_ms));
  for (int i = 0; i < plan.hollow; ++i) {
    Shard& shard = *shards_[static_cast<std::size_t>(i % kShards)];
    const auto json = ConfigOf(scenario, plan, plan.real + i, "127.0.0.1:1", discovery, "");
    const std::size_t member = shard.members.size();
    shard.reached.emplace_back();
    shard.members.push_back(std::make_unique<HollowSidecar>(
        shard.thread.io(), ReadConfig(json, [](const char*) { return nullptr; }), scenario.hollow_calls_per_s,
        [&shard, member](std::int64_t revision) {
          const std::lock_guard lock(shard.mutex);
          shard.reached[member].emplace(revision, NowMs());
        }));
  }
  for (const auto& shard : shards_) {
    shard->thread.Start();
    shard->thread.Do([&] {
      for (const auto& member : shard->members) member->Begin();
      shard->turn.expires_after(std::chrono::milliseconds(1));
      shard->Turn();
    });
  }
}

HollowFleet::~HollowFleet() {
  for (const auto& shard : shards_) shard->thread.Stop();
}

std::vector<double> HollowFleet::ReachedMs(std::int64_t revision) const {
  std::vector<double> out;
  for (const auto& shard : shards_) {
    const std::lock_guard lock(shard->mutex);
    for (const auto& versions : shard->reached) {
      const auto found = versions.lower_bound(revision);
      if (found != versions.end()) out.push_back(found->second);
    }
  }
  return out;
}

double HollowFleet::CpuMs() const {
  double sum = 0;
  for (const auto& shard : shards_) sum += shard->thread.CpuMs();
  return sum;
}

double HollowFleet::TakeWorstLateMs() {
  double worst = 0;
  for (const auto& shard : shards_) worst = std::max(worst, shard->thread.TakeWorstLateMs());
  return worst;
}

std::uint64_t HollowFleet::answered() {
  std::uint64_t sum = 0;
  for (const auto& shard : shards_) {
    sum += shard->thread.Do([&] {
      std::uint64_t of_shard = 0;
      for (const auto& member : shard->members) of_shard += member->answered();
      return of_shard;
    });
  }
  return sum;
}

}  // namespace bitternmux::lab::scale
