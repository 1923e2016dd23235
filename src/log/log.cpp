#include "log/log.h"

#include <spdlog/formatter.h>
#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "events/catalogue.h"
#include "log/flood_gate.h"
#include "log/line_writer.h"

namespace bitternmux::log {
namespace {

constexpr double kTurnMs = 100;
constexpr int kLastMs = 200;
constexpr std::size_t kLongestText = 1024;  // of a field's value, before it is escaped

// The message that a line holds is written here, and the rest of it by spdlog.
constexpr char kTextLine[] = "%H:%M:%S.%e %l %v";
constexpr char kJsonLine[] = R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})";
constexpr std::size_t kAround = 96;  // what a line has beside its message

spdlog::level::level_enum LevelOf(Severity severity) {
  switch (severity) {
    case Severity::kDebug:
      return spdlog::level::debug;
    case Severity::kInfo:
      return spdlog::level::info;
    case Severity::kWarning:
      return spdlog::level::warn;
    case Severity::kError:
      break;
  }
  return spdlog::level::err;
}

// Texts may hold whatever a peer has sent: no byte of them may end the line, reach a terminal as a control
// character, or be no UTF-8.
std::string Escaped(std::string_view text) {
  return nlohmann::json(text).dump(-1, ' ', /*ensure_ascii=*/true, nlohmann::json::error_handler_t::replace);
}

bool IsPlain(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return c > ' ' && c < 0x7f && c != '"' && c != '=' && c != '\\';
  });
}

std::string Shown(std::string_view text, Format format) {
  return format == Format::kText && IsPlain(text) ? std::string(text) : Escaped(text);
}

std::string Shown(const Field::Value& value, Format format, std::size_t longest) {
  if (const auto* text = std::get_if<std::string_view>(&value)) {
    if (text->size() <= longest) return Shown(*text, format);
    return Shown(std::string(text->substr(0, longest)) + "...", format);
  }
  return std::visit(
      [](const auto& plain) {
        // Never reached with a text; as JSON, what is no finite number is null.
        return nlohmann::json(plain).dump();
      },
      value);
}

class LineSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit LineSink(LineWriter& writer) : writer_(writer) {}

 private:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    writer_.Put(std::string(line.data(), line.size()));
  }
  void flush_() override { writer_.Flush(); }

  LineWriter& writer_;
};

}  // namespace

class Log::Impl {
 public:
  Impl(int fd, std::function<double()> now_ms, std::string name)
      : now_ms_(std::move(now_ms)),
        name_(std::move(name)),
        writer_(fd, [this](std::uint64_t count) { return DroppedLine(count); }),
        sink_(std::make_shared<LineSink>(writer_)),
        logger_("bitternmux", sink_) {
    // Its own way to tell of trouble is a write to standard error that waits.
    logger_.set_error_handler([](const std::string&) {});
    Use({});
  }
  ~Impl() { writer_.Drain(kLastMs); }

  void Use(const Settings& settings) {
    format_ = settings.format;
    sink_->set_formatter(Formatter());
    logger_.set_level(LevelOf(settings.level));
  }
  void SetName(std::string name) { name_ = std::move(name); }

  void Write(const EventKind& event, std::initializer_list<Field> fields) {
    if (!logger_.should_log(LevelOf(event.severity))) return;
    const auto left_out = gate_.Pass(event.name, now_ms_());
    if (left_out) Tell(event, fields, *left_out);
  }

  void Turn() {
    const double now = now_ms_();
    if (now < turn_due_ms_) return;
    turn_due_ms_ = now + kTurnMs;
    if (!writer_.idle()) writer_.Flush();
    while (const auto settled = gate_.Settle(now)) {
      if (!logger_.should_log(LevelOf(events::kLogLimited.severity))) continue;
      Tell(events::kLogLimited, {{"of", settled->first}, {"left_out", settled->second}}, 0);
    }
  }

 private:
  std::unique_ptr<spdlog::formatter> Formatter() const {
    return std::make_unique<spdlog::pattern_formatter>(format_ == Format::kText ? kTextLine : kJsonLine,
                                                       spdlog::pattern_time_type::utc, "\n");
  }

  void Tell(const EventKind& event, std::initializer_list<Field> fields, std::uint64_t left_out) {
    logger_.log(LevelOf(event.severity), Message(event, fields, left_out));
  }

  std::string DroppedLine(std::uint64_t count) const {
    const std::string message = Message(events::kLogDropped, {{"lines", count}}, 0);
    spdlog::memory_buf_t line;
    Formatter()->format({logger_.name(), LevelOf(events::kLogDropped.severity), message}, line);
    return std::string(line.data(), line.size());
  }

  // Shorter texts until the line is not too long: cut in the middle it would be no JSON.
  std::string Message(const EventKind& event, std::initializer_list<Field> fields,
                      std::uint64_t left_out) const {
    std::size_t longest = kLongestText;
    std::string message = Message(event, fields, left_out, longest);
    while (longest > 0 && message.size() + kAround > LineWriter::kLongestLine) {
      longest /= 2;
      message = Message(event, fields, left_out, longest);
    }
    return message;
  }

  std::string Message(const EventKind& event, std::initializer_list<Field> fields, std::uint64_t left_out,
                      std::size_t longest) const {
    const bool text = format_ == Format::kText;
    std::string out;
    const auto add = [&](std::string_view key, const Field::Value& value) {
      const std::string shown = Shown(value, format_, longest);
      if (text) {
        out.append(1, ' ').append(key).append(1, '=').append(shown);
      } else {
        out.append(out.empty() ? "\"" : ",\"").append(key).append("\":").append(shown);
      }
    };
    if (text) {
      out = Shown(Field::Value(name_), format_, longest).append(1, ' ').append(event.name);
    } else {
      add("name", name_);
      add("event", event.name);
    }
    for (const Field& field : fields) add(field.key, field.value);
    if (left_out > 0) add("left_out", static_cast<std::int64_t>(left_out));
    return out;
  }

  const std::function<double()> now_ms_;
  std::string name_;
  Format format_ = Format::kText;
  FloodGate gate_;
  double turn_due_ms_ = 0;
  LineWriter writer_;
  std::shared_ptr<LineSink> sink_;
  spdlog::logger logger_;
};

Log::Log(int fd, std::function<double()> now_ms, std::string name)
    : impl_(std::make_unique<Impl>(fd, std::move(now_ms), std::move(name))) {}
Log::~Log() = default;
void Log::Use(const Settings& settings) { impl_->Use(settings); }
void Log::SetName(std::string name) { impl_->SetName(std::move(name)); }
void Log::Write(const EventKind& event, std::initializer_list<Field> fields) { impl_->Write(event, fields); }
void Log::Turn() { impl_->Turn(); }

}  // namespace bitternmux::log
