#include "sidecar/sidecar.h"

#include <sys/resource.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <cmath>
#include <csignal>
#include <cstdlib>
#include <sstream>
#include <stdexcept>

#include "admin/door.h"
#include "admin/figures.h"
#include "core/facade.h"
#include "core/job_table.h"
#include "core/left_out.h"
#include "core/retune.h"
#include "core/timer_wheel.h"
#include "core/wake_times.h"
#include "events/catalogue.h"
#include "handover/place.h"
#include "net/discovery_watch.h"
#include "net/node_pool.h"
#include "net/protocol.h"
#include "net/runtime.h"
#include "net/submitter_server.h"
#include "sidecar/starts_file.h"
#include "stall/stall_detector.h"

namespace bitternmux {
namespace {

namespace asio = boost::asio;

constexpr double kTickMs = 2;
// The wheel is turned when something is due, and at least this often: what is polled at each turn (the state,
// the log's rest) waits no longer, and Standstill tells a sleep from a standstill.
constexpr double kLongestSleepMs = 50;
constexpr int kOtherDescriptors = 24;  // standard streams, listener, watch, reactor, and some to spare
// Submitters hold a third of the descriptors for requests at most, and more for nothing; each request takes
// one connection to a node.
constexpr double kRequestShare = 1.0 / 3;
constexpr double kSubmitterShare = 0.6;
constexpr double kUnreadShare = 0.25;     // of the memory, for bodies of requests, whole or not
constexpr double kPassingShare = 0.125;   // of the memory, for large answers on their way
constexpr double kRestartWindowMs = 500;  // new connections may come for so long after SIGTERM
// The platform ends a process that was told to stop 0.7 s after the longest deadline, which it counts as 3 s
// where it is longer: all is answered by then.
constexpr double kLongestMs = 3000;
constexpr double kLastAnswersMs = 600;
constexpr double kWriteOutMs = 150;   // before that, for the answers of what is held still
constexpr double kIdleEndMs = 300;    // likewise; what idles beside a successor is closed
constexpr double kListWaitMs = 1500;  // for discovery's list, before a successor goes by the one it remembers
constexpr double kLookMs = 100;       // between two looks at which nodes are left out
constexpr double kLeftOutMs = 500;    // for so long before that is told
constexpr double kPlaceMs = 20;       // between two looks at whether another process serves here
constexpr double kFollowWaitMs = 500;  // for the place behind an elder, before it serves without that

double UnixAheadMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count() - NowMs();
}

// The descriptors that there are, and the connections in all that stay under them.
int Descriptors(int sockets) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return sockets;
  return static_cast<int>(std::min<rlim_t>(static_cast<rlim_t>(sockets), limit.rlim_cur));
}
double Connections(const Config& config) {
  const int door = config.door.empty() ? 0 : static_cast<int>(admin::kDoorPlaces) + 1;
  return std::max(8, Descriptors(config.sockets) - kOtherDescriptors - door);
}

// Says which of the addresses is busy or not allowed.
template <class Server>
void ListenAt(Server& server, const char* key, const std::string& address) {
  try {
    server.Listen(net::EndpointOf(address));
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error(std::string(key) + ": cannot listen on " + address + ": " +
                             error.code().message());
  }
}

std::string Folder() {
  const char* folder = std::getenv("TMPDIR");
  return folder == nullptr ? "" : folder;
}

}  // namespace

double NowMs() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

MachineUpdate Verify(const Config& config) {
  MachineUpdate known;
  std::vector<std::string> faults;
  try {
    Facade(config.settings, config.seed);
  } catch (const std::invalid_argument& error) {
    faults.push_back(std::string("settings: ") + error.what());
  }
  try {
    if (!config.known.is_null()) known = net::ReadMachineUpdate(config.known);
  } catch (const net::ListError& error) {
    faults.push_back(std::string("known.") + error.what());
  }
  if (!faults.empty()) throw ConfigError(faults);
  known.complete = true;
  return known;
}

class Sidecar::Impl {
 public:
  Impl(asio::io_context& io, Config config, MachineUpdate known, log::Log& log, const std::string& starts)
      : config_(std::move(config)),
        known_(std::move(known)),
        log_(log),
        io_(io),
        wakes_(NowMs(), kTickMs, kLongestSleepMs),
        wheel_(NowMs(), kTickMs, [this](double due_ms) { WakeBy(due_ms); }),
        still_(NowMs()),
        runtime_{asio::make_strand(io),
                 NowMs,
                 wheel_,
                 log,
                 [this] { Mind(); },
                 [this] { return still_.MaxUnreadMs(NowMs()); }},
        settings_(config_.settings),
        facade_(settings_, config_.seed),
        machines_(settings_),
        jobs_(settings_, facade_, machines_, log),
        pool_(runtime_, jobs_, machines_, settings_,
              static_cast<std::size_t>((1 - kSubmitterShare) * Connections(config_)),
              static_cast<std::size_t>(kPassingShare * config_.memory_mb * 1024 * 1024)),
        watch_(
            runtime_, config_.discovery, machines_, [this](const MachineUpdate& update) { Updated(update); },
            [this] {
              facade_.WatchBroken(NowMs());
              jobs_.Tick(NowMs());
            }),
        server_(runtime_, jobs_, settings_, static_cast<std::size_t>(kSubmitterShare * Connections(config_)),
                static_cast<std::size_t>(kRequestShare * Descriptors(config_.sockets)),
                static_cast<std::size_t>(kUnreadShare * config_.memory_mb * 1024 * 1024)),
        door_(runtime_, {[this] { return listening_; }, [this] { return Figures(); }}),
        place_(Folder(), config_.listen),
        starts_(starts, config_.listen, log),
        turn_(runtime_.strand),
        signals_(runtime_.strand, SIGTERM, SIGINT, SIGHUP) {
    jobs_.Attach(pool_, [this] { watch_.Watch(); });
    facade_.WhenTimerSet([this](double at_ms) { WakeBy(at_ms); });
  }

  void Start() {
    const auto held_ms = static_cast<double>(starts_.Begin());
    held_ = held_ms > 0;
    state_.at_ms = NowMs();
    if (!held_) Begin();
    if (!config_.door.empty()) OpenDoor();
    if (held_) {
      log_.Write(events::kComebackHeld,
                 {{"ms", static_cast<std::int64_t>(held_ms)}, {"failed", starts_.failed()}});
      wheel_.Add(NowMs() + held_ms, [this] {
        held_ = false;
        Begin();
        if (reload_due_) Reload();
        Serve();
      });
    } else {
      Serve();
    }
    Turn();
    AwaitSignal();
  }

 private:
  void Begin() {
    facade_.MachinesRemembered(NowMs(), machines_.Apply(known_, UnixAheadMs()));
    pool_.Prune();
    jobs_.Tick(NowMs());
  }

  // What an older process still serves is better left to it until this one goes by a list of now.
  void Serve() { place_.HasElder() ? AwaitList(NowMs() + kListWaitMs) : Listen(); }

  void OpenDoor() {
    LookForLeftOut();
    ListenAt(door_, "operator", config_.door);
    std::ostringstream address;
    address << door_.address();
    log_.Write(events::kDoorOpen, {{"address", address.view()}});
  }

  void Listen() {
    ListenAt(server_, "listen", config_.listen);
    MindPlace();
    Announce(NowMs() + kFollowWaitMs);
  }

  // Whoever is told that this process serves may end the one before it, which has to know by then.
  void Announce(double until_ms) {
    if (beside_ && !follows_ && NowMs() < until_ms) {
      wheel_.Add(NowMs() + kTickMs, [this, until_ms] { Announce(until_ms); });
      return;
    }
    listening_ = true;
    std::ostringstream address;
    address << server_.address();
    log_.Write(events::kServing, {{"address", address.view()}, {"version", BITTERNMUX_VERSION}});
  }

  void LookForLeftOut() {
    left_out_.Look(NowMs(), facade_.Avoided(NowMs()));
    wheel_.Add(NowMs() + kLookMs, [this] { LookForLeftOut(); });
  }

  void AwaitList(double until_ms) {
    if (stopping_) return;
    if (listed_ || NowMs() >= until_ms || !place_.HasElder()) return Listen();
    wheel_.Add(NowMs() + kTickMs, [this, until_ms] { AwaitList(until_ms); });
  }

  void MindPlace() {
    if (stopping_) return;
    LookAtPlace();
    wheel_.Add(NowMs() + kPlaceMs, [this] { MindPlace(); });
  }

  void LookAtPlace() {
    const bool elder = place_.HasElder();
    if (beside_ && !elder) server_.Lead();
    beside_ = elder;
    follows_ = elder && place_.Follow();
  }

  std::string Figures() {
    return admin::WriteFigures(
        jobs_.stats(), {jobs_.held(), machines_.size(), left_out_.count(), sighup_applied_, sighup_rejected_,
                        held_ ? "held" : admin::NameOf(state_.state), NowMs() - state_.at_ms});
  }

  void LookAtState() {
    if (held_) return;
    for (const cartspring::StateChange& change : facade_.StateChanges(NowMs(), state_.number)) {
      const double was_ms = change.at_ms - state_.at_ms;
      state_ = change;
      log_.Write(events::kComebackState,
                 {{"state", admin::NameOf(change.state)}, {"after_ms", static_cast<std::int64_t>(was_ms)}});
      if (change.state == cartspring::ServiceState::kFull) starts_.Full();
    }
    if (forgotten_ || state_.state != cartspring::ServiceState::kFull) return;
    forgotten_ = NowMs() >= state_.at_ms + static_cast<double>(StartHistory::kResetAfterFullMs);
    if (forgotten_) starts_.Forget();
  }

  // What discovery told while this process stood still counts before anything else that came meanwhile, and
  // before what ran out of time. So does that submitters have gone: a claim that waits for its connection
  // would else be written as that comes up.
  void Mind() {
    if (!still_.DetectStall(NowMs())) return;
    log_.Write(events::kStoodStill, {{"ms", static_cast<std::int64_t>(still_.last_stall_ms())}});
    watch_.CatchUp();
    server_.CatchUp();
  }

  void Turn() {
    wakes_.Turning();
    Mind();
    wheel_.Turn(NowMs());  // claims that ran out of time are told before the module's own timers ring
    jobs_.Tick(NowMs());
    LookAtState();
    log_.Turn();
    SetTimer(wakes_.Turned(NowMs(), std::min(wheel_.NextDueMs(kLongestSleepMs), facade_.NextTimerMs())));
  }

  void WakeBy(double due_ms) {
    if (const auto wake_ms = wakes_.Due(NowMs(), due_ms)) SetTimer(*wake_ms);
  }

  void SetTimer(double wake_ms) {
    const double ms = std::max(0.0, wake_ms - NowMs());
    turn_.expires_after(std::chrono::microseconds(std::llround(std::ceil(ms * 1000))));
    turn_.async_wait([this](const boost::system::error_code& error) {
      if (!error) Turn();
    });
  }

  void Updated(const MachineUpdate& update) {
    listed_ = true;
    const auto entries = machines_.Apply(update, UnixAheadMs());
    update.complete ? facade_.MachinesListed(NowMs(), entries) : facade_.MachinesChanged(NowMs(), entries);
    pool_.Prune();
    jobs_.Tick(NowMs());
  }

  void AwaitSignal() {
    signals_.async_wait([this](const boost::system::error_code& error, int signal) {
      if (error) return;
      signal != SIGHUP ? Stop() : held_ ? void(reload_due_ = true) : Reload();
      AwaitSignal();
    });
  }

  // The file was replaced. One that cannot be taken whole changes nothing; of one that can, discovery's
  // address and the settings are in use from the next event on.
  void Reload() {
    try {
      Config next = RereadConfig(std::getenv, config_);
      Verify(next);
      Retuned retuned = Retune(settings_, next.settings, [this](int row) { return jobs_.Holds(row); });
      facade_.Retune(retuned.settings, retuned.like);
      settings_ = std::move(retuned.settings);
      jobs_.Retuned();
      pool_.Retuned();
      log_.Write(events::kConfigReloaded, {{"discovery", next.discovery}, {"classes", ClassNames()}});
      watch_.MoveTo(next.discovery);
      next.known = nullptr;
      config_ = std::move(next);
      ++sighup_applied_;
    } catch (const std::exception& error) {
      log_.Write(events::kConfigRefused, {{"fault", error.what()}});
      ++sighup_rejected_;
    }
  }

  std::string ClassNames() const {
    std::string out;
    for (const auto& klass : settings_.classes) {
      if (!klass.retired) out.append(out.empty() ? "" : ",").append(klass.name);
    }
    return out;
  }

  // A planned restart: clients go on for a while with the connections they have and new ones, and all that is
  // held gets its answer. Where a successor listens already, new connections are its own.
  void Stop() {
    if (std::exchange(stopping_, true)) return;
    starts_.Stopped();
    if (held_) return io_.stop();
    if (listening_) LookAtPlace();  // an elder may have gone since the last look
    const bool followed = place_.HasSuccessor();
    log_.Write(events::kStopping, {{"held", jobs_.held()}, {"followed", followed}});
    log_.Write(events::kNodeConnections, {{"believed", pool_.Describe()}});
    double longest = 0;
    for (const auto& klass : settings_.classes) longest = std::max(longest, klass.deadline_ms);
    longest = std::min(longest, kLongestMs);
    if (followed) server_.Leave([this] { io_.stop(); });
    wheel_.Add(NowMs() + (followed ? longest + kIdleEndMs : kRestartWindowMs),
               [this] { server_.Close([this] { io_.stop(); }); });
    // Whoever waits longer than any class, or asked late on a connection that idled, is told, not cut off.
    wheel_.Add(NowMs() + longest + kLastAnswersMs - kWriteOutMs, [this] { jobs_.EndAll(NowMs()); });
    wheel_.Add(NowMs() + longest + kLastAnswersMs, [this] { io_.stop(); });
  }

  Config config_;  // as read last
  MachineUpdate known_;
  log::Log& log_;
  asio::io_context& io_;
  WakeTimes wakes_;
  TimerWheel wheel_;
  StallDetector still_;
  net::Runtime runtime_;
  cartspring::Settings settings_;  // in use; every part sees it as it is now
  Facade facade_;
  MachineList machines_;
  JobTable jobs_;
  net::NodePool pool_;
  net::DiscoveryWatch watch_;
  net::SubmitterServer server_;
  admin::Door door_;
  LeftOut left_out_{kLeftOutMs};
  handover::Place place_;
  StartsFile starts_;
  asio::steady_timer turn_;
  asio::signal_set signals_;
  cartspring::StateChange state_;  // the last one told
  bool forgotten_ = false;         // the starts before
  bool held_ = false;              // it takes nothing on yet, for the starts before it
  bool reload_due_ = false;        // once it does
  bool listening_ = false;
  bool beside_ = false;   // an older process still serves
  bool follows_ = false;  // and this one is the next
  bool listed_ = false;   // discovery has told of the execute nodes
  bool stopping_ = false;
  std::uint64_t sighup_applied_ = 0, sighup_rejected_ = 0;
};

Sidecar::Sidecar(asio::io_context& io, Config config, MachineUpdate known, log::Log& log,
                 const std::string& starts)
    : impl_(std::make_unique<Impl>(io, std::move(config), std::move(known), log, starts)) {}
Sidecar::~Sidecar() = default;
void Sidecar::Start() { impl_->Start(); }

}  // namespace bitternmux
