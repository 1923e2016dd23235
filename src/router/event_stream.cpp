#include "router/event_stream.h"

#include <optional>
#include <utility>

#include "http/parser.h"

namespace bitternmux::router {
namespace {

constexpr std::string_view kIdField = "id";
constexpr std::string_view kDataField = "data";

// Returns the first line of the text, and removes it with its line end.
std::string_view TakeLine(std::string_view& text) {
  const auto end = text.find_first_of("\r\n");
  const std::string_view line = text.substr(0, end);
  if (end == text.npos) {
    text = {};
    return line;
  }
  const bool both = text.substr(end).starts_with("\r\n");
  text.remove_prefix(end + (both ? 2 : 1));
  return line;
}

struct EventField {
  std::string_view name, value;
};

EventField FieldOf(std::string_view line) {
  const auto colon = line.find(':');
  if (colon == line.npos) return {line, {}};
  std::string_view value = line.substr(colon + 1);
  if (value.starts_with(' ')) value.remove_prefix(1);
  return {line.substr(0, colon), value};
}

// The id set by the field; none if it sets none. The format requires that an id with a NUL is ignored.
std::optional<std::string_view> IdOf(const EventField& field) {
  if (field.name != kIdField || field.value.find('\0') != field.value.npos) return std::nullopt;
  return field.value;
}

std::optional<std::string_view> FirstId(std::string_view events) {
  while (!events.empty()) {
    const auto id = IdOf(FieldOf(TakeLine(events)));
    if (id) return id;
  }
  return std::nullopt;
}

// Ids ascend. Ids that are not whole numbers cannot be compared and count as following.
bool IsAfter(std::string_view id, std::string_view last) {
  const auto number = http::WholeNumber(id), last_number = http::WholeNumber(last);
  return !number || !last_number || *number > *last_number;
}

}  // namespace

std::string EventSplitter::Feed(std::string_view bytes) {
  buffer_.append(bytes);
  for (; scanned_ < buffer_.size(); ++scanned_) ScanByte(buffer_[scanned_]);
  if (complete_end_ == 0) return {};
  std::string events = buffer_.substr(0, complete_end_);
  buffer_.erase(0, complete_end_);
  scanned_ -= complete_end_;
  complete_end_ = 0;
  return events;
}

// A CR ends its line at once only if lines of this stream are known to end with a CR alone. Otherwise the
// LF that belongs to it may still arrive.
void EventSplitter::ScanByte(char byte) {
  if (after_cr_) {
    after_cr_ = false;
    const bool line_ended = std::exchange(line_ended_, false);
    if (byte == '\n') {
      if (!line_ended) EndLine(scanned_ + 1);
      return;
    }
    lone_cr_ = true;
    if (!line_ended) EndLine(scanned_);
  }
  if (byte == '\n') return EndLine(scanned_ + 1);
  if (byte != '\r') {
    line_has_bytes_ = true;
    return;
  }
  after_cr_ = true;
  line_ended_ = lone_cr_;
  if (line_ended_) EndLine(scanned_ + 1);
}

// Empty lines before an event belong to it.
void EventSplitter::EndLine(std::size_t at) {
  if (line_has_bytes_) {
    event_has_lines_ = true;
  } else if (event_has_lines_) {
    event_has_lines_ = false;
    complete_end_ = at;
  }
  line_has_bytes_ = false;
}

std::string EventSplitter::TakeRemainder() {
  scanned_ = complete_end_ = 0;
  line_has_bytes_ = event_has_lines_ = after_cr_ = line_ended_ = false;
  return std::exchange(buffer_, {});
}

std::string EventSplitter::TakePart() {
  scanned_ = complete_end_ = 0;
  return std::exchange(buffer_, {});
}

bool StreamPosition::Advance(std::string_view events) {
  if (continuing_) {
    const auto first = FirstId(events);
    if (first && !IsAfter(*first, last_id_)) return false;
    continuing_ = !first;
  }
  bool has_id = false, has_data = false;
  while (!events.empty()) {
    const std::string_view line = TakeLine(events);
    const EventField field = FieldOf(line);
    if (const auto id = IdOf(field)) {
      last_id_ = *id;
      has_id = true;
    }
    has_data = has_data || field.name == kDataField;
    if (!line.empty()) continue;
    unnamed_ = has_id ? false : unnamed_ || has_data;
    has_data_ = has_data_ || has_data;
    has_id = has_data = false;
  }
  return true;
}

}  // namespace bitternmux::router
