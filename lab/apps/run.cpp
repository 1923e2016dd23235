// bitternmux-lab run SCENARIO: plays a day.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <string>

#include "lab/apps/commands.h"
#include "lab/record/writer.h"
#include "lab/scenario/scenario.h"
#include "lab/virtual/day.h"
#include "lab/virtual/recorder.h"
#include "lab/virtual/summary.h"

namespace bitternmux::lab {
namespace {

struct Arguments {
  std::string scenario;
  std::string mode = "virtual";
  std::optional<std::uint64_t> seed;
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

int RunRun(const Arguments& arguments) {
  std::optional<scenario::Scenario> scenario;
  try {
    scenario = scenario::Scenario::Read(arguments.scenario);
  } catch (const scenario::ScenarioError& error) {
    std::cerr << error.what() << "\n";
    return kExitUnusable;
  }
  const model::Figures figures = scenario->Draw(arguments.seed);
  Summary summary(figures);
  std::vector<Observer*> observers = {&summary};
  std::unique_ptr<record::FileSink> sink;
  std::unique_ptr<record::Writer> writer;
  std::unique_ptr<Recorder> recorder;
  if (!arguments.record.empty()) {
    sink = std::make_unique<record::FileSink>(arguments.record);
    writer = std::make_unique<record::Writer>(
        *sink, HeaderOf(figures, "virtual", BITTERNMUX_LAB_VERSION, scenario->text()));
    recorder = std::make_unique<Recorder>(figures, *writer);
    observers.push_back(recorder.get());
  }
  Day day(figures, observers);
  day.Run();
  if (arguments.json != "-" && arguments.record != "-") std::cout << summary.Text();
  if (!arguments.json.empty()) WriteJson(arguments.json, summary.ToJson().dump(1));
  return 0;
}

}  // namespace

void AddRun(CLI::App& app, int& code) {
  auto arguments = std::make_shared<Arguments>();
  auto* command = app.add_subcommand("run", "Plays a scenario and says what its clients got");
  command->add_option("SCENARIO", arguments->scenario, "The scenario, TOML")->required();
  command->add_option("--mode", arguments->mode, "virtual: simulated time, all in this process")
      ->check(CLI::IsMember({"virtual"}))
      ->capture_default_str();
  command->add_option("--seed", arguments->seed, "Draws another day of it; else the scenario's own");
  command->add_option("--record", arguments->record,
                      "Writes all that passed to this file; - is standard output");
  command->add_option("--json", arguments->json, "Writes the summary to this file; - is standard output");
  command->callback([arguments, &code] { code = RunRun(*arguments); });
}

}  // namespace bitternmux::lab
