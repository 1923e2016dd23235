#include "http/parser.h"

#include <algorithm>
#include <charconv>

namespace bitternmux::http {
namespace {

constexpr std::size_t kReserved = 4 * 1024 * 1024;  // untouched, it costs nothing
constexpr std::size_t kSmallBody = 16 * 1024;
constexpr std::size_t kLargeStep = 192 * 1024;  // given back to the system when it is freed

char Lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

std::string Lower(std::string_view text) {
  std::string out(text);
  for (char& c : out) c = Lower(c);
  return out;
}

bool IsToken(std::string_view text) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return (c >= '0' && c <= '9') || (Lower(c) >= 'a' && Lower(c) <= 'z') || kMarks.find(c) != kMarks.npos;
  });
}

std::string_view Trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == text.npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool HasControls(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return (byte < 0x20 && c != '\t') || byte == 0x7f;
  });
}

// An absolute target names its host too, which the message does in any case.
void ToPath(std::string& target) {
  constexpr std::string_view kScheme = "http://";
  if (Lower(target.substr(0, kScheme.size())) != kScheme) return;
  const auto path = target.find_first_of("/?", kScheme.size());
  if (path == kScheme.size()) return;  // no host: left as it is, which is no path
  target = path == target.npos ? "/" : (target[path] == '?' ? "/" : "") + target.substr(path);
}

}  // namespace

bool SameWord(std::string_view one, std::string_view other) { return Lower(one) == Lower(other); }

bool Lists(std::string_view value, std::string_view word) {
  while (!value.empty()) {
    const auto comma = value.find(',');
    if (Lower(Trim(value.substr(0, comma))) == word) return true;
    value = comma == value.npos ? std::string_view() : value.substr(comma + 1);
  }
  return false;
}

std::optional<std::uint64_t> WholeNumber(std::string_view text) {
  std::uint64_t value = 0;
  if (text.empty() || text[0] < '0' || text[0] > '9') return std::nullopt;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::optional<std::string_view> Message::Find(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (key == name) return value;
  }
  return std::nullopt;
}

std::size_t Message::Count(std::string_view name) const {
  return static_cast<std::size_t>(std::count_if(headers.begin(), headers.end(),
                                                [&](const auto& header) { return header.first == name; }));
}

void Parser::Reset() {
  state_ = State::kFirstLine;
  body_ = Body::kNone;
  head_bytes_ = scanned_ = left_ = length_ = body_bytes_ = 0;
  error_ = 0;
  // A text that is assigned an empty one keeps its memory; one that was moved from has none.
  const Message gone = std::move(message_);
  message_ = {};
}

Progress Parser::Parse(Buffer& in) {
  while (state_ != State::kDone) {
    if (state_ == State::kToEnd) {
      left_ = limits_.body - body_bytes_;
      if (in.size() > left_) return Bad(413);
      TakeBytes(in);
      return Progress::kMore;
    }
    if (state_ == State::kBody || state_ == State::kChunk) {
      TakeBytes(in);
      if (left_ > 0) return Progress::kMore;
      state_ = state_ == State::kBody ? State::kDone : State::kAfterChunk;
      continue;
    }
    const auto line = Line(in);
    if (!line) return error_ != 0 ? Progress::kBad : Progress::kMore;
    bool good = true;
    switch (state_) {
      case State::kFirstLine:
        // A stray empty line before a message is passed over, as RFC 9112 asks.
        if (!line->empty()) good = FirstLine(*line);
        break;
      case State::kHeaders:
        good = line->empty() ? HeadEnds() : HeaderLine(*line);
        break;
      case State::kChunkSize:
        good = ChunkSize(*line);
        break;
      case State::kAfterChunk:
        good = line->empty();
        state_ = State::kChunkSize;
        break;
      case State::kTrailer:
        if (line->empty()) state_ = State::kDone;
        break;
      default:
        break;
    }
    // The view into the buffer ends here.
    in.Consume(line->size() + 2);
    if (!good) return Bad(error_ != 0 ? error_ : 400);
  }
  return Progress::kDone;
}

std::optional<std::string_view> Parser::Line(Buffer& in) {
  const std::string_view data = in.Data();
  const auto end = data.find('\n', scanned_);
  const std::size_t length = end == data.npos ? data.size() : end + 1;
  if (head_bytes_ + length > limits_.head) {
    error_ = 431;
    return std::nullopt;
  }
  if (end == data.npos) {
    scanned_ = data.size();
    return std::nullopt;
  }
  scanned_ = 0;
  const std::string_view line = data.substr(0, end);
  if (line.empty() || line.back() != '\r') {
    error_ = 400;
    return std::nullopt;
  }
  // Chunk sizes are no part of the head: a long stream has any number of them.
  if (state_ <= State::kHeaders || state_ == State::kTrailer) head_bytes_ += length;
  return line.substr(0, line.size() - 1);
}

bool Parser::FirstLine(std::string_view line) {
  const auto first = line.find(' ');
  if (first == line.npos || HasControls(line)) return false;
  std::string_view version;
  if (role_ == Role::kRequest) {
    const auto last = line.rfind(' ');
    if (last == first) return false;
    message_.method = line.substr(0, first);
    message_.target = line.substr(first + 1, last - first - 1);
    version = line.substr(last + 1);
    if (!IsToken(message_.method) || message_.target.empty()) return false;
    ToPath(message_.target);
    if (message_.target[0] != '/' || message_.target.find(' ') != std::string::npos) return false;
  } else {
    version = line.substr(0, first);
    const auto status = WholeNumber(line.substr(first + 1, 3));
    if (line.size() > first + 4 && line[first + 4] != ' ') return false;
    if (!status || *status < 100 || *status > 599) return false;
    message_.status = static_cast<int>(*status);
  }
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return false;
  message_.http_1_0 = version == "HTTP/1.0";
  state_ = State::kHeaders;
  return true;
}

bool Parser::HeaderLine(std::string_view line) {
  const auto colon = line.find(':');
  if (colon == line.npos || !IsToken(line.substr(0, colon)) || HasControls(line)) return false;
  if (message_.headers.size() >= limits_.headers) {
    error_ = 431;
    return false;
  }
  message_.headers.emplace_back(Lower(line.substr(0, colon)), Trim(line.substr(colon + 1)));
  return true;
}

// Guards against smuggling: two lengths, both forms of length or a coding that is not known leave open where
// the message ends, so it is not taken at all.
bool Parser::HeadEnds() {
  message_.keep_alive = !message_.http_1_0;
  for (const auto& [name, value] : message_.headers) {
    if (name != "connection") continue;
    if (Lists(value, "close")) message_.keep_alive = false;
    if (message_.http_1_0 && Lists(value, "keep-alive")) message_.keep_alive = true;
  }
  const std::size_t lengths = message_.Count("content-length"), codings = message_.Count("transfer-encoding");
  if (lengths > 1 || codings > 1 || (lengths > 0 && codings > 0) || (codings > 0 && message_.http_1_0))
    return false;
  if (role_ == Role::kResponse) {
    if (message_.status == 101) return false;  // no other protocol was asked for
    if (message_.status < 200) {               // an interim answer: the one that counts is still to come
      state_ = State::kFirstLine;
      message_ = {};
      return true;
    }
    if (message_.status == 204 || message_.status == 304) {
      state_ = State::kDone;
      return true;
    }
  }
  if (codings > 0) {
    if (Lower(*message_.Find("transfer-encoding")) != "chunked") return false;
    body_ = Body::kChunked;
    state_ = State::kChunkSize;
  } else if (lengths > 0) {
    const auto length = WholeNumber(*message_.Find("content-length"));
    if (!length) return false;
    if (*length > limits_.body) {
      error_ = 413;
      return false;
    }
    left_ = length_ = *length;
    body_ = Body::kLength;
    // Grown step by step, a large body would take half as much again, and twice that for a moment at each
    // step.
    if (role_ == Role::kRequest) message_.body.reserve(std::min(left_, kReserved));
    state_ = left_ > 0 ? State::kBody : State::kDone;
  } else if (role_ == Role::kResponse) {
    // Whole by the end of its connection. One that does not say that its connection ends cannot be told from
    // one that lost its length.
    if (message_.keep_alive) return false;
    body_ = Body::kToEnd;
    state_ = State::kToEnd;
  } else {
    state_ = State::kDone;
  }
  return true;
}

bool Parser::ChunkSize(std::string_view line) {
  const std::string_view digits = Trim(line.substr(0, line.find(';')));
  std::uint64_t size = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), size, 16);
  if (digits.empty() || error != std::errc() || end != digits.data() + digits.size()) return false;
  if (size > limits_.body || body_bytes_ + size > limits_.body) {
    error_ = 413;
    return false;
  }
  left_ = size;
  state_ = size > 0 ? State::kChunk : State::kTrailer;
  return true;
}

void Parser::TakeBytes(Buffer& in) {
  const std::size_t count = std::min(left_, in.size());
  if (!message_.body_discarded) Keep(in.Data().substr(0, count));
  in.Consume(count);
  left_ -= count;
  body_bytes_ += count;
}

// Grown in large steps, which cost nothing while they are untouched: many bodies that grow side by side would
// leave holes of all sizes behind.
void Parser::Keep(std::string_view bytes) {
  std::string& body = message_.body;
  const std::size_t needed = body.size() + bytes.size();
  if (needed > body.capacity() && needed > kSmallBody)
    body.reserve(std::max({needed, 2 * body.capacity(), kLargeStep}));
  body.append(bytes);
}

void Parser::DiscardBody() {
  message_.body_discarded = true;
  std::string().swap(message_.body);
}

// What was reserved for a body is untouched, and so costs nothing yet.
std::size_t Parser::HeldBytes() const {
  constexpr std::size_t kCopiesOfHead = 2;  // names and values are strings of their own
  return message_.body.size() + kCopiesOfHead * head_bytes_ +
         message_.headers.capacity() * sizeof(message_.headers.front());
}

bool Parser::EndsWhole() {
  if (state_ != State::kToEnd) return false;
  state_ = State::kDone;
  return true;
}

}  // namespace bitternmux::http
