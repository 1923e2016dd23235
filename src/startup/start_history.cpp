#include "startup/start_history.h"

#include <algorithm>
#include <charconv>

namespace bitternmux {
namespace {

constexpr std::string_view kHeader = "bitternmux starts 1", kEnd = "end";
constexpr std::string_view kStartedMark = " started", kFullMark = " full";

// Removes and returns the first line of `text`; nullopt if it has no line end.
std::optional<std::string_view> TakeLine(std::string_view& text) {
  const auto end = text.find('\n');
  if (end == text.npos) return std::nullopt;
  const std::string_view line = text.substr(0, end);
  text.remove_prefix(end + 1);
  return line;
}

}  // namespace

std::optional<StartHistory> StartHistory::Parse(std::string_view text) {
  if (TakeLine(text) != kHeader) return std::nullopt;
  StartHistory out;
  while (const auto line = TakeLine(text)) {
    if (*line == kEnd) return text.empty() ? std::optional(out) : std::nullopt;
    if (out.starts_.size() == kMaxStarts) return std::nullopt;
    Start start;
    const auto [end, error] = std::from_chars(line->data(), line->data() + line->size(), start.unix_ms);
    const std::string_view mark(end, static_cast<std::size_t>(line->data() + line->size() - end));
    if (error != std::errc() || (mark != kStartedMark && mark != kFullMark)) return std::nullopt;
    start.full = mark == kFullMark;
    out.starts_.push_back(start);
  }
  return std::nullopt;  // truncated: the end line is missing
}

std::string StartHistory::Serialize() const {
  std::string out(kHeader);
  for (const Start& start : starts_)
    out.append("\n").append(std::to_string(start.unix_ms)).append(start.full ? kFullMark : kStartedMark);
  return out.append("\n").append(kEnd).append("\n");
}

std::int64_t StartHistory::Begin(std::int64_t unix_ms) {
  std::erase_if(starts_, [&](const Start& start) {
    return start.unix_ms > unix_ms || start.unix_ms < unix_ms - kMaxAgeMs;
  });
  failed_ = static_cast<std::size_t>(std::ranges::count(starts_, false, &Start::full));
  if (starts_.size() == kMaxStarts) starts_.erase(starts_.begin());
  starts_.push_back({unix_ms, false});
  if (failed_ <= kFreeFailures) return 0;
  return std::min(kMaxDelayMs, kFirstDelayMs << (failed_ - kFreeFailures - 1));
}

void StartHistory::Full(std::int64_t start_unix_ms) {
  for (Start& start : starts_) start.full |= start.unix_ms == start_unix_ms;
}

void StartHistory::Forget(std::int64_t start_unix_ms) {
  std::erase_if(starts_, [&](const Start& start) { return start.unix_ms <= start_unix_ms; });
}

void StartHistory::Stopped(std::int64_t start_unix_ms) {
  std::erase_if(starts_, [&](const Start& start) { return start.unix_ms == start_unix_ms; });
}

}  // namespace bitternmux
