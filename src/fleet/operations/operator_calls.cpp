#include "fleet/operations/operator_calls.h"

#include <utility>

namespace bitternmux::fleet {

void OperatorCalls::Put(double now_ms, std::uint64_t id, Order order) {
  Begin(now_ms, id, {std::move(order), now_ms, true});
}

void OperatorCalls::Evacuate(double now_ms, std::uint64_t id, EvacuationOrder order) {
  Begin(now_ms, id, {std::move(order), now_ms, true});
}

void OperatorCalls::Get(double now_ms, std::uint64_t id) { Begin(now_ms, id, {std::nullopt, now_ms, true}); }

void OperatorCalls::Begin(double now_ms, std::uint64_t id, Call call) {
  if (calls_.size() >= kMostCalls) return Reply(id, CallOutcome::kUnavailable);
  Call& kept = calls_[id] = std::move(call);
  Route(now_ms, id, kept);
}

bool OperatorCalls::Route(double now_ms, std::uint64_t id, Call& call) {
  if (replica_.role() == Replica::Role::kOwner) {
    call.held = false;
    if (call.order) {
      call.begun = true;
      std::visit([&](const auto& order) { replica_.Propose(now_ms, id, order); }, *call.order);
    } else {
      replica_.Read(now_ms, id);
    }
    return true;
  }
  const auto owner = replica_.Owner(now_ms);
  if (!owner || now_ms - replica_.owner_heard_ms() > kOwnerHeardLatelyMs) return false;
  calls_.erase(id);
  Reply(id, CallOutcome::kRedirected, *owner);
  return true;
}

void OperatorCalls::Reply(std::uint64_t id, CallOutcome outcome, Member owner) {
  replies_.push_back({id, outcome, std::move(owner)});
}

void OperatorCalls::Decided(double now_ms, const Decision& decision) {
  if (!calls_.contains(decision.id)) return;
  if (decision.outcome == OrderOutcome::kNotOwner) return NotDecidedHere(now_ms, decision.id);
  calls_.erase(decision.id);
  switch (decision.outcome) {
    case OrderOutcome::kTaken:
      return Reply(decision.id, CallOutcome::kTaken);
    case OrderOutcome::kConflict:
      return Reply(decision.id, CallOutcome::kConflict);
    case OrderOutcome::kOld:
      return Reply(decision.id, CallOutcome::kOld);
    case OrderOutcome::kNotOwner:
      return;
  }
}

void OperatorCalls::ReadDone(double now_ms, const ReadOutcome& outcome) {
  if (!calls_.contains(outcome.id)) return;
  if (!outcome.current) return NotDecidedHere(now_ms, outcome.id);
  calls_.erase(outcome.id);
  Reply(outcome.id, CallOutcome::kRead);
}

// The machine has lost the role: the same call may go to its successor, who knows an order that was taken.
void OperatorCalls::NotDecidedHere(double now_ms, std::uint64_t id) {
  Call& call = calls_.at(id);
  call.held = true;
  if (replica_.role() != Replica::Role::kOwner) Route(now_ms, id, call);
}

void OperatorCalls::Tick(double now_ms) {
  for (auto at = calls_.begin(); at != calls_.end();) {
    const std::uint64_t id = at->first;
    Call& call = (at++)->second;
    const double passed_ms = now_ms - call.asked_ms;
    if (call.held && Route(now_ms, id, call)) continue;
    if (passed_ms < (call.held ? kHoldMs : kCallMs)) continue;
    const bool nothing_done = call.held && !call.begun;
    const CallOutcome outcome = nothing_done ? CallOutcome::kUnavailable : CallOutcome::kUndecided;
    calls_.erase(id);
    Reply(id, outcome);
  }
}

}  // namespace bitternmux::fleet
