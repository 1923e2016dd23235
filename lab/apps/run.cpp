// bitternmux-lab run SCENARIO: plays a day.
#include <CLI/CLI.hpp>
#include <cmath>
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

constexpr const char* kCalmSuffix = ".calm";  // of the record of the run without troubles
constexpr int kExitVoid = 1;
constexpr int kExitInterrupted = 130;  // as a shell has it

struct Arguments {
  std::string scenario;
  std::string mode = "virtual";
  std::optional<std::uint64_t> seed;
  std::string program;
  bool phases = false, calm = false, back = false;
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

// A run's record, in a file.
struct Kept {
  Kept(const std::string& file, const model::Figures& figures, const record::Header& header)
      : sink(file), writer(sink, header), recorder(figures, writer) {}
  record::FileSink sink;
  record::Writer writer;
  Recorder recorder;
};

// What a record would say of how the fleet came back.
struct Seen {
  Seen(const model::Figures& figures, const record::Header& header)
      : comeback(header, std::llround(figures.first_ms * 1000)), feed(comeback), recorder(figures, feed) {}
  back::Comeback comeback;
  back::Feed feed;
  Recorder recorder;
};

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
  const model::Figures calm_figures = model::WithoutTroubles(scenario->Draw(arguments.seed));
  const model::Figures figures = arguments.calm ? calm_figures : scenario->Draw(arguments.seed);
  const record::Header header = HeaderOf(figures, arguments.mode, BITTERNMUX_LAB_VERSION, scenario->text());
  Summary summary(figures, arguments.mode);
  Phases phases(figures);
  std::vector<Observer*> observers = {&summary};
  if (arguments.phases) observers.push_back(&phases);
  std::optional<Kept> kept, calm_kept;
  if (!arguments.record.empty())
    observers.push_back(&kept.emplace(arguments.record, figures, header).recorder);
  Seen seen(figures, header), calm(calm_figures, header);
  if (arguments.back) observers.push_back(&seen.recorder);
  Played played = Play(arguments, figures, observers);
  if (arguments.back && played.void_reason.empty()) {
    std::vector<Observer*> beside = {&calm.recorder};
    if (kept && arguments.record != "-") {
      beside.push_back(&calm_kept.emplace(arguments.record + kCalmSuffix, calm_figures, header).recorder);
    }
    played = Play(arguments, calm_figures, beside);
  }
  nlohmann::ordered_json told;  // null: half a pair tells nothing
  if (arguments.back && played.void_reason.empty()) told = seen.comeback.ToJson(&calm.comeback);
  if (arguments.json != "-" && arguments.record != "-") {
    std::cout << summary.Text();
    if (arguments.phases) std::cout << phases.Text();
    if (!told.is_null()) std::cout << back::TextOf(told);
  }
  if (!arguments.json.empty()) {
    auto json = summary.ToJson();
    if (!told.is_null()) json["back"] = told;
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
  auto* calm = command->add_flag("--calm", arguments->calm, "Plays the day without its troubles");
  command
      ->add_flag("--back", arguments->back,
                 "Plays the day also without its troubles, and prints how soon full service was there again "
                 "and what came at once; the record of that run is FILE.calm")
      ->excludes(calm);
  command->add_option("--record", arguments->record,
                      "Writes all that passed to this file; - is standard output");
  command->add_option("--json", arguments->json, "Writes the summary to this file; - is standard output");
  command->footer(
      "Exit code: 0 played, 1 void (the lab ran late, or a sidecar ended by itself), 2 it cannot be played, "
      "130 interrupted.");
  command->callback([arguments, &code] { code = RunRun(*arguments); });
}

}  // namespace bitternmux::lab
