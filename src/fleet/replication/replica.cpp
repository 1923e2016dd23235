// What a replica does in every role: its disk, what it accepts, and how it answers an owner.
#include "fleet/replication/replica.h"

#include <algorithm>

#include "fleet/replication/quorum.h"

namespace bitternmux::fleet {
namespace {

// Appends the members at addresses that are not there yet.
void AddNew(std::vector<Member>& members, const std::vector<Member>& others) {
  for (const Member& other : others) {
    if (std::ranges::find(members, other.internal, &Member::internal) == members.end())
      members.push_back(other);
  }
}

}  // namespace

Replica::Replica(Options options, std::optional<DurableState> loaded, double now_ms)
    : options_(std::move(options)),
      started_ms_(now_ms),
      self_(options_.self),
      seeds_(options_.seeds),
      patience_from_ms_(now_ms) {
  self_.store = options_.new_store;
  if (loaded) {
    self_.store = loaded->store;
    promised_ = loaded->promised;
    accepted_ = std::move(loaded->accepted);
    durable_ = accepted_.position;
  } else if (options_.bootstrap && std::ranges::count(seeds_, self_.internal, &Member::internal) > 0) {
    std::vector<Member> first = seeds_;
    std::ranges::sort(first);
    for (std::size_t rank = 0; rank < first.size(); ++rank) {
      first[rank].store = rank + 1;
      if (first[rank].internal == self_.internal) self_.store = rank + 1;
    }
    accepted_.value.members = std::move(first);
  }
  if (!loaded) Save();
  Follow(now_ms);
}

bool Replica::IsVoter(const Member& member) const {
  const std::vector<Member> voters = Voters(accepted_.value);
  return std::ranges::any_of(voters, [&](const Member& voter) {
    return voter.internal == member.internal && voter.store == member.store;
  });
}

bool Replica::HasVoterAt(const std::string& address) const {
  const std::vector<Member> voters = Voters(accepted_.value);
  return std::ranges::find(voters, address, &Member::internal) != voters.end();
}

std::size_t Replica::RankOfSelf() const {
  const auto before = [&](const Member& member) { return member.internal < self_.internal; };
  return static_cast<std::size_t>(std::ranges::count_if(accepted_.value.members, before));
}

double Replica::Patience() const {
  // A fleet that starts as a whole has no owner to be patient with; a heartbeat's time and more shows whether
  // it has.
  const bool heard_one = owner_heard_ms_ >= started_ms_;
  return (heard_one ? kOwnerSilentMs : kFirstPatienceMs) +
         kCandidateStaggerMs * static_cast<double>(RankOfSelf());
}

// ---- The disk ----

void Replica::RaisePromise(double now_ms, const Epoch& epoch) {
  if (epoch == promised_) return;
  owner_silent_ms_ = now_ms - std::max(owner_heard_ms_, started_ms_);
  promised_ = epoch;
}

void Replica::Save() {
  output_.save = {++ticket_, DurableState{self_.store, promised_, accepted_}};
  saving_[ticket_] = accepted_.position;
}

void Replica::SendWhenSaved(const std::string& to, Message message) {
  if (ticket_ == saved_ticket_) return Send(to, std::move(message));
  when_saved_.emplace_back(ticket_, std::make_pair(to, std::move(message)));
}

void Replica::Saved(double now_ms, std::uint64_t ticket) {
  if (ticket <= saved_ticket_) return;
  saved_ticket_ = ticket;
  const auto found = saving_.find(ticket);
  const bool value_saved = found != saving_.end() && found->second != durable_;
  if (found != saving_.end()) durable_ = found->second;
  saving_.erase(saving_.begin(), saving_.upper_bound(ticket));
  while (!when_saved_.empty() && when_saved_.front().first <= ticket) {
    output_.sends.push_back(std::move(when_saved_.front().second));
    when_saved_.pop_front();
  }
  if (role_ == Role::kOwner) {
    SupplyAll(now_ms);
    return CountAccepted(now_ms);
  }
  if (value_saved && !owner_.empty()) Send(owner_, Standing(now_ms));
  if (role_ == Role::kCandidate && !pre_voting_ && !promise_saved_ && ticket >= promise_ticket_) {
    promise_saved_ = true;
    votes_[self_.internal] = {self_.store, accepted_.position, std::nullopt, owner_silent_ms_};
    SendPrepares(now_ms);
    CountPromises(now_ms);
  }
}

// ---- Messages ----

void Replica::Receive(double now_ms, const std::string& from, const Message& message) {
  std::visit([&](const auto& typed) { On(now_ms, from, typed); }, message);
}

HeartbeatReply Replica::Standing(double now_ms) const {
  HeartbeatReply reply;
  reply.store = self_.store;
  reply.incarnation = options_.incarnation;
  reply.epoch = promised_;
  reply.owner_sent_ms = kNeverMs;
  reply.sent_ms = now_ms;
  reply.accepted = accepted_.position;
  reply.durable = durable_;
  return reply;
}

void Replica::On(double now_ms, const std::string& from, const Heartbeat& heartbeat) {
  const auto answer = [&] {
    HeartbeatReply reply = Standing(now_ms);
    reply.answers = heartbeat.epoch;
    reply.round = heartbeat.round;
    reply.owner_sent_ms = heartbeat.sent_ms;
    Send(from, std::move(reply));
  };
  if (heartbeat.epoch < promised_) return answer();
  if (heartbeat.epoch == promised_ && role_ == Role::kOwner) return;
  const bool newer = heartbeat.epoch > promised_;
  RaisePromise(now_ms, heartbeat.epoch);
  owner_ = from;
  owner_heard_ms_ = now_ms;
  if (newer || role_ == Role::kCandidate) Follow(now_ms);
  if (newer) Save();
  patience_from_ms_ = now_ms;
  if (heartbeat.echo_ms >= started_ms_ && heartbeat.echo_ms <= now_ms) {
    fresh_ms_ = std::max(fresh_ms_, heartbeat.echo_ms);
  }
  successor_waits_ = heartbeat.successor_waits;
  if (accepted_.position == heartbeat.committed) Commit();
  if (committed_.position >= heartbeat.committed) {
    behind_since_ms_ = kNeverMs;
  } else if (behind_since_ms_ == kNeverMs) {
    behind_since_ms_ = now_ms;
  }
  answer();
}

void Replica::On(double now_ms, const std::string& from, const ValuePiece& piece) {
  if (piece.position.epoch < promised_) return Send(from, Standing(now_ms));
  if (piece.position.epoch == promised_ && role_ == Role::kOwner) return;
  const bool newer = piece.position.epoch > promised_;
  RaisePromise(now_ms, piece.position.epoch);
  owner_ = from;
  owner_heard_ms_ = now_ms;
  if (newer || role_ == Role::kCandidate) Follow(now_ms);
  patience_from_ms_ = now_ms;
  if (piece.position <= accepted_.position) {
    if (newer) Save();
    return Send(from, Standing(now_ms));
  }
  IncomingTransfer::Result result = incoming_.Receive(piece, accepted_);
  if (result.reply) Send(from, *result.reply);
  if (result.value) {
    accepted_ = std::move(*result.value);
    outsider_ = false;
    Follow(now_ms);
  }
  if (result.value || newer) Save();
}

void Replica::Commit() {
  if (accepted_.position > committed_.position) committed_ = accepted_;
}

// ---- What others ask ----

std::optional<Member> Replica::Owner(double now_ms) const {
  if (owner_.empty()) return std::nullopt;
  if (role_ != Role::kOwner && now_ms - owner_heard_ms_ > kOwnerAloneMs) return std::nullopt;
  const std::vector<Member> voters = Voters(accepted_.value);
  const auto found = std::ranges::find(voters, owner_, &Member::internal);
  if (found == voters.end()) return std::nullopt;
  return *found;
}

bool Replica::Acting(double now_ms) const {
  return role_ == Role::kOwner && committed_.position.epoch == promised_ &&
         MajorityConfirmed(now_ms, kOwnerAloneMs);
}

bool Replica::Fresh(double now_ms) const {
  if (role_ == Role::kOwner) return Acting(now_ms);
  if (committed_.position == Position{} || now_ms - fresh_ms_ > kFreshMs) return false;
  return behind_since_ms_ == kNeverMs || now_ms - behind_since_ms_ <= kBehindMs;
}

std::vector<Member> Replica::Group() const {
  const bool told_newer = told_position_ > accepted_.position;
  std::vector<Member> group = told_newer ? told_members_ : Voters(accepted_.value);
  for (const auto& [address, learner] : learners_) AddNew(group, {learner.member});
  if (group.empty()) group = seeds_;
  std::erase_if(group, [&](const Member& member) { return member.internal == self_.internal; });
  return group;
}

std::vector<Member> Replica::Peers() const {
  std::vector<Member> peers = Voters(accepted_.value);
  AddNew(peers, Group());
  AddNew(peers, seeds_);
  std::erase_if(peers, [&](const Member& member) { return member.internal == self_.internal; });
  return peers;
}

std::uint64_t Replica::UnansweredBytes() const {
  std::uint64_t bytes = 0;
  for (const auto& [address, peer] : peers_) bytes += peer.transfer ? peer.transfer->unanswered() : 0;
  return bytes;
}

void Replica::Tick(double now_ms) {
  TellSeeds(now_ms);
  if (leaving_since_ms_ != kNeverMs && role_ != Role::kOwner && now_ms - asked_ms_ >= kAskAgainMs) {
    asked_ms_ = now_ms;
    if (!owner_.empty()) Send(owner_, LeaveRequest{self_});
  }
  switch (role_) {
    case Role::kLearner:
      return TickLearner(now_ms);
    case Role::kFollower:
      if (now_ms - patience_from_ms_ > Patience()) AskForVotes(now_ms);
      return;
    case Role::kCandidate:
      return TickCandidate(now_ms);
    case Role::kOwner:
      return TickOwner(now_ms);
  }
}

ReplicaOutput Replica::TakeOutput() { return std::exchange(output_, {}); }

}  // namespace bitternmux::fleet
