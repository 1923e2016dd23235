#include "apps/fleet_program.h"

#include <gflags/gflags.h>
#include <malloc.h>
#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <iostream>

#include "events/fleet_catalogue.h"
#include "log/log.h"

DEFINE_bool(check_settings, false, "say what is wrong with the settings file, or that it is sound, and end");
DEFINE_string(log_format, "text", "of the log on standard error: text or json");
DEFINE_string(log_level, "info", "least severe events that are told: debug, info, warning or error");

namespace bitternmux {
namespace {

enum ExitCode { kFine = 0, kFailed = 1, kFaulty = 2 };

constexpr auto kLookEvery = std::chrono::milliseconds(1000);

double NowMs() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count();
}

bool IsLogFormat(const char*, const std::string& word) { return word == "text" || word == "json"; }
bool IsLogLevel(const char*, const std::string& word) {
  return word == "debug" || word == "info" || word == "warning" || word == "error";
}

log::Settings LogSettings() {
  log::Settings settings;
  settings.format = FLAGS_log_format == "json" ? log::Format::kJson : log::Format::kText;
  settings.level = FLAGS_log_level == "debug"     ? Severity::kDebug
                   : FLAGS_log_level == "warning" ? Severity::kWarning
                   : FLAGS_log_level == "error"   ? Severity::kError
                                                  : Severity::kInfo;
  return settings;
}

// When the file was last changed, as far as can be told; it may change without a signal.
std::int64_t ChangeTime(const std::string& path) {
  struct stat status {};
  if (stat(path.c_str(), &status) != 0) return 0;
  return static_cast<std::int64_t>(status.st_mtim.tv_sec) * 1'000'000'000 + status.st_mtim.tv_nsec;
}

// Watches signals and the settings file on behalf of a process.
class Watch {
 public:
  Watch(boost::asio::io_context& io, std::string path, FleetProcess& process, log::Log& log)
      : path_(std::move(path)),
        process_(process),
        log_(log),
        signals_(io, SIGTERM, SIGINT, SIGHUP),
        timer_(io) {
    changed_ = ChangeTime(path_);
    WaitForSignal();
    WaitForChange();
  }

 private:
  void WaitForSignal() {
    signals_.async_wait([this](const boost::system::error_code& error, int signal) {
      if (error) return;
      if (signal == SIGHUP) {
        Resettle();
      } else {
        log_.Write(fleet_events::kStopping, {{"signal", signal}});
        process_.Stop();
      }
      WaitForSignal();
    });
  }

  void WaitForChange() {
    timer_.expires_after(kLookEvery);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (error) return;
      log_.Turn();
      const std::int64_t changed = ChangeTime(path_);
      if (changed != 0 && changed != changed_) Resettle();
      WaitForChange();
    });
  }

  void Resettle() {
    changed_ = ChangeTime(path_);
    try {
      process_.Resettle(fleet::ReadNodeSettings(path_));
    } catch (const fleet::SettingsError& error) {
      log_.Write(fleet_events::kSettingsFaulty, {{"fault", error.what()}});
    }
  }

  const std::string path_;
  FleetProcess& process_;
  log::Log& log_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer timer_;
  std::int64_t changed_ = 0;
};

int Serve(const std::string& path, const fleet::NodeSettings& settings, const MakeProcess& make,
          log::Log& log) {
  try {
    boost::asio::io_context io(1);
    const std::unique_ptr<FleetProcess> process = make(io, settings, log);
    process->Start();
    Watch watch(io, path, *process, log);
    log.Write(fleet_events::kStarted, {{"bootstrap", settings.bootstrap}});
    io.run();
    return kFine;
  } catch (const std::exception& error) {
    log.Write(fleet_events::kProcessFailed, {{"why", error.what()}});
    return kFailed;
  }
}

}  // namespace

int RunFleetProgram(int count, char** words, const char* usage, const CheckSettings& check,
                    const MakeProcess& make) {
  // Bounds what the allocator keeps: the machines are small, and a process over its memory_mb is killed.
  mallopt(M_MMAP_THRESHOLD, 128 * 1024);
  mallopt(M_TRIM_THRESHOLD, 256 * 1024);
  mallopt(M_ARENA_MAX, 1);
  std::signal(SIGPIPE, SIG_IGN);
  gflags::RegisterFlagValidator(&FLAGS_log_format, &IsLogFormat);
  gflags::RegisterFlagValidator(&FLAGS_log_level, &IsLogLevel);
  gflags::SetUsageMessage(usage);
  gflags::SetVersionString(BITTERNMUX_VERSION);
  gflags::ParseCommandLineFlags(&count, &words, /*remove_flags=*/true);
  log::Log log(STDERR_FILENO, NowMs, words[0]);
  log.Use(LogSettings());
  fleet::NodeSettings settings;
  std::string path;
  try {
    path = fleet::SettingsPath();
    settings = fleet::ReadNodeSettings(path);
    const std::string fault = check(settings);
    if (!fault.empty()) throw fleet::SettingsError(path + ": " + fault);
  } catch (const fleet::SettingsError& error) {
    if (FLAGS_check_settings) {
      std::cerr << error.what() << '\n';
    } else {
      log.Write(fleet_events::kSettingsFaulty, {{"fault", error.what()}});
    }
    return kFaulty;
  }
  if (FLAGS_check_settings) {
    std::cout << path << ": sound, for " << settings.node_name << '\n';
    return kFine;
  }
  log.SetName(settings.node_name);
  return Serve(path, settings, make, log);
}

}  // namespace bitternmux
