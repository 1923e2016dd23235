// The built program's arguments and its check.
#include <catch2/catch.hpp>

#include "support/peers.h"

namespace bitternmux::peers {
namespace {

nlohmann::json Good() {
  return ConfigOf("127.0.0.1:1", 384, List(41, true, nlohmann::json::array({Machine("s", "1.2.3.4:5")})));
}

// What it says and its exit code.
std::pair<std::string, int> Run(const nlohmann::json& config, const std::vector<std::string>& arguments) {
  Program program(config, arguments);
  const std::string said = program.AwaitLog(std::string("\0", 1));
  return {said, program.Exit()};
}

struct TextFile {
  explicit TextFile(const std::string& text) { std::ofstream(path) << text; }
  ~TextFile() { std::filesystem::remove(path); }
  const std::string path =
      (std::filesystem::temp_directory_path() / ("bitternmux-text-" + std::to_string(::getpid()) + ".txt"))
          .string();
};

}  // namespace

TEST_CASE("check tells what would be used and from where, and ends with 0") {
  const TextFile file("[log]\nformat = 'json'\n");
  auto config = Good();
  config["odd"] = 1;
  config["settings"]["bounds"]["sendCpa"] = 3;
  const auto [said, code] = Run(config, {"check", "--operator", file.path, "--log-level", "debug"});
  CHECK(code == 0);
  for (const char* line :
       {"  name = n0  (file)\n", "  discovery = 127.0.0.1:1  (variable RELAY_DISCOVERY)\n",
        "  limits.sockets = 384  (file)\n", "  settings.bounds.sendCap = 3  (file)\n",
        "  settings.az = 0  (default)\n", "  known = 1 execute nodes, revision 41  (file)\n",
        "  nothing reads odd\n", "  nothing reads settings.bounds.sendCpa\n",
        "  log.format = json  (line 2)  # ", "  log.level = debug  (option --log-level)  # "}) {
    CHECK_THAT(said, Catch::Contains(line));
  }
}

TEST_CASE("check names every fault of both files and ends with 2, as does a start") {
  const TextFile file("[log]\nformat = 'jsn'\n");
  auto config = Good();
  config["listen"] = "here";
  config["limits"]["sockets"] = 1;
  config["settings"]["contract"]["coldFrom"] = "cold";
  for (const char* command : {"check", "serve"}) {
    const auto [said, code] = Run(config, {command, "--operator", file.path});
    CHECK(code == 2);
    CHECK_THAT(said, Catch::Contains(file.path + ":2:10: log.format: must be text or json, not 'jsn'"));
    if (std::string(command) == "serve") continue;
    CHECK_THAT(said, Catch::Contains("configuration: listen: no address"));
    CHECK_THAT(said, Catch::Contains("configuration: limits.sockets: must be"));
    CHECK_THAT(said, Catch::Contains("configuration: settings: contract.coldFrom is no number"));
  }
  // What only the module and the list's reader can tell.
  config = Good();
  config["settings"]["contract"]["coldFrom"] = 2;
  config["known"]["members"][0]["phase"] = "ASLEEP";
  for (const char* command : {"check", "serve"}) {
    const auto [said, code] = Run(config, {command});
    CHECK(code == 2);
    CHECK_THAT(said, Catch::Contains("settings: cold_from"));
    CHECK_THAT(said, Catch::Contains("known.members.0.phase: unknown: 'ASLEEP'"));
  }
}

TEST_CASE("help and version end with 0, what is no argument with 2, a port in use with 1") {
  CHECK_THAT(Run(Good(), {"--help"}).first, Catch::Contains("--operator FILE"));
  CHECK_THAT(Run(Good(), {"--version"}).first, Catch::StartsWith("bitternmux "));
  CHECK(Run(Good(), {"--help"}).second == 0);
  CHECK(Run(Good(), {"--version"}).second == 0);
  CHECK(Run(Good(), {"sevre"}).second == 2);
  CHECK(Run(Good(), {"--operatr", "x"}).second == 2);
  CHECK(Run(Good(), {"--log-level", "loud"}).second == 2);
  const Listener taken;
  auto config = Good();
  config["listen"] = taken.address();
  const auto [said, code] = Run(config, {"serve", "--log-format", "json"});
  CHECK(code == 1);
  CHECK(nlohmann::json::parse(said)["event"] == "failed");
}

TEST_CASE("standard streams that are closed are held, so that no connection can take the log's number") {
  const TextFile config(Good().dump());
  const pid_t pid = ::fork();
  if (pid == 0) {
    ::setenv("RELAY_CONFIG", config.path.c_str(), 1);
    for (const int fd : {0, 1, 2}) ::close(fd);
    ::execl(BITTERNMUX_PROGRAM, BITTERNMUX_PROGRAM, nullptr);
    ::_exit(127);
  }
  const std::string descriptors = "/proc/" + std::to_string(pid) + "/fd/";
  const auto is_held = [&](int fd) {
    std::error_code none;
    return std::filesystem::read_symlink(descriptors + std::to_string(fd), none) == "/dev/null";
  };
  int waited = 0;
  while (!(is_held(0) && is_held(1) && is_held(2)) && waited < kLimitMs) {
    ::usleep(1000);
    ++waited;
  }
  CHECK(waited < kLimitMs);
  ::kill(pid, SIGKILL);
  ::waitpid(pid, nullptr, 0);
}

}  // namespace bitternmux::peers
