// The service's program: its arguments, and the wiring of what they ask for.
#include <fcntl.h>
#include <malloc.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "config/config.h"
#include "config/operator_file.h"
#include "events/catalogue.h"
#include "log/log.h"
#include "sidecar/check.h"
#include "sidecar/sidecar.h"

namespace bitternmux {
namespace {

enum ExitCode { kFine = 0, kFailed = 1, kFaulty = 2 };

struct Arguments {
  std::string operator_path, log_format, log_level;

  OperatorFile ReadOperator() const {
    std::vector<schema::Override> overrides;
    if (!log_format.empty()) overrides.push_back({"log", "format", log_format, "option --log-format"});
    if (!log_level.empty()) overrides.push_back({"log", "level", log_level, "option --log-level"});
    return ReadOperatorFile(operator_path, overrides);
  }
};

const char* Variable(const char* name) { return std::getenv(name); }

int Serve(const Arguments& arguments) {
  log::Log log(STDERR_FILENO, NowMs, "bitternmux");
  try {
    const OperatorFile file = arguments.ReadOperator();
    log.Use(file.settings.log);
    if (!file.read.faults.empty()) throw ConfigError(file.read.faults);
    Config config = ReadConfig(Variable);
    log.SetName(config.name);
    MachineUpdate known = Verify(config);
    config.known = nullptr;  // or it would be held twice
    boost::asio::io_context io(1);
    const auto& comeback = file.settings.comeback;
    Sidecar sidecar(io, std::move(config), std::move(known), log, comeback ? comeback->folder : "");
    sidecar.Start();
    io.run();
  } catch (const ConfigError& error) {
    for (const std::string& fault : error.faults()) log.Write(events::kConfigFaulty, {{"fault", fault}});
    return kFaulty;
  } catch (const std::exception& error) {
    log.Write(events::kFailed, {{"why", error.what()}});
    return kFailed;
  }
  log.Write(events::kStopped, {});
  return kFine;
}

int Check(const Arguments& arguments) {
  return Check(Variable, arguments.operator_path, arguments.ReadOperator(), std::cout, std::cerr) ? kFine
                                                                                                  : kFaulty;
}

// Guards against a descriptor that is closed when the program starts: the next socket would take its number,
// and lines of the log would go to a peer.
void HoldStandardStreams() {
  while (true) {
    const int fd = open("/dev/null", O_RDWR);
    if (fd > STDERR_FILENO) close(fd);
    if (fd > STDERR_FILENO || fd < 0) return;
  }
}

int Run(int count, char** words) {
  Arguments arguments;
  CLI::App app("The sidecar between the member booking app and the quote servers.", "bitternmux");
  app.set_version_flag("--version", std::string("bitternmux ") + BITTERNMUX_VERSION);
  app.fallthrough()->require_subcommand(0, 1);
  app.add_option("--operator", arguments.operator_path, "TOML file with what is switched on here")
      ->type_name("FILE");
  app.add_option("--log-format", arguments.log_format, DescribeOperatorKey("log", "format"))
      ->type_name("WORD");
  app.add_option("--log-level", arguments.log_level, DescribeOperatorKey("log", "level"))->type_name("WORD");
  app.add_subcommand("serve", "serve until SIGTERM (what is done if no command is given)")->fallthrough();
  const CLI::App* check =
      app.add_subcommand("check", "say what is wrong with the configuration, or what would be used");
  app.get_subcommand("check")->fallthrough();
  app.footer("RELAY_CONFIG names the configuration. Exit codes: 0 fine, 1 cannot listen or run, 2 faulty.");
  try {
    app.parse(count, words);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kFine : kFaulty;
  }
  return check->parsed() ? Check(arguments) : Serve(arguments);
}

}  // namespace
}  // namespace bitternmux

int main(int count, char** words) {
  // Guards the memory: by default the size from which a block goes back to the system at once grows with the
  // blocks that are freed, and after some large bodies what is free would stay with the process.
  mallopt(M_MMAP_THRESHOLD, 128 * 1024);
  mallopt(M_TRIM_THRESHOLD, 1024 * 1024);
  // Guards against the end of whoever reads the log: a line nobody takes must not end the program.
  std::signal(SIGPIPE, SIG_IGN);
  bitternmux::HoldStandardStreams();
  return bitternmux::Run(count, words);
}
