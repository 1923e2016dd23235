// bitternmux-lab run SCENARIO: plays a day.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <string>

#include "lab/apps/commands.h"
#include "lab/back/comeback.h"
#include "lab/record/writer.h"
#include "lab/scenario/scenario.h"
#include "lab/stands/loopback.h"
#include "lab/virtual/day.h"
#include "lab/virtual/phases.h"
#include "lab/virtual/recorder.h"
#include "lab/virtual/summary.h"

namespace bitternmux::lab {
namespace {

constexpr int kExitVoid = 1;
constexpr int kExitInterrupted = 130;  // as a shell has it

struct Arguments {
  std::string scenario;
  std::string mode = "virtual";
  std::optional<std::uint64_t> seed;
  std::string program;
  bool phases = false, back = false;
  std::string record, json;
};

void WriteJson(const std::string& file, const std::string& text) {
  if (file == "-") {
    std::cout << text << "\n";
    return;
  }
  std::ofstream out(file);
  if (!(out << text << "\n") || !out.flush()) throw std::runtime_error(file + ": cannot be written");
}

Played Play(const Arguments& arguments, const model::Figures& figures,
            const std::vector<Observer*>& observers) {
  if (arguments.mode != "virtual") return PlayOnLoopback(figures, BesideThis(arguments.program), observers);
  Day day(figures, observers);
  day.Run();
  return {};
}

int RunRun(const Arguments& arguments) {
  std::optional<scenario::Scenario> scenario;
  try {
    scenario = scenario::Scenario::Read(arguments.scenario);
  } catch (const scenario::ScenarioError& error) {
    std::cerr << error.what() << "\n";
    return kExitUnusable;
  }
  const model::Figures figures = scenario->Draw(arguments.seed);
  Summary summary(figures, arguments.mode);
  Phases phases(figures);
  std::vector<Observer*> observers = {&summary};
  if (arguments.phases) observers.push_back(&phases);
  std::unique_ptr<record::FileSink> sink;
  std::unique_ptr<record::Writer> writer;
  std::unique_ptr<Recorder> recorder;
  if (!arguments.record.empty()) {
    sink = std::make_unique<record::FileSink>(arguments.record);
    writer = std::make_unique<record::Writer>(
        *sink, HeaderOf(figures, arguments.mode, BITTERNMUX_LAB_VERSION, scenario->text()));
    recorder = std::make_unique<Recorder>(figures, *writer);
    observers.push_back(recorder.get());
  }
  Comeback comeback(figures);
  if (arguments.back) observers.push_back(&comeback);
  Played played = Play(arguments, figures, observers);
  const model::Figures calm_figures = WithoutTroubles(figures);
  Comeback calm(calm_figures);
  if (arguments.back && played.void_reason.empty()) played = Play(arguments, calm_figures, {&calm});
  const bool told = arguments.back && played.void_reason.empty();  // half a pair tells nothing
  if (arguments.json != "-" && arguments.record != "-") {
    std::cout << summary.Text();
    if (arguments.phases) std::cout << phases.Text();
    if (told) std::cout << comeback.Text(calm);
  }
  if (!arguments.json.empty()) {
    auto json = summary.ToJson();
    if (told) json["comeback"] = comeback.ToJson(calm);
    WriteJson(arguments.json, json.dump(1));
  }
  if (played.void_reason.empty()) return 0;
  std::cerr << "void: " << played.void_reason << "\n";
  return played.interrupted ? kExitInterrupted : kExitVoid;
}

}  // namespace

void AddRun(CLI::App& app, int& code) {
  auto arguments = std::make_shared<Arguments>();
  auto* command = app.add_subcommand("run", "Plays a scenario and says what its clients got");
  command->add_option("SCENARIO", arguments->scenario, "The scenario, TOML")->required();
  command
      ->add_option("--mode", arguments->mode,
                   "virtual: simulated time, all in this process; loopback: built sidecars between stand-ins "
                   "on sockets, in real time")
      ->check(CLI::IsMember({"virtual", "loopback"}))
      ->capture_default_str();
  command->add_option("--seed", arguments->seed, "Draws another day of it; else the scenario's own");
  command->add_option("--program", arguments->program,
                      "loopback: the built bitternmux; else the one beside this program");
  command->add_flag("--phases", arguments->phases,
                    "Prints what the clients got before, during and after the troubles");
  command->add_flag(
      "--back", arguments->back,
      "Plays the day also without its troubles, and prints how soon full service was there again "
      "and what came at once");
  command->add_option("--record", arguments->record,
                      "Writes all that passed to this file; - is standard output");
  command->add_option("--json", arguments->json, "Writes the summary to this file; - is standard output");
  command->footer(
      "Exit code: 0 played, 1 void (the lab ran late, or a sidecar ended by itself), 2 it cannot be played, "
      "130 interrupted.");
  command->callback([arguments, &code] { code = RunRun(*arguments); });
}

}  // namespace bitternmux::lab
