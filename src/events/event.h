// What the program tells whoever runs it: one event, with a stable name and some fields. The parts tell their
// events to a sink and know nothing of lines, formats or levels. Headers only, and nothing below them.
#ifndef BITTERNMUX_SRC_EVENTS_EVENT_H_
#define BITTERNMUX_SRC_EVENTS_EVENT_H_

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string_view>
#include <variant>

namespace bitternmux {

enum class Severity { kDebug, kInfo, kWarning, kError };

// A constant of the program, never made at run time: what is kept for each event is bounded by their number.
struct EventKind {
  std::string_view name;  // stable: people search and count by it
  Severity severity;
};

// The key is a constant of the program; a text is only valid during the call that it is given to.
struct Field {
  using Value = std::variant<bool, std::int64_t, double, std::string_view>;

  Field(std::string_view its_key, std::string_view text) : key(its_key), value(text) {}
  Field(std::string_view its_key, double number) : key(its_key), value(number) {}
  template <std::integral Whole>
  Field(std::string_view its_key, Whole whole) : key(its_key) {
    if constexpr (std::same_as<Whole, bool>) {
      value = whole;
    } else {
      value = static_cast<std::int64_t>(whole);
    }
  }

  std::string_view key;
  Value value;
};

class EventSink {
 public:
  virtual ~EventSink() = default;
  // Never waits and never throws for want of a reader. May leave events out, and tells later how many.
  virtual void Write(const EventKind& event, std::initializer_list<Field> fields) = 0;
};

// A sink for parts that run where nobody reads, as in simulated time.
inline EventSink& Unheard() {
  class Nobody : public EventSink {
    void Write(const EventKind&, std::initializer_list<Field>) override {}
  };
  static Nobody nobody;
  return nobody;
}

}  // namespace bitternmux

#endif  // BITTERNMUX_SRC_EVENTS_EVENT_H_
