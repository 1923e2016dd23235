#include "lab/report/experiment.h"

#include <toml++/toml.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <set>
#include <system_error>

#include "lab/report/analysis.h"
#include "lab/report/files.h"
#include "lab/scenario/overrides.h"
#include "lab/scenario/reader.h"

namespace bitternmux::lab::report {
namespace {

using scenario::Faults;
using scenario::Reader;
using scenario::ScenarioError;

constexpr std::size_t kLongestName = 60;
constexpr const char* kUnset = "as-is";  // the setting of an experiment that varies none

toml::table Parsed(const std::string& text, const std::string& file) {
  try {
    return toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    throw ScenarioError({file + ":" + std::to_string(error.source().begin.line) +
                         ": no TOML: " + std::string(error.description())});
  }
}

std::string Contents(const std::string& file) {
  try {
    return ReadFile(file);
  } catch (const std::system_error& error) {
    throw ScenarioError({file + ":1: cannot be read: " + error.code().message()});
  }
}

// Names become names of files.
bool GoodName(const std::string& name) {
  const auto good = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
  };
  return !name.empty() && name.size() <= kLongestName && std::all_of(name.begin(), name.end(), good);
}

// A name out of a list of tables: good, and given once.
std::string NameIn(Reader& table, std::set<std::string>& taken) {
  const std::string name = table.Text("name", "");
  if (!GoodName(name)) {
    table.Fault("name", "must be a name of letters, digits, - and _, up to " + std::to_string(kLongestName));
  } else if (!taken.insert(name).second) {
    table.Fault("name", "is there twice");
  }
  return name;
}

// A whole number; the reader would draw from a range.
int Exact(Reader& reader, const toml::table& table, std::string_view key, int absent,
          scenario::Bounds bounds) {
  const int value = reader.Whole(key, absent, bounds);
  if (table[key].is_array()) reader.Fault(key, "must be a whole number");
  return value;
}

class Read {
 public:
  Read(const std::string& file, const std::string& program)
      : file_(file),
        folder_(std::filesystem::path(file).parent_path()),
        program_(program),
        text_(Contents(file)),
        table_(Parsed(text_, file)),
        faults_(file),
        reader_(&table_, "", seeds_, faults_) {}

  Experiment All() {
    out_.name = reader_.Text("name", "");
    if (!GoodName(out_.name)) reader_.Fault("name", "must be there, of letters, digits, - and _");
    out_.about = reader_.Text("about", "");
    const int first = Exact(reader_, table_, "first_seed", 1, {0, 2e9});
    const int count = Exact(reader_, table_, "seeds", 1, {1, 10'000});
    for (int i = 0; i < count; ++i) out_.seeds.push_back(static_cast<std::uint64_t>(first + i));
    out_.keep = static_cast<Keep>(reader_.Word("keep_records", {"none", "breaches", "all"}, 1));
    back_ = reader_.Flag("back", false);
    const std::vector<std::string> files = reader_.Texts("scenarios", {});
    if (!reader_.Has("scenarios")) reader_.Fault("scenarios", "must be there");
    Settings();
    Builds();
    reader_.Finish();
    if (!faults_.empty()) throw ScenarioError(faults_.Lines());
    Variants(files);
    if (out_.variants.size() * out_.builds.size() > kMostRuns / out_.seeds.size()) {
      throw ScenarioError({file_ + ":1: more than " + std::to_string(kMostRuns) + " runs"});
    }
    return std::move(out_);
  }

 private:
  void Settings() {
    std::set<std::string> taken;
    for (Reader& setting : reader_.Tables("setting")) {
      out_.settings.push_back(NameIn(setting, taken));
      setting.Leaves("set");  // whether its keys are right is for each scenario to say
      setting.Finish();
    }
    if (out_.settings.empty()) out_.settings.emplace_back(kUnset);
  }

  void Builds() {
    std::set<std::string> taken;
    for (Reader& table : reader_.Tables("build")) {
      Build build;
      build.name = NameIn(table, taken);
      build.loopback = table.Word("mode", {"virtual", "loopback"}, 0) == 1;
      const std::string path = table.Text("path", "");
      table.Finish();
      if (!path.empty()) build.path = (folder_ / path).string();
      if (path.empty() && build.loopback) {
        table.Fault("path", "must name the program that is run in loopback mode");
      } else if (!path.empty() && ::access(build.path.c_str(), X_OK) != 0) {
        table.Fault("path", "no program that can be run is at '" + build.path + "'");
      } else {
        // A loopback run is made by this program too, which plays all but the sidecars.
        build.digest = DigestOf(ReadFile(path.empty() ? program_ : build.path) +
                                (build.loopback ? ReadFile(program_) : std::string()));
      }
      out_.builds.push_back(build);
    }
    if (out_.builds.empty()) out_.builds.push_back({"this", false, "", DigestOf(ReadFile(program_))});
  }

  void Variants(const std::vector<std::string>& files) {
    std::vector<std::string> faults;
    for (std::size_t i = 0; i < files.size(); ++i) {
      for (std::size_t k = 0; k < out_.settings.size(); ++k) {
        try {
          Add((folder_ / files[i]).string(), k);
        } catch (const ScenarioError& error) {
          faults.insert(faults.end(), error.faults().begin(), error.faults().end());
        }
      }
    }
    // What is wrong with a scenario is wrong under each setting.
    std::set<std::string> told;
    faults.erase(std::remove_if(faults.begin(), faults.end(),
                                [&](const std::string& line) { return !told.insert(line).second; }),
                 faults.end());
    if (!faults.empty()) throw ScenarioError(faults);
  }

  void Add(const std::string& scenario_file, std::size_t setting) {
    // Parsed anew for each: what is set is moved from it, with the lines that it came from.
    toml::table again = Parsed(text_, file_);
    toml::table set;
    if (toml::array* list = again["setting"].as_array()) {
      if (toml::table* found = (*list->get(setting)->as_table())["set"].as_table()) set = std::move(*found);
    }
    const auto scenario = scenario::ReadWith(scenario_file, std::move(set));
    const std::string line = file_ + ":" + std::to_string(table_["scenarios"].node()->source().begin.line);
    if (!GoodName(scenario.name())) {
      throw ScenarioError(
          {line + ": scenarios: the name of '" + scenario_file + "' must be of letters, digits, - and _"});
    }
    if (setting == 0) {
      const auto& names = out_.scenarios;
      if (std::find(names.begin(), names.end(), scenario.name()) != names.end()) {
        throw ScenarioError({line + ": scenarios: two are called '" + scenario.name() + "'"});
      }
      out_.scenarios.push_back(scenario.name());
    }
    const auto troubles = scenario.Draw().troubles;
    const bool back =
        back_ && !std::all_of(troubles.begin(), troubles.end(),
                              [](const model::TroubleFigures& trouble) { return trouble.of_load; });
    out_.variants.push_back(
        {scenario.name(), out_.settings[setting], scenario.text(), DigestOf(scenario.text()), back});
  }

  const std::string file_;
  const std::filesystem::path folder_;
  const std::string program_, text_;
  toml::table table_;
  const model::Seeds seeds_{0};
  Faults faults_;
  Reader reader_;
  Experiment out_;
  bool back_ = false;
};

}  // namespace

Experiment Experiment::Read(const std::string& file, const std::string& program) {
  return report::Read(file, program).All();
}

std::string Run::Name() const {
  return variant->scenario + "." + variant->setting + "." + build->name + "." + std::to_string(seed);
}

nlohmann::ordered_json Run::Identity() const {
  return {{"scenario", variant->scenario},
          {"setting", variant->setting},
          {"build", build->name},
          {"seed", seed},
          {"mode", build->loopback ? "loopback" : "virtual"},
          {"back", variant->back},
          {"format", kResultFormat},
          {"scenario_digest", variant->digest},
          {"build_digest", build->digest}};
}

std::vector<Run> RunsOf(const Experiment& experiment) {
  std::vector<Run> runs;
  for (const std::uint64_t seed : experiment.seeds) {
    for (const Variant& variant : experiment.variants) {
      for (const Build& build : experiment.builds) runs.push_back({&variant, &build, seed});
    }
  }
  return runs;
}

}  // namespace bitternmux::lab::report
