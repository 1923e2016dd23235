// bitternmux-lab stand NAME: one stand-in alone, in the foreground. A further one is a function that adds its
// arguments, and a line in kStandIns.
#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "lab/apps/commands.h"
#include "lab/stands/solo.h"

namespace bitternmux::lab {
namespace {

const char kListen[] = "ip:port to listen on; port 0: any";

void Say(const std::string& name, const std::string& address, const std::string& ask) {
  std::cout << name << " at " << address << "; Ctrl-C ends it\n" << ask << std::endl;
}

struct QuoteServer {
  std::string listen;
  model::NodeFigures node;
  double work_ms = 10, spoilt = 0, warm_s = 15;
  bool cold = false;
  std::string idle_end = "close";
};

void RunQuoteServer(const QuoteServer& arguments) {
  model::Figures figures = SoloFigures();
  figures.classes.front().work_ms = arguments.work_ms;
  model::MachineFigures& machine = figures.machines.emplace_back();
  machine.id = "stand-in";
  machine.node = arguments.node;
  machine.node.warm_ms = arguments.warm_s * 1000;
  machine.node.idle_end = arguments.idle_end == "close"   ? model::IdleEnd::kClose
                          : arguments.idle_end == "reset" ? model::IdleEnd::kReset
                                                          : model::IdleEnd::kForget;
  machine.from_start = !arguments.cold;
  if (arguments.cold) figures.steps.push_back({0, model::Step::What::kStart, 0, 0});
  if (arguments.spoilt > 0) figures.steps.push_back({0, model::Step::What::kSpoil, 0, arguments.spoilt});
  ServeQuotes(figures, arguments.listen, [](const std::string& address) {
    Say("quote server", address,
        "curl -i -H 'Req-Id: 1' -H 'Req-Deadline-Ms: 500' http://" + address + "/any\ncurl -i http://" +
            address + "/metrics/load");
  });
}

void AddQuoteServer(CLI::App& stand, const char* name, const char* about) {
  auto arguments = std::make_shared<QuoteServer>();
  auto* command = stand.add_subcommand(name, about);
  model::NodeFigures& node = arguments->node;
  const auto share = CLI::Range(0.0, 1.0);
  const auto above = CLI::Range(0.001, 1e6);
  command->add_option("--listen", arguments->listen, kListen)->required();
  command->add_option("--work-ms", arguments->work_ms, "Work of a request, on a standard core")
      ->check(above)
      ->capture_default_str();
  command->add_option("--cores", node.cores, "Cores")->check(above)->capture_default_str();
  command->add_option("--speed", node.speed, "Of a core, in standard cores")
      ->check(above)
      ->capture_default_str();
  command->add_option("--slots", node.slots, "Requests in work at a time")
      ->check(CLI::Range(1, 100'000))
      ->capture_default_str();
  command->add_option("--room", node.room, "Requests that may wait; the next is declined")
      ->check(CLI::Range(0, 100'000))
      ->capture_default_str();
  command->add_flag("--cold", arguments->cold, "Starts cold");
  command->add_option("--cold-from", node.cold_from, "Share of its capacity that it then has")
      ->check(CLI::Range(0.01, 1.0))
      ->capture_default_str();
  command->add_option("--warm-s", arguments->warm_s, "Seconds of work until it is warm")
      ->check(above)
      ->capture_default_str();
  command->add_option("--errors", node.error_rate, "Share answered with an error after the work")
      ->check(share);
  command->add_option("--spoilt", arguments->spoilt, "Share of the answers that is spoilt")->check(share);
  command->add_option("--connections", node.connections, "Connections that it holds open")
      ->check(CLI::Range(1, 100'000))
      ->capture_default_str();
  command->add_option("--idle-ms", node.idle_ms, "It ends a connection that has idled so long")
      ->check(above)
      ->capture_default_str();
  command->add_option("--idle-end", arguments->idle_end, "and how")
      ->check(CLI::IsMember({"close", "reset", "forget"}))
      ->capture_default_str();
  command->callback([arguments] { RunQuoteServer(*arguments); });
}

struct Discovery {
  std::string listen;
  std::vector<std::string> members;
};

void RunDiscovery(const Discovery& arguments) {
  model::Figures figures = SoloFigures();
  std::vector<std::string> addresses;
  for (const std::string& member : arguments.members) {
    const auto equals = member.find('=');
    if (equals == 0 || equals == member.npos) {
      throw std::invalid_argument("--member: '" + member + "' is no ID=IP:PORT");
    }
    model::MachineFigures& machine = figures.machines.emplace_back();
    machine.id = member.substr(0, equals);
    machine.place = static_cast<int>(addresses.size());
    addresses.push_back(member.substr(equals + 1));
  }
  ServeDiscovery(figures, addresses, arguments.listen, [](const std::string& address) {
    Say("discovery", address,
        "curl -i http://" + address + "/discovery/hosts\ncurl -iN 'http://" + address +
            "/discovery/hosts?follow=1&since=0'");
  });
}

void AddDiscovery(CLI::App& stand, const char* name, const char* about) {
  auto arguments = std::make_shared<Discovery>();
  auto* command = stand.add_subcommand(name, about);
  command->add_option("--listen", arguments->listen, kListen)->required();
  command->add_option("--member", arguments->members, "A quote server as ID=IP:PORT; may be given again");
  command->callback([arguments] { RunDiscovery(*arguments); });
}

struct StandIn {
  const char* name;
  const char* about;
  void (*add)(CLI::App& stand, const char* name, const char* about);
};
constexpr StandIn kStandIns[] = {
    {"quote-server", "An execute node: works off requests, declines, warms up, reports its load",
     AddQuoteServer},
    {"discovery", "The list of quote servers, whole or followed", AddDiscovery},
};

}  // namespace

void AddStand(CLI::App& app, int&) {
  auto* stand = app.add_subcommand("stand", "Runs one stand-in alone, in the foreground, until Ctrl-C");
  stand->require_subcommand(1);
  for (const StandIn& one : kStandIns) one.add(*stand, one.name, one.about);
}

}  // namespace bitternmux::lab
