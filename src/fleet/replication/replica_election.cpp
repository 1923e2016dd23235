// How a replica becomes the owner, and how it gives the role up.
#include <algorithm>
#include <utility>

#include "fleet/replication/quorum.h"
#include "fleet/replication/replica.h"

namespace bitternmux::fleet {

// Takes the role of one that does not act, by what it may do.
void Replica::Follow(double now_ms) {
  const bool was_owner = role_ == Role::kOwner;
  role_ = IsVoter(self_) && !outsider_ ? Role::kFollower : Role::kLearner;
  votes_.clear();
  handover_ = false;
  patience_from_ms_ = now_ms;
  if (!was_owner) return;
  successor_waits_ = !learners_.empty();
  for (const Waiting& waiting : proposals_)
    output_.decisions.push_back({waiting.id, OrderOutcome::kNotOwner});
  if (in_flight_) output_.decisions.push_back({*in_flight_, OrderOutcome::kNotOwner});
  for (const Unconfirmed& call : unconfirmed_) {
    if (call.outcome) {
      output_.decisions.push_back({call.id, OrderOutcome::kNotOwner});
    } else {
      output_.reads.push_back({call.id, false});
    }
  }
  proposals_.clear();
  in_flight_.reset();
  unconfirmed_.clear();
  peers_.clear();
  learners_.clear();
  leaving_.clear();
  recent_.Clear();
  drained_.reset();
}

// Guards an owner that works against a candidate that only fails to hear it.
bool Replica::OwnerWorks(double now_ms, const std::string& candidate) const {
  if (role_ == Role::kOwner) return MajorityConfirmed(now_ms, kOwnerWorksMs);
  return now_ms - owner_heard_ms_ < kOwnerWorksMs && owner_ != candidate;
}

void Replica::AskForVotes(double now_ms) {
  role_ = Role::kCandidate;
  owner_.clear();
  votes_.clear();
  handover_ = false;
  pre_voting_ = true;
  stood_ms_ = now_ms;
  pre_votes_ = {{self_.internal, self_.store}};
  const PreVote pre_vote{{promised_.counter + 1, self_.store}};
  for (const Member& member : Voters(accepted_.value)) {
    if (member.internal != self_.internal) Send(member.internal, pre_vote);
  }
  if (Voters(accepted_.value).size() == 1) StandForOwner(now_ms, false);
}

void Replica::On(double now_ms, const std::string& from, const PreVote& pre_vote) {
  if (!HasVoterAt(from) && accepted_.position != Position{}) {
    Send(from, JoinReply{accepted_.position, Voters(accepted_.value)});
  }
  const bool granted = pre_vote.epoch > promised_ && !OwnerWorks(now_ms, from);
  Send(from, PreVoteReply{self_.store, pre_vote.epoch, promised_, granted});
}

void Replica::On(double now_ms, const std::string& from, const PreVoteReply& reply) {
  if (role_ != Role::kCandidate || !pre_voting_) return;
  if (reply.promised > promised_) {
    RaisePromise(now_ms, reply.promised);  // the next round asks for one above it
    Save();
  }
  if (!reply.granted || reply.epoch != Epoch{promised_.counter + 1, self_.store}) return;
  pre_votes_[from] = reply.store;
  const auto votes = [&](const Member& member) {
    const auto found = pre_votes_.find(member.internal);
    return found != pre_votes_.end() && found->second == member.store;
  };
  // Pre-votes bind nobody, so the group before an exchange is enough: its promises may allow to take it back.
  const std::vector<Member>& previous = accepted_.value.previous_members;
  const bool of_previous = !previous.empty() && MajorityOf(previous, votes);
  if (of_previous || IsQuorum(accepted_.value, votes)) StandForOwner(now_ms, false);
}

void Replica::On(double now_ms, const std::string&, const StandNow& stand) {
  if (role_ != Role::kFollower || stand.epoch != promised_ || leaving_since_ms_ != kNeverMs) return;
  StandForOwner(now_ms, true);
}

// The promise to itself has to be on disk before it asks others for theirs.
void Replica::StandForOwner(double now_ms, bool handover) {
  role_ = Role::kCandidate;
  pre_voting_ = false;
  handover_ = handover;
  owner_.clear();
  votes_.clear();
  stood_ms_ = now_ms;
  promise_saved_ = false;
  RaisePromise(now_ms, {promised_.counter + 1, self_.store});
  Save();
  promise_ticket_ = ticket_;
}

void Replica::SendPrepares(double now_ms) {
  prepares_sent_ms_ = now_ms;
  for (const Member& member : Voters(accepted_.value)) {
    if (member.internal == self_.internal || votes_.contains(member.internal)) continue;
    Send(member.internal, Prepare{promised_, accepted_.position, handover_});
  }
}

void Replica::TickCandidate(double now_ms) {
  if (pre_voting_) {
    if (now_ms - stood_ms_ > kPreVoteMs) AskForVotes(now_ms);
    return;
  }
  if (now_ms - stood_ms_ > kStandMs + kCandidateStaggerMs * static_cast<double>(RankOfSelf()))
    return AskForVotes(now_ms);
  if (promise_saved_ && now_ms - prepares_sent_ms_ > kPreVoteMs) SendPrepares(now_ms);
}

void Replica::On(double now_ms, const std::string& from, const Prepare& prepare) {
  if (prepare.epoch < promised_) return;
  if (prepare.epoch > promised_) {
    if (!prepare.handover && OwnerWorks(now_ms, from)) return;
    RaisePromise(now_ms, prepare.epoch);
    owner_.clear();
    Follow(now_ms);
    Save();
  }
  Promise promise{self_.store, prepare.epoch, accepted_.position, std::nullopt, owner_silent_ms_};
  if (accepted_.position > prepare.accepted) promise.value = accepted_;
  SendWhenSaved(from, std::move(promise));
}

void Replica::On(double now_ms, const std::string& from, const Promise& promise) {
  if (role_ != Role::kCandidate || pre_voting_ || promise.epoch != promised_) return;
  votes_[from] = {promise.store, promise.accepted, promise.value, promise.owner_silent_ms};
  CountPromises(now_ms);
}

// An exchange of members that is accepted here and there, and whose new group cannot be asked, is taken back
// with the promises of a majority of the group before it, among them the disk that proposed it. Nobody can
// have gone on with the new group alone then:
//  - the owner that proposed the exchange sends the value that ends it only once it has that on its own disk
//    (Supply), and this disk has not;
//  - an owner of a later epoch would have had the exchange accepted again by a majority of the group before
//    it, and one of the promises would tell of that.
template <class Promised>
bool Replica::MayTakeBack(const AcceptedValue& exchange, const Promised& promised) const {
  const std::vector<Member>& previous = exchange.value.previous_members;
  const auto proposed = [&](const auto& vote) { return vote.second.store == exchange.position.epoch.store; };
  const bool holds_self = std::ranges::find(previous, self_) != previous.end();
  return holds_self && MajorityOf(previous, promised) && std::ranges::any_of(votes_, proposed);
}

// Nobody has been asked before the promise to itself was on disk (SendPrepares), so all that come count.
void Replica::CountPromises(double now_ms) {
  const AcceptedValue* highest = &accepted_;
  for (const auto& [from, vote] : votes_) {
    if (vote.value && vote.value->position > highest->position) highest = &*vote.value;
  }
  const auto promised = [&](const Member& member) {
    const auto found = votes_.find(member.internal);
    return found != votes_.end() && found->second.store == member.store;
  };
  if (IsQuorum(highest->value, promised)) {
    AcceptedValue adopted = *highest;
    ShardValue value = adopted.value;
    return Own(now_ms, std::move(adopted), std::move(value));
  }
  if (MayTakeBack(*highest, promised)) {
    AcceptedValue adopted = *highest;
    ShardValue value = adopted.value;
    value.members = std::exchange(value.previous_members, {});
    return Own(now_ms, std::move(adopted), std::move(value));
  }
  // The highest value may name members that this replica has not asked yet.
  for (const Member& member : Voters(highest->value)) {
    if (HasVoterAt(member.internal) || votes_.contains(member.internal)) continue;
    Send(member.internal, Prepare{promised_, accepted_.position, handover_});
  }
}

void Replica::Own(double now_ms, AcceptedValue adopted, ShardValue value) {
  role_ = Role::kOwner;
  owner_ = self_.internal;
  owned_ms_ = now_ms;
  accession_ = {now_ms, owner_silent_ms_};
  peers_.clear();
  for (const auto& [from, vote] : votes_) {
    accession_.owner_silent_ms = std::min(accession_.owner_silent_ms, vote.owner_silent_ms);
    if (from == self_.internal) continue;
    PeerState& peer = peers_[from];
    peer.store = vote.store;
    peer.heard_ms = now_ms;
    peer.confirmed_ms = stood_ms_;
    peer.accepted = vote.accepted;
  }
  votes_.clear();
  accepted_ = std::move(adopted);
  outsider_ = false;
  Replace(now_ms, std::move(value));
}

}  // namespace bitternmux::fleet
