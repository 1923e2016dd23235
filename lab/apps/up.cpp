// bitternmux-lab up SCENARIO: a fleet and its sidecars, kept up for a person.
#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>
#include <memory>
#include <string>

#include "lab/apps/commands.h"
#include "lab/scenario/scenario.h"
#include "lab/stands/loopback.h"

namespace bitternmux::lab {
namespace {

struct Arguments {
  std::string scenario, program;
  std::optional<std::uint64_t> seed;
};

int RunUp(const Arguments& arguments) {
  try {
    const auto scenario = scenario::Scenario::Read(arguments.scenario);
    KeepUp(scenario.Draw(arguments.seed), BesideThis(arguments.program));
  } catch (const scenario::ScenarioError& error) {
    std::cerr << error.what() << "\n";
    return kExitUnusable;
  }
  return 0;
}

}  // namespace

std::string BesideThis(const std::string& named) {
  if (!named.empty()) return named;
  return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "bitternmux").string();
}

void AddUp(CLI::App& app, int& code) {
  auto arguments = std::make_shared<Arguments>();
  auto* command = app.add_subcommand(
      "up", "Keeps a scenario's servers, discovery and sidecars up on loopback until Ctrl-C");
  command->add_option("SCENARIO", arguments->scenario, "The scenario, TOML; its clients stay away")
      ->required();
  command->add_option("--seed", arguments->seed, "Draws another day of it; else the scenario's own");
  command->add_option("--program", arguments->program,
                      "The built bitternmux; else the one beside this program");
  command->callback([arguments, &code] { code = RunUp(*arguments); });
}

}  // namespace bitternmux::lab
