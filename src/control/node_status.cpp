#include "control/node_status.h"

#include <nlohmann/json.hpp>

#include "json/json_text.h"

namespace bitternmux::control {
namespace {

using Json = nlohmann::json;

Json MembersOf(const fleet::Replica& replica) {
  Json members = Json::array();
  for (const fleet::Member& member : replica.committed().value.members) members.push_back(member.control);
  return members;
}

Json TallyPeers(const fleet::TallyLedger& tallies, double now_ms) {
  Json peers = Json::array();
  for (const fleet::TallyPeerStatus& peer : tallies.Peers(now_ms)) {
    peers.push_back({{"address", peer.address},
                     {"reached", peer.reached},
                     {"missing_here", peer.missing_here},
                     {"missing_there", peer.missing_there}});
  }
  return peers;
}

Json TalliesOf(const fleet::TallyLedger& tallies, double now_ms) {
  return {{"adds", tallies.adds()}, {"settled", tallies.settled()}, {"peers", TallyPeers(tallies, now_ms)}};
}

}  // namespace

std::string WriteNodeStatus(const std::string& node_name, const fleet::ControlCore& core,
                            const CallCounts& counts, double now_ms) {
  const fleet::Replica& replica = core.replica();
  return JsonText({{"node", node_name},
                   {"role", fleet::NameOf(replica.role())},
                   {"epoch", replica.epoch().counter},
                   {"fresh", replica.Fresh(now_ms)},
                   {"version", replica.committed().value.version},
                   {"evacuated", replica.committed().value.evacuated},
                   {"members", MembersOf(replica)},
                   {"servers", core.publisher().state().servers.size()},
                   {"reads_platform_list", core.list_reader().acting()},
                   {"platform_list_age_ms", now_ms - core.list().heard_ms()},
                   {"subscribers", core.subscribers()},
                   {"tallies", TalliesOf(core.tallies(), now_ms)},
                   {"api_calls", counts}});
}

}  // namespace bitternmux::control
