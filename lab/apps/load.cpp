// bitternmux-lab load: an open-loop load at any address that speaks the platform's protocol.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <stdexcept>
#include <string>
#include <vector>

#include "cartspring/settings.h"
#include "config/config.h"
#include "lab/apps/commands.h"
#include "lab/load/generator.h"
#include "lab/load/report.h"

namespace bitternmux::lab {
namespace {

constexpr int kExitVoid = 1;
constexpr int kExitInterrupted = 130;  // as a shell has it

struct Arguments {
  std::string to, rate, ramp, mix, config, json;
  std::vector<std::string> classes;
  double seconds = 0;
  std::size_t connections = 64;
  std::optional<double> deadline_ms;
  std::optional<std::uint64_t> seed;
};

// The classes that a sidecar with this configuration serves.
std::vector<load::Class> ClassesOf(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::invalid_argument("--config: cannot open '" + path + "'");
  const auto json = nlohmann::json::parse(file, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object() || !json.contains("settings") || !json["settings"].is_object()) {
    throw std::invalid_argument("--config: no JSON with settings in '" + path + "'");
  }
  cartspring::Settings settings;
  try {
    settings = cartspring::ReadSettings(JsonFields(json["settings"]));
  } catch (const cartspring::ParseError& error) {
    throw std::invalid_argument("--config: settings: " + std::string(error.what()));
  }
  std::vector<load::Class> classes;
  for (const auto& klass : settings.classes) {
    classes.push_back({klass.name, klass.effect == cartspring::Effect::kSafe, klass.deadline_ms, 1});
  }
  return classes;
}

load::Plan PlanOf(const Arguments& arguments) {
  load::Plan plan;
  plan.to = arguments.to;
  if (!arguments.config.empty()) plan.classes = ClassesOf(arguments.config);
  for (const std::string& text : arguments.classes) plan.classes.push_back(load::ParseClass(text));
  if (plan.classes.empty()) throw std::invalid_argument("no classes: give --config or --class");
  if (!arguments.mix.empty()) load::ApplyMix(arguments.mix, plan.classes);
  if (arguments.deadline_ms) {
    for (load::Class& klass : plan.classes) klass.deadline_ms = *arguments.deadline_ms;
  }
  plan.shape = load::ParseRate(arguments.ramp.empty() ? arguments.rate : arguments.ramp, arguments.seconds);
  plan.connections = arguments.connections;
  plan.seed = arguments.seed ? *arguments.seed : std::random_device()();
  return plan;
}

int RunLoadCommand(const Arguments& arguments) {
  const load::Plan plan = PlanOf(arguments);
  // Opened first: a load is not to be sent for nothing.
  std::ofstream file;
  if (!arguments.json.empty() && arguments.json != "-") {
    file.open(arguments.json);
    if (!file) throw std::invalid_argument("--json: cannot write '" + arguments.json + "'");
  }
  const load::Result result = load::RunLoad(plan);
  (arguments.json == "-" ? std::cerr : std::cout) << load::TextOf(plan, result) << std::flush;
  if (!arguments.json.empty()) {
    (file.is_open() ? file : std::cout) << load::JsonOf(plan, result).dump(2) << std::endl;
  }
  if (result.interrupted) return kExitInterrupted;
  return result.Void() ? kExitVoid : 0;
}

}  // namespace

void AddLoad(CLI::App& app, int& code) {
  auto arguments = std::make_shared<Arguments>();
  auto* command =
      app.add_subcommand("load", "Sends an open-loop load and counts time from when each was due");
  command->add_option("--to", arguments->to, "Address to send to, ip:port")->required();
  auto* rates = command->add_option_group("rate");
  rates->add_option("--rate", arguments->rate, "Requests a second");
  rates->add_option("--ramp", arguments->ramp, "Requests a second, evenly from one to another: FROM:TO");
  rates->require_option(1);
  command->add_option("--for", arguments->seconds, "Seconds")->required();
  command->add_option("--config", arguments->config,
                      "A sidecar's configuration, for the classes of its settings");
  command->add_option("--class", arguments->classes,
                      "A class as NAME:METHOD:DEADLINE_MS; may be given again");
  command->add_option("--mix", arguments->mix, "CLASS=SHARE,...; without it all classes have the same share");
  command->add_option("--deadline-ms", arguments->deadline_ms, "How long each request waits, for all classes")
      ->check(CLI::Range(1.0, 3'600'000.0));
  command->add_option("--connections", arguments->connections, "Most connections open")
      ->capture_default_str();
  command->add_option("--seed", arguments->seed, "For the order of classes and the ids; drawn if not given");
  command->add_option("--json", arguments->json, "Writes the result to this file too; - is standard output");
  command->footer(
      "Ctrl-C ends it with what there is.\n"
      "Exit code: 0 done, 1 done but void as the load itself ran late, 2 it could not be sent, 130 "
      "interrupted.");
  command->callback([arguments, &code] { code = RunLoadCommand(*arguments); });
}

}  // namespace bitternmux::lab
