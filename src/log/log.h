// The program's log: one event a line on standard error, as text for people or as JSON for programs.
//
// A line in text: the time (UTC), the level, the name of the sidecar, the event, and its fields as key=value;
// a value that is more than letters, digits and the like stands in quotation marks, escaped as in JSON.
//   12:03:04.567 warning n3 discovery.broken why="nothing heard" address=10.2.0.1:8500
// A line in JSON: an object with "time" (RFC 3339, UTC), "level", "name", "event", and the fields.
//
// Never waits for its reader (LineWriter) and tells no event without end (FloodGate). Bounded: LineWriter's
// kMostKept bytes and a row for each event's name. One thread only.
#ifndef BITTERNMUX_SRC_LOG_LOG_H_
#define BITTERNMUX_SRC_LOG_LOG_H_

#include <functional>
#include <memory>
#include <string>

#include "events/event.h"

namespace bitternmux::log {

enum class Format { kText, kJson };

struct Settings {
  Format format = Format::kText;
  Severity level = Severity::kInfo;  // events below it are not told
};

class Log : public EventSink {
 public:
  // `fd` stays the caller's. `now_ms`: monotonic. `name` stands in every line.
  Log(int fd, std::function<double()> now_ms, std::string name);
  // Gives a slow reader the time of a blink for what is left.
  ~Log() override;
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  void Use(const Settings& settings);
  void SetName(std::string name);
  void Write(const EventKind& event, std::initializer_list<Field> fields) override;
  // Writes what a slow reader left, and tells what was left out of events that are quiet again. Due now and
  // then.
  void Turn();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bitternmux::log

#endif  // BITTERNMUX_SRC_LOG_LOG_H_
