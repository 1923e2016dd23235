// The operator's command line.
#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <sstream>
#include <stdexcept>

#include "ctl/control_client.h"
#include "ctl/status_report.h"
#include "ctl/tally_calls.h"
#include "fleet/validation/validation.h"

DEFINE_string(controls, "", "control machines, ip:port, separated by commas");
DEFINE_bool(json, false, "status as JSON");
DEFINE_bool(back, false, "`evacuate` takes the zone back");
DEFINE_int64(if_match, -1, "the version that `config put` builds on; by default the one that is in place");

namespace {

using bitternmux::ctl::CallResult;
using bitternmux::ctl::ControlClient;
using bitternmux::ctl::MachineStatus;

enum ExitCode { kFine = 0, kFailed = 1, kFaulty = 2 };

constexpr const char* kUsage =
    "bitternmuxctl --controls=IP:PORT,... COMMAND\n"
    "  status            who owns the configuration, versions, agents, the list, who is cut off (--json)\n"
    "  config get        the configuration in place\n"
    "  config check FILE what is wrong with a configuration, without sending it\n"
    "  config put FILE   sends it until there is a clear answer\n"
    "  tally get NAME    the sum of a tally\n"
    "  tally add NAME ID AMOUNT  adds a whole number (behind -- if it is negative); an ID counts once\n"
    "  evacuate ZONE     nothing more goes to the zone's servers (--back: takes the zone back)\n"
    "  evacuations       zones that are evacuated\n"
    "Exit codes: 0 fine, 1 not taken or not healthy, 2 faulty command line or file";

int Fault(const std::string& what) {
  std::cerr << "bitternmuxctl: " << what << "\n";
  return kFaulty;
}

std::vector<std::string> Controls() {
  std::vector<std::string> controls;
  std::istringstream words(FLAGS_controls);
  for (std::string word; std::getline(words, word, ',');) {
    if (!word.empty()) controls.push_back(word);
  }
  return controls;
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

int Status(ControlClient& client) {
  std::vector<MachineStatus> machines;
  for (const std::string& control : client.controls()) machines.push_back({control, client.Status(control)});
  std::cout << (FLAGS_json ? WriteStatusJson(machines) : WriteStatus(machines));
  return IsHealthy(machines) && IsConnected(machines) ? kFine : kFailed;
}

int Get(ControlClient& client) {
  const CallResult result = client.GetConfiguration();
  if (result.status == 200) {
    std::cout << result.body << '\n';
    return kFine;
  }
  std::cerr << "no configuration: " << result.status << ' ' << result.body << '\n';
  return kFailed;
}

int Check(const std::string& path, std::optional<std::string>& text) {
  text = ReadFile(path);
  if (!text) return Fault(path + " cannot be read");
  try {
    bitternmux::fleet::ValidateConfiguration(*text);
  } catch (const bitternmux::fleet::ConfigurationError& error) {
    return Fault(path + ": " + error.what());
  }
  return kFine;
}

// The version that a configuration sent now builds on; 0 if there is none yet. Empty if it could not be read,
// which has been told.
std::optional<std::uint64_t> VersionInPlace(ControlClient& client) {
  const CallResult current = client.GetConfiguration();
  if (current.status == 404) return 0;
  std::string why = std::to_string(current.status) + ' ' + current.body;
  try {
    if (current.status == 200) return bitternmux::fleet::ReadConfiguration(current.body).version;
  } catch (const bitternmux::fleet::ConfigurationError& error) {
    why = error.what();
  }
  std::cerr << "the version in place is not known: " << why << '\n';
  return std::nullopt;
}

int Put(ControlClient& client, const std::string& path) {
  std::optional<std::string> text;
  if (const int fault = Check(path, text); fault != kFine) return fault;
  const std::optional<std::uint64_t> builds_on =
      FLAGS_if_match >= 0 ? static_cast<std::uint64_t>(FLAGS_if_match) : VersionInPlace(client);
  if (!builds_on) return kFailed;
  const CallResult result = client.PutConfiguration(*text, *builds_on);
  (result.status == 200 ? std::cout : std::cerr) << result.status << ' ' << result.body << '\n';
  return result.status == 200 ? kFine : kFailed;
}

int GetTally(ControlClient& client, const std::string& tally) {
  const CallResult result = client.GetTally(tally);
  const auto total = bitternmux::ctl::ReadTotal(result.body);
  if (result.status == 200 && total) {
    std::cout << *total << '\n';
    return kFine;
  }
  std::cerr << "no total: " << result.status << ' ' << result.body << '\n';
  return kFailed;
}

int AddToTally(ControlClient& client, const std::string& tally, const std::string& id,
               const std::string& word) {
  const auto amount = bitternmux::ctl::ReadAmount(word);
  if (!amount) return Fault(word + " is no whole number");
  CallResult result;
  try {
    result = client.AddToTally(tally, id, *amount);
  } catch (const std::invalid_argument& error) {
    return Fault(error.what());
  }
  if (result.status == 200) return kFine;
  std::cerr << result.status << ' ' << result.body << '\n';
  if (!result.Clear()) std::cerr << "it may count or not; the same id may be sent again\n";
  return kFailed;
}

int Tally(ControlClient& client, const std::vector<std::string>& command) {
  if (command.size() == 3 && command[1] == "get") return GetTally(client, command[2]);
  if (command.size() == 5 && command[1] == "add")
    return AddToTally(client, command[2], command[3], command[4]);
  return Fault(std::string("no such command\n") + kUsage);
}

int Evacuate(ControlClient& client, const std::string& zone) {
  const CallResult result = FLAGS_back ? client.TakeBack(zone) : client.Evacuate(zone);
  (result.status == 200 ? std::cout : std::cerr) << result.status << ' ' << result.body << '\n';
  return result.status == 200 ? kFine : kFailed;
}

int Evacuations(ControlClient& client) {
  const CallResult result = client.GetEvacuations();
  (result.status == 200 ? std::cout : std::cerr) << result.body << '\n';
  return result.status == 200 ? kFine : kFailed;
}

}  // namespace

int main(int count, char** words) {
  gflags::SetUsageMessage(kUsage);
  gflags::SetVersionString(BITTERNMUX_VERSION);
  gflags::ParseCommandLineFlags(&count, &words, /*remove_flags=*/true);
  const std::vector<std::string> command(words + 1, words + count);
  if (command.size() == 3 && command[0] == "config" && command[1] == "check") {
    std::optional<std::string> text;
    const int fault = Check(command[2], text);
    if (fault == kFine) std::cout << command[2] << ": sound\n";
    return fault;
  }
  ControlClient client(Controls());
  if (client.controls().empty()) return Fault(std::string("--controls names no control machine\n") + kUsage);
  if (command.size() == 1 && command[0] == "status") return Status(client);
  if (command.size() == 2 && command[0] == "config" && command[1] == "get") return Get(client);
  if (command.size() == 3 && command[0] == "config" && command[1] == "put") return Put(client, command[2]);
  if (!command.empty() && command[0] == "tally") return Tally(client, command);
  if (command.size() == 2 && command[0] == "evacuate") return Evacuate(client, command[1]);
  if (command.size() == 1 && command[0] == "evacuations") return Evacuations(client);
  return Fault(std::string("no such command\n") + kUsage);
}
