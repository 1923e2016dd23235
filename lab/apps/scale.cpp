// bitternmux-lab scale SCENARIO: what a sidecar and discovery cost as the number of servers grows.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "lab/apps/commands.h"
#include "lab/scale/play.h"
#include "lab/scale/scenario.h"

namespace bitternmux::lab {
namespace {

constexpr int kExitVoid = 1;

struct Arguments {
  std::string scenario, program, json, commit;
  std::vector<int> sizes;
  int seeds = 1;
  std::optional<std::uint64_t> seed;
};

// As it would be typed, with all that was left to the scenario.
std::string CommandOf(const Arguments& arguments, const scale::Scenario& scenario) {
  std::string out = "bitternmux-lab scale " + arguments.scenario + " --seed " +
                    std::to_string(scenario.seed) + " --seeds " + std::to_string(arguments.seeds) + " --size";
  for (const int size : scenario.sizes) out += " " + std::to_string(size);
  return out;
}

// A play that was void is played again, with the same plan. The last one, if all were.
scale::Played PlayUntilGood(const scale::Scenario& scenario, const scale::Plan& plan,
                            const std::string& program) {
  for (int left = scenario.tries;; --left) {
    auto played = scale::RunPlay(scenario, plan, program, [](const std::string& phase) {
      std::cout << "  " << phase << "\n" << std::flush;
    });
    if (played.void_reason.empty() || left == 1) return played;
    std::cout << "  void, and played again: " << played.void_reason << "\n" << std::flush;
  }
}

int RunScale(const Arguments& arguments) {
  scale::Scenario scenario = scale::ReadScenario(arguments.scenario);
  // Services go by the scenario's largest size, also where a smaller one is played alone.
  const scale::Scenario whole = scenario;
  if (!arguments.sizes.empty()) scenario.sizes = arguments.sizes;
  if (arguments.seed) scenario.seed = *arguments.seed;
  // Opened first: a run is not to be played for nothing.
  if (!arguments.json.empty() && !std::ofstream(arguments.json)) {
    throw std::invalid_argument("--json: cannot write '" + arguments.json + "'");
  }
  nlohmann::ordered_json result = {{"format", 1},
                                   {"command", CommandOf(arguments, scenario)},
                                   {"commit", arguments.commit},
                                   {"machine", {{"cores", std::thread::hardware_concurrency()}}},
                                   {"void", nullptr},
                                   {"plays", nlohmann::ordered_json::array()}};
  for (const int size : scenario.sizes) {
    for (int i = 0; i < arguments.seeds; ++i) {
      const auto plan = scale::MakePlan(whole, size, scenario.seed + static_cast<std::uint64_t>(i));
      std::cout << "size " << size << ", seed " << plan.seed << ": " << plan.real << " real, " << plan.hollow
                << " hollow, " << plan.services << " services\n"
                << std::flush;
      const auto played = PlayUntilGood(scenario, plan, BesideThis(arguments.program));
      for (const auto& entry : played.entries) {
        std::string at;
        for (const auto& [name, value] : entry.sweep) at += name + " " + nlohmann::json(value).dump() + ": ";
        for (const auto& [name, value] : entry.figures) {
          std::cout << "    " << at << name << " " << nlohmann::json(value).dump() << "\n";
        }
      }
      for (const auto& play : scale::JsonOf(plan, played)) result["plays"].push_back(play);
      if (!played.void_reason.empty() && result["void"].is_null()) {
        result["void"] = "size " + std::to_string(size) + ", seed " + std::to_string(plan.seed) + ": " +
                         played.void_reason;
      }
      // After each play: what stops a later one must not take the earlier ones with it.
      if (!arguments.json.empty()) std::ofstream(arguments.json) << result.dump(1) << "\n";
    }
  }
  if (result["void"].is_null()) return 0;
  std::cout << "void: " << result["void"].get<std::string>() << "\n";
  return kExitVoid;
}

}  // namespace

void AddScale(CLI::App& app, int& code) {
  auto arguments = std::make_shared<Arguments>();
  auto* command = app.add_subcommand(
      "scale", "Real and hollow sidecars beside hundreds of servers: what each costs as they grow");
  command->add_option("SCENARIO", arguments->scenario, "The scenario, TOML")->required();
  command->add_option("--seed", arguments->seed, "The first seed; else the scenario's own");
  command->add_option("--seeds", arguments->seeds, "Plays of each size, with one seed after the other")
      ->check(CLI::Range(1, 100))
      ->capture_default_str();
  command->add_option("--size", arguments->sizes, "Servers, which are as many sidecars; else the scenario's")
      ->check(CLI::Range(1, 2000));
  command->add_option("--json", arguments->json, "Writes the result to this file too");
  command->add_option("--commit", arguments->commit, "What was built, for the JSON");
  command->add_option("--program", arguments->program,
                      "The built bitternmux; else the one beside this program");
  command->footer("Exit code: 0 done, 1 done but void as the run itself was late, 2 it could not be played.");
  command->callback([arguments, &code] { code = RunScale(*arguments); });
}

}  // namespace bitternmux::lab
