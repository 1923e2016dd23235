// Plays a calm day of the fleet's programs on loopback, kills the owner of the configuration in the middle,
// and prints what became of the requests.
#include <iostream>
#include <map>

#include "lab/fleet/fleet_stand.h"

namespace {

using bitternmux::lab::fleet::ClientRequest;
using bitternmux::lab::fleet::FleetStand;
using bitternmux::lab::fleet::Reply;

constexpr int kRequests = 300;

// Streams and sheets by turns; how many came with which status.
std::map<int, int> Ask(FleetStand& fleet, const std::string& day) {
  std::map<int, int> statuses;
  for (int i = 0; i < kRequests; ++i) {
    ClientRequest request;
    request.path = i % 2 == 0 ? "/quote/1" : "/sheet/1";
    request.id = day + std::to_string(i);
    request.key = "key-a";
    request.body = "hello";
    const Reply reply = fleet.Ask(request);
    ++statuses[reply.whole ? reply.status : 0];
  }
  return statuses;
}

void Print(const std::string& what, const std::map<int, int>& statuses) {
  std::cout << what << ":";
  for (const auto& [status, count] : statuses) {
    std::cout << ' ' << count
              << (status == 0 ? " without a whole answer" : " with " + std::to_string(status));
  }
  std::cout << '\n';
}

}  // namespace

int main() {
  FleetStand fleet({FLEET_PROGRAMS "/bitternmux-router", FLEET_PROGRAMS "/bitternmux-agent",
                    FLEET_PROGRAMS "/bitternmux-control"});
  if (!fleet.Start()) {
    std::cerr << "the fleet did not come up: " << fleet.lacking();
    return 1;
  }
  std::cout << "three control machines, a router and its agent are up; version 4 is in force\n";
  const std::map<int, int> calm = Ask(fleet, "calm-");
  Print("calm", calm);
  const std::size_t owner = fleet.Owner();
  fleet.KillControl(owner);
  std::cout << "control machine " << owner << ", the owner, was killed\n";
  const std::map<int, int> meanwhile = Ask(fleet, "meanwhile-");
  Print("meanwhile", meanwhile);
  const Reply change = fleet.PutAnywhere(FleetStand::Configuration(7), 4);
  std::cout << "a change was answered with " << change.status << ", by control machine " << fleet.Owner()
            << '\n';
  int twice = 0;
  for (const auto& [request, runs] : fleet.Runs()) twice += runs > 1 ? 1 : 0;
  std::cout << "requests that ran twice: " << twice << '\n';
  const std::map<int, int> all_served = {{200, kRequests}};
  return calm == all_served && meanwhile == all_served && change.status == 200 && twice == 0 ? 0 : 1;
}
