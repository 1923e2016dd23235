#include "lab/stands/loopback.h"

#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <utility>

#include "lab/stands/any_order.h"
#include "lab/stands/client_stand.h"
#include "lab/stands/discovery_stand.h"
#include "lab/stands/quote_servers.h"
#include "lab/stands/sidecars.h"
#include "lab/stands/stage.h"

namespace bitternmux::lab {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr double kLateShare = 0.01;     // of the tries that may be sent late
constexpr double kLastClaimsMs = 2000;  // for claims to end by themselves once all wishes are over
constexpr double kLookMs = 10;          // between looks at whether the run is over
constexpr std::size_t kOwnDescriptors = 64;
constexpr double kNodeShare = 0.4;      // of its descriptors, that a sidecar uses for execute nodes
constexpr std::size_t kSilentDoor = 2;  // further sockets that keep dials to a door from coming up
constexpr std::size_t kCalls = 2;       // that a sidecar has out to discovery, at the most

// What the lab holds at the most, as far as that can be known before: a door for each sidecar and place and
// what keeps doors silent, a connection for each try that may be out, and of each sidecar one to every server
// and two for each try. Connections beyond that are possible; where they do not fit the run is void.
std::size_t Descriptors(const model::Figures& figures) {
  using What = model::Step::What;
  const std::size_t sidecars = figures.sidecars.size();
  std::size_t places = 0, moves = 0, silent = 0;
  for (const auto& machine : figures.machines) {
    places = std::max(places, static_cast<std::size_t>(machine.place) + 1);
  }
  for (const model::Step& step : figures.steps) {
    moves += step.what == What::kDiscoveryMove;
    silent += step.what == What::kVanish ? sidecars : 0;
  }
  for (const model::LinkTrouble& trouble : figures.network.troubles) {
    const std::size_t own = trouble.sidecars.empty() ? sidecars : trouble.sidecars.size();
    const std::size_t other = trouble.discovery          ? 1
                              : trouble.machines.empty() ? places
                                                         : std::min(places, trouble.machines.size());
    silent += own * other;
  }
  const std::size_t doors = sidecars * (places + 2 + moves);
  silent = std::min(silent, doors);
  double longest_ms = 0, factor = 1;
  for (const model::ClassFigures& klass : figures.classes)
    longest_ms = std::max(longest_ms, klass.deadline_ms);
  for (const model::Burst& burst : figures.clients.bursts) factor = std::max(factor, burst.factor);
  const double a_second = figures.clients.rate * factor * (1 + figures.clients.swing);
  const auto tries =
      static_cast<std::size_t>(a_second * (longest_ms + figures.rules.answer_slack_ms) / 1000) + sidecars;
  const std::size_t to_nodes = std::min(
      sidecars * places + 2 * tries,
      sidecars * static_cast<std::size_t>(kNodeShare * static_cast<double>(figures.rules.descriptors)));
  return kOwnDescriptors + doors + kSilentDoor * silent + tries + to_nodes + kCalls * sidecars;
}

void RaiseDescriptors(const model::Figures& figures) {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
  const std::size_t needed = Descriptors(figures);
  if (needed > limit.rlim_max) {
    throw std::runtime_error("the run may need " + std::to_string(needed) +
                             " descriptors, and this process may hold " + std::to_string(limit.rlim_max) +
                             ": fewer sidecars or servers, or ulimit -n");
  }
}

class Run {
 public:
  Run(const model::Figures& figures, const std::string& program, std::vector<Observer*> observers)
      : stage_(io_, figures, std::move(observers)),
        servers_(stage_, [this](const http::Message& request) { return clients_.Find(request); }),
        discovery_(stage_, [this](int sidecar, int machine) { return servers_.AddressOf(sidecar, machine); }),
        sidecars_(stage_, discovery_, program),
        clients_(stage_, sidecars_),
        signals_(io_, SIGINT, SIGTERM) {}

  Played Play() {
    stage_.pace.late = [this](double by_ms) { Late(by_ms); };
    signals_.async_wait([this](const error_code& error, int) {
      if (error) return;
      played_.interrupted = true;
      stage_.Void("interrupted");
      io_.stop();
    });
    stage_.pace.Begin();
    stage_.Begin();
    servers_.Begin();
    discovery_.Begin();
    sidecars_.Begin();
    stage_.pace.At(stage_.figures.first_ms, [this] {
      if (!sidecars_.all_ready()) stage_.Void("not all sidecars were up when the arrivals began");
    });
    Look();
    io_.run();
    servers_.End();
    if (clients_.sent() > 0 &&
        static_cast<double>(clients_.sent_late()) > kLateShare * static_cast<double>(clients_.sent())) {
      stage_.Void("the lab ran late: " + std::to_string(clients_.sent_late()) + " of " +
                  std::to_string(clients_.sent()) + " tries were sent over 20 ms after they were due");
    }
    stage_.Tell(&Observer::Over);
    played_.void_reason = stage_.void_reason();
    return played_;
  }

 private:
  void Late(double by_ms) {
    stage_.Tell(&Observer::Late, static_cast<std::int64_t>(by_ms * 1000));
    if (by_ms > stage_.figures.rules.answer_slack_ms) {
      stage_.Void("the lab ran late: by " + std::to_string(static_cast<int>(by_ms)) +
                  " ms, where answers have " +
                  std::to_string(static_cast<int>(stage_.figures.rules.answer_slack_ms)));
    }
  }

  void Look() {
    const double now = stage_.pace.NowMs();
    if (!stopping_ && clients_.done() && now >= stage_.figures.first_ms) {
      if (done_ms_ < 0) done_ms_ = now;
      if (servers_.claims_out() == 0 || now > done_ms_ + kLastClaimsMs) {
        stopping_ = true;
        sidecars_.StopAll();
      }
    }
    if (stopping_ && sidecars_.all_ended()) return io_.stop();
    stage_.pace.At(now + kLookMs, [this] { Look(); });
  }

  asio::io_context io_{1};
  Stage stage_;
  QuoteServers servers_;
  DiscoveryStand discovery_;
  Sidecars sidecars_;
  ClientStand clients_;
  asio::signal_set signals_;
  Played played_;
  bool stopping_ = false;
  double done_ms_ = -1;
};

}  // namespace

Played PlayOnLoopback(const model::Figures& figures, const std::string& program,
                      std::vector<Observer*> observers) {
  RaiseDescriptors(figures);
  return std::make_unique<Run>(figures, program, std::move(observers))->Play();
}

void KeepUp(model::Figures figures, const std::string& program) {
  RaiseDescriptors(figures);
  asio::io_context io(1);
  Stage stage(io, figures, {});
  QuoteServers servers(stage, AnyOrder(stage));
  DiscoveryStand discovery(stage,
                           [&](int sidecar, int machine) { return servers.AddressOf(sidecar, machine); });
  Sidecars sidecars(stage, discovery, program);
  asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&](const error_code&, int) { io.stop(); });
  stage.pace.Begin();
  stage.Begin();
  servers.Begin();
  discovery.Begin();
  sidecars.Begin();
  const auto describe = [&] {
    std::cout << figures.name << ": " << sidecars.address(0) << " and so on answer now; Ctrl-C ends all.\n\n";
    for (std::size_t i = 0; i < figures.sidecars.size(); ++i) {
      const int sidecar = static_cast<int>(i);
      std::cout << "sidecar " << figures.sidecars[i].name << "  " << sidecars.address(sidecar)
                << "  its discovery " << discovery.AddressOf(sidecar) << "\n";
    }
    for (int machine = 0; machine < stage.fleet.size(); ++machine) {
      if (stage.fleet.state(machine) != model::MachineState::kUp) continue;
      std::cout << "server " << figures.machines[static_cast<std::size_t>(machine)].id << "  "
                << servers.AddressOf(0, machine) << " as " << figures.sidecars[0].name << " has it\n";
    }
    const auto safe = std::find_if(figures.classes.begin(), figures.classes.end(),
                                   [](const auto& klass) { return klass.repeat == model::Repeat::kSafe; });
    std::cout << "\ncurl -i http://" << sidecars.address(0) << "/up\n"
              << "curl -i http://" << discovery.AddressOf(0) << "/discovery/hosts\n"
              << "curl -iN 'http://" << discovery.AddressOf(0) << "/discovery/hosts?follow=1&since=0'\n";
    for (const auto& klass : figures.classes) {
      const bool get = klass.repeat == model::Repeat::kSafe;
      std::cout << "curl -i " << (get ? "" : "-d '{}' ")
                << "-H 'Req-Id: '$RANDOM -H 'Req-Kind: " << klass.name
                << "' -H 'Req-Deadline-Ms: " << static_cast<int>(klass.deadline_ms) << "' http://"
                << sidecars.address(0) << "/" << klass.name << "\n";
    }
    if (safe != figures.classes.end()) {
      std::cout << "bitternmux-lab load --to " << sidecars.address(0) << " --rate 50 --for 10 --class "
                << safe->name << ":GET:" << static_cast<int>(safe->deadline_ms) << "\n";
    }
    std::cout << std::flush;
  };
  std::function<void()> await = [&] {
    if (!stage.void_reason().empty()) throw std::runtime_error(stage.void_reason());
    if (sidecars.all_ready()) return describe();
    stage.pace.At(stage.pace.NowMs() + kLookMs, await);
  };
  await();
  io.run();
}

}  // namespace bitternmux::lab
