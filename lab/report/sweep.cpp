#include "lab/report/sweep.h"

#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <sys/file.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <filesystem>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <system_error>
#include <thread>

#include "lab/report/analysis.h"
#include "lab/report/children.h"
#include "lab/report/files.h"

namespace bitternmux::lab::report {
namespace {

namespace fs = std::filesystem;
using nlohmann::ordered_json;

constexpr long kLookAgainNs = 50'000'000;  // how often the main thread looks whether all is done
constexpr std::size_t kLongestReason = 300;

// Held for as long as a sweep works in a folder; two of them would play the same runs.
class Lock {
 public:
  explicit Lock(const std::string& file) : fd_(::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666)) {
    if (fd_ < 0) throw std::system_error(errno, std::generic_category(), file);
    if (::flock(fd_, LOCK_EX | LOCK_NB) != 0) {
      ::close(fd_);
      throw std::runtime_error(file + ": another sweep is at work here");
    }
  }
  ~Lock() { ::close(fd_); }
  Lock(const Lock&) = delete;
  Lock& operator=(const Lock&) = delete;

 private:
  int fd_;
};

ordered_json PlanOf(const Experiment& experiment) {
  ordered_json plan{{"format", kResultFormat},         {"name", experiment.name},
                    {"about", experiment.about},       {"scenarios", experiment.scenarios},
                    {"settings", experiment.settings}, {"seeds", experiment.seeds}};
  for (const Build& build : experiment.builds) {
    plan["builds"].push_back({{"name", build.name}, {"mode", build.loopback ? "loopback" : "virtual"}});
  }
  for (const Run& run : RunsOf(experiment)) {
    ordered_json entry = run.Identity();
    entry["file"] = "runs/" + run.Name() + ".json";
    plan["runs"].push_back(entry);
  }
  return plan;
}

std::string LastLine(const std::string& file) {
  std::string text = fs::exists(file) ? ReadFile(file) : "";
  while (!text.empty() && text.back() == '\n') text.pop_back();
  text = text.substr(text.find_last_of('\n') + 1);
  if (text.size() > kLongestReason) text = text.substr(0, kLongestReason) + "...";
  return Clean(text);
}

class Sweeper {
 public:
  Sweeper(const Experiment& experiment, const std::string& folder, const SweepOptions& options,
          const SweepProgress& progress)
      : experiment_(experiment), folder_(folder), options_(options), progress_(progress) {}

  SweepState All() {
    for (const char* name : {"runs", "scenarios"}) fs::create_directories(folder_ / name);
    const Lock lock((folder_ / "lock").string());
    fs::remove_all(folder_ / "partial");
    fs::create_directories(folder_ / "partial");
    WriteFile((folder_ / "experiment.json").string(), PlanOf(experiment_).dump(1) + "\n");
    for (const Variant& variant : experiment_.variants) {
      WriteFile(ScenarioFile(variant), variant.text);
    }
    const std::vector<Run> runs = RunsOf(experiment_);
    state_.runs = runs.size();
    std::vector<Run> in_time, on_sockets;
    for (const Run& run : runs) {
      if (IsThere(run)) continue;
      (run.build->loopback ? on_sockets : in_time).push_back(run);
    }
    // Loopback runs want the machine for themselves.
    PlayAll(in_time, options_.jobs);
    PlayAll(on_sockets, options_.loopback_jobs);
    fs::remove_all(folder_ / "partial");
    std::sort(state_.failed.begin(), state_.failed.end());
    return state_;
  }

 private:
  std::string ScenarioFile(const Variant& variant) const {
    return (folder_ / "scenarios" / (variant.scenario + "." + variant.setting + ".toml")).string();
  }
  std::string ResultFile(const Run& run) const {
    return (folder_ / "runs" / (run.Name() + ".json")).string();
  }

  void Count(const ordered_json& result) {
    state_.broken += result["figures"]["breaches"].get<std::uint64_t>() > 0;
    state_.voided += result.contains("void");
  }

  bool IsThere(const Run& run) {
    if (!fs::exists(ResultFile(run))) return false;
    const auto stored = ordered_json::parse(ReadFile(ResultFile(run)), nullptr, /*allow_exceptions=*/false);
    if (!stored.is_object() || !stored.contains("result") ||
        stored.value("run", ordered_json()) != run.Identity()) {
      return false;
    }
    // Nothing may be concluded from a run that is void: it is to be played until it is one.
    if (stored["result"].contains("void")) return false;
    ++state_.there;
    Count(stored["result"]);
    return true;
  }

  void PlayAll(const std::vector<Run>& runs, std::size_t jobs) {
    std::atomic<std::size_t> next = 0, over = 0;
    sigset_t signals;
    ::sigemptyset(&signals);
    ::sigaddset(&signals, SIGINT);
    ::sigaddset(&signals, SIGTERM);
    ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const std::size_t count = std::min(std::max<std::size_t>(jobs, 1), runs.size());
    std::vector<std::thread> workers;
    for (std::size_t i = 0; i < count; ++i) {
      workers.emplace_back([&] {
        for (std::size_t at = next++; at < runs.size() && !children_.stopped(); at = next++) Play(runs[at]);
        ++over;
      });
    }
    while (over < count) {
      const timespec while_long{0, kLookAgainNs};
      if (::sigtimedwait(&signals, nullptr, &while_long) > 0) {
        children_.Stop();
        state_.interrupted = true;
      }
    }
    for (std::thread& worker : workers) worker.join();
  }

  void Play(const Run& run) {
    std::string line, why;
    ordered_json result;
    try {
      result = Played(run, why);
    } catch (const std::exception& error) {
      why = error.what();
    }
    const std::lock_guard lock(mutex_);
    if (children_.stopped() && !why.empty()) return;  // it was stopped, or never begun
    if (why.empty()) {
      ++state_.played;
      Count(result);
      line = run.Name() + ": " +
             (result.contains("void")
                  ? "void: " + result["void"].get<std::string>()
                  : "worth " + result["figures"]["worth"].dump() + ", " +
                        (result["counts"].empty() ? "all rules hold" : "broken " + result["counts"].dump()));
    } else {
      line = run.Name() + ": " + why;
      state_.failed.push_back(line);
    }
    progress_(state_, line);
  }

  // The result, which has been written; or empty, and why.
  ordered_json Played(const Run& run, std::string& why) {
    const std::string partial = (folder_ / "partial" / run.Name()).string();
    const std::string record = partial + ".record", output = partial + ".out", calm = partial + ".calm";
    if (!Recorded(run, record, output, {}, why)) return {};
    record::FileSource source(record);
    std::optional<record::FileSource> calm_source;
    // A run that is void has no pair.
    if (run.variant->back && !IsVoid(record)) {
      if (!Recorded(run, calm, output, {"--calm"}, why)) return {};
      if (!IsVoid(calm)) calm_source.emplace(calm);
    }
    ordered_json result = Analyse(source, calm_source ? &*calm_source : nullptr);
    if (run.variant->back && !calm_source && !result.contains("void")) {
      result["void"] = "the run without its troubles is void";
    }
    const bool broken = result["figures"]["breaches"].get<std::uint64_t>() > 0;
    const std::string kept = (folder_ / "runs" / (run.Name() + ".record")).string();
    if (experiment_.keep == Keep::kAll || (experiment_.keep == Keep::kBreaches && broken)) {
      fs::rename(record, kept);
    } else {
      fs::remove(record);
      fs::remove(kept);  // of another run of this name
    }
    fs::remove(calm);
    fs::remove(output);
    // Last: with it, the run is done.
    WriteFile(ResultFile(run), ordered_json{{"run", run.Identity()}, {"result", result}}.dump(1) + "\n");
    return result;
  }

  // Plays it, with its record in that file. False, and why, if there is none; a run that is void has one.
  bool Recorded(const Run& run, const std::string& record, const std::string& output,
                const std::vector<std::string>& more, std::string& why) {
    std::vector<std::string> arguments = {
        run.build->loopback || run.build->path.empty() ? options_.program : run.build->path, "run",
        ScenarioFile(*run.variant)};
    if (run.build->loopback) {
      arguments.insert(arguments.end(), {"--mode", "loopback", "--program", run.build->path});
    }
    arguments.insert(arguments.end(), {"--seed", std::to_string(run.seed), "--record", record});
    arguments.insert(arguments.end(), more.begin(), more.end());
    const int status = children_.Run(arguments, output);
    if (status != 0) {
      why = WIFEXITED(status) ? "exit " + std::to_string(WEXITSTATUS(status))
                              : "ended by signal " + std::to_string(WTERMSIG(status));
      // Some builds may end so for a run that is void, which its record then says.
      if (!WIFEXITED(status) || !IsVoid(record)) {
        why += ": " + LastLine(output);
        return false;
      }
      why.clear();
    }
    return true;
  }

  static bool IsVoid(const std::string& file) {
    try {
      record::FileSource source(file);
      record::Reader reader(source);
      while (reader.Next() != nullptr) {
      }
      return reader.trailer().void_();
    } catch (const std::exception&) {
      return false;
    }
  }

  const Experiment& experiment_;
  const fs::path folder_;
  const SweepOptions& options_;
  const SweepProgress& progress_;
  Children children_;
  std::mutex mutex_;  // for the state and the progress
  SweepState state_;
};

}  // namespace

SweepState Sweep(const Experiment& experiment, const std::string& folder, const SweepOptions& options,
                 const SweepProgress& progress) {
  return Sweeper(experiment, folder, options, progress).All();
}

}  // namespace bitternmux::lab::report
