#include "fleet/replication/replica.h"

#include <algorithm>

namespace bitternmux::fleet {
namespace {

std::size_t Majority(std::size_t count) { return count / 2 + 1; }

bool Names(const std::vector<Member>& members, const std::string& address) {
  return std::ranges::any_of(members, [&](const Member& member) { return member.internal == address; });
}

}  // namespace

Replica::Replica(Options options, std::optional<DurableState> loaded, double now_ms)
    : options_(std::move(options)), started_ms_(now_ms), patience_from_ms_(now_ms) {
  if (loaded) {
    promised_epoch_ = loaded->promised_epoch;
    voter_ = loaded->voter;
    accepted_ = std::move(loaded->accepted);
    durable_ = accepted_.position;
  } else if (options_.bootstrap && Names(options_.seeds, options_.self.internal)) {
    voter_ = true;
    accepted_.value.members = options_.seeds;
    std::ranges::sort(accepted_.value.members);
    Save();
  }
  Follow(now_ms);
}

bool Replica::IsMember(const std::string& address) const { return Names(Members(), address); }

std::size_t Replica::RankOfSelf() const {
  const auto before = [&](const Member& member) { return member.internal < options_.self.internal; };
  return static_cast<std::size_t>(std::ranges::count_if(Members(), before));
}

double Replica::Patience() const {
  // A fleet that starts as a whole has no owner to be patient with; a heartbeat's time and more shows whether
  // it has.
  const bool heard_one = owner_heard_ms_ >= started_ms_;
  return (heard_one ? kOwnerSilentMs : kFirstPatienceMs) +
         kCandidateStaggerMs * static_cast<double>(RankOfSelf());
}

// Takes the role of one that does not act, by what it may do.
void Replica::Follow(double now_ms) {
  const bool was_owner = role_ == Role::kOwner;
  role_ = !voter_ && !IsMember(options_.self.internal) && accepted_.position != Position{} ? Role::kLearner
          : !voter_                                                                        ? Role::kRecovering
          : IsMember(options_.self.internal)                                               ? Role::kFollower
                                                                                           : Role::kLearner;
  votes_.clear();
  patience_from_ms_ = now_ms;
  if (!was_owner) return;
  for (const Waiting& waiting : proposals_)
    output_.decisions.push_back({waiting.id, OrderOutcome::kNotOwner});
  if (in_flight_) output_.decisions.push_back({*in_flight_, OrderOutcome::kNotOwner});
  for (const PendingRead& read : reads_) output_.reads.push_back({read.id, false});
  proposals_.clear();
  in_flight_.reset();
  reads_.clear();
  peers_.clear();
  learners_.clear();
}

void Replica::Save() {
  output_.save = {++ticket_, DurableState{promised_epoch_, voter_, accepted_}};
  saving_[ticket_] = accepted_.position;
}

void Replica::SendWhenSaved(const std::string& to, Message message) {
  when_saved_.emplace_back(ticket_, std::make_pair(to, std::move(message)));
}

void Replica::Saved(double now_ms, std::uint64_t ticket) {
  if (ticket <= saved_ticket_) return;
  saved_ticket_ = ticket;
  const auto found = saving_.find(ticket);
  if (found != saving_.end()) durable_ = found->second;
  saving_.erase(saving_.begin(), saving_.upper_bound(ticket));
  while (!when_saved_.empty() && when_saved_.front().first <= ticket) {
    output_.sends.push_back(std::move(when_saved_.front().second));
    when_saved_.pop_front();
  }
  if (role_ == Role::kCandidate && !pre_voting_ && !promise_saved_ && ticket >= promise_ticket_) {
    promise_saved_ = true;
    votes_[options_.self.internal] = {now_ms, accepted_};
    for (const Member& member : Members()) {
      if (member.internal != options_.self.internal) Send(member.internal, Prepare{promised_epoch_});
    }
    CountPromises(now_ms);
  }
  if (role_ == Role::kOwner) CountAccepted(now_ms);
}

void Replica::Receive(double now_ms, const std::string& from, const Message& message) {
  std::visit([&](const auto& typed) { On(now_ms, from, typed); }, message);
}

// ---- Elections ----

// Guards an owner that works against a candidate that only fails to hear it.
bool Replica::OwnerWorks(double now_ms, const std::string& candidate) const {
  if (role_ == Role::kOwner) return MajorityHeard(now_ms, kOwnerWorksMs);
  return now_ms - owner_heard_ms_ < kOwnerWorksMs && owner_ != candidate;
}

void Replica::AskForVotes(double now_ms) {
  role_ = Role::kCandidate;
  owner_.clear();
  votes_.clear();
  pre_voting_ = true;
  stood_ms_ = now_ms;
  pre_votes_ = {{options_.self.internal, now_ms}};
  for (const Member& member : Members()) {
    if (member.internal != options_.self.internal) Send(member.internal, PreVote{promised_epoch_ + 1});
  }
  if (Members().size() == 1) StandForOwner(now_ms);
}

void Replica::On(double now_ms, const std::string& from, const PreVote& pre_vote) {
  if (!voter_) return;
  const bool granted = pre_vote.epoch > promised_epoch_ && !OwnerWorks(now_ms, from);
  Send(from, PreVoteReply{pre_vote.epoch, promised_epoch_, granted});
}

void Replica::On(double now_ms, const std::string& from, const PreVoteReply& reply) {
  if (role_ != Role::kCandidate || !pre_voting_) return;
  if (reply.promised_epoch > promised_epoch_) {
    promised_epoch_ = reply.promised_epoch;  // the next round asks for one above it
    Save();
  }
  if (!reply.granted || reply.epoch != promised_epoch_ + 1) return;
  pre_votes_[from] = now_ms;
  const auto votes = [&](const Member& member) {
    const auto found = pre_votes_.find(member.internal);
    return found != pre_votes_.end() && now_ms - found->second <= kVoteLifeMs;
  };
  if (static_cast<std::size_t>(std::ranges::count_if(Members(), votes)) >= Majority(Members().size())) {
    StandForOwner(now_ms);
  }
}

void Replica::StandForOwner(double now_ms) {
  role_ = Role::kCandidate;
  pre_voting_ = false;
  owner_.clear();
  votes_.clear();
  stood_ms_ = now_ms;
  promise_saved_ = false;
  ++promised_epoch_;
  Save();
  promise_ticket_ = ticket_;
}

void Replica::On(double now_ms, const std::string& from, const Prepare& prepare) {
  if (!voter_ || prepare.epoch <= promised_epoch_) return;
  if (OwnerWorks(now_ms, from)) return;
  promised_epoch_ = prepare.epoch;
  owner_.clear();
  Follow(now_ms);
  Save();
  SendWhenSaved(from, Promise{prepare.epoch, accepted_});
}

void Replica::On(double now_ms, const std::string& from, const Promise& promise) {
  if (role_ != Role::kCandidate || pre_voting_ || promise.epoch != promised_epoch_) return;
  votes_[from] = {now_ms, promise.accepted};
  CountPromises(now_ms);
}

void Replica::CountPromises(double now_ms) {
  std::erase_if(votes_, [&](const auto& vote) { return now_ms - vote.second.at_ms > kVoteLifeMs; });
  if (!promise_saved_) return;
  const AcceptedValue* highest = &accepted_;
  for (const auto& [from, vote] : votes_) {
    if (vote.accepted.position > highest->position) highest = &vote.accepted;
  }
  const std::vector<Member>& members = highest->value.members;
  const auto voted =
      std::ranges::count_if(members, [&](const Member& m) { return votes_.contains(m.internal); });
  if (static_cast<std::size_t>(voted) >= Majority(members.size())) {
    AcceptedValue adopted = *highest;
    return Own(now_ms, std::move(adopted));
  }
  for (const Member& member : members) {
    if (!IsMember(member.internal) && !votes_.contains(member.internal)) {
      Send(member.internal, Prepare{promised_epoch_});
    }
  }
}

void Replica::Own(double now_ms, AcceptedValue adopted) {
  role_ = Role::kOwner;
  owner_ = options_.self.internal;
  owned_ms_ = now_ms;
  round_ = 0;
  peers_.clear();
  for (const auto& [from, vote] : votes_) peers_[from].heard_ms = vote.at_ms;
  accepted_.position.sequence = adopted.position.sequence;
  Replace(now_ms, std::move(adopted.value));
}

// ---- Replacing the value ----

void Replica::Replace(double now_ms, ShardValue value) {
  accepted_.position = {promised_epoch_, accepted_.position.sequence + 1};
  accepted_.value = std::move(value);
  Save();
  for (const Member& member : Members()) {
    if (member.internal != options_.self.internal) SendValue(now_ms, member.internal);
  }
  for (const auto& [address, learner] : learners_) {
    if (!IsMember(address)) SendValue(now_ms, address);
  }
  SendHeartbeats(now_ms);
}

void Replica::SendValue(double now_ms, const std::string& to) {
  PeerState& peer = peers_[to];
  peer.sent_ms = now_ms;
  peer.sent = accepted_.position;
  Send(to, Accept{accepted_});
}

void Replica::SendHeartbeats(double now_ms) {
  beat_ms_ = now_ms;
  ++round_;
  const Heartbeat heartbeat{promised_epoch_, round_, committed_.position, accepted_.position};
  for (const Member& member : Members()) {
    if (member.internal != options_.self.internal) Send(member.internal, heartbeat);
  }
  for (const auto& [address, learner] : learners_) {
    if (!IsMember(address)) Send(address, heartbeat);
  }
}

HeartbeatReply Replica::Standing(std::uint64_t round) const {
  return {promised_epoch_, round, durable_, voter_};
}

void Replica::On(double now_ms, const std::string& from, const Accept& accept) {
  const Position& position = accept.accepted.position;
  if (role_ == Role::kRecovering) return;
  if (position.epoch < promised_epoch_) return Send(from, Standing(0));
  if (position.epoch == promised_epoch_ && role_ == Role::kOwner) return;
  promised_epoch_ = position.epoch;
  owner_ = from;
  owner_heard_ms_ = now_ms;
  if (position <= accepted_.position) {
    Follow(now_ms);
    return Send(from, Standing(0));
  }
  accepted_ = accept.accepted;
  Follow(now_ms);
  Save();
  SendWhenSaved(from, HeartbeatReply{promised_epoch_, 0, accepted_.position, voter_});
}

void Replica::On(double now_ms, const std::string& from, const Heartbeat& heartbeat) {
  if (heartbeat.epoch < promised_epoch_) return Send(from, Standing(heartbeat.round));
  if (heartbeat.epoch == promised_epoch_ && role_ == Role::kOwner) return;
  if (role_ == Role::kRecovering) return Send(from, Standing(heartbeat.round));
  const bool newer = heartbeat.epoch > promised_epoch_;
  promised_epoch_ = heartbeat.epoch;
  owner_ = from;
  owner_heard_ms_ = now_ms;
  if (newer || role_ == Role::kCandidate) Follow(now_ms);
  patience_from_ms_ = now_ms;
  if (newer) Save();
  if (accepted_.position == heartbeat.committed) Commit();
  Send(from, Standing(heartbeat.round));
}

void Replica::On(double now_ms, const std::string& from, const HeartbeatReply& reply) {
  if (role_ != Role::kOwner) return;
  if (reply.epoch > promised_epoch_) {
    promised_epoch_ = reply.epoch;
    owner_.clear();
    Save();
    return Follow(now_ms);
  }
  PeerState& peer = peers_[from];
  peer.heard_ms = now_ms;
  peer.durable = reply.durable;
  peer.durable_at_ms = now_ms;
  peer.round = std::max(peer.round, reply.round);
  peer.voter = reply.voter;
  const bool lacks = reply.durable != accepted_.position && reply.round != 0;
  if (lacks && (peer.sent != accepted_.position || now_ms - peer.sent_ms > kResendMs))
    SendValue(now_ms, from);
  CountAccepted(now_ms);
  if (role_ == Role::kOwner) AnswerReads(now_ms);
}

void Replica::CountAccepted(double now_ms) {
  if (committed_.position != accepted_.position) {
    const auto holds = [&](const Member& member) {
      if (member.internal == options_.self.internal) return durable_ == accepted_.position;
      const auto found = peers_.find(member.internal);
      return found != peers_.end() && found->second.voter && found->second.durable == accepted_.position &&
             now_ms - found->second.durable_at_ms <= kVoteLifeMs;
    };
    if (static_cast<std::size_t>(std::ranges::count_if(Members(), holds)) < Majority(Members().size()))
      return;
    Commit();
    if (in_flight_)
      output_.decisions.push_back({*std::exchange(in_flight_, std::nullopt), OrderOutcome::kTaken});
    SendHeartbeats(now_ms);
    if (!IsMember(options_.self.internal)) return Follow(now_ms);
  }
  NextChange(now_ms);
}

void Replica::Commit() {
  if (accepted_.position > committed_.position) committed_ = accepted_;
}

// ---- Orders and reads ----

void Replica::Propose(double now_ms, std::uint64_t id, Order order) {
  if (role_ != Role::kOwner || proposals_.size() >= kMaxProposals) {
    output_.decisions.push_back({id, OrderOutcome::kNotOwner});
    return;
  }
  proposals_.push_back({id, std::move(order)});
  NextChange(now_ms);
}

// The next change begins once the one before it is committed: an order is judged by what is certain.
void Replica::NextChange(double now_ms) {
  while (role_ == Role::kOwner && committed_.position == accepted_.position) {
    if (proposals_.empty()) {
      ChangeMembers(now_ms);
      return;
    }
    Waiting waiting = std::move(proposals_.front());
    proposals_.pop_front();
    const Order& order = waiting.order;
    const ShardValue& current = accepted_.value;
    const TakenOrder taken{order.version, order.digest};
    if (std::ranges::find(current.history, taken) != current.history.end()) {
      output_.decisions.push_back({waiting.id, OrderOutcome::kTaken});
    } else if (order.builds_on != current.version) {
      output_.decisions.push_back({waiting.id, OrderOutcome::kConflict});
    } else if (order.version <= current.version) {
      output_.decisions.push_back({waiting.id, OrderOutcome::kOld});
    } else {
      ShardValue next;
      next.members = current.members;
      next.version = order.version;
      next.configuration = std::move(waiting.order.text);
      next.history = current.history;
      if (next.history.size() >= kMaxHistory) next.history.erase(next.history.begin());
      next.history.push_back(taken);
      in_flight_ = waiting.id;
      return Replace(now_ms, std::move(next));
    }
  }
}

void Replica::Read(double now_ms, std::uint64_t id) {
  if (role_ != Role::kOwner) {
    output_.reads.push_back({id, false});
    return;
  }
  SendHeartbeats(now_ms);
  reads_.push_back({id, round_});
  AnswerReads(now_ms);
}

void Replica::AnswerReads(double now_ms) {
  // Before its first commit an owner does not know what its predecessor committed.
  if (committed_.position.epoch != promised_epoch_) return;
  while (!reads_.empty()) {
    const std::uint64_t round = reads_.front().round;
    const auto confirms = [&](const Member& member) {
      if (member.internal == options_.self.internal) return true;
      const auto found = peers_.find(member.internal);
      return found != peers_.end() && found->second.round >= round &&
             now_ms - found->second.heard_ms <= kVoteLifeMs;
    };
    if (static_cast<std::size_t>(std::ranges::count_if(Members(), confirms)) < Majority(Members().size()))
      return;
    output_.reads.push_back({reads_.front().id, true});
    reads_.pop_front();
  }
}

// ---- Membership ----

void Replica::On(double now_ms, const std::string& from, const JoinRequest& request) {
  if (role_ != Role::kOwner || request.member.internal != from || IsMember(from)) return;
  learners_[from] = {request.member, now_ms};
}

// Adds a learner that holds all, or removes a member that is gone. One change at a time.
bool Replica::ChangeMembers(double now_ms) {
  const auto gone = [&](const Member& member) {
    if (member.internal == options_.self.internal) return false;
    const auto found = peers_.find(member.internal);
    const double heard_ms = found == peers_.end() ? owned_ms_ : std::max(owned_ms_, found->second.heard_ms);
    return now_ms - heard_ms > kMemberGoneMs;
  };
  std::erase_if(learners_, [&](const auto& entry) {
    return now_ms - entry.second.asked_ms > kMemberGoneMs || IsMember(entry.first);
  });
  const auto lost = std::ranges::find_if(Members(), gone);
  const std::size_t size = Members().size();
  ShardValue next = accepted_.value;
  if (size > options_.group_size && lost != Members().end()) {
    std::erase(next.members, Member(*lost));
    Replace(now_ms, std::move(next));
    return true;
  }
  if (size > options_.group_size || (size == options_.group_size && lost == Members().end())) return false;
  for (const auto& [address, learner] : learners_) {
    const auto found = peers_.find(address);
    if (found == peers_.end() || found->second.durable != accepted_.position) continue;
    next.members.push_back(learner.member);
    std::ranges::sort(next.members);
    Replace(now_ms, std::move(next));
    return true;
  }
  return false;
}

// ---- Recovery ----

void Replica::TickRecovery(double now_ms) {
  if (now_ms - asked_ms_ < kAskAgainMs) return;
  asked_ms_ = now_ms;
  for (const Member& member : Peers()) {
    if (role_ == Role::kRecovering) Send(member.internal, RecoverRequest{options_.incarnation});
    if (role_ == Role::kLearner) Send(member.internal, JoinRequest{options_.self});
  }
}

void Replica::On(double now_ms, const std::string& from, const RecoverRequest& request) {
  if (!voter_) return;
  // What it said before it lost its disk does not count any more.
  if (role_ == Role::kOwner) peers_[from].durable_at_ms = -1e18;
  if (role_ == Role::kCandidate) votes_.erase(from);
  static_cast<void>(now_ms);
  Send(from, RecoverReply{request.nonce, promised_epoch_, accepted_});
}

void Replica::On(double now_ms, const std::string& from, const RecoverReply& reply) {
  if (role_ != Role::kRecovering || reply.nonce != options_.incarnation) return;
  recover_replies_[from] = reply;
  Recovered(now_ms);
}

void Replica::Recovered(double now_ms) {
  const RecoverReply* highest = nullptr;
  std::uint64_t promised = 0;
  for (const auto& [from, reply] : recover_replies_) {
    promised = std::max(promised, reply.promised_epoch);
    if (highest == nullptr || reply.accepted.position > highest->accepted.position) highest = &reply;
  }
  if (highest == nullptr) return;
  const std::vector<Member>& members = highest->accepted.value.members;
  const auto told = std::ranges::count_if(members, [&](const Member& member) {
    return member.internal != options_.self.internal && recover_replies_.contains(member.internal);
  });
  if (static_cast<std::size_t>(told) < Majority(members.size())) return;
  const bool member = Names(members, options_.self.internal);
  if (member && now_ms - started_ms_ < kRecoverWaitMs) return;
  promised_epoch_ = std::max(promised_epoch_, promised);
  accepted_ = highest->accepted;
  // One that is no member yet has never promised anything: it may vote as soon as it is added.
  voter_ = true;
  recover_replies_.clear();
  Save();
  Follow(now_ms);
}

std::vector<Member> Replica::Peers() const {
  std::vector<Member> peers = Members();
  const auto add = [&](const Member& member) {
    if (!Names(peers, member.internal)) peers.push_back(member);
  };
  for (const Member& seed : options_.seeds) add(seed);
  for (const auto& [from, reply] : recover_replies_) {
    for (const Member& member : reply.accepted.value.members) add(member);
  }
  for (const auto& [address, learner] : learners_) add(learner.member);
  std::erase_if(peers, [&](const Member& member) { return member.internal == options_.self.internal; });
  return peers;
}

// ---- Time ----

bool Replica::MajorityHeard(double now_ms, double within_ms) const {
  const auto heard = [&](const Member& member) {
    if (member.internal == options_.self.internal) return true;
    const auto found = peers_.find(member.internal);
    return found != peers_.end() && now_ms - found->second.heard_ms <= within_ms;
  };
  return static_cast<std::size_t>(std::ranges::count_if(Members(), heard)) >= Majority(Members().size());
}

void Replica::TickOwner(double now_ms) {
  if (!MajorityHeard(now_ms, kOwnerAloneMs)) {
    owner_.clear();
    return Follow(now_ms);
  }
  if (now_ms - beat_ms_ >= kHeartbeatMs) SendHeartbeats(now_ms);
  CountAccepted(now_ms);
}

void Replica::Tick(double now_ms) {
  switch (role_) {
    case Role::kRecovering:
      Recovered(now_ms);
      return TickRecovery(now_ms);
    case Role::kLearner:
      return TickRecovery(now_ms);
    case Role::kFollower:
      if (now_ms - patience_from_ms_ > Patience()) AskForVotes(now_ms);
      return;
    case Role::kCandidate:
      if (now_ms - stood_ms_ > (pre_voting_ ? kPreVoteMs : Patience())) AskForVotes(now_ms);
      return;
    case Role::kOwner:
      return TickOwner(now_ms);
  }
}

std::optional<Member> Replica::Owner(double now_ms) const {
  if (owner_.empty()) return std::nullopt;
  if (role_ != Role::kOwner && now_ms - owner_heard_ms_ > kOwnerAloneMs) return std::nullopt;
  const auto found = std::ranges::find(Members(), owner_, &Member::internal);
  if (found == Members().end()) return std::nullopt;
  return *found;
}

bool Replica::Fresh(double now_ms) const {
  if (committed_.position == Position{}) return false;
  return role_ == Role::kOwner ? committed_.position.epoch == promised_epoch_
                               : now_ms - owner_heard_ms_ <= kVoteLifeMs;
}

ReplicaOutput Replica::TakeOutput() { return std::exchange(output_, {}); }

}  // namespace bitternmux::fleet
