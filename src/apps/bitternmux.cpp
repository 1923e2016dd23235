// The real sidecar: wires the parts together, turns the wheel, and minds signals and the exit code.
#include <sys/resource.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "config/config.h"
#include "core/facade.h"
#include "core/job_table.h"
#include "core/machine_list.h"
#include "core/timer_wheel.h"
#include "net/discovery_watch.h"
#include "net/node_pool.h"
#include "net/protocol.h"
#include "net/runtime.h"
#include "net/submitter_server.h"

namespace bitternmux {
namespace {

namespace asio = boost::asio;

constexpr double kTickMs = 2;
constexpr int kOtherDescriptors = 24;  // standard streams, listener, watch, reactor, and some to spare
// Submitters hold a third of the descriptors for requests at most, and more for nothing; each request takes
// one connection to a node.
constexpr double kSubmitterShare = 0.6;
constexpr double kUnreadShare = 0.125;    // of the memory, for requests that are not whole
constexpr double kRestartWindowMs = 500;  // new connections may come for so long after SIGTERM
constexpr double kLastAnswersMs = 600;    // beyond the longest deadline; after that nobody waits any more

double NowMs() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
double UnixAheadMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count() - NowMs();
}

// Connections in all, so that they stay under the descriptors that there are.
double Connections(int sockets) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    sockets = static_cast<int>(std::min<rlim_t>(static_cast<rlim_t>(sockets), limit.rlim_cur));
  }
  return std::max(8, sockets - kOtherDescriptors);
}

class Sidecar {
 public:
  Sidecar(asio::io_context& io, const Config& config)
      : config_(config),
        io_(io),
        wheel_(NowMs(), kTickMs),
        runtime_{asio::make_strand(io), NowMs, wheel_},
        facade_(config.settings, config.seed),
        machines_(config.settings),
        jobs_(config_.settings, facade_, machines_),
        pool_(runtime_, jobs_, machines_, config_.settings,
              static_cast<std::size_t>((1 - kSubmitterShare) * Connections(config.sockets))),
        watch_(
            runtime_, config.discovery, machines_, [this](const MachineUpdate& update) { Updated(update); },
            [this] {
              facade_.WatchBroken(NowMs());
              jobs_.Tick(NowMs());
            }),
        server_(runtime_, jobs_, config_.settings,
                static_cast<std::size_t>(kSubmitterShare * Connections(config.sockets)),
                static_cast<std::size_t>(kUnreadShare * config.memory_mb * 1024 * 1024)),
        turn_(runtime_.strand),
        signals_(runtime_.strand, SIGTERM, SIGINT, SIGHUP) {
    jobs_.Attach(pool_, [this] { watch_.Watch(); });
  }

  void Start() {
    MachineUpdate known;
    try {
      if (!config_.known.is_null()) known = net::ReadMachineUpdate(config_.known);
    } catch (const net::ListError& error) {
      throw ConfigError(std::string("known.") + error.what());
    }
    known.complete = true;
    facade_.MachinesRemembered(NowMs(), machines_.Apply(known, UnixAheadMs()));
    pool_.Prune();
    jobs_.Tick(NowMs());
    server_.Listen(net::EndpointOf(config_.listen));
    Turn();
    AwaitSignal();
    std::cerr << config_.name << ": serving at " << server_.address() << "\n";
  }

 private:
  void Turn() {
    wheel_.Turn(NowMs());  // claims that ran out of time are told before the module's own timers ring
    jobs_.Tick(NowMs());
    turn_.expires_after(std::chrono::microseconds(static_cast<int>(kTickMs * 1000)));
    turn_.async_wait([this](const boost::system::error_code& error) {
      if (!error) Turn();
    });
  }

  void Updated(const MachineUpdate& update) {
    const auto entries = machines_.Apply(update, UnixAheadMs());
    update.complete ? facade_.MachinesListed(NowMs(), entries) : facade_.MachinesChanged(NowMs(), entries);
    pool_.Prune();
    jobs_.Tick(NowMs());
  }

  void AwaitSignal() {
    signals_.async_wait([this](const boost::system::error_code& error, int signal) {
      if (error) return;
      signal == SIGHUP ? Reload() : Stop();
      AwaitSignal();
    });
  }

  // The file was replaced. A file that cannot be taken changes nothing; of one that can, discovery's address
  // is taken over.
  void Reload() {
    try {
      const std::string discovery = RereadConfig(std::getenv).discovery;
      std::cerr << config_.name << ": configuration read again, discovery at " << discovery << "\n";
      watch_.MoveTo(discovery);
    } catch (const std::exception& error) {
      std::cerr << config_.name << ": configuration not taken: " << error.what() << "\n";
    }
  }

  // A planned restart: clients go on for a while with the connections they have and new ones, and all that is
  // held gets its answer.
  void Stop() {
    if (std::exchange(stopping_, true)) return;
    std::cerr << config_.name << ": told to stop, " << jobs_.held() << " jobs held\n" << pool_.Describe();
    wheel_.Add(NowMs() + kRestartWindowMs, [this] { server_.Close([this] { io_.stop(); }); });
    double longest = 0;
    for (const auto& klass : config_.settings.classes) longest = std::max(longest, klass.deadline_ms);
    wheel_.Add(NowMs() + longest + kLastAnswersMs, [this] { io_.stop(); });
  }

  const Config config_;
  asio::io_context& io_;
  TimerWheel wheel_;
  net::Runtime runtime_;
  Facade facade_;
  MachineList machines_;
  JobTable jobs_;
  net::NodePool pool_;
  net::DiscoveryWatch watch_;
  net::SubmitterServer server_;
  asio::steady_timer turn_;
  asio::signal_set signals_;
  bool stopping_ = false;
};

}  // namespace
}  // namespace bitternmux

int main() {
  // Guards against the end of whoever reads the log: a line nobody takes must not end the program.
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const auto config = bitternmux::ReadConfig([](const char* name) { return std::getenv(name); });
    boost::asio::io_context io(1);
    bitternmux::Sidecar sidecar(io, config);
    sidecar.Start();
    io.run();
  } catch (const bitternmux::ConfigError& error) {
    std::cerr << "configuration: " << error.what() << "\n";
    return 2;
  } catch (const std::exception& error) {
    std::cerr << "bitternmux: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
