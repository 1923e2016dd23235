// Two events that cross, on real sockets, with the crossing forced: a peer acts at a point that it has seen,
// or the program is halted while what is to cross queues up.
#include <catch2/catch.hpp>
#include <chrono>
#include <list>

#include "support/peers.h"

namespace bitternmux::peers {
namespace {

bool Has(const std::string& text, const std::string& part) { return text.find(part) != text.npos; }
int Status(const std::string& answer) { return std::stoi(answer.substr(9, 3)); }
const char kUp[] = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";

// A node whose connections come up when it accepts them: another one fills its queue.
struct LateNode {
  Listener listener{/*queue=*/0};
  Peer filling = Dial(listener.port());

  Peer Accept() {
    if (!std::exchange(accepted_, true)) listener.Accept();
    return listener.Accept();
  }

 private:
  bool accepted_ = false;
};

// The program's configuration between such nodes: nothing there ends by time.
nlohmann::json Patient(const Listener& discovery, const std::vector<const Listener*>& nodes) {
  auto members = nlohmann::json::array();
  for (const Listener* node : nodes)
    members.push_back(Machine("s-" + std::to_string(members.size()), node->address()));
  auto config = ConfigOf(discovery.address(), 256, List(41, true, members));
  config["settings"]["bounds"]["dialTimeoutMs"] = 60'000.0;
  for (auto& service : config["settings"]["services"])
    service["promiseMs"] = service["deadlineMs"] = 60'000.0;
  return config;
}

// Answered once all that came before it on other connections has been read.
void AwaitTurn(Program& program) {
  Peer peer = Dial(program.port());
  peer.Send(kUp);
  CHECK(Status(peer.Read()) == 200);
}

// Has discovery tell of that machine; the watch, once that has been read.
Peer Tell(Program& program, Listener& discovery, const nlohmann::json& machine) {
  Peer watch = discovery.Accept();
  watch.Read();
  watch.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
             Chunk(List(42, false, nlohmann::json::array({machine})).dump() + "\n"));
  AwaitTurn(program);
  return watch;
}

}  // namespace

TEST_CASE("what is meant for the end of the way reaches the node, and what is meant for this hop does not") {
  Bed bed;
  Peer submitter = bed.Submitter();
  submitter.Send(
      "POST /space-hold HTTP/1.1\r\nHost: app.svc\r\nReq-Id: id-1\r\nReq-Kind: space-hold\r\n"
      "Req-Deadline-Ms: 8000\r\nReq-Owner: ferries\r\nIdempotency-Key: 0b47\r\nX-Two: a\r\nX-Two: b\r\n"
      "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\nKeep-Alive: timeout=5\r\n"
      "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}");
  Peer node = bed.nodes[0].Accept();
  const std::string claim = node.Read();
  for (const char* line :
       {"Req-Id: id-1", "req-kind: space-hold", "req-owner: ferries", "idempotency-key: 0b47", "x-two: a",
        "x-two: b", "content-type: application/json"}) {
    INFO(line << " in " << claim);
    CHECK(Has(claim, "\r\n" + std::string(line) + "\r\n"));
  }
  for (const char* hop : {"x-hop", "\r\nte:", "connection", "keep-alive", "app.svc", "req-id"})
    CHECK_FALSE(Has(claim, hop));
  node.Send(Served("ok"));
  CHECK(Status(submitter.Read()) == 200);
}

TEST_CASE("a submitter that sends far ahead and goes is noticed while its request waits for a connection") {
  Listener discovery;
  LateNode late;
  Program program(Patient(discovery, {&late.listener}));
  Peer submitter = Dial(program.port());
  submitter.Send(Get("id-0", 60'000));
  AwaitDialTo(late.listener.port());
  std::string ahead;
  for (int i = 1; ahead.size() < 64 * 1024; ++i) ahead += Get("id-" + std::to_string(i), 60'000);
  submitter.Send(ahead);
  submitter.Close();
  AwaitThat("its claim is given up", [&] { return !HasConnection(false, late.listener.port(), "02"); });
  AwaitTurn(program);
  CHECK_FALSE(HasConnection(false, late.listener.port(), "02"));  // nor is another of its requests sent on
}

TEST_CASE(
    "what was not written whole is withdrawn as its submitter leaves, though nothing may be cancelled") {
  Listener discovery;
  LateNode late;
  auto config = Patient(discovery, {&late.listener});
  config["settings"]["bounds"]["mayCancel"] = false;
  SECTION("its connection is not up yet") {
    Program program(config);
    Peer submitter = Dial(program.port());
    submitter.Send(Post("id-1", "{}", 60'000));
    AwaitDialTo(late.listener.port());
    submitter.Close();
    AwaitTurn(program);
    Peer node = late.Accept();
    Peer other = Dial(program.port());
    other.Send(Post("id-2", "{}", 60'000));
    AwaitThat("one of them is claimed", [&] { return node.Waiting() || late.listener.Waiting(); });
    CHECK_FALSE((node.Waiting() && !node.Ended() && Has(node.Read(), "id-1")));
  }
  SECTION("half of it is out") {
    Listener reader;
    config = Patient(discovery, {&reader});
    config["settings"]["bounds"]["mayCancel"] = false;
    config["limits"]["memory_mb"] = 128;
    Program program(config);
    Peer submitter = Dial(program.port());
    const std::string body(16'000'000, 'x');  // more than the kernel takes while nobody reads
    submitter.Send(Post("id-1", body, 60'000));
    Peer node = reader.Accept();
    node.Take(1000);
    submitter.Close();
    AwaitTurn(program);
    CHECK(node.Rest().size() < body.size());
  }
}

TEST_CASE("a submitter that left before it was let in has nothing sent on") {
  Bed bed;
  AwaitTurn(bed.program);
  for (int round = 0; round < 5; ++round) {
    bed.program.Halt();  // for far less than a standstill
    Peer gone = Dial(bed.program.port());
    gone.Send(Post("gone-" + std::to_string(round)));
    gone.Close();
    bed.program.GoOn();
  }
  Peer submitter = bed.Submitter();
  submitter.Send(Post("good"));
  Peer node = bed.nodes[0].Accept();
  CHECK(Has(node.Read(), "good"));
  CHECK_FALSE(bed.nodes[0].Waiting());
}

TEST_CASE("let go after it stood still, it writes no claim for whoever left while its connection came up") {
  Listener discovery;
  LateNode late;
  Program program(Patient(discovery, {&late.listener}));
  Peer submitter = Dial(program.port());
  submitter.Send(Post("id-1", "{}", 60'000));
  AwaitDialTo(late.listener.port());
  program.Halt();
  Peer node = late.Accept();
  submitter.Close();
  ::usleep(400'000);  // standing still is what it is about, and takes time
  program.GoOn();
  CHECK(node.Rest().empty());
}

TEST_CASE("a list that comes indented on a watch is read, and one that stays half breaks the watch") {
  Bed bed(2);
  auto [watch, asked] = bed.AcceptWatch();
  auto members = bed.Members();
  members[0]["phase"] = "DRAINING";
  members[1]["locality"] = "a \"{[ \\";  // brackets in a text are none
  watch.Send(Chunk("\n"));
  const std::string text =
      List(42, false, members).dump(2) + "\n\n" + List(43, false, members).dump(1) + "\n";
  for (std::size_t at = 0; at < text.size(); at += 13) watch.Send(Chunk(text.substr(at, 13)));
  watch.Send(Chunk("{\"revision\":44,\n"));
  AwaitThat("half a list is enough", [&] {
    ::usleep(100'000);
    try {
      watch.Send(Chunk("\n"));  // says nothing of the list that it is in the middle of
    } catch (const std::runtime_error&) {
    }
    return watch.Waiting();
  });
  auto [again, asked_again] = bed.AcceptWatch();
  CHECK(Has(asked_again, "since=43 "));
  Peer submitter = bed.Submitter();
  submitter.Send(Post("id-1"));
  CHECK(Has(bed.nodes[1].Accept().Read(), "id-1"));
  CHECK_FALSE(bed.nodes[0].Waiting());
}

TEST_CASE("told to stop, it answers before the platform ends it, however long its requests may wait") {
  Bed bed;
  Peer held = bed.Submitter();
  held.Send(Post("id-1", "{}", 9000));
  Peer silent = bed.nodes[0].Accept();
  silent.Read();
  bed.program.Terminate();
  bed.program.AwaitLog("stopping held=1");
  ::usleep(3'700'000);  // the platform counts longer deadlines as 3 s, and waits 0.7 s more
  bed.program.Kill();
  CHECK(Status(held.Read()) == 504);
}

TEST_CASE("what a resting submitter sends as its connection ends takes no answer with it") {
  Bed bed;
  Peer submitter = Dial(bed.program.port(), 4096);
  const std::string body(60'000, 'b');
  submitter.Send(Post("id-1"));
  Peer node = bed.nodes[0].Accept();
  node.Read();
  node.Send(Served(body));
  submitter.Take(1);  // the answer is on its way, and most of it cannot arrive yet
  bed.program.Terminate();
  bed.program.AwaitLog("stopping");
  AwaitThat("its connection ends", [&] { return HasConnection(true, bed.program.port(), "04"); });
  submitter.Send(Post("id-2"));
  const std::string rest = submitter.Rest();
  CHECK(rest.size() > body.size());
  CHECK(rest.ends_with(body));
  CHECK_FALSE((node.Waiting() && !node.Ended()));  // what is read after the end is not sent on
  submitter.Close();
  CHECK(bed.program.Exit() == 0);
}

TEST_CASE("a repeat is not written once its window has passed while its connection came up") {
  Listener discovery, prompt;
  LateNode late;
  auto config = Patient(discovery, {&prompt});
  auto& hold = config["settings"]["services"][1];
  hold["effect"] = "guarded";
  hold["group"] = "all";
  hold["windowMs"] = 2000.0;
  Program program(config);
  Peer submitter = Dial(program.port());
  submitter.Send(Post("id-1", "{}", 60'000));
  Peer node = prompt.Accept();
  node.Read();
  const Peer watch = Tell(program, discovery, Machine("s-1", late.listener.address()));
  node.Reset();  // it may have run
  AwaitDialTo(late.listener.port());
  ::usleep(2'100'000);  // the window passes
  CHECK(late.Accept().Rest().empty());
  CHECK(Status(submitter.Read()) >= 500);
}

TEST_CASE("a repeat of which half is out when its window ends is not brought to its end") {
  Listener discovery, prompt, slow;
  auto config = Patient(discovery, {&prompt});
  auto& hold = config["settings"]["services"][1];
  hold["effect"] = "guarded";
  hold["group"] = "all";
  hold["windowMs"] = 4000.0;
  config["limits"]["memory_mb"] = 128;
  Program program(config);
  Peer submitter = Dial(program.port());
  const std::string body(16'000'000, 'x');  // more than the kernel takes while nobody reads
  submitter.Send(Post("id-1", body, 60'000));
  Peer node = prompt.Accept();
  node.Read();
  const Peer watch = Tell(program, discovery, Machine("s-1", slow.address()));
  node.Reset();  // it may have run
  Peer other = slow.Accept();
  other.Take(1000);
  ::usleep(4'100'000);  // the window ends
  CHECK(other.Rest().size() < body.size());
  CHECK(Status(submitter.Read()) >= 500);
}

TEST_CASE("a claim that is dialed goes to its node's new address where that is told meanwhile") {
  Listener discovery, moved;
  LateNode late;
  Program program(Patient(discovery, {&late.listener}));
  Peer submitter = Dial(program.port());
  submitter.Send(Post("id-1", "{}", 60'000));
  AwaitDialTo(late.listener.port());
  const Peer watch = Tell(program, discovery, Machine("s-0", moved.address()));
  CHECK(late.Accept().Rest().empty());
}

TEST_CASE("half an answer that goes on to the end of its connection is none where that is reset") {
  Bed bed;
  Peer submitter = bed.Submitter();
  for (const bool reset : {true, false}) {
    submitter.Send(Post("id-" + std::to_string(reset)));
    Peer node = bed.nodes[0].Accept();
    node.Read();
    node.Send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf");
    AwaitTurn(bed.program);  // it has been read
    reset ? node.Reset() : node.Close();
    CHECK(Status(submitter.Read()) == (reset ? 502 : 200));
  }
}

TEST_CASE("told to stop twice and to read its file in one moment, it answers what it holds and ends") {
  Bed bed;
  Peer held = bed.Submitter();
  held.Send(Post("id-1"));
  Peer node = bed.nodes[0].Accept();
  node.Read();
  bed.program.Halt();
  bed.program.Terminate();
  bed.program.HangUp();
  bed.program.Terminate();
  bed.program.GoOn();
  bed.program.AwaitLog("stopping held=1");
  node.Send(Served("held"));
  CHECK(held.Read().ends_with("held"));
  held.Close();
  CHECK(bed.program.Exit() == 0);
}

TEST_CASE("a second answer some milliseconds behind the first is nobody's") {
  Bed bed;
  Peer submitter = bed.Submitter();
  std::vector<Peer> links;
  const auto claimed = [&]() -> Peer& {
    Peer* out = nullptr;
    AwaitThat("a claim comes", [&] {
      if (bed.nodes[0].Waiting()) links.push_back(bed.nodes[0].Accept());
      for (Peer& link : links) out = link.Waiting() && !link.Ended() ? &link : out;
      return out != nullptr;
    });
    out->Read();
    return *out;
  };
  links.reserve(64);
  for (int i = 0; i < 20; ++i) {
    submitter.Send(Post("one"));
    Peer& node = claimed();
    const auto sent = std::chrono::steady_clock::now();
    node.Send(Served("one"));
    CHECK(submitter.Read().ends_with("one"));
    submitter.Send(Post("two"));
    Peer& next = claimed();
    // The copy crosses the next request, where that has come behind its original so soon.
    if (&next == &node && std::chrono::steady_clock::now() - sent < std::chrono::milliseconds(5))
      node.Send(Served("one"));
    const std::string answer = i % 2 == 0 ? "two" : "one";  // which may be alike, and is no copy then
    next.Send(Served(answer));
    const std::string read = submitter.Read();
    INFO(i << " " << read);
    REQUIRE(read.ends_with(answer));
    ::usleep(20'000);  // behind which no copy comes
  }
  CHECK(links.size() == 1);
}

TEST_CASE("a first request that comes as its connection's time ends is served") {
  Bed bed;
  Peer submitter = bed.Submitter();
  AwaitTurn(bed.program);
  ::usleep(2'400'000);  // of the 2.6 s for the first one
  bed.program.Halt();
  ::usleep(400'000);
  submitter.Send(kUp);
  bed.program.GoOn();
  CHECK(Status(submitter.Read()) == 200);
}

namespace {

using Clock = std::chrono::steady_clock;
double MsSince(Clock::time_point from) {
  return std::chrono::duration<double, std::milli>(Clock::now() - from).count();
}

constexpr double kWellInTimeMs = 5.5;  // of the 6 in which an answer may come again

// One submitter's requests to one node, one after the other, each answered otherwise.
struct Exchanges {
  Bed bed;
  Peer submitter = bed.Submitter();
  std::list<Peer> links;  // of the node
  int asked = 0;

  std::string Body(int of) const { return "answer " + std::to_string(of); }
  void Ask(int patience_ms = 8000) {
    submitter.Send(Post("id-" + std::to_string(++asked), "{}", patience_ms));
  }
  Peer& Claimed() {
    Peer* out = nullptr;
    AwaitThat("a claim comes", [&] {
      if (bed.nodes[0].Waiting()) links.push_back(bed.nodes[0].Accept());
      for (Peer& link : links) out = link.Waiting() && !link.Ended() ? &link : out;
      return out != nullptr;
    });
    out->Read();
    return *out;
  }
  // The node answers, the submitter has read it and asked again; since when.
  Clock::time_point AnswerAndAsk(Peer& node, const std::string& body, int patience_ms = 8000) {
    const auto sent = Clock::now();
    node.Send(Served(body));
    REQUIRE(submitter.Read().ends_with(body));
    Ask(patience_ms);
    return sent;
  }
  // Until the node's answers are told apart, and to spare.
  void Learn() {
    for (int i = 0; i < 280; ++i) {
      Ask();
      Claimed().Send(Served(Body(asked)));
      REQUIRE(submitter.Read().ends_with(Body(asked)));
    }
  }
};

}  // namespace

TEST_CASE("a second answer in any millisecond behind the first is nobody's where its node's are told apart") {
  Exchanges day;
  day.Learn();
  for (int behind_ms = 0; behind_ms <= 8; ++behind_ms) {
    bool forced = false;
    for (int i = 0; i < 500 && !forced; ++i) {
      day.Ask();
      Peer& node = day.Claimed();
      const auto sent = day.AnswerAndAsk(node, day.Body(day.asked));
      Peer& next = day.Claimed();
      forced = &next == &node && MsSince(sent) < kWellInTimeMs;
      if (forced) {
        while (MsSince(sent) < behind_ms) ::usleep(100);
        node.Send(Served(day.Body(day.asked - 1)));
        ::usleep(1000);  // which is read before the request's own, or with it
      }
      next.Send(Served(day.Body(day.asked)));
      const std::string read = day.submitter.Read();
      INFO(behind_ms << " ms: " << read);
      REQUIRE(read.ends_with(day.Body(day.asked)));
    }
    INFO(behind_ms << " ms");
    CHECK(forced);
  }
}

TEST_CASE("a second answer in any millisecond of the rest is nobody's where nothing is known of its node") {
  Exchanges day;
  for (int behind_ms = 0; behind_ms <= 5; ++behind_ms) {
    bool in_time = false;
    for (int i = 0; i < 20 && !in_time; ++i) {
      day.Ask();
      Peer& node = day.Claimed();
      const auto sent = day.AnswerAndAsk(node, day.Body(day.asked));
      while (MsSince(sent) < behind_ms) ::usleep(100);
      // Kept from the node's hands where this process was held up: it would come later than answers may.
      if (MsSince(sent) < kWellInTimeMs) node.Send(Served(day.Body(day.asked - 1)));
      in_time = MsSince(sent) < kWellInTimeMs;
      day.Claimed().Send(Served(day.Body(day.asked)));
      const std::string read = day.submitter.Read();
      INFO(behind_ms << " ms: " << read);
      if (in_time) REQUIRE(read.ends_with(day.Body(day.asked)));
    }
    INFO(behind_ms << " ms");
    CHECK(in_time);
  }
}

TEST_CASE("the answer before the last one, written again, is nobody's") {
  Exchanges day;
  day.Learn();
  bool forced = false;
  for (int i = 0; i < 1000 && !forced; ++i) {
    day.Ask();
    Peer& first = day.Claimed();
    const auto sent = day.AnswerAndAsk(first, day.Body(day.asked));
    Peer& second = day.Claimed();
    day.AnswerAndAsk(second, day.Body(day.asked));
    Peer& third = day.Claimed();
    forced = &third == &first && &second == &first && MsSince(sent) < kWellInTimeMs;
    if (forced) first.Send(Served(day.Body(day.asked - 2)) + Served(day.Body(day.asked - 1)));
    third.Send(Served(day.Body(day.asked)));
    REQUIRE(day.submitter.Read().ends_with(day.Body(day.asked)));
  }
  CHECK(forced);
}

TEST_CASE("answers that are truly alike are all served, but for one where they never were before") {
  Exchanges day;
  SECTION("they always are") {
    for (int i = 0; i < 300; ++i) {
      day.Ask();
      day.Claimed().Send(Served("the same"));
      REQUIRE(day.submitter.Read().ends_with("the same"));
    }
  }
  SECTION("they begin to be") {
    day.Learn();
    bool forced = false;
    for (int i = 0; i < 500 && !forced; ++i) {
      day.Ask();
      Peer& node = day.Claimed();
      const auto sent = day.AnswerAndAsk(node, day.Body(day.asked), 700);
      Peer& next = day.Claimed();
      forced = &next == &node && MsSince(sent) < kWellInTimeMs;
      next.Send(Served(day.Body(forced ? day.asked - 1 : day.asked)));
      CHECK(Status(day.submitter.Read()) == (forced ? 504 : 200));
    }
    CHECK(forced);
    for (const Peer& link : day.links)
      CHECK_FALSE((link.Waiting() && !link.Ended()));  // it is not sent again
    CHECK_FALSE(day.bed.nodes[0].Waiting());
    for (int i = 0; i < 20; ++i) {
      day.Ask();
      day.Claimed().Send(Served("the same"));
      REQUIRE(day.submitter.Read().ends_with("the same"));
    }
  }
}

}  // namespace bitternmux::peers
