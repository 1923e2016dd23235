// bitternmux-lab depth: a chain of sidecars and servers, and what a call costs at its end.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "lab/apps/commands.h"
#include "lab/depth/plays.h"
#include "lab/load/generator.h"

namespace bitternmux::lab {
namespace {

constexpr int kExitVoid = 1;

struct Arguments {
  depth::Wanted wanted;
  std::string json, commit, command, program, mode = "both";
};

template <class Value>
std::string Listed(const std::vector<Value>& values) {
  std::ostringstream out;
  for (std::size_t i = 0; i < values.size(); ++i) out << (i > 0 ? "," : "") << values[i];
  return out.str();
}

std::string CommandOf(const Arguments& arguments) {
  const depth::Wanted& wanted = arguments.wanted;
  std::ostringstream out;
  out << "bitternmux-lab depth --mode " << arguments.mode << " --seed " << wanted.seed << " --hops "
      << Listed(wanted.hops) << " --failing " << Listed(wanted.failing) << " --failing-hop "
      << wanted.failing_hop << " --servers " << wanted.servers << " --rate " << wanted.rate << " --for "
      << wanted.seconds << " --cold-chains " << wanted.cold_chains;
  return out.str();
}

int RunDepth(const Arguments& arguments) {
  for (const int hops : arguments.wanted.hops) {
    if (arguments.wanted.failing_hop > hops) {
      throw std::invalid_argument("--failing-hop: " + std::to_string(arguments.wanted.failing_hop) +
                                  " is beyond the end of a chain of " + std::to_string(hops));
    }
  }
  // Opened first: nothing is to be played for nothing.
  std::ofstream file;
  if (!arguments.json.empty()) {
    file.open(arguments.json);
    if (!file) throw std::invalid_argument("--json: cannot write '" + arguments.json + "'");
  }
  nlohmann::json plays = nlohmann::json::array();
  const auto add = [&](nlohmann::json play) {
    depth::PrintPlays(nlohmann::json::array({play}), std::cout);
    std::cout << std::flush;
    plays.push_back(std::move(play));
  };
  if (arguments.mode != "sockets") {
    for (const auto& play : depth::VirtualPlays(arguments.wanted)) add(depth::Carry(play));
  }
  nlohmann::json void_reason = nullptr;
  if (arguments.mode != "virtual") {
    const std::string program = BesideThis(arguments.program);
    for (const auto& play : depth::SocketPlays(arguments.wanted)) {
      add(depth::Carry(play, program));
      if (plays.back()["figures"]["late_share"] > load::Result::kVoidShare) {
        void_reason = "the load ran late in a play of part depth: see late_share";
      }
    }
  }
  const nlohmann::json out = {{"format", 1},
                              {"command", arguments.command},
                              {"commit", arguments.commit},
                              {"machine", {{"cores", std::thread::hardware_concurrency()}}},
                              {"void", void_reason},
                              {"plays", plays}};
  if (file.is_open()) file << out.dump(1) << std::endl;
  if (!void_reason.is_null()) std::cerr << "void: " << void_reason.get<std::string>() << "\n";
  return void_reason.is_null() ? 0 : kExitVoid;
}

}  // namespace

void AddDepth(CLI::App& app, int& code) {
  auto arguments = std::make_shared<Arguments>();
  depth::Wanted& wanted = arguments->wanted;
  auto* command = app.add_subcommand("depth", "Plays a chain of sidecars and servers");
  command->add_option("--json", arguments->json, "Writes the result to this file");
  command->add_option("--commit", arguments->commit, "Is put into the file as it is given");
  command->add_option("--seed", wanted.seed, "Of all that is drawn")->capture_default_str();
  command->add_option("--hops", wanted.hops, "Lengths of the chain")
      ->delimiter(',')
      ->check(CLI::Range(1, 60))
      ->capture_default_str();
  command->add_option("--failing", wanted.failing, "Shares of the attempts at the failing hop that fail")
      ->delimiter(',')
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  command->add_option("--failing-hop", wanted.failing_hop, "Which hop fails, from 1; 0: the last")
      ->check(CLI::Range(0, 60))
      ->capture_default_str();
  command->add_option("--servers", wanted.servers, "Of each hop's tier")
      ->check(CLI::Range(1, 60))
      ->capture_default_str();
  command->add_option("--rate", wanted.rate, "Calls a second at the first hop")
      ->check(CLI::Range(0.1, 10'000.0))
      ->capture_default_str();
  command->add_option("--for", wanted.seconds, "Seconds of a steady play, virtual or on sockets")
      ->check(CLI::Range(0.1, 3600.0))
      ->capture_default_str();
  command->add_option("--cold-chains", wanted.cold_chains, "Fresh chains that get one call each")
      ->check(CLI::Range(1, 100'000))
      ->capture_default_str();
  command->add_option("--mode", arguments->mode, "virtual, sockets or both")
      ->check(CLI::IsMember({"virtual", "sockets", "both"}))
      ->capture_default_str();
  command->add_option("--program", arguments->program,
                      "The built bitternmux; else the one beside this program");
  command->callback([arguments, &code] {
    arguments->command = CommandOf(*arguments);
    code = RunDepth(*arguments);
  });
}

}  // namespace bitternmux::lab
