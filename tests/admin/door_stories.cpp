// The operators' door of the built program, and what it counts beside what its scripted peers saw.
#include <catch2/catch.hpp>

#include "support/peers.h"

namespace bitternmux::peers {
namespace {

nlohmann::json WithDoor(const Listener& discovery, const Listener& node) {
  auto config = ConfigOf(discovery.address(), 64,
                         List(41, true, nlohmann::json::array({Machine("s-0", node.address())})));
  config["operator"] = "127.0.0.1:0";
  return config;
}

std::string Call(int door, const std::string& call) {
  Peer caller = Dial(door);
  caller.Send(call);
  std::string answer = caller.Read();
  CHECK(caller.Ends());
  return answer;
}

nlohmann::json Figures(int door) {
  const std::string answer = Call(door, "GET /admin/stats HTTP/1.1\r\nHost: ops\r\n\r\n");
  return nlohmann::json::parse(answer.substr(answer.find("\r\n\r\n")));
}

}  // namespace

TEST_CASE("the door answers its two calls, turns others away, and is not the submitters'") {
  Listener discovery, node;
  Program program(WithDoor(discovery, node));
  const int door = program.door();
  program.port();
  CHECK(Call(door, "GET /admin/health HTTP/1.1\r\nHost: ops\r\n\r\n").starts_with("HTTP/1.1 200 "));
  for (const auto& [status, call] : std::vector<std::pair<std::string, std::string>>{
           {"404", "GET /rate-check HTTP/1.1\r\n\r\n"},
           {"404", "GET /up HTTP/1.1\r\n\r\n"},
           {"404", "GET /\xff HTTP/1.1\r\n\r\n"},
           {"405", "POST /admin/stats HTTP/1.1\r\nContent-Length: 0\r\n\r\n"},
           {"400", "nonsense\r\n\r\n"},
           {"431", "GET /admin/stats HTTP/1.1\r\nPadding: " + std::string(20'000, 'x') + "\r\n\r\n"}}) {
    CHECK(Call(door, call).starts_with("HTTP/1.1 " + status + " "));
  }
  Peer submitter = Dial(program.port());
  submitter.Send("GET /admin/stats HTTP/1.1\r\nHost: app.svc\r\n\r\n");
  CHECK(submitter.Read().starts_with("HTTP/1.1 404 "));
}

TEST_CASE("a busy address is named with its key") {
  Listener discovery, node;
  auto config = WithDoor(discovery, node);
  config["operator"] = discovery.address();
  Program program(config);
  program.AwaitLog("operator: cannot listen on " + discovery.address());
  CHECK(program.Exit() == 1);
}

TEST_CASE("callers that say nothing or half a call take no place from the next one") {
  Listener discovery, node;
  Program program(WithDoor(discovery, node));
  std::vector<Peer> callers;
  for (int i = 0; i < 40; ++i) {
    callers.push_back(Dial(program.door()));
    if (i % 2 == 0) callers.back().Send("GET /admin/st");
  }
  CHECK(Call(program.door(), "GET /admin/health HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200 "));
  CHECK(callers.front().Ends());
}

TEST_CASE("the figures are what the peers saw") {
  Listener discovery, node;
  Program program(WithDoor(discovery, node));
  Peer submitter = Dial(program.port()), leaver = Dial(program.port());
  submitter.Send(Get("served"));
  Peer claimed = node.Accept();
  claimed.Read();
  claimed.Send(Served("ok"));
  submitter.Read();
  submitter.Send(Post("failed"));
  claimed.Read();
  claimed.Send("HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n");
  submitter.Read();
  submitter.Send(Post("refused", "{}", 1));  // there is no time to send it
  CHECK(submitter.Read().starts_with("HTTP/1.1 503 "));
  leaver.Send(Post("left"));
  claimed.Read();
  const auto midway = Figures(program.door());
  CHECK(midway["outstanding"] == 1);
  CHECK(midway["forwards"] == 3);
  leaver.Close();
  claimed.Ends();
  program.Configure("{}");
  program.HangUp();
  program.AwaitLog("config.refused");
  const auto figures = Figures(program.door());
  CHECK(figures["succeeded"] == nlohmann::json({{"rate-check", 1}, {"space-hold", 0}}));
  CHECK(figures["declined"] == nlohmann::json({{"rate-check", 0}, {"space-hold", 1}}));
  CHECK(figures["aborted"] == nlohmann::json({{"rate-check", 0}, {"space-hold", 1}}));
  CHECK(figures["outstanding"] == 0);
  CHECK(figures["discovered"] == 1);
  CHECK(figures["ejected"] == 0);
  CHECK(figures["sighup_applied"] == 0);
  CHECK(figures["sighup_rejected"] == 1);
}

TEST_CASE("a file at SIGHUP is taken whole or not at all") {
  Listener discovery, node;
  const auto config = WithDoor(discovery, node);
  Program program(config);
  Peer submitter = Dial(program.port());
  const auto ask = [&](const std::string& method, const std::string& klass) {
    submitter.Send(method + " /" + klass + " HTTP/1.1\r\nHost: a\r\nReq-Id: i\r\nReq-Kind: " + klass +
                   "\r\nReq-Deadline-Ms: 1\r\nContent-Length: 0\r\n\r\n");
    return std::stoi(submitter.Read().substr(9, 3));
  };
  int applied = 0, rejected = 0;
  const auto hang_up = [&](const std::string& text, bool good) {
    INFO(text.substr(0, 100));
    program.Configure(text);
    (good ? applied : rejected)++;
    program.HangUp();
    for (int i = 0; i < kLimitMs; ++i) {
      const auto figures = Figures(program.door());
      if (figures["sighup_applied"] == applied && figures["sighup_rejected"] == rejected) return;
      ::usleep(1000);
    }
    FAIL("not told");
  };
  const auto with = [&](const std::string& pointer, const nlohmann::json& value) {
    auto next = config;
    next[nlohmann::json::json_pointer(pointer)] = value;
    return next.dump();
  };
  std::vector<std::string> faulty = {"", config.dump().substr(0, 900), "[]", "null"};
  for (const char* pointer : {"/settings/services/1/deadlineMs", "/settings/bounds/sendCap"}) {
    for (const auto& value : nlohmann::json::parse(R"(["9", null, -5, 0, true, [], {}])"))
      faulty.push_back(with(pointer, value));
  }
  // No UTF-8: a letter in Latin-1, and a file cut within a letter.
  for (const char* end : {"\xe3\"}", "\xc3"}) faulty.push_back("{\"name\":\"S" + std::string(end));
  std::string infinite = config.dump();
  faulty.push_back(infinite.replace(infinite.find("9000.0"), 6, "9e999"));
  faulty.push_back(with("/settings/services/1/name", "rate-check"));
  faulty.push_back(with("/settings/services/0/effect", "some"));
  for (const char* key : {"name", "listen", "discovery", "operator", "limits", "settings", "known"}) {
    auto next = config;
    next.erase(key);
    faulty.push_back(next.dump());
  }
  auto next = config;
  next["settings"]["services"][1].erase("deadlineMs");
  faulty.push_back(next.dump());
  for (std::string& text : faulty) {
    hang_up(text, false);
    CHECK(ask("POST", "space-hold") == 503);  // known as before; there is no time for it
  }
  // One class stricter, one gone, one new.
  next = config;
  next["settings"]["services"][0]["effect"] = "single_shot";
  next["settings"]["services"][1]["name"] = "quote-issue";
  hang_up(next.dump(), true);
  CHECK(ask("POST", "quote-issue") == 503);
  CHECK(ask("POST", "rate-check") == 503);
  const auto figures = Figures(program.door());
  CHECK(figures["declined"]["space-hold"] == faulty.size());
  CHECK(figures["declined"]["quote-issue"] == 1);
  CHECK(ask("POST", "space-hold") == 404);
}

namespace {

// A request at one stage of its way, for what may end it there.
struct Underway {
  explicit Underway(int deadline_ms)
      : program(Config()), submitter(Dial(program.port())), deadline(deadline_ms) {}

  // The node's connection comes up once `filling` is accepted.
  void Dialing() { submitter.Send(Get("id-1", deadline)); }
  void Begun() {
    slow.Accept();
    submitter.Send(Get("id-1", deadline));
    node = slow.Accept();
    node.Read();
    node.Send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
  }
  void AwaitHeld(int count) {
    for (int looks = 0; Figures(program.door())["outstanding"] != count; ++looks) {
      REQUIRE(looks < 4000);
      ::usleep(1000);
    }
  }
  nlohmann::json Config() const {
    auto config = WithDoor(discovery, slow);
    return config;
  }

  Listener discovery;
  Listener slow{/*queue=*/0};
  Peer filling = Dial(slow.port());
  Program program;
  Peer submitter;
  Peer node{-1};
  int deadline;
};

}  // namespace

TEST_CASE("a submitter that leaves leaves nothing held, whatever came of its request so far") {
  Underway request(8000);
  SECTION("half of its body") {
    request.submitter.Send(Post("id-1").substr(0, 100));
    request.submitter.Close();
    request.AwaitHeld(0);
    Peer next = Dial(request.program.port());
    next.Send("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(next.Read().starts_with("HTTP/1.1 200 "));
    CHECK(Figures(request.program.door())["forwards"] == 0);
  }
  SECTION("the dial of its node") {
    request.Dialing();
    request.AwaitHeld(1);
    request.submitter.Close();
    request.AwaitHeld(0);
    CHECK(Figures(request.program.door())["forwards"] == 0);
  }
  SECTION("half of its answer") {
    request.Begun();
    request.AwaitHeld(1);
    request.submitter.Close();
    request.AwaitHeld(0);
    CHECK(request.node.Ends());
  }
}

TEST_CASE("a request whose time is up is answered once, whatever came of it so far") {
  Underway request(300);
  SECTION("the dial of its node: it never ran, and may come again") {
    request.Dialing();
    CHECK(request.submitter.Read().starts_with("HTTP/1.1 503 "));
  }
  SECTION("half of its answer: it may have run, which its class allows again") {
    request.Begun();
    CHECK(request.submitter.Read().starts_with("HTTP/1.1 503 "));
    CHECK(request.node.Ends());
  }
  request.AwaitHeld(0);
}

TEST_CASE("told to stop, it answers what is being dialed and what is half answered") {
  Underway request(3000);
  SECTION("the dial of its node") {
    request.Dialing();
    request.AwaitHeld(1);
    request.program.Terminate();
    request.program.AwaitLog("stopping held=1");
    request.slow.Accept();
    request.node = request.slow.Accept();
    request.node.Read();
    request.node.Send(Served("ok"));
    CHECK(request.submitter.Read().ends_with("ok"));
  }
  SECTION("half of its answer") {
    request.Begun();
    request.program.Terminate();
    request.program.AwaitLog("stopping held=1");
    request.node.Send("whole");
    CHECK(request.submitter.Read().ends_with("halfwhole"));
  }
  CHECK(request.program.Exit() == 0);
}

}  // namespace bitternmux::peers
