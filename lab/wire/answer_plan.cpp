#include "lab/wire/answer_plan.h"

#include <array>

#include "http/writer.h"

namespace bitternmux::lab::wire {
namespace {

std::string_view TextOf(LineEnd line_end) {
  switch (line_end) {
    case LineEnd::kCrLf:
      return "\r\n";
    case LineEnd::kCr:
      return "\r";
    case LineEnd::kLf:
      break;
  }
  return "\n";
}

std::string Chunk(std::string_view bytes) {
  return http::ChunkHead(bytes.size()).append(bytes).append(http::kChunkEnd);
}

std::string Chunks(const AnswerPlan& plan, const Run& run, const std::string& body) {
  std::string bytes;
  if (plan.grouping == Grouping::kAllInOne && !body.empty()) bytes = Chunk(body);
  if (plan.grouping == Grouping::kByteEach) {
    for (const char byte : body) bytes += Chunk(std::string_view(&byte, 1));
  }
  if (plan.grouping == Grouping::kEventEach) {
    for (const std::string& event : run.events) bytes += Chunk(event);
    if (run.events.empty() && !body.empty()) bytes = Chunk(body);
  }
  return bytes.append(http::kLastChunk);
}

http::Framing HttpFraming(Framing framing) {
  switch (framing) {
    case Framing::kLength:
      return http::Framing::kLength;
    case Framing::kUntilClose:
      return http::Framing::kToEnd;
    case Framing::kChunked:
      break;
  }
  return http::Framing::kChunks;
}

template <class... Choices>
auto DrawOne(std::mt19937_64& random, Choices... choices) {
  const std::array all = {choices...};
  return all[std::uniform_int_distribution<std::size_t>(0, all.size() - 1)(random)];
}

bool Chance(std::mt19937_64& random, double share) { return std::bernoulli_distribution(share)(random); }

}  // namespace

std::string MakeEvent(std::uint64_t number, const std::string& run, LineEnd line_end) {
  const std::string_view end = TextOf(line_end);
  std::string event = "id: " + std::to_string(number);
  event.append(end).append("data: ").append(run).append(" ").append(std::to_string(number));
  return event.append(end).append(end);
}

std::uint64_t CountEvents(std::string_view bytes) {
  std::uint64_t count = 0;
  for (const std::string_view end : {"\n\n", "\r\n\r\n", "\r\r"}) {
    for (auto at = bytes.find(end); at != bytes.npos; at = bytes.find(end, at + end.size())) ++count;
  }
  return count;
}

std::string AnswerBytes(const AnswerPlan& plan, const Run& run) {
  http::Headers headers = {{"X-Request-Id", run.request_id}};
  if (!run.seal.empty()) headers.emplace_back("X-Response-Seal", run.seal);
  if (!run.executed && plan.kind != AnswerPlan::Kind::kMisdirected)
    headers.emplace_back("X-Not-Executed", "1");
  std::string body = run.answer;
  for (const std::string& event : run.events) body += event;
  const bool plain = plan.kind != AnswerPlan::Kind::kAnswer;
  const Framing framing = plain ? Framing::kLength : plan.framing;
  const bool keeps = framing != Framing::kUntilClose;
  const std::string head =
      http::WriteResponseHead(run.status, headers, HttpFraming(framing), body.size(), keeps);
  return head + (framing == Framing::kChunked ? Chunks(plan, run, body) : body);
}

bool LooksWhole(const AnswerPlan& plan, std::string_view bytes, bool streaming) {
  if (plan.framing != Framing::kUntilClose || plan.ending != Ending::kClose) return false;
  const std::size_t head = bytes.find("\r\n\r\n") + 4;
  const std::string_view sent = bytes.substr(0, *plan.cut_at);
  if (!streaming || sent.size() <= head) return sent.size() >= head;
  return sent.ends_with("\n\n") || sent.ends_with("\r\r") || sent.ends_with("\r\n\r\n");
}

AnswerPlan DrawPlan(std::mt19937_64& random, std::size_t size) {
  constexpr double kRefusedShare = 0.06, kCutShare = 0.5, kTwiceShare = 0.1;
  AnswerPlan plan;
  plan.framing =
      DrawOne(random, Framing::kChunked, Framing::kChunked, Framing::kLength, Framing::kUntilClose);
  plan.line_end = DrawOne(random, LineEnd::kLf, LineEnd::kLf, LineEnd::kCrLf, LineEnd::kCr);
  plan.grouping = DrawOne(random, Grouping::kEventEach, Grouping::kAllInOne, Grouping::kByteEach);
  plan.write_bytes = DrawOne<std::size_t, std::size_t, std::size_t, std::size_t>(random, 0, 1, 7, 64);
  if (Chance(random, kRefusedShare)) plan.kind = AnswerPlan::Kind::kNotExecuted;
  if (Chance(random, kRefusedShare)) plan.kind = AnswerPlan::Kind::kFailure;
  if (Chance(random, kRefusedShare)) plan.kind = AnswerPlan::Kind::kMisdirected;
  if (Chance(random, kCutShare)) {
    plan.cut_at = std::uniform_int_distribution<std::size_t>(0, size)(random);
    plan.ending = DrawOne(random, Ending::kClose, Ending::kReset);
  }
  const bool whole = !plan.cut_at && plan.framing != Framing::kUntilClose;
  if (whole && Chance(random, kTwiceShare))
    plan.second_answer = DrawOne(random, SecondAnswer::kAtOnce, SecondAnswer::kBeforeNext);
  return plan;
}

}  // namespace bitternmux::lab::wire
