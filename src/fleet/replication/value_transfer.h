// How a shard's value travels from the owner to a replica: a decider without I/O on each end.
//
// The owner has at most one transfer under way for each peer. It sends a value whole (a snapshot) or as the
// changes of one that the peer holds (an increment), in pieces of kPieceBytes of which kPiecesAhead may be
// unanswered, so that a heartbeat waits for no more than these. A transfer that makes no progress goes on
// from what the peer has answered for. Links keep their order, so that pieces are lost only with a link; what
// looks lost is mostly late. Repeats therefore never cause others: replies that tell of no progress count
// only once something has arrived that was sent after the last repeat; the time to a repeat is twice what the
// last progress took, at least, and doubles with each repeat without progress. One that has begun is finished
// even if a newer value has come meanwhile: a slow link then still moves forward, and what came in between
// follows as one increment.
#ifndef BITTERNMUX_SRC_FLEET_REPLICATION_VALUE_TRANSFER_H_
#define BITTERNMUX_SRC_FLEET_REPLICATION_VALUE_TRANSFER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/messages/messages.h"

namespace bitternmux::fleet {

constexpr std::size_t kPieceBytes = 32 * 1024;
constexpr std::size_t kPiecesAhead = 4;
constexpr double kTransferStallMs = 600;         // without an answer, before the pieces are sent again
constexpr double kMostTransferStallMs = 10'000;  // the longest that this time becomes
constexpr int kRepeatedReplies = 3;  // that tell of no progress, after which they are sent again at once
constexpr std::uint64_t kMaxValueBytes = 12 * 1024 * 1024;

// Values that the owner had before, as bases of increments. Bounded in number and in bytes, the newest is
// always kept.
class RecentValues {
 public:
  static constexpr std::size_t kMost = 4;
  static constexpr std::size_t kMostBytes = 256 * 1024;

  void Add(AcceptedValue value);
  // Null if it is not kept.
  const AcceptedValue* Find(const Position& position) const;
  void Clear();

 private:
  std::deque<AcceptedValue> values_;
  std::size_t bytes_ = 0;
};

// The value as bytes: changes of `base`, or all of it where that is null.
std::string EncodeValue(const AcceptedValue* base, const AcceptedValue& value);
// None if the bytes were not made from that base.
std::optional<AcceptedValue> DecodeValue(const AcceptedValue* base, const Position& position,
                                         const std::string& bytes);

class OutgoingTransfer {
 public:
  OutgoingTransfer(const Position& position, const Position& base, std::string bytes);

  // The pieces to send now.
  std::vector<ValuePiece> TakePieces(double now_ms);
  void Received(double now_ms, std::uint64_t bytes);
  // The receiver has answered something that was sent to it at that time. A link keeps the order: what was
  // sent before and has not been answered for is lost with an earlier link, and is sent again at once.
  void AnsweredLater(double now_ms, double sent_ms);
  const Position& position() const { return position_; }
  // Bytes that were sent and not answered for.
  std::uint64_t unanswered() const { return sent_ - received_; }

 private:
  void SendAgain();

  Position position_, base_;
  std::string bytes_;
  std::uint64_t sent_ = 0, received_ = 0;
  std::uint64_t repeated_to_ = 0;    // what lies before this may arrive twice
  double progress_ms_ = kNeverMs;    // the newest progress, or the first piece
  double waits_from_ms_ = kNeverMs;  // that, or the newest repeat
  double stall_ms_ = kTransferStallMs;
  double newest_piece_ms_ = kNeverMs;  // when one was sent last
  int repeated_replies_ = 0;           // that tell of no progress, one after the other
};

// Puts pieces together. Those that come before the one that is due are kept, as many as a sender may be
// ahead.
class IncomingTransfer {
 public:
  struct Result {
    std::optional<AcceptedValue> value;  // it is whole
    std::optional<PieceReply> reply;
  };
  // `accepted`: what the replica holds, the base of an increment.
  Result Receive(const ValuePiece& piece, const AcceptedValue& accepted);

 private:
  void Add(const ValuePiece& piece);

  Position position_, base_;
  std::string bytes_;
  std::map<std::uint64_t, std::string> early_;  // pieces behind a gap, by their offset
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_REPLICATION_VALUE_TRANSFER_H_
