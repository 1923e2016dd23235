// What an owner does: replaces the value, hands it to the others, decides orders and answers reads.
#include <algorithm>

#include "fleet/replication/quorum.h"
#include "fleet/replication/replica.h"

namespace bitternmux::fleet {

void Replica::Replace(double now_ms, ShardValue value) {
  const Position position{promised_, accepted_.position.sequence + 1};
  recent_.Add(std::move(accepted_));
  accepted_ = {position, std::move(value)};
  Save();
  SupplyAll(now_ms);
  SendHeartbeats(now_ms);
}

// Sends what the peer lacks, as far as its transfer may go.
void Replica::Supply(double now_ms, const std::string& to, PeerState& peer) {
  if (ends_exchange_ == accepted_.position && durable_ != accepted_.position) return;
  if (peer.transfer && peer.accepted >= peer.transfer->position()) peer.transfer.reset();
  if (peer.accepted >= accepted_.position) return;
  if (!peer.transfer) {
    const AcceptedValue* base = recent_.Find(peer.accepted);
    peer.transfer.emplace(accepted_.position, base == nullptr ? Position{} : base->position,
                          EncodeValue(base, accepted_));
  }
  for (ValuePiece& piece : peer.transfer->TakePieces(now_ms)) Send(to, std::move(piece));
}

void Replica::SupplyAll(double now_ms) {
  for (auto& [address, peer] : peers_) {
    if (HasVoterAt(address) || learners_.contains(address)) Supply(now_ms, address, peer);
  }
}

void Replica::On(double now_ms, const std::string& from, const PieceReply& reply) {
  if (role_ != Role::kOwner) return;
  const auto found = peers_.find(from);
  if (found == peers_.end() || !found->second.transfer) return;
  PeerState& peer = found->second;
  if (reply.position != peer.transfer->position()) return;
  if (reply.base_missing) {
    peer.transfer.reset();
    peer.accepted = {};  // what it holds is not known: the value goes whole
  } else {
    peer.transfer->Received(now_ms, reply.received);
  }
  Supply(now_ms, from, peer);
}

void Replica::SendHeartbeat(double now_ms, const std::string& to) {
  const auto found = peers_.find(to);
  Heartbeat heartbeat;
  heartbeat.epoch = promised_;
  heartbeat.round = round_;
  heartbeat.sent_ms = now_ms;
  heartbeat.echo_ms = found == peers_.end() ? kNeverMs : found->second.echo_ms;
  heartbeat.committed = committed_.position;
  heartbeat.newest = accepted_.position;
  heartbeat.successor_waits = !learners_.empty();
  Send(to, heartbeat);
}

void Replica::SendHeartbeats(double now_ms) {
  beat_ms_ = now_ms;
  ++round_;
  for (const Member& member : Voters(accepted_.value)) {
    if (member.internal != self_.internal) SendHeartbeat(now_ms, member.internal);
  }
  for (const auto& [address, learner] : learners_) {
    if (!HasVoterAt(address)) SendHeartbeat(now_ms, address);
  }
}

void Replica::On(double now_ms, const std::string& from, const HeartbeatReply& reply) {
  if (role_ != Role::kOwner) return;
  if (reply.epoch > promised_) {
    RaisePromise(now_ms, reply.epoch);
    owner_.clear();
    Save();
    return Follow(now_ms);
  }
  if (reply.epoch != promised_ || (!HasVoterAt(from) && !learners_.contains(from))) return;
  PeerState& peer = peers_[from];
  if (peer.store != reply.store || peer.incarnation != reply.incarnation) {
    const bool same_store = peer.store == reply.store;
    const double confirmed_ms = same_store ? peer.confirmed_ms : kNeverMs;
    peer = PeerState{};
    peer.store = reply.store;
    peer.incarnation = reply.incarnation;
    peer.confirmed_ms = confirmed_ms;
  }
  const bool first_word = peer.echo_ms == kNeverMs;
  peer.heard_ms = now_ms;
  peer.echo_ms = std::max(peer.echo_ms, reply.sent_ms);
  peer.accepted = reply.accepted;
  peer.durable = reply.durable;
  if (reply.answers == promised_) {
    peer.round = std::max(peer.round, reply.round);
    peer.confirmed_ms = std::max(peer.confirmed_ms, reply.owner_sent_ms);
    if (peer.transfer) peer.transfer->AnsweredLater(now_ms, reply.owner_sent_ms);
  }
  Supply(now_ms, from, peer);
  if (first_word) SendHeartbeat(now_ms, from);  // it waits for an echo of its own
  CountAccepted(now_ms);
  if (role_ == Role::kOwner) AnswerConfirmed();
}

void Replica::CountAccepted(double now_ms) {
  if (committed_.position != accepted_.position) {
    const auto holds = [&](const Member& member) {
      if (member.internal == self_.internal)
        return member.store == self_.store && durable_ == accepted_.position;
      const auto found = peers_.find(member.internal);
      return found != peers_.end() && found->second.store == member.store &&
             found->second.durable == accepted_.position;
    };
    if (!IsQuorum(accepted_.value, holds)) return;
    Commit();
    if (in_flight_)
      output_.decisions.push_back({*std::exchange(in_flight_, std::nullopt), OrderOutcome::kTaken});
    SendHeartbeats(now_ms);
    if (!IsVoter(self_)) {
      HandOver(now_ms);
      return Follow(now_ms);
    }
    AnswerConfirmed();
  }
  NextChange(now_ms);
}

// ---- Orders and reads ----

void Replica::Propose(double now_ms, std::uint64_t id, Order order) {
  Enqueue(now_ms, {id, std::move(order)});
}

void Replica::Propose(double now_ms, std::uint64_t id, EvacuationOrder order) {
  Enqueue(now_ms, {id, std::move(order)});
}

void Replica::Enqueue(double now_ms, Waiting waiting) {
  if (role_ != Role::kOwner || proposals_.size() >= kMaxProposals) {
    output_.decisions.push_back({waiting.id, OrderOutcome::kNotOwner});
    return;
  }
  proposals_.push_back(std::move(waiting));
  NextChange(now_ms);
}

// The next change begins once the one before it is committed: an order is judged by what is certain. Members
// come first, so that no queue of orders keeps the group short of one.
void Replica::NextChange(double now_ms) {
  while (role_ == Role::kOwner && committed_.position == accepted_.position) {
    if (ChangeMembers(now_ms) || ChangeDrained(now_ms) || proposals_.empty()) return;
    Waiting waiting = std::move(proposals_.front());
    proposals_.pop_front();
    const bool taking =
        std::visit([&](auto& order) { return Judge(now_ms, waiting.id, std::move(order)); }, waiting.order);
    if (taking) return;
  }
}

void Replica::SetDrained(double now_ms, std::vector<std::string> tenants) {
  if (role_ != Role::kOwner) return;
  drained_ = std::move(tenants);
  NextChange(now_ms);
}

// True: the value is being changed.
bool Replica::ChangeDrained(double now_ms) {
  if (!drained_ || *drained_ == accepted_.value.drained) return false;
  ShardValue next = accepted_.value;
  next.drained = *drained_;
  Replace(now_ms, std::move(next));
  return true;
}

// True: the order is being taken.
bool Replica::Judge(double now_ms, std::uint64_t id, Order order) {
  const ShardValue& current = accepted_.value;
  const TakenOrder taken{order.version, order.digest};
  if (std::ranges::find(current.history, taken) != current.history.end()) {
    AwaitConfirmation(now_ms, id, OrderOutcome::kTaken);
  } else if (order.builds_on != current.version) {
    AwaitConfirmation(now_ms, id, OrderOutcome::kConflict);
  } else if (order.version <= current.version) {
    AwaitConfirmation(now_ms, id, OrderOutcome::kOld);
  } else {
    ShardValue next = current;
    next.version = order.version;
    next.configuration = std::move(order.text);
    if (next.history.size() >= kMaxHistory) next.history.erase(next.history.begin());
    next.history.push_back(taken);
    in_flight_ = id;
    Replace(now_ms, std::move(next));
    return true;
  }
  return false;
}

// The zones stay sorted. An order that finds its zone as it wants it changes nothing.
bool Replica::Judge(double now_ms, std::uint64_t id, EvacuationOrder order) {
  const std::vector<std::string>& current = accepted_.value.evacuated;
  if (std::ranges::binary_search(current, order.zone) == order.begins) {
    AwaitConfirmation(now_ms, id, OrderOutcome::kTaken);
    return false;
  }
  ShardValue next = accepted_.value;
  if (order.begins) {
    next.evacuated.insert(std::ranges::lower_bound(next.evacuated, order.zone), order.zone);
  } else {
    std::erase(next.evacuated, order.zone);
  }
  in_flight_ = id;
  Replace(now_ms, std::move(next));
  return true;
}

void Replica::Read(double now_ms, std::uint64_t id) {
  if (role_ != Role::kOwner) {
    output_.reads.push_back({id, false});
    return;
  }
  AwaitConfirmation(now_ms, id, std::nullopt);
}

void Replica::AwaitConfirmation(double now_ms, std::uint64_t id, std::optional<OrderOutcome> outcome) {
  SendHeartbeats(now_ms);
  unconfirmed_.push_back({id, round_, outcome});
  AnswerConfirmed();
}

void Replica::AnswerConfirmed() {
  // Before its first commit an owner does not know what its predecessor committed.
  if (committed_.position.epoch != promised_) return;
  while (!unconfirmed_.empty()) {
    const Unconfirmed call = unconfirmed_.front();
    const auto confirms = [&](const Member& member) {
      if (member.internal == self_.internal) return member.store == self_.store;
      const auto found = peers_.find(member.internal);
      return found != peers_.end() && found->second.store == member.store &&
             found->second.round >= call.round;
    };
    if (!IsQuorum(accepted_.value, confirms)) return;
    if (call.outcome) {
      output_.decisions.push_back({call.id, *call.outcome});
    } else {
      output_.reads.push_back({call.id, true});
    }
    unconfirmed_.pop_front();
  }
}

// ---- Time ----

bool Replica::MajorityConfirmed(double now_ms, double within_ms) const {
  const auto confirmed = [&](const Member& member) {
    if (member.internal == self_.internal) return member.store == self_.store;
    const auto found = peers_.find(member.internal);
    return found != peers_.end() && found->second.store == member.store &&
           now_ms - found->second.confirmed_ms <= within_ms;
  };
  return IsQuorum(accepted_.value, confirmed);
}

std::vector<LiveProcess> Replica::LiveMembers(double now_ms) const {
  std::vector<LiveProcess> live;
  for (const Member& member : accepted_.value.members) {
    if (member.internal == self_.internal) {
      live.push_back({self_.internal, options_.incarnation});
      continue;
    }
    const auto found = peers_.find(member.internal);
    if (found == peers_.end() || found->second.store != member.store || leaving_.contains(member.internal))
      continue;
    if (now_ms - found->second.confirmed_ms > kOwnerAloneMs || found->second.incarnation == 0) continue;
    live.push_back({member.internal, found->second.incarnation});
  }
  return live;
}

void Replica::TickOwner(double now_ms) {
  if (!MajorityConfirmed(now_ms, kOwnerAloneMs)) {
    owner_.clear();
    return Follow(now_ms);
  }
  std::erase_if(learners_, [&](const auto& entry) {
    return now_ms - entry.second.asked_ms > kMemberGoneMs || IsVoter(entry.second.member);
  });
  std::erase_if(leaving_, [&](const auto& entry) { return now_ms - entry.second > kMemberGoneMs; });
  std::erase_if(peers_, [&](const auto& entry) {
    return !HasVoterAt(entry.first) && !learners_.contains(entry.first);
  });
  if (now_ms - beat_ms_ >= kHeartbeatMs) SendHeartbeats(now_ms);
  SupplyAll(now_ms);
  CountAccepted(now_ms);
  const bool settled = role_ == Role::kOwner && committed_.position == accepted_.position;
  if (settled && leaving_since_ms_ != kNeverMs && now_ms - asked_ms_ >= kAskAgainMs) HandOver(now_ms);
}

}  // namespace bitternmux::fleet
