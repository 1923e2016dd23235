#include "fleet/tallies/tally_ledger.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace bitternmux::fleet {

TallyLedger::TallyLedger(Options options, std::vector<TallyAdds> loaded, double now_ms)
    : options_(options), started_ms_(now_ms), event_ms_(now_ms) {
  for (TallyAdds& adds : loaded) fold_.Take(std::move(adds));
  for (const TallyExtent& extent : fold_.Extents()) stored_[extent.origin] = extent.length;
}

// Whoever is new counts as reached until it could have answered.
void TallyLedger::SetPeers(double now_ms, const std::vector<std::string>& addresses) {
  const std::set<std::string> named(addresses.begin(), addresses.end());
  std::erase_if(peers_, [&](const auto& entry) {
    const auto& heard_ms = entry.second.heard_ms;
    return !named.contains(entry.first) && (!heard_ms || now_ms - *heard_ms > kStrangerMs);
  });
  for (const std::string& address : named) {
    const auto [at, is_new] = peers_.try_emplace(address);
    if (is_new) at->second.answered_ms = now_ms;
  }
}

// A process that stood still has not read what the others answered meanwhile: that they are silent is not
// known.
void TallyLedger::NoteTime(double now_ms) {
  const bool stood_still = now_ms - event_ms_ > kPauseMs;
  event_ms_ = now_ms;
  JudgeProbes(now_ms);
  if (!stood_still) return;
  for (auto& [address, peer] : peers_) peer.answered_ms = now_ms;
}

// ---- Calls ----

void TallyLedger::Answer(std::uint64_t call, TallyOutcome outcome, std::int64_t total) {
  output_.answers.push_back({call, outcome, total});
}

void TallyLedger::Read(double now_ms, std::uint64_t call, const std::string& tally) {
  Settle(now_ms);
  if (!settled_) return Answer(call, TallyOutcome::kUnavailable);
  Answer(call, TallyOutcome::kTotal, fold_.Total(tally));
}

// What stands in the log of another process is appended here too: the answer then rests on disks that this
// process has heard of itself.
void TallyLedger::Add(double now_ms, std::uint64_t call, TallyAdd add) {
  NoteTime(now_ms);
  if (waiting_calls_ >= kMaxTallyCalls) return Answer(call, TallyOutcome::kUnavailable);
  const auto known = own_numbers_.find(add.id);
  std::uint64_t number = known == own_numbers_.end() ? 0 : known->second;
  if (number == 0 || fold_.At(options_.origin, number) != add) {
    if (fold_.adds() >= kMaxAdds) return Answer(call, TallyOutcome::kFull);
    number = fold_.Append(options_.origin, add);
    own_numbers_[add.id] = number;
    QueueWrite({options_.origin, number, {std::move(add)}});
  }
  const auto place = std::ranges::lower_bound(pending_, number, {}, &Pending::number);
  const bool waits = place != pending_.end() && place->number == number;
  const auto pending = waits ? place : pending_.insert(place, {number, now_ms, {}});
  pending->calls.push_back(call);
  ++waiting_calls_;
  AnswerPending(now_ms);
}

// Each probe since the call went to every machine that lacks the add. One that is not reached has answered
// none of them: it has answered nothing for kReachedMs.
bool TallyLedger::IsStoredByAllReached(double now_ms, const Pending& pending) const {
  const bool probed = unanswered_ms_ >= pending.since_ms;
  return std::ranges::all_of(peers_, [&](const auto& entry) {
    return entry.second.stored >= pending.number || (probed && !IsReached(entry.second, now_ms));
  });
}

// Where a zone more than may be lost at once has the add, one that has it is left.
bool TallyLedger::IsInEnoughZones(bool here, std::uint64_t number) const {
  if (options_.zones <= 1) return true;
  std::set<std::string_view> zones;
  if (here) zones.insert(options_.zone);
  for (const auto& [address, peer] : peers_) {
    if (peer.stored >= number) zones.insert(peer.zone);
  }
  zones.erase("");
  return zones.size() >= options_.zones;
}

bool TallyLedger::IsStored(double now_ms, const Pending& pending) const {
  const std::uint64_t number = pending.number;
  const auto own = stored_.find(options_.origin);
  const bool here = own != stored_.end() && own->second >= number;
  const auto others =
      std::ranges::count_if(peers_, [&](const auto& entry) { return entry.second.stored >= number; });
  const std::size_t disks = static_cast<std::size_t>(others) + (here ? 1 : 0);
  if (disks >= options_.copies && IsInEnoughZones(here, number)) return true;
  const bool may_know_all = now_ms - started_ms_ > kFirstReachedMs;
  return here && may_know_all && IsStoredByAllReached(now_ms, pending);
}

// Later adds are stored later, but calls for an earlier one may have come last.
void TallyLedger::AnswerPending(double now_ms) {
  std::erase_if(pending_, [&](const Pending& pending) {
    const bool stored = IsStored(now_ms, pending);
    if (!stored && now_ms - pending.since_ms < kAddMs) return false;
    for (const std::uint64_t call : pending.calls)
      Answer(call, stored ? TallyOutcome::kAdded : TallyOutcome::kUndecided);
    waiting_calls_ -= pending.calls.size();
    return true;
  });
  ProbeUnreached(now_ms);
}

// ---- The disk ----

void TallyLedger::QueueWrite(TallyAdds adds) {
  if (adds.adds.empty()) return;
  const bool continues = !unwritten_.empty() && unwritten_.back().origin == adds.origin;
  if (!continues) return unwritten_.push_back(std::move(adds));
  std::ranges::move(adds.adds, std::back_inserter(unwritten_.back().adds));
}

void TallyLedger::FlushWrite() {
  if (unwritten_.empty() && !mark_unwritten_) return;
  Writing writing{++last_ticket_, {}};
  for (const TallyAdds& adds : unwritten_)
    writing.until.push_back({adds.origin, adds.first + adds.adds.size() - 1});
  writing_.push_back(std::move(writing));
  output_.writes.push_back(
      {last_ticket_, std::exchange(unwritten_, {}), std::exchange(mark_unwritten_, false)});
}

void TallyLedger::Stored(double now_ms, std::uint64_t ticket) {
  NoteTime(now_ms);
  std::set<std::uint64_t> grown;
  while (!writing_.empty() && writing_.front().ticket <= ticket) {
    for (const TallyExtent& extent : writing_.front().until) {
      stored_[extent.origin] = extent.length;
      grown.insert(extent.origin);
    }
    writing_.pop_front();
  }
  for (const auto& [address, peer] : peers_) {
    if (grown.contains(peer.origin)) Send(address, TallyStored{peer.origin, 0, stored_.at(peer.origin)});
  }
  AnswerPending(now_ms);
}

// ---- The others ----

void TallyLedger::Send(const std::string& to, Message message) {
  output_.sends.emplace_back(to, std::move(message));
}

void TallyLedger::Receive(double now_ms, const std::string& from, const Message& message) {
  NoteTime(now_ms);
  std::visit([&](const auto& typed) { On(now_ms, from, typed); }, message);
}

void TallyLedger::On(double now_ms, const std::string& from, const TallyState& state) {
  const auto stored = stored_.find(state.origin);
  Send(from, TallyStored{state.origin, state.round, stored == stored_.end() ? 0 : stored->second});
  const auto [found, is_new] = peers_.try_emplace(from);
  Peer& peer = found->second;
  if (is_new) peer.answered_ms = now_ms;
  if (peer.origin != state.origin) {
    const double answered_ms = peer.answered_ms;
    const bool caught_up = peer.caught_up;
    peer = Peer{};
    peer.origin = state.origin;
    peer.answered_ms = answered_ms;
    peer.caught_up = caught_up;
  }
  const bool may_have_healed = !IsReached(peer, now_ms) && round_ > 0;
  if (may_have_healed && now_ms - peer.told_again_ms >= kTallyStateMs) {  // else states would bring states
    peer.told_again_ms = now_ms;
    Send(from, StateNow());
  }
  peer.heard_ms = now_ms;
  peer.settled = state.settled;
  peer.zone = state.zone;
  peer.held_before = std::exchange(peer.held, state.held);
  JudgeCaughtUp();
  Settle(now_ms);
  FetchMissing(now_ms);
}

void TallyLedger::On(double now_ms, const std::string& from, const TallyStored& stored) {
  const auto found = peers_.find(from);
  if (found == peers_.end() || stored.origin != options_.origin) return;
  Peer& peer = found->second;
  peer.stored = std::max(peer.stored, stored.length);
  const auto sent = std::ranges::find(rounds_, stored.round, &std::pair<std::uint64_t, double>::first);
  if (sent != rounds_.end() && now_ms - sent->second <= kAddMs) peer.answered_ms = now_ms;
  AnswerPending(now_ms);
}

void TallyLedger::On(double, const std::string& from, const TallyFetch& fetch) {
  TallyPiece piece;
  piece.logs = fold_.Beyond(fetch.held, kMostPieceBytes);
  piece.fetched = true;
  std::uint64_t sent = 0;
  for (const TallyAdds& adds : piece.logs) sent += adds.adds.size();
  piece.more = fold_.CountBeyond(fetch.held) > sent;
  Send(from, std::move(piece));
}

void TallyLedger::On(double now_ms, const std::string& from, const TallyPiece& piece) {
  for (const TallyAdds& adds : piece.logs) QueueWrite(fold_.Take(adds));
  if (piece.fetched && fetch_ && fetch_->from == from) {
    fetch_.reset();
    if (piece.more) Ask(now_ms, from);
  }
  JudgeCaughtUp();
  Settle(now_ms);
  FetchMissing(now_ms);
}

// ---- Repair ----

void TallyLedger::JudgeCaughtUp() {
  for (auto& [address, peer] : peers_) {
    if (peer.origin != 0 && !peer.caught_up) peer.caught_up = fold_.CountMissing(peer.held) == 0;
  }
}

// Nobody at all may be known yet: then there is nobody to wait for.
// What a lost disk had is told by others alone.
bool TallyLedger::HasCaughtUpWithSettled() const {
  return std::ranges::any_of(
      peers_, [](const auto& entry) { return entry.second.caught_up && entry.second.settled; });
}

void TallyLedger::Settle(double now_ms) {
  if (settled_) return;
  const double patience_ms = options_.may_have_lost_disk ? kCatchUpFromNothingMs : kCatchUpMs;
  const bool patient = now_ms - started_ms_ < patience_ms;
  const bool kept_elsewhere = options_.copies > 1;
  if (options_.may_have_lost_disk && kept_elsewhere && !HasCaughtUpWithSettled()) return;
  const bool knows_nobody = peers_.empty() && kept_elsewhere;
  if (knows_nobody && patient) return;
  settled_ = std::ranges::all_of(peers_, [&](const auto& entry) {
    return entry.second.caught_up || (!patient && !IsReached(entry.second, now_ms));
  });
  mark_unwritten_ = settled_ && options_.may_have_lost_disk;
}

// New adds are on their way from their origin: what is missing counts once it has been so for a state's time,
// but for a process that answers no reads yet.
void TallyLedger::FetchMissing(double now_ms) {
  if (fetch_ && now_ms - fetch_->sent_ms < kFetchMs) return;
  fetch_.reset();
  if (const auto source = NextSource(now_ms)) Ask(now_ms, *source);
}

// In turn, those that can be reached before the others: one that is gone may have told of adds that this
// process lacks, and never answers.
std::optional<std::string> TallyLedger::NextSource(double now_ms) const {
  std::vector<std::string> reached, silent;
  for (const auto& [address, peer] : peers_) {
    const std::vector<TallyExtent>& wanted = settled_ ? peer.held_before : peer.held;
    if (fold_.CountMissing(wanted) > 0) (IsReached(peer, now_ms) ? reached : silent).push_back(address);
  }
  const std::vector<std::string>& sources = reached.empty() ? silent : reached;
  if (sources.empty()) return std::nullopt;
  const auto next = std::ranges::upper_bound(sources, last_source_);
  return next == sources.end() ? sources.front() : *next;
}

void TallyLedger::Ask(double now_ms, const std::string& from) {
  fetch_ = Fetch{from, now_ms};
  last_source_ = from;
  Send(from, TallyFetch{fold_.Extents()});
}

// ---- Time ----

void TallyLedger::BeginRound(double now_ms) {
  rounds_.emplace_back(++round_, now_ms);
  while (now_ms - rounds_.front().second > kAddMs) rounds_.pop_front();
}

void TallyLedger::TellState(double now_ms) {
  told_ms_ = now_ms;
  BeginRound(now_ms);
  const TallyState state = StateNow();
  for (const auto& [address, peer] : peers_) Send(address, state);
}

TallyState TallyLedger::StateNow() const {
  TallyState state;
  state.origin = options_.origin;
  state.round = round_;
  state.held = fold_.Extents();
  state.settled = settled_;
  state.zone = options_.zone;
  return state;
}

// Goes to all that lack the newest add that waits, and so to all that lack any of these.
void TallyLedger::ProbeUnreached(double now_ms) {
  if (pending_.empty() || now_ms - probed_ms_ < kProbeEveryMs) return;
  const std::uint64_t number = pending_.back().number;
  const auto lacks = [&](const Peer& peer) { return peer.stored < number; };
  const bool needed = std::ranges::any_of(
      peers_, [&](const auto& entry) { return lacks(entry.second) && !IsReached(entry.second, now_ms); });
  if (!needed) return;
  probed_ms_ = now_ms;
  probes_.push_back({now_ms, std::nullopt});
  BeginRound(now_ms);
  const TallyState state = StateNow();
  for (const auto& [address, peer] : peers_) {
    if (lacks(peer)) Send(address, state);
  }
}

void TallyLedger::JudgeProbes(double now_ms) {
  for (Probe& probe : probes_) {
    if (!probe.due_ms && now_ms - probe.sent_ms >= kProbeMs) probe.due_ms = now_ms;
  }
  while (!probes_.empty() && probes_.front().due_ms && now_ms - *probes_.front().due_ms >= kProbeReadMs) {
    unanswered_ms_ = probes_.front().sent_ms;
    probes_.pop_front();
  }
}

void TallyLedger::Tick(double now_ms) {
  NoteTime(now_ms);
  Settle(now_ms);
  if (now_ms - told_ms_ >= kTallyStateMs) TellState(now_ms);
  FetchMissing(now_ms);
  AnswerPending(now_ms);
}

void TallyLedger::SendNewAdds() {
  const std::uint64_t length = fold_.LengthOf(options_.origin);
  if (told_adds_ == length) return;
  TallyPiece piece;
  TallyAdds& adds = piece.logs.emplace_back();
  adds.origin = options_.origin;
  adds.first = told_adds_ + 1;
  for (std::uint64_t number = adds.first; number <= length; ++number)
    adds.adds.push_back(fold_.At(options_.origin, number));
  told_adds_ = length;
  for (const auto& [address, peer] : peers_) Send(address, piece);
}

TallyOutput TallyLedger::TakeOutput() {
  SendNewAdds();
  FlushWrite();
  return std::exchange(output_, {});
}

std::vector<TallyPeerStatus> TallyLedger::Peers(double now_ms) const {
  std::vector<TallyPeerStatus> status;
  for (const auto& [address, peer] : peers_) {
    status.push_back(
        {address, IsReached(peer, now_ms), fold_.CountMissing(peer.held), fold_.CountBeyond(peer.held)});
  }
  return status;
}

}  // namespace bitternmux::fleet
