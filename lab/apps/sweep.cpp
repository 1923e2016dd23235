// bitternmux-lab sweep EXPERIMENT.toml --out DIR: plays scenarios x settings x builds x seeds.
#include "lab/report/sweep.h"

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <filesystem>
#include <iostream>
#include <memory>
#include <string>
#include <thread>

#include "lab/apps/commands.h"
#include "lab/report/experiment.h"
#include "lab/scenario/scenario.h"

namespace bitternmux::lab {
namespace {

constexpr int kExitBroken = 1;
constexpr int kExitInterrupted = 130;  // as a shell has it
constexpr std::size_t kBarWidth = 30;

struct Arguments {
  std::string experiment, out;
  std::size_t jobs = std::max(1u, std::thread::hardware_concurrency());
  std::size_t loopback_jobs = 1;
};

std::string Bar(const report::SweepState& state, double seconds) {
  const std::size_t done = state.there + state.played + state.failed.size();
  const std::size_t filled = state.runs == 0 ? 0 : kBarWidth * done / state.runs;
  std::string bar = "[" + std::string(filled, '#') + std::string(kBarWidth - filled, '.') + "] " +
                    std::to_string(done) + "/" + std::to_string(state.runs) + " runs";
  if (state.broken > 0) bar += ", " + std::to_string(state.broken) + " broke rules";
  if (!state.failed.empty()) bar += ", " + std::to_string(state.failed.size()) + " failed";
  const double played = static_cast<double>(state.played + state.failed.size());
  if (played > 0 && done < state.runs) {
    const double left = seconds / played * static_cast<double>(state.runs - done);
    bar += ", about " + std::to_string(static_cast<long>(left) + 1) + " s left";
  }
  return bar;
}

int RunSweep(const Arguments& arguments) {
  const std::string program = std::filesystem::read_symlink("/proc/self/exe").string();
  report::Experiment experiment;
  try {
    experiment = report::Experiment::Read(arguments.experiment, program);
  } catch (const scenario::ScenarioError& error) {
    std::cerr << error.what() << "\n";
    return kExitUnusable;
  }
  const bool terminal = ::isatty(STDERR_FILENO) == 1;
  const auto begun = std::chrono::steady_clock::now();
  const auto progress = [&](const report::SweepState& state, const std::string& line) {
    const std::chrono::duration<double> seconds = std::chrono::steady_clock::now() - begun;
    if (terminal) {
      std::cerr << "\r\x1b[K" << Bar(state, seconds.count()) << std::flush;
    } else {
      std::cerr << state.there + state.played + state.failed.size() << "/" << state.runs << " " << line
                << "\n";
    }
  };
  const report::SweepState state =
      report::Sweep(experiment, arguments.out, {program, arguments.jobs, arguments.loopback_jobs}, progress);
  if (terminal) std::cerr << "\n";
  for (const std::string& line : state.failed) std::cerr << "failed: " << line << "\n";
  std::cout << experiment.name << ": " << state.runs << " runs, " << state.there << " were there, "
            << state.played << " played, " << state.failed.size() << " failed; " << state.broken
            << " broke rules, " << state.voided << " void\n";
  if (state.interrupted) {
    std::cout << "interrupted: the same command goes on from here\n";
    return kExitInterrupted;
  }
  if (!state.failed.empty()) return kExitUnusable;
  return state.broken + state.voided > 0 ? kExitBroken : 0;
}

}  // namespace

void AddSweep(CLI::App& app, int& code) {
  auto arguments = std::make_shared<Arguments>();
  auto* command = app.add_subcommand("sweep", "Plays an experiment: scenarios x settings x builds x seeds");
  command->add_option("EXPERIMENT", arguments->experiment, "The experiment, TOML")->required();
  command->add_option("--out", arguments->out, "The folder for results; what it holds is not played again")
      ->required();
  command->add_option("--jobs", arguments->jobs, "Virtual runs at once; no result depends on it")
      ->check(CLI::Range(1, 1024))
      ->capture_default_str();
  command->add_option("--loopback-jobs", arguments->loopback_jobs, "Loopback runs at once")
      ->check(CLI::Range(1, 1024))
      ->capture_default_str();
  command->footer(
      "Ctrl-C stops it; the same command goes on from there.\n"
      "Exit code: 0 all played and all rules hold, 1 some run broke rules or is void, 2 the experiment is "
      "wrong or a run failed, 130 interrupted.");
  command->callback([arguments, &code] { code = RunSweep(*arguments); });
}

}  // namespace bitternmux::lab
