#include "fleet/replication/value_transfer.h"

#include <algorithm>
#include <utility>

#include "fleet/delta/text_delta.h"
#include "fleet/messages/archive.h"

namespace bitternmux::fleet {
namespace {

std::size_t BytesOf(const AcceptedValue& value) {
  return value.value.configuration.size() + value.value.history.size() * sizeof(TakenOrder);
}

// A value as changes of another one. The history only drops entries at its front and adds some at its back.
struct ValueChanges {
  std::vector<Member> members, previous_members;
  std::uint64_t version = 0;
  std::string configuration;  // a text delta
  std::uint64_t history_dropped = 0;
  std::uint64_t history_kept = 0;
  std::vector<TakenOrder> history_added;
  std::vector<std::string> drained, evacuated;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(members, previous_members, version, configuration, history_dropped, history_kept, history_added,
            drained, evacuated);
  }
};

void CompareHistories(const std::vector<TakenOrder>& from, const std::vector<TakenOrder>& to,
                      ValueChanges& changes) {
  const auto first = to.empty() ? from.end() : std::ranges::find(from, to.front());
  const auto [from_end, to_end] = std::mismatch(first, from.end(), to.begin(), to.end());
  changes.history_dropped = static_cast<std::uint64_t>(first - from.begin());
  changes.history_kept = static_cast<std::uint64_t>(from_end - first);
  changes.history_added.assign(to_end, to.end());
}

}  // namespace

void RecentValues::Add(AcceptedValue value) {
  bytes_ += BytesOf(value);
  values_.push_back(std::move(value));
  while (values_.size() > 1 && (values_.size() > kMost || bytes_ > kMostBytes)) {
    bytes_ -= BytesOf(values_.front());
    values_.pop_front();
  }
}

const AcceptedValue* RecentValues::Find(const Position& position) const {
  const auto found = std::ranges::find(values_, position, &AcceptedValue::position);
  return found == values_.end() ? nullptr : &*found;
}

void RecentValues::Clear() {
  values_.clear();
  bytes_ = 0;
}

std::string EncodeValue(const AcceptedValue* base, const AcceptedValue& value) {
  static const ShardValue kEmpty;
  const ShardValue& from = base == nullptr ? kEmpty : base->value;
  ValueChanges changes;
  changes.members = value.value.members;
  changes.previous_members = value.value.previous_members;
  changes.version = value.value.version;
  changes.drained = value.value.drained;
  changes.evacuated = value.value.evacuated;
  changes.configuration = MakeDelta(from.configuration, value.value.configuration);
  CompareHistories(from.history, value.value.history, changes);
  std::string bytes;
  ByteOutput archive(bytes);
  archive(changes);
  return bytes;
}

std::optional<AcceptedValue> DecodeValue(const AcceptedValue* base, const Position& position,
                                         const std::string& bytes) {
  static const ShardValue kEmpty;
  const ShardValue& from = base == nullptr ? kEmpty : base->value;
  ValueChanges changes;
  try {
    ByteInput archive(bytes);
    archive(changes);
  } catch (const cereal::Exception&) {
    return std::nullopt;
  }
  auto configuration = ApplyDelta(from.configuration, changes.configuration);
  if (!configuration || changes.history_dropped > from.history.size() ||
      changes.history_kept > from.history.size() - changes.history_dropped) {
    return std::nullopt;
  }
  AcceptedValue value;
  value.position = position;
  value.value.members = std::move(changes.members);
  value.value.previous_members = std::move(changes.previous_members);
  value.value.version = changes.version;
  value.value.drained = std::move(changes.drained);
  value.value.evacuated = std::move(changes.evacuated);
  value.value.configuration = std::move(*configuration);
  const auto first = from.history.begin() + static_cast<std::ptrdiff_t>(changes.history_dropped);
  value.value.history.assign(first, first + static_cast<std::ptrdiff_t>(changes.history_kept));
  value.value.history.insert(value.value.history.end(), changes.history_added.begin(),
                             changes.history_added.end());
  return value;
}

OutgoingTransfer::OutgoingTransfer(const Position& position, const Position& base, std::string bytes)
    : position_(position), base_(base), bytes_(std::move(bytes)) {}

void OutgoingTransfer::SendAgain() {
  repeated_to_ = std::max(repeated_to_, sent_);
  sent_ = received_;
  repeated_replies_ = 0;
}

std::vector<ValuePiece> OutgoingTransfer::TakePieces(double now_ms) {
  if (progress_ms_ == kNeverMs) progress_ms_ = waits_from_ms_ = now_ms;
  if (now_ms - waits_from_ms_ > stall_ms_) {
    SendAgain();
    waits_from_ms_ = now_ms;
    stall_ms_ = std::min(2 * stall_ms_, kMostTransferStallMs);
  }
  std::vector<ValuePiece> pieces;
  while (sent_ < bytes_.size() && sent_ - received_ < kPiecesAhead * kPieceBytes) {
    const std::size_t size = std::min(kPieceBytes, bytes_.size() - static_cast<std::size_t>(sent_));
    pieces.push_back({position_, base_, bytes_.size(), sent_, bytes_.substr(sent_, size)});
    sent_ += size;
  }
  if (!pieces.empty()) newest_piece_ms_ = now_ms;
  return pieces;
}

void OutgoingTransfer::AnsweredLater(double now_ms, double sent_ms) {
  if (unanswered() == 0 || sent_ms <= newest_piece_ms_) return;
  SendAgain();
  waits_from_ms_ = now_ms;
  stall_ms_ = kTransferStallMs;
}

void OutgoingTransfer::Received(double now_ms, std::uint64_t bytes) {
  if (bytes > bytes_.size()) return;
  if (bytes == received_) {
    const bool may_be_late = received_ <= repeated_to_ && repeated_to_ > 0;
    if (!may_be_late && ++repeated_replies_ >= kRepeatedReplies) SendAgain();
    return;
  }
  if (bytes < received_) {  // the receiver has begun anew
    sent_ = bytes;
    repeated_to_ = 0;
  }
  // What arrives of the repeated part says nothing of how long an answer takes.
  if (bytes > repeated_to_)
    stall_ms_ = std::clamp(2 * (now_ms - progress_ms_), kTransferStallMs, kMostTransferStallMs);
  progress_ms_ = waits_from_ms_ = now_ms;
  repeated_replies_ = 0;
  received_ = bytes;
  sent_ = std::max(sent_, received_);
}

void IncomingTransfer::Add(const ValuePiece& piece) {
  if (piece.offset > bytes_.size()) {
    if (early_.size() < kPiecesAhead) early_.emplace(piece.offset, piece.bytes);
    return;
  }
  if (piece.offset == bytes_.size()) bytes_ += piece.bytes;
  while (!early_.empty() && early_.begin()->first <= bytes_.size()) {
    if (early_.begin()->first == bytes_.size()) bytes_ += early_.begin()->second;
    early_.erase(early_.begin());
  }
}

IncomingTransfer::Result IncomingTransfer::Receive(const ValuePiece& piece, const AcceptedValue& accepted) {
  if (piece.total > kMaxValueBytes || piece.offset > piece.total) return {};
  if (piece.base != Position{} && piece.base != accepted.position) {
    return {std::nullopt, PieceReply{piece.position, 0, true}};
  }
  if (piece.position != position_ || piece.base != base_) {
    position_ = piece.position;
    base_ = piece.base;
    bytes_.clear();
    early_.clear();
  }
  Add(piece);
  if (bytes_.size() < piece.total) return {std::nullopt, PieceReply{piece.position, bytes_.size(), false}};
  const std::string bytes = std::exchange(bytes_, {});
  early_.clear();
  position_ = {};
  auto value = DecodeValue(piece.base == Position{} ? nullptr : &accepted, piece.position, bytes);
  if (!value) return {std::nullopt, PieceReply{piece.position, 0, true}};
  return {std::move(value), std::nullopt};
}

}  // namespace bitternmux::fleet
