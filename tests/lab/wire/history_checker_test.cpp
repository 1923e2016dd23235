// The checker by histories that are right, and by the same with one thing wrong in each.
#include "lab/wire/history_checker.h"

#include <catch2/catch.hpp>

#include "lab/wire/answer_plan.h"

namespace bitternmux::lab::wire {
namespace {

constexpr std::uint64_t kEvents = 4;

Run StreamRun(const std::string& server, std::uint64_t first) {
  Run run;
  run.request_id = "r";
  run.server = server;
  run.path = "/quote/1";
  run.seal = "seal." + server;
  run.first_event = first;
  for (std::uint64_t number = first; number < kEvents; ++number)
    run.events.push_back(MakeEvent(number, server, LineEnd::kLf));
  return run;
}

// Two events of a first run, the rest of a second one that went on behind them.
History ResumedStream() {
  History history;
  history.runs = {StreamRun("a", 0), StreamRun("b", 2)};
  Received received;
  received.request_id = "r";
  received.path = "/quote/1";
  received.rules = {true, true, 3};
  received.event_count = kEvents;
  received.status = 200;
  received.seal = "seal.a";
  received.bytes = history.runs[0].events[0] + history.runs[0].events[1] + history.runs[1].events[0] +
                   history.runs[1].events[1];
  received.complete = true;
  history.received = {received};
  return history;
}

History OnceAnswered() {
  History history;
  Run run;
  run.request_id = "r";
  run.server = "a";
  run.path = "/sheet/1";
  run.seal = "seal.a";
  run.answer = "answer of a";
  history.runs = {run};
  Received received;
  received.request_id = "r";
  received.path = "/sheet/1";
  received.status = 200;
  received.seal = "seal.a";
  received.bytes = run.answer;
  received.complete = true;
  history.received = {received};
  return history;
}

bool Breaks(const History& history, Rule rule) {
  const auto findings = Check(history);
  return findings.size() == 1 && findings[0].rule == rule && findings[0].request_id == "r";
}

}  // namespace

TEST_CASE("history checker: right histories") {
  CHECK(Check(ResumedStream()).empty());
  CHECK(Check(OnceAnswered()).empty());
  SECTION("a stream that breaks off between two events") {
    History history = ResumedStream();
    history.received[0].bytes = history.runs[0].events[0];
    history.received[0].complete = false;
    history.runs[1].sound = false;
    CHECK(Check(history).empty());
  }
  SECTION("a client that left inside an event") {
    History history = ResumedStream();
    history.received[0].bytes = history.runs[0].events[0] + history.runs[0].events[1].substr(0, 7);
    history.received[0].complete = false;
    history.received[0].left = true;
    CHECK(Check(history).empty());
  }
  SECTION("a failure of the router's own") {
    History history = OnceAnswered();
    history.received[0].status = 502;
    history.received[0].seal.clear();
    history.received[0].bytes = "the server broke off";
    CHECK(Check(history).empty());
  }
}

TEST_CASE("history checker: ORDER") {
  History history = ResumedStream();
  Received& received = history.received[0];
  const auto& first = history.runs[0].events;
  const auto& second = history.runs[1].events;
  SECTION("a torn event in front of another run's") {
    received.bytes = first[0] + first[1] + first[2].substr(0, 9) + second[0] + second[1];
  }
  SECTION("an event is missing") { received.bytes = first[0] + second[0] + second[1]; }
  SECTION("an event comes twice") { received.bytes = first[0] + first[1] + first[1] + second[0] + second[1]; }
  SECTION("the first run goes on behind the second") {
    received.bytes = first[0] + first[1] + second[0] + first[3];
  }
  SECTION("it ends as complete before its last event") { received.bytes = first[0] + first[1] + second[0]; }
  SECTION("it ends inside an event") {
    received.bytes = first[0] + first[1] + second[0] + second[1].substr(0, 9);
    received.complete = GENERATE(true, false);
    history.runs[1].sound = false;
  }
  SECTION("a byte of an event is another one") { received.bytes[12] ^= 1; }
  CHECK(Breaks(history, Rule::kOrder));
}

TEST_CASE("history checker: MIXED, the head is not of the run that made the first event") {
  History history = ResumedStream();
  history.received[0].seal = "seal.b";
  CHECK(Breaks(history, Rule::kMixed));
}

TEST_CASE("history checker: MIXED, answers that are no streams") {
  History history = OnceAnswered();
  Received& received = history.received[0];
  SECTION("a stamp of nobody") { received.seal = "seal.c"; }
  SECTION("no stamp") { received.seal.clear(); }
  SECTION("half a body that looks whole") { received.bytes.resize(4); }
  SECTION("another body") { received.bytes = "answer of b"; }
  SECTION("a success where the server had failed") { history.runs[0].status = 500; }
  SECTION("a failure with the stamp of a success") { received.status = 502; }
  SECTION("bytes with no request open") { received.surplus = "HTTP/1.1 200 OK\r\n"; }
  CHECK(Breaks(history, Rule::kMixed));
}

TEST_CASE("history checker: LOST") {
  History history = OnceAnswered();
  history.received[0].complete = false;
  history.received[0].bytes.clear();
  history.received[0].seal.clear();
  history.received[0].status = 0;
  SECTION("a sound server had it") { CHECK(Breaks(history, Rule::kLost)); }
  SECTION("its server broke off") {
    history.runs[0].sound = false;
    CHECK(Check(history).empty());
  }
  SECTION("its client left") {
    history.received[0].left = true;
    CHECK(Check(history).empty());
  }
  SECTION("its time was over") {
    history.received[0].out_of_time = true;
    CHECK(Check(history).empty());
  }
  SECTION("its router was killed") {
    history.received[0].router_in_trouble = true;
    CHECK(Check(history).empty());
  }
  SECTION("it was not passed on") {
    history.runs.clear();
    CHECK(Check(history).empty());
  }
}

TEST_CASE("history checker: runs") {
  History history = OnceAnswered();
  SECTION("twice") {
    history.runs.push_back(history.runs[0]);
    history.received[0].rules.max_attempts = 2;
    CHECK(Breaks(history, Rule::kTwice));
  }
  SECTION("on more servers than allowed") {
    history.runs.push_back(history.runs[0]);
    history.received[0].rules.repeatable = true;
    CHECK(Breaks(history, Rule::kBudget));
  }
  SECTION("refused, and it ran") {
    history.received[0].status = GENERATE(408, 421, 429, 503);
    history.received[0].seal.clear();
    CHECK(Breaks(history, Rule::kRefused));
  }
  SECTION("nobody sent it") {
    history.received.clear();
    CHECK(Breaks(history, Rule::kUnasked));
  }
  SECTION("its body was changed") {
    history.runs[0].body = "other";
    CHECK(Breaks(history, Rule::kUnasked));
  }
}

}  // namespace bitternmux::lab::wire
