// An experiment: scenarios x settings x builds x seeds, each combination played once.
//
// It is written in TOML; docs/operators/lab-experiments.md describes its keys. Reading it checks all of it,
// the scenarios with each of its settings included.
#ifndef BITTERNMUX_LAB_REPORT_EXPERIMENT_H_
#define BITTERNMUX_LAB_REPORT_EXPERIMENT_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bitternmux::lab::report {

// Guards against a slip of the pen that would play for weeks.
constexpr std::size_t kMostRuns = 100'000;

// Which records stay beside the results.
enum class Keep { kNone, kBreaches, kAll };

// A scenario with one of the settings: it stands by itself.
struct Variant {
  std::string scenario, setting;
  std::string text;    // TOML
  std::string digest;  // of the text
  bool back = false;   // is played without its troubles too, to tell how the fleet comes back
};

struct Build {
  std::string name;
  bool loopback = false;
  std::string path;    // bitternmux-lab for virtual runs, bitternmux for loopback; '': this program
  std::string digest;  // of the bytes of all programs in it, by which a changed build is known
};

struct Experiment {
  std::string name, about;
  std::vector<std::string> scenarios, settings;  // names; the first setting is what others are compared with
  std::vector<Variant> variants;                 // by scenario and then by setting
  std::vector<Build> builds;                     // likewise the first
  std::vector<std::uint64_t> seeds;
  Keep keep = Keep::kBreaches;

  // Throws scenario::ScenarioError with a line 'file:line: key: what' for each fault. `program` is this
  // program's own file.
  static Experiment Read(const std::string& file, const std::string& program);
};

// One combination.
struct Run {
  const Variant* variant = nullptr;
  const Build* build = nullptr;
  std::uint64_t seed = 0;

  std::string Name() const;  // names its files
  // What it is, down to the bytes: a result that says the same needs not be played again.
  nlohmann::ordered_json Identity() const;
};

// All of them, in the order in which they are played: seed by seed, so that a sweep that is stopped early has
// something of everything. They point into the experiment.
std::vector<Run> RunsOf(const Experiment& experiment);

}  // namespace bitternmux::lab::report

#endif  // BITTERNMUX_LAB_REPORT_EXPERIMENT_H_
