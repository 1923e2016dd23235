// How the group changes: who joins, who leaves, and in whose place.
//
// A change exchanges one member for a learner that holds all, or adds one while the group is smaller than it
// should be. It is one value that names both groups, committed by majorities of both, and then one that names
// the new group only. At no moment does the group need more members alive than before: a machine lost during
// the change is borne as it would be before or after it (docs/design/control-review.md has each sequence).
#include <algorithm>

#include "fleet/replication/quorum.h"
#include "fleet/replication/replica.h"

namespace bitternmux::fleet {

void Replica::On(double now_ms, const std::string& from, const JoinRequest& request) {
  if (request.member.internal != from) return;
  if (role_ != Role::kOwner) {
    if (accepted_.position != Position{})
      return Send(from, JoinReply{accepted_.position, Voters(accepted_.value)});
    if (!told_members_.empty()) Send(from, JoinReply{told_position_, told_members_});
    return;
  }
  if (IsVoter(request.member)) return;
  const bool known = learners_.contains(from);
  if (!known && learners_.size() >= kMaxLearners) return;
  learners_[from] = {request.member, now_ms};
  if (!known) SendHeartbeat(now_ms, from);
}

void Replica::On(double now_ms, const std::string&, const JoinReply& reply) {
  if (role_ == Role::kOwner || reply.position <= accepted_.position) return;
  if (reply.position < told_position_) return;
  told_position_ = reply.position;
  told_members_ = reply.members;
  const bool named = std::ranges::any_of(reply.members, [&](const Member& member) {
    return member.internal == self_.internal && member.store == self_.store;
  });
  if (named || outsider_) return;
  outsider_ = true;  // the group has gone on without it
  Follow(now_ms);
}

void Replica::On(double now_ms, const std::string& from, const LeaveRequest& request) {
  if (role_ == Role::kOwner && IsVoter(request.member)) leaving_[from] = now_ms;
}

// A learner that answers and has the newest value on disk; at that address, or at any where it is empty.
const Replica::Learner* Replica::CaughtUpLearner(double now_ms, const std::string& address) const {
  for (const auto& [at, learner] : learners_) {
    if ((!address.empty() && at != address) || IsVoter(learner.member)) continue;
    const auto found = peers_.find(at);
    if (found == peers_.end() || found->second.store != learner.member.store) continue;
    const bool answers = now_ms - found->second.confirmed_ms <= kOwnerAloneMs;
    if (answers && found->second.durable == accepted_.position) return &learner;
  }
  return nullptr;
}

// The member that a learner should take the place of: the one that is silent for longest, or one that asked
// to leave. A silent one goes first, and nobody who answers is replaced while another may be gone: the
// successor may fail within the change, and then the new group would lack two members where the old one
// lacked one.
std::optional<Member> Replica::MemberToReplace(double now_ms) const {
  const bool someone_leaves = leaving_since_ms_ != kNeverMs || !leaving_.empty();
  const double patience_ms = someone_leaves ? kOwnerAloneMs : kMemberGoneMs;
  std::optional<Member> silent, leaver;
  double silent_since_ms = now_ms - patience_ms;
  bool all_answer = true;
  for (const Member& member : accepted_.value.members) {
    if (member.internal == self_.internal) {
      if (leaving_since_ms_ != kNeverMs) leaver = member;
      continue;
    }
    if (leaving_.contains(member.internal)) {
      leaver = member;
      continue;
    }
    const auto found = peers_.find(member.internal);
    const bool known = found != peers_.end() && found->second.store == member.store;
    const double answered_ms = known ? found->second.heard_ms : kNeverMs;
    all_answer = all_answer && now_ms - answered_ms <= kOwnerAloneMs;
    const double heard_ms = std::max(owned_ms_, answered_ms);
    if (heard_ms >= silent_since_ms) continue;
    silent_since_ms = heard_ms;
    silent = member;
  }
  if (silent) return silent;
  return all_answer ? leaver : std::nullopt;
}

// Begins or ends a change of members. True: there is one.
bool Replica::ChangeMembers(double now_ms) {
  if (!accepted_.value.previous_members.empty()) {
    ShardValue next = accepted_.value;
    next.previous_members.clear();
    ends_exchange_ = {promised_, accepted_.position.sequence + 1};
    Replace(now_ms, std::move(next));
    return true;
  }
  // Who stood still takes its own silence for that of the others, until it has looked whether a majority
  // still answers. A change that it alone accepted then would bind all that come after it to the successor's
  // disk.
  if (!MajorityConfirmed(now_ms, kOwnerAloneMs)) return false;
  const Learner* successor = CaughtUpLearner(now_ms, "");
  if (successor == nullptr) return false;
  std::optional<Member> leaver;
  // One that has lost its disk comes back at its address: its former self is gone for certain.
  for (const Member& member : accepted_.value.members) {
    const Learner* learner = CaughtUpLearner(now_ms, member.internal);
    if (learner == nullptr || learner->member.store == member.store) continue;
    leaver = member;
    successor = learner;
  }
  const bool grows = !leaver && accepted_.value.members.size() < options_.group_size;
  if (!leaver && !grows) leaver = MemberToReplace(now_ms);
  if (!leaver && !grows) return false;
  ShardValue next = accepted_.value;
  next.previous_members = next.members;
  if (leaver) std::erase(next.members, *leaver);
  next.members.push_back(successor->member);
  std::ranges::sort(next.members);
  learners_.erase(std::string(successor->member.internal));
  Replace(now_ms, std::move(next));
  return true;
}

// ---- Leaving ----

void Replica::Leave(double now_ms) {
  if (leaving_since_ms_ == kNeverMs) leaving_since_ms_ = now_ms;
}

bool Replica::MayStop(double now_ms) const {
  if (leaving_since_ms_ == kNeverMs) return false;
  if (now_ms - leaving_since_ms_ > kLeaveMs) return true;
  if (role_ == Role::kOwner) return false;
  return !IsVoter(self_) || !successor_waits_;
}

// Asks the member that holds most to stand for owner at once.
void Replica::HandOver(double now_ms) {
  asked_ms_ = now_ms;
  const Member* best = nullptr;
  for (const Member& member : accepted_.value.members) {
    const auto found = peers_.find(member.internal);
    if (found == peers_.end() || found->second.store != member.store) continue;
    if (found->second.accepted != accepted_.position || leaving_.contains(member.internal)) continue;
    if (now_ms - found->second.confirmed_ms > kOwnerAloneMs) continue;
    best = &member;
    break;
  }
  if (best != nullptr) Send(best->internal, StandNow{promised_});
}

// The settings may come to name machines that know nobody but each other: these cannot ask the group.
void Replica::TellSeeds(double now_ms) {
  if (accepted_.position == Position{} || now_ms - told_seeds_ms_ < kTellGroupMs) return;
  told_seeds_ms_ = now_ms;
  for (const Member& seed : seeds_) {
    if (seed.internal == self_.internal || HasVoterAt(seed.internal)) continue;
    Send(seed.internal, JoinReply{accepted_.position, Voters(accepted_.value)});
  }
}

void Replica::TickLearner(double now_ms) {
  if (now_ms - asked_ms_ < kAskAgainMs || leaving_since_ms_ != kNeverMs) return;
  asked_ms_ = now_ms;
  for (const Member& member : Peers()) Send(member.internal, JoinRequest{self_, options_.incarnation});
}

}  // namespace bitternmux::fleet
