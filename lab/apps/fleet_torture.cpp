// Plays the fleet's programs between hostile servers and clients, from seeds, with signals, kills and
// changes, and says which rules were broken. Exit codes: 0 none, 1 some, 2 faulty arguments.
#include <gflags/gflags.h>

#include <chrono>
#include <exception>
#include <iostream>
#include <string>

#include "lab/torture/torture.h"

DEFINE_uint64(seeds, 10, "how many plays");
DEFINE_uint64(first, 1, "the seed of the first");
DEFINE_uint64(minutes, 0, "no further play begins after so many minutes; 0: no limit");
DEFINE_uint64(routers, 3, "edge machines, 1 to 40, each a router and an agent");
DEFINE_uint64(requests, 3000, "of all clients, in each play");
DEFINE_uint64(clients, 24, "each with one request at a time");
DEFINE_bool(troubles, true, "signals, kills and changes; without, servers and clients alone are hostile");
DEFINE_string(programs, FLEET_PROGRAMS, "the folder of the built programs");

namespace {

using bitternmux::lab::wire::TortureOptions;
using bitternmux::lab::wire::TortureReport;

constexpr int kClean = 0, kBroken = 1, kBadArguments = 2;

TortureOptions OptionsFor(std::uint64_t seed) {
  TortureOptions options;
  options.programs = {FLAGS_programs + "/bitternmux-router", FLAGS_programs + "/bitternmux-agent",
                      FLAGS_programs + "/bitternmux-control"};
  options.seed = seed;
  options.routers = FLAGS_routers;
  options.requests = FLAGS_requests;
  options.clients = FLAGS_clients;
  options.troubles = FLAGS_troubles;
  return options;
}

void Print(std::uint64_t seed, const TortureReport& report) {
  for (const auto& finding : report.findings)
    std::cout << "seed " << seed << ": " << NameOf(finding.rule) << " " << finding.request_id << ": "
              << finding.what << "\n";
  for (const std::string& fault : report.faults) std::cout << "seed " << seed << ": " << fault << "\n";
  if (!report.started) std::cout << "seed " << seed << ": the fleet does not come up\n";
  const auto counter = [&](const std::string& name) {
    const auto found = report.counters.find("bitternmux_" + name);
    return found == report.counters.end() ? 0 : found->second;
  };
  std::cout << "seed " << seed << ": " << report.requests << " requests, " << report.runs << " runs, "
            << report.served << " served, " << report.resumed << " resumed by clients; SIGTERM "
            << report.terms << ", killed " << report.kills << ", stopped " << report.stops << ", SIGHUP "
            << report.hangups << ", configurations " << report.configurations
            << "; of the routers that are left: torn attempts " << counter("attempts_torn_total")
            << ", resumed streams " << counter("streams_resumed_total") << ", surplus answers "
            << counter("surplus_answers_total") << std::endl;
}

bool ArgumentsAreSound() {
  const bool sound = FLAGS_seeds > 0 && FLAGS_routers > 0 &&
                     FLAGS_routers <= bitternmux::lab::fleet::FleetStand::kMostEdges && FLAGS_clients > 0;
  if (!sound) std::cerr << "fleet-torture: --seeds and --clients from 1, --routers 1 to 40\n";
  return sound;
}

}  // namespace

int main(int count, char** words) {
  gflags::SetUsageMessage(
      "fleet-torture: plays the fleet's programs between hostile servers and clients, from seeds.");
  gflags::ParseCommandLineFlags(&count, &words, /*remove_flags=*/true);
  if (!ArgumentsAreSound()) return kBadArguments;
  const auto began = std::chrono::steady_clock::now();
  std::uint64_t played = 0, broken = 0;
  try {
    for (; played < FLAGS_seeds; ++played) {
      const bool late = std::chrono::steady_clock::now() - began > std::chrono::minutes(FLAGS_minutes);
      if (FLAGS_minutes > 0 && late) break;
      const TortureReport report = bitternmux::lab::wire::PlayTorture(OptionsFor(FLAGS_first + played));
      Print(FLAGS_first + played, report);
      broken += report.Clean() ? 0 : 1;
    }
  } catch (const std::exception& error) {
    std::cerr << "fleet-torture: " << error.what() << "\n";
    return kBroken;
  }
  std::cout << played << " plays, " << broken << " with a finding\n";
  return broken == 0 ? kClean : kBroken;
}
