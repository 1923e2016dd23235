// bitternmux-lab check-scenario FILE: what is wrong with it?
#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>
#include <string>

#include "lab/apps/commands.h"
#include "lab/scenario/scenario.h"

namespace bitternmux::lab {
namespace {

int RunCheckScenario(const std::string& file) {
  try {
    const auto scenario = scenario::Scenario::Read(file);
    const model::Figures day = scenario.Draw();
    std::cout << scenario.name() << ": " << scenario.about() << "\n"
              << "seed " << scenario.seed() << ": " << day.sidecars.size() << " sidecars, "
              << day.length_ms / 1000 << " s, " << day.clients.rate << " wishes a second, troubles:";
    for (const auto& trouble : day.troubles) {
      std::cout << " " << trouble.name << " at " << (trouble.from_ms - day.first_ms) / 1000 << " s;";
    }
    std::cout << (day.troubles.empty() ? " none" : "") << "\n";
  } catch (const scenario::ScenarioError& error) {
    std::cerr << error.what() << "\n";
    return kExitUnusable;
  }
  return 0;
}

}  // namespace

void AddCheckScenario(CLI::App& app, int& code) {
  auto file = std::make_shared<std::string>();
  auto* command =
      app.add_subcommand("check-scenario", "Says what is wrong with a scenario, without running it");
  command->add_option("FILE", *file, "The scenario, TOML")->required();
  command->footer("Exit code: 0 nothing is wrong, 2 with one line 'file:line: key: what' for each fault.");
  command->callback([file, &code] { code = RunCheckScenario(*file); });
}

}  // namespace bitternmux::lab
