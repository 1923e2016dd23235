// Majorities of a replica group, and of two where its members are being changed.
#ifndef BITTERNMUX_SRC_FLEET_REPLICATION_QUORUM_H_
#define BITTERNMUX_SRC_FLEET_REPLICATION_QUORUM_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "fleet/messages/messages.h"

namespace bitternmux::fleet {

constexpr std::size_t Majority(std::size_t count) { return count / 2 + 1; }

// `holds`: bool(const Member&).
template <class Holds>
bool MajorityOf(const std::vector<Member>& members, const Holds& holds) {
  const auto count = static_cast<std::size_t>(std::ranges::count_if(members, holds));
  return count >= Majority(members.size());
}

// A majority of the group and, while its members are being changed, of the group before the change too. Two
// quorums of neighbouring groups therefore share a member: the one that commits a change is a quorum of both.
template <class Holds>
bool IsQuorum(const ShardValue& value, const Holds& holds) {
  if (!MajorityOf(value.members, holds)) return false;
  return value.previous_members.empty() || MajorityOf(value.previous_members, holds);
}

// All whose word may count: the members of both groups, each once.
inline std::vector<Member> Voters(const ShardValue& value) {
  std::vector<Member> voters = value.members;
  for (const Member& member : value.previous_members) {
    if (std::ranges::find(voters, member) == voters.end()) voters.push_back(member);
  }
  return voters;
}

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_REPLICATION_QUORUM_H_
