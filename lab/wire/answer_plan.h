// How a server answers one request on the wire, and the bytes that come of it: framing, line ends, chunks,
// the size of its writes, where it stops and how its connection ends then. No I/O.
#ifndef BITTERNMUX_LAB_WIRE_ANSWER_PLAN_H_
#define BITTERNMUX_LAB_WIRE_ANSWER_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "lab/wire/history.h"

namespace bitternmux::lab::wire {

enum class Framing : std::uint8_t { kChunked, kLength, kUntilClose };
enum class LineEnd : std::uint8_t { kLf, kCrLf, kCr };
enum class Grouping : std::uint8_t { kEventEach, kAllInOne, kByteEach };  // of a stream's bytes in chunks
enum class Ending : std::uint8_t { kClose, kReset, kSilence };  // of a connection whose answer is cut

// Whether a whole answer is sent once more: right behind the first, or in front of the connection's next one.
enum class SecondAnswer : std::uint8_t { kNone, kAtOnce, kBeforeNext };

struct AnswerPlan {
  enum class Kind : std::uint8_t { kAnswer, kFailure, kNotExecuted, kMisdirected };
  Kind kind = Kind::kAnswer;
  Framing framing = Framing::kChunked;
  LineEnd line_end = LineEnd::kLf;
  Grouping grouping = Grouping::kEventEach;
  std::size_t write_bytes = 0;        // in one write; 0: all
  std::optional<std::size_t> cut_at;  // so many bytes are sent, head included; none: all
  Ending ending = Ending::kClose;     // only where it is cut
  SecondAnswer second_answer = SecondAnswer::kNone;
};

// An event of that number, marked as made by that run.
std::string MakeEvent(std::uint64_t number, const std::string& run, LineEnd line_end);

// Events made so that stand whole in the bytes.
std::uint64_t CountEvents(std::string_view bytes);

// Head and body of the whole answer of a run. Of an answer of Kind::kAnswer the run's events, or its body,
// are sent.
std::string AnswerBytes(const AnswerPlan& plan, const Run& run);

// Of a plan that cuts an answer of these bytes: a plain end looks like the end of an answer without a length,
// of a stream if it comes between two events.
bool LooksWhole(const AnswerPlan& plan, std::string_view bytes, bool streaming);

// Any plan, more often whole than cut; `size` is what the whole answer takes, at the least.
AnswerPlan DrawPlan(std::mt19937_64& random, std::size_t size);

}  // namespace bitternmux::lab::wire

#endif  // BITTERNMUX_LAB_WIRE_ANSWER_PLAN_H_
