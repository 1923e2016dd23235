#include "fleet/replication/value_transfer.h"

#include <catch2/catch.hpp>
#include <random>

namespace bitternmux::fleet {
namespace {

AcceptedValue Value(std::uint64_t sequence, std::string text, std::size_t history = 3) {
  AcceptedValue value;
  value.position = {{2, 1}, sequence};
  value.value.members = {{"a", "A", 1}};
  value.value.version = sequence;
  value.value.configuration = std::move(text);
  for (std::size_t i = 0; i < history; ++i) value.value.history.push_back({sequence + i, 1000 + i});
  return value;
}

}  // namespace

TEST_CASE("value transfer: a value comes back whole, and as changes of another one") {
  const AcceptedValue base = Value(4, "{a}{b}{c}", 5);
  AcceptedValue next = base;
  next.position.sequence = 5;
  next.value.configuration = "{a}{x}{c}{d}";
  next.value.history.erase(next.value.history.begin());
  next.value.history.push_back({99, 1});
  CHECK(DecodeValue(nullptr, next.position, EncodeValue(nullptr, next)) == next);
  const std::string changes = EncodeValue(&base, next);
  CHECK(DecodeValue(&base, next.position, changes) == next);
  CHECK_FALSE(DecodeValue(nullptr, next.position, changes));
  for (std::size_t size = 0; size < changes.size(); ++size) {
    CHECK_FALSE(DecodeValue(&base, next.position, changes.substr(0, size)));
  }
}

TEST_CASE("value transfer: a change of a long history and text is small") {
  const AcceptedValue base = Value(4, std::string(50'000, 'x'), 2000);
  AcceptedValue next = base;
  next.value.history.push_back({99, 1});
  CHECK(EncodeValue(&base, next).size() < 400);
}

TEST_CASE("value transfer: 4 MB in pieces, a few unanswered at a time, and again from what was answered") {
  const AcceptedValue value = Value(7, std::string(4 * 1024 * 1024, 'y') + "end");
  OutgoingTransfer outgoing(value.position, {}, EncodeValue(nullptr, value));
  IncomingTransfer incoming;
  std::mt19937 random(3);
  AcceptedValue held;
  std::optional<AcceptedValue> got;
  double now_ms = 0;
  for (int round = 0; round < 10'000 && !got; ++round) {
    now_ms += 50;
    for (const ValuePiece& piece : outgoing.TakePieces(now_ms)) {
      CHECK(outgoing.unanswered() <= kPiecesAhead * kPieceBytes);
      if (random() % 10 == 0) continue;  // it is lost
      auto result = incoming.Receive(piece, held);
      if (result.reply) outgoing.Received(now_ms, result.reply->received);
      if (result.value) got = std::move(result.value);
    }
  }
  REQUIRE(got);
  CHECK(*got == value);
}

TEST_CASE("value transfer: changes of a value that the receiver does not hold are told as such") {
  const AcceptedValue base = Value(4, "{a}"), next = Value(5, "{b}");
  OutgoingTransfer outgoing(next.position, base.position, EncodeValue(&base, next));
  IncomingTransfer incoming;
  const auto pieces = outgoing.TakePieces(0);
  REQUIRE(pieces.size() == 1);
  const auto result = incoming.Receive(pieces[0], Value(3, "{z}"));
  REQUIRE(result.reply);
  CHECK(result.reply->base_missing);
  CHECK_FALSE(result.value);
}

TEST_CASE("value transfer: bases are bounded in number and in bytes, and the newest is kept") {
  RecentValues recent;
  for (std::uint64_t i = 1; i <= 10; ++i) recent.Add(Value(i, "{}"));
  CHECK(recent.Find({{2, 1}, 10}) != nullptr);
  CHECK(recent.Find({{2, 1}, 10 - RecentValues::kMost}) == nullptr);
  recent.Add(Value(11, std::string(4 * 1024 * 1024, 'z')));
  CHECK(recent.Find({{2, 1}, 11}) != nullptr);
  CHECK(recent.Find({{2, 1}, 10}) == nullptr);
}

}  // namespace bitternmux::fleet
