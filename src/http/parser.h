// An incremental HTTP/1.1 parser for one message at a time, from either side.
#ifndef BITTERNMUX_SRC_HTTP_PARSER_H_
#define BITTERNMUX_SRC_HTTP_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "http/buffer.h"

namespace bitternmux::http {

constexpr std::size_t kMaxBody = 32 * 1024 * 1024;
constexpr std::size_t kMaxHead = 16 * 1024;
constexpr std::size_t kMaxHeaders = 100;

struct Message {
  std::string method, target;  // of a request
  int status = 0;              // of a response
  bool keep_alive = true;
  bool http_1_0 = false;
  std::vector<std::pair<std::string, std::string>> headers;  // names in lower case
  std::string body;
  bool body_discarded = false;  // it had a body, which was not kept

  // The header's value; none if it is absent. Whoever must not take either of two asks Count first.
  std::optional<std::string_view> Find(std::string_view name) const;
  std::size_t Count(std::string_view name) const;
};

// What a message may hold: bytes of its body, bytes of its head, and header lines.
struct ParserLimits {
  std::size_t body = kMaxBody, head = kMaxHead, headers = kMaxHeaders;
};

enum class Role { kRequest, kResponse };
enum class Progress { kMore, kDone, kBad };

class Parser {
 public:
  explicit Parser(Role role, std::size_t max_body = kMaxBody) : role_(role) { limits_.body = max_body; }

  // For the messages whose heads end from now on.
  void Use(const ParserLimits& limits) { limits_ = limits; }
  // Of the message whose head was read: its body is read to its end and not kept.
  void DiscardBody();
  // Memory that the message holds so far, about.
  std::size_t HeldBytes() const;

  // Takes what it can from the buffer. After kDone the rest of the buffer belongs to the next message.
  Progress Parse(Buffer& in);
  // The other side has sent its last byte. True: that makes the message whole, since it goes on to the end of
  // its connection and says so.
  bool EndsWhole();
  void Reset();

  const Message& message() const { return message_; }
  Message Take() { return std::move(message_); }
  bool started() const { return state_ != State::kFirstLine || head_bytes_ > 0; }
  bool head_read() const { return state_ >= State::kBody; }
  // Of a body whose length its head tells; 0 for others.
  std::size_t length() const { return length_; }
  bool chunked() const { return body_ == Body::kChunked; }
  std::size_t body_bytes() const { return body_bytes_; }  // that have come
  int error() const { return error_; }  // after kBad on a request: the status to answer with
  // Of a body that is passed on as it comes: the bytes so far, which are then forgotten.
  std::string TakeBody() { return std::exchange(message_.body, {}); }

 private:
  enum class State { kFirstLine, kHeaders, kBody, kToEnd, kChunkSize, kChunk, kAfterChunk, kTrailer, kDone };
  enum class Body { kNone, kLength, kChunked, kToEnd };

  Progress Bad(int status) {
    error_ = status;
    return Progress::kBad;
  }
  std::optional<std::string_view> Line(Buffer& in);  // without its end; none yet, or error_ is set
  bool FirstLine(std::string_view line);
  bool HeaderLine(std::string_view line);
  bool HeadEnds();
  bool ChunkSize(std::string_view line);
  void TakeBytes(Buffer& in);
  void Keep(std::string_view bytes);

  const Role role_;
  ParserLimits limits_;
  State state_ = State::kFirstLine;
  Body body_ = Body::kNone;
  std::size_t head_bytes_ = 0;
  std::size_t scanned_ = 0;  // of the line that is not whole yet
  std::size_t left_ = 0;     // of the body or chunk
  std::size_t length_ = 0, body_bytes_ = 0;
  int error_ = 0;
  Message message_;
};

// The same but for the case of letters.
bool SameWord(std::string_view one, std::string_view other);

// Is the word, in lower case, one of the comma-separated ones?
bool Lists(std::string_view value, std::string_view word);

// A whole number of nothing but digits; none for anything else, or above what fits.
std::optional<std::uint64_t> WholeNumber(std::string_view text);

}  // namespace bitternmux::http

#endif  // BITTERNMUX_SRC_HTTP_PARSER_H_
