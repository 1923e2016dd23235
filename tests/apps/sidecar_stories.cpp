// The built program over loopback, between a submitter, scripted execute nodes and a scripted discovery.
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>

#include "support/peers.h"

namespace bitternmux::peers {
namespace {

bool Has(const std::string& text, const std::string& part) { return text.find(part) != text.npos; }
int Status(const std::string& answer) { return std::stoi(answer.substr(9, 3)); }

const char kDeclined[] = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
const char kError[] = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";

// So long after SIGTERM new connections are accepted. Counted from before the signal it ends no later than
// that.
constexpr std::chrono::milliseconds kRestartWindow{500};

// A new connection; nothing where the dial was refused and `end` is past by then. Refused before it: throws.
std::optional<Peer> DialBefore(std::chrono::steady_clock::time_point end, int port) {
  try {
    return Dial(port);
  } catch (const std::runtime_error&) {
    if (std::chrono::steady_clock::now() < end) throw;
    return std::nullopt;
  }
}

}  // namespace

TEST_CASE("what a submitter asks and a node answers passes on unchanged, on one connection") {
  Bed bed;
  Peer submitter = bed.Submitter();
  submitter.Send("GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n");
  CHECK(Status(submitter.Read()) == 200);

  std::string body(64 * 1024, '\0');
  for (std::size_t i = 0; i < body.size(); ++i) body[i] = static_cast<char>(i * 31 % 251);
  submitter.Send(Post("id-1", body));
  Peer node = bed.nodes[0].Accept();
  const std::string claim = node.Read();
  CHECK(claim.starts_with("POST /space-hold HTTP/1.1\r\n"));
  CHECK(Has(claim, "Req-Id: id-1\r\n"));
  CHECK(claim.substr(claim.size() - body.size()) == body);
  node.Send(Served(body));
  const std::string answer = submitter.Read();
  CHECK(Status(answer) == 200);
  CHECK(answer.substr(answer.size() - body.size()) == body);

  // The next one comes in pieces, and with the one after it on its heels.
  const std::string both = Get("id-2") + Get("id-3");
  for (std::size_t at = 0; at < both.size(); at += 7) submitter.Send(both.substr(at, 7));
  for (const char* id : {"id-2", "id-3"}) {
    const std::string again = node.Read();
    CHECK(again.starts_with("GET /rate-check/1?x=2 HTTP/1.1\r\n"));
    CHECK(Has(again, std::string("Req-Id: ") + id + "\r\n"));
    node.Send(Served(id));
    CHECK(submitter.Read().ends_with(id));
  }
  CHECK_FALSE(bed.nodes[0].Waiting());
}

TEST_CASE("what may have run is failed and never sent again") {
  // A partial answer, a malformed one, an error, a 503 that does not say that it never ran, and a reset.
  const std::string ending = GENERATE(
      std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), std::string("HTTP/1.1 wat\r\n\r\n"),
      std::string(kError), std::string("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), std::string());
  Bed bed(2);
  Peer submitter = bed.Submitter();
  submitter.Send(Post("id-1"));
  Peer node = bed.nodes[bed.AwaitDial()].Accept();
  node.Read();
  node.Send(ending);
  node.Close();
  CHECK(Status(submitter.Read()) == 502);
  CHECK_FALSE((bed.nodes[0].Waiting() || bed.nodes[1].Waiting()));
}

TEST_CASE("a good answer with more behind it is served, and its connection is not used again") {
  Bed bed;
  Peer submitter = bed.Submitter();
  for (const bool late : {false, true}) {
    submitter.Send(Post("id-1"));
    Peer node = bed.nodes[0].Accept();
    node.Read();
    node.Send(Served("first") + (late ? "" : Served("not asked for")));
    CHECK(submitter.Read().ends_with("first"));
    if (late) node.Send(Served("not asked for"));
    submitter.Send(Post("id-2"));
    Peer fresh = bed.nodes[0].Accept();
    fresh.Read();
    fresh.Send(Served("second"));
    fresh.Close();
    CHECK(submitter.Read().ends_with("second"));
    CHECK(node.Ends());
  }
}

TEST_CASE("what may have run is sent again where its class allows") {
  Bed bed(2);
  Peer submitter = bed.Submitter();
  submitter.Send(Get("id-1"));
  const std::size_t first = bed.AwaitDial();
  Peer node = bed.nodes[first].Accept();
  node.Read();
  node.Send(kError);
  Peer other = bed.nodes[1 - first].Accept();
  CHECK(Has(other.Read(), "Req-Id: id-1\r\n"));
  other.Send(Served("second"));
  CHECK(submitter.Read().ends_with("second"));
}

TEST_CASE("what never ran is sent to another node, whatever its class") {
  const bool declined = GENERATE(true, false);
  Bed bed(2);
  Peer submitter = bed.Submitter();
  if (declined) {
    submitter.Send(Post("id-1"));
    const std::size_t first = bed.AwaitDial();
    Peer node = bed.nodes[first].Accept();
    node.Read();
    node.Send(kDeclined);
    Peer other = bed.nodes[1 - first].Accept();
    CHECK(Has(other.Read(), "Req-Id: id-1\r\n"));
    other.Send(Served("there"));
    CHECK(submitter.Read().ends_with("there"));
  } else {
    bed.nodes[0].Close();  // dials to it are refused
    Peer node(-1);
    for (int i = 0; i < 6; ++i) {
      submitter.Send(Post("id-" + std::to_string(i)));
      if (i == 0) node = bed.nodes[1].Accept();
      node.Read();
      node.Send(Served("there"));
      CHECK(submitter.Read().ends_with("there"));
    }
  }
}

TEST_CASE("a connection that the node closed while it idled is not used again") {
  Bed bed;
  Peer submitter = bed.Submitter();
  for (int i = 0; i < 20; ++i) {
    submitter.Send(Post("id-" + std::to_string(i)));
    Peer node = bed.nodes[0].Accept();
    node.Read();
    node.Send(Served("ok"));
    node.Close();  // crosses the answer on its way to the submitter, whose next request comes at once
    CHECK(Status(submitter.Read()) == 200);
  }
}

TEST_CASE("a node that resets what idled for 100 ms loses few binding requests, and is not dialed for each") {
  Bed bed;
  Peer submitter = bed.Submitter(), node(-1);
  int lost = 0;
  const auto ask = [&](const std::string& id) {
    submitter.Send(Post(id));
    for (int ms = 0; ms < kLimitMs && !node.Waiting() && !bed.nodes[0].Waiting(); ++ms) ::usleep(1000);
    const bool dialed = bed.nodes[0].Waiting();
    if (dialed) node = bed.nodes[0].Accept();
    node.Read();
    return dialed;
  };
  for (int i = 0; i < 10; ++i) {
    if (ask("old-" + std::to_string(i))) {
      node.Send(Served("ok"));
      CHECK(Status(submitter.Read()) == 200);
    } else {
      node.Reset();
      CHECK(Status(submitter.Read()) == 502);
      ++lost;
    }
    ::usleep(120'000);  // so long the connection idles
  }
  CHECK(lost <= 2);
  int dials = 0;
  for (int i = 0; i < 10; ++i) {
    dials += ask("young-" + std::to_string(i));
    node.Send(Served("ok"));
    CHECK(Status(submitter.Read()) == 200);
  }
  CHECK(dials <= 1);
}

TEST_CASE("a claim out of time is given up and its job answered before the submitter leaves") {
  Bed bed;
  Peer submitter = bed.Submitter();
  submitter.Send(Post("id-1", "{}", 150));
  Peer node = bed.nodes[0].Accept();
  node.Read();
  CHECK(Status(submitter.Read()) == 504);
  CHECK(node.Ends());
}

TEST_CASE("a submitter that leaves has its claim given up") {
  Bed bed;
  Peer submitter = bed.Submitter();
  submitter.Send(Post("id-1", "{}", 10 * kLimitMs));
  Peer node = bed.nodes[0].Accept();
  node.Read();
  submitter.Close();
  CHECK(node.Ends());
}

TEST_CASE("bad requests are told so, and never reach a node or invite a retry") {
  Bed bed;
  const std::string head = "POST /space-hold HTTP/1.1\r\nHost: app.svc\r\nReq-Kind: space-hold\r\n";
  const std::string ids = "Req-Id: id\r\nReq-Deadline-Ms: 900\r\n";
  const std::vector<std::pair<int, std::string>> cases = {
      {400, "nonsense\r\n\r\n"},
      {400, "GET /rate-check HTTP/9.1\r\n\r\n"},
      {400, head + ids + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}"},
      {400, head + ids + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}"},
      {400, head + ids + "Content-Length: -2\r\n\r\n"},
      {400, head + ids + "Content-Length: 2x\r\n\r\n{}"},
      {400, head + ids + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"},
      {400, head + ids + "Transfer-Encoding: gzip\r\n\r\n"},
      {400, "POST /space-hold HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
      {400, head + ids + "Content-Length: 99999999999999999999999\r\n\r\n"},
      {400, head + ids + " folded: 1\r\n\r\n"},
      {400, head + ids + "Req-Cost: heavy\r\n\r\n"},
      {400, head + ids + "Req-Id: id-2\r\n\r\n"},
      {400, head + "Req-Deadline-Ms: 900\r\n\r\n"},
      {400, head + "Req-Id: id\r\n\r\n"},
      {400, head + "Req-Id: id\r\nReq-Deadline-Ms: 0\r\n\r\n"},
      {400, head + "Req-Id: id\r\nReq-Deadline-Ms: soon\r\n\r\n"},
      {400, "POST /space-hold HTTP/1.1\r\nHost: a\r\nReq-Kind: rate-check\r\n" + ids + "\r\n"},
      {400, "POST /space-hold HTTP/1.1\r\nHost: a\r\nReq-Kind: unheard-of\r\n" + ids + "\r\n"},
      {404, "POST /unheard-of HTTP/1.1\r\nHost: a\r\nReq-Kind: unheard-of\r\n" + ids + "\r\n"},
      {405, "GET /space-hold HTTP/1.1\r\nHost: a\r\nReq-Kind: space-hold\r\n" + ids + "\r\n"},
      {405, "POST /up HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"},
      {413, head + ids + "Content-Length: 60000000\r\n\r\n" + std::string(8'000'000, 'x')},
      {413, head + ids + "Transfer-Encoding: chunked\r\n\r\n2000001\r\n"},
      {431, head + ids + "Padding: " + std::string(20'000, 'x') + "\r\n\r\n"},
  };
  for (const auto& [status, request] : cases) {
    INFO(request.substr(0, 200));
    Peer submitter = bed.Submitter();
    submitter.Send(request);
    CHECK(Status(submitter.Read()) == status);
  }
  CHECK_FALSE(bed.nodes[0].Waiting());
  Peer submitter = bed.Submitter();
  submitter.Send("POST /space-hold HTTP/1.1\r\nHost: a\r\nReq-Kind: space-hold\r\n" + ids +
                 "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n");
  Peer node = bed.nodes[0].Accept();
  CHECK(node.Read().ends_with("\r\n\r\n{}"));
}

TEST_CASE("nothing new goes to a node that drains or is gone") {
  const bool told = GENERATE(true, false);
  Bed bed(2);
  auto [watch, asked] = bed.AcceptWatch();
  CHECK(Has(asked, "GET /discovery/hosts?follow=1&since=41 HTTP/1.1\r\n"));
  auto members = bed.Members();
  if (told) {
    members[0]["phase"] = "DRAINING";
  } else {
    members.erase(0);  // absent from a complete list
  }
  const std::string line = List(42, !told, members).dump() + "\n";
  for (std::size_t at = 0; at < line.size(); at += 11) watch.Send(Chunk(line.substr(at, 11)));
  // The next version is asked for once this one has been read: that is the sign that the change is known.
  watch.Close();
  auto [again, asked_again] = bed.AcceptWatch();
  CHECK(Has(asked_again, "since=42 "));
  Peer submitter = bed.Submitter();
  Peer node(-1);
  for (int i = 0; i < 30; ++i) {
    submitter.Send(Post("id-" + std::to_string(i)));
    if (i == 0) node = bed.nodes[1].Accept();
    node.Read();
    node.Send(Served("ok"));
    CHECK(Status(submitter.Read()) == 200);
  }
  CHECK_FALSE(bed.nodes[0].Waiting());
}

TEST_CASE("let go after it stood still, it knows what discovery told meanwhile before it sends anything") {
  Bed bed(2);
  auto [watch, asked] = bed.AcceptWatch();
  std::array<std::vector<Peer>, 2> links;
  // Serves the next claim, on whatever connection it comes; the node that it came to.
  const auto serve = [&] {
    for (;; ::usleep(1000)) {
      for (std::size_t i = 0; i < 2; ++i) {
        if (bed.nodes[i].Waiting()) links[i].push_back(bed.nodes[i].Accept());
        std::erase_if(links[i], [](Peer& link) { return link.Waiting() && link.Ended(); });
        for (Peer& link : links[i]) {
          if (!link.Waiting()) continue;
          link.Read();
          link.Send(Served("ok"));
          return i;
        }
      }
    }
  };
  Peer submitter = bed.Submitter();
  int revision = 41;
  const auto tell = [&](std::size_t node, const char* phase) {
    const auto members = nlohmann::json::array({Machine(Bed::Id(node), bed.nodes[node].address(), phase)});
    watch.Send(Chunk(List(++revision, false, members).dump() + "\n"));
  };
  // Each time the node that it would go on with is told to drain, behind a request that came before that.
  for (int round = 0; round < 4; ++round) {
    submitter.Send(Post("before-" + std::to_string(round)));
    const std::size_t used = serve();
    CHECK(Status(submitter.Read()) == 200);
    bed.program.Halt();
    submitter.Send(Post("after-" + std::to_string(round)));
    tell(used, "DRAINING");
    ::usleep(400'000);  // standing still is what it is about, and takes time
    bed.program.GoOn();
    CHECK(serve() == 1 - used);
    CHECK(Status(submitter.Read()) == 200);
    tell(used, "SERVING");
  }
  bed.program.AwaitLog("stood.still ms=");
}

TEST_CASE("let go after it stood still, it sends nothing that is over or whose submitter has gone") {
  Bed bed;
  Peer patient = bed.Submitter(), hasty = bed.Submitter(), gone = bed.Submitter();
  Peer* const all[] = {&patient, &hasty, &gone};
  Peer node(-1);
  // All three are known, so that their connections are there to be read at once.
  for (int i = 0; i < 3; ++i) {
    all[i]->Send(Post("id-" + std::to_string(i)));
    if (i == 0) node = bed.nodes[0].Accept();
    node.Read();
    node.Send(Served("ok"));
    CHECK(Status(all[i]->Read()) == 200);
  }
  bed.program.Halt();
  hasty.Send(Post("over", "{}", 300));
  gone.Send(Post("gone"));
  gone.Close();
  ::usleep(500'000);  // standing still is what it is about, and takes time
  patient.Send(Post("good"));
  bed.program.GoOn();
  CHECK(Status(hasty.Read()) == 503);
  CHECK(Has(node.Read(), "Req-Id: good\r\n"));
  node.Send(Served("ok"));
  CHECK(Status(patient.Read()) == 200);
  CHECK_FALSE((node.Waiting() || bed.nodes[0].Waiting()));
}

TEST_CASE("a watch that cannot be read is broken off, and the list held stays") {
  const std::string line = GENERATE(
      std::string("{\"revision\":}\n"), std::string("[]\n"),
      std::string("{\"revision\":43,\"complete\":true,\"members\":[{\"id\":\"s\",\"phase\":\"ASLEEP\"}]}\n"),
      std::string("{\"revision\":43,\"complete\":true,\"members\":[{\"id\":\"s\",\"phase\":\"SERVING\","
                  "\"host_port\":\"nowhere\"}]}\n"));
  Bed bed;
  auto [watch, asked] = bed.AcceptWatch();
  watch.Send(Chunk(List(42, true, bed.Members()).dump() + "\n"));
  watch.Send(Chunk(line));
  CHECK_FALSE(Has(bed.program.AwaitLog("discovery.broken"), "nothing heard"));
  CHECK(watch.Ends());
  auto [again, asked_again] = bed.AcceptWatch();
  CHECK(Has(asked_again, "since=42 "));
  Peer submitter = bed.Submitter();
  submitter.Send(Get("id-1"));
  Peer node = bed.nodes[0].Accept();
  node.Read();
  node.Send(Served("ok"));
  CHECK(Status(submitter.Read()) == 200);
}

TEST_CASE("on SIGHUP it goes over to the discovery that the file names, by that one's whole list") {
  Bed bed(2);
  auto [old, asked] = bed.AcceptWatch();
  old.Send(Chunk("\n"));
  bed.program.Configure("{\"name\":");
  bed.program.HangUp();
  bed.program.AwaitLog("config.refused fault=\"RELAY_CONFIG: no JSON");
  Listener between, other;
  for (const Listener* next : {&between, &other}) {
    bed.program.Configure(ConfigOf(next->address(), 1024, List(1, true, nlohmann::json::array())).dump());
    bed.program.HangUp();
    bed.program.AwaitLog("config.reloaded discovery=" + next->address());
  }
  Peer watch = other.Accept();
  CHECK(watch.Read().starts_with("GET /discovery/hosts HTTP/1.1\r\n"));
  auto members = bed.Members();
  members.erase(1);
  const std::string list = List(3, true, members).dump();
  watch.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
  CHECK(Has(watch.Read(), "GET /discovery/hosts?follow=1&since=3 "));
  CHECK(old.Ends());
  Peer submitter = bed.Submitter();
  Peer node(-1);
  for (int i = 0; i < 10; ++i) {
    submitter.Send(Post("id-" + std::to_string(i)));
    if (i == 0) node = bed.nodes[0].Accept();  // the other one is not on the new list
    node.Read();
    node.Send(Served("ok"));
    CHECK(Status(submitter.Read()) == 200);
  }
  CHECK_FALSE(bed.nodes[1].Waiting());
  bed.program.Terminate();
  bed.program.HangUp();
  submitter.Close();
  CHECK(bed.program.Exit() == 0);
}

TEST_CASE("a load report that cannot be read does not harm the answer") {
  Bed bed;
  Peer submitter = bed.Submitter();
  submitter.Send(Get("id-1"));
  Peer node = bed.nodes[0].Accept();
  for (const char* report :
       {"{\"inflight\":", "[7]", "{\"inflight\":\"many\",\"queue\":-1}", "{\"queue\":1e999}"}) {
    node.Read();
    node.Send(std::string("HTTP/1.1 200 OK\r\nSrv-Load: ") + report + "\r\nContent-Length: 2\r\n\r\nok");
    CHECK(submitter.Read().ends_with("ok"));
    submitter.Send(Get("id"));
  }
}

TEST_CASE("told to stop, it serves on through the restart window, answers what it holds and exits with 0") {
  Bed bed;
  Peer held = bed.Submitter();
  held.Send(Post("id-1"));
  Peer node = bed.nodes[0].Accept();
  node.Read();
  const auto window_end = std::chrono::steady_clock::now() + kRestartWindow;
  bed.program.Terminate();
  bed.program.AwaitLog("stopping held=1");
  Peer late = bed.Submitter();
  Peer second(-1);
  for (int i = 0; std::chrono::steady_clock::now() < window_end; ++i) {
    std::optional<Peer> submitter = DialBefore(window_end, bed.program.port());
    if (!submitter) break;
    late = std::move(*submitter);
    late.Send(Post("late-" + std::to_string(i)));
    if (i == 0) second = bed.nodes[0].Accept();
    second.Read();
    second.Send(Served("late"));
    CHECK(late.Read().ends_with("late"));
  }
  CHECK(late.Ends());  // closed once the window is over
  node.Send(Served("held"));
  const std::string answer = held.Read();
  CHECK(answer.ends_with("held"));
  CHECK(Has(answer, "Connection: close\r\n"));
  held.Close();
  CHECK(bed.program.Exit() == 0);
}

TEST_CASE("told to stop, it answers before its end whoever would wait longer than that") {
  Listener discovery, node;
  auto config = ConfigOf(discovery.address(), 256,
                         List(41, true, nlohmann::json::array({Machine("s-0", node.address())})));
  for (auto& service : config["settings"]["services"]) service["promiseMs"] = service["deadlineMs"] = 300.0;
  Program program(config);
  Peer held = Dial(program.port());
  held.Send(Post("id-1", "{}", 60'000));
  Peer silent = node.Accept();
  silent.Read();
  program.Terminate();
  CHECK(Status(held.Read()) == 504);
  held.Close();
  CHECK(program.Exit() == 0);
}

TEST_CASE("what waits to be accepted when the restart window ends is answered") {
  Bed bed;
  bed.program.port();
  bed.program.Terminate();
  bed.program.AwaitLog("stopping");
  bed.program.Halt();
  std::vector<Peer> late;
  for (int i = 0; i < 8; ++i) {
    late.push_back(bed.Submitter());
    late.back().Send("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
  }
  ::usleep(600'000);  // the window's end, and some
  bed.program.GoOn();
  for (Peer& peer : late) CHECK(Status(peer.Read()) == 200);
  CHECK(bed.program.Exit() == 0);
}

TEST_CASE("a request whose connection comes up once its node drains is sent elsewhere") {
  Listener discovery, other;
  Listener slow(/*queue=*/0);
  const Peer filling = Dial(slow.port());  // the next one comes up when this one is accepted
  auto config = ConfigOf(discovery.address(), 256,
                         List(41, true, nlohmann::json::array({Machine("s-0", slow.address())})));
  config["settings"]["bounds"]["dialTimeoutMs"] = 8000.0;
  Program program(config);
  Peer submitter = Dial(program.port());
  submitter.Send(Get("id-1"));
  AwaitDialTo(slow.port());  // or the news could be read before the request
  Peer watch = discovery.Accept();
  watch.Read();
  watch.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  watch.Send(Chunk(List(42, false,
                        nlohmann::json::array(
                            {Machine("s-0", slow.address(), "DRAINING"), Machine("s-1", other.address())}))
                       .dump() +
                   "\n"));
  Peer second = Dial(program.port());
  second.Send(Get("id-2"));
  Peer node = other.Accept();  // so that the drain was told
  CHECK(Has(node.Read(), "Req-Id: id-2\r\n"));
  node.Send(Served("second"));
  CHECK(second.Read().ends_with("second"));
  slow.Accept();
  Peer drained = slow.Accept();
  CHECK(drained.Ends());  // nothing came
  CHECK(Has(node.Read(), "Req-Id: id-1\r\n"));
  node.Send(Served("first"));
  CHECK(submitter.Read().ends_with("first"));
}

TEST_CASE("discovery is watched though the settings say that it speaks unasked") {
  Listener discovery;
  auto config = ConfigOf(discovery.address(), 256, List(41, true, nlohmann::json::array()));
  config["settings"].erase("discovery");
  config["settings"]["contract"].erase("askWithinMs");
  Program program(config);
  program.port();
  CHECK(discovery.Accept().Read().starts_with("GET /discovery/hosts?follow=1&since=41 "));
}

TEST_CASE("it has one thread, whatever it does") {
  Bed bed;
  Peer submitter = bed.Submitter();
  submitter.Send(Get("id-1"));
  Peer node = bed.nodes[0].Accept();
  node.Read();
  bed.program.HangUp();
  bed.program.AwaitLog("config.reloaded");
  CHECK(bed.program.Threads() == 1);
  node.Send(Served("ok"));
  CHECK(submitter.Read().ends_with("ok"));
  bed.program.Terminate();
  bed.program.AwaitLog("stopping");
  CHECK(bed.program.Threads() == 1);
}

TEST_CASE("at the limit of descriptors the connection that idled longest makes room") {
  Bed bed(1, /*sockets=*/64);
  std::vector<Peer> submitters;
  for (int i = 0; i < 30; ++i) {
    submitters.push_back(bed.Submitter());
    submitters.back().Send("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(Status(submitters.back().Read()) == 200);
  }
  CHECK(submitters.front().Ends());
  submitters.back().Send(Get("id-1"));
  Peer node = bed.nodes[0].Accept();
  node.Read();
  node.Send(Served("ok"));
  CHECK(submitters.back().Read().ends_with("ok"));
}

TEST_CASE("a request that has come on a connection that is to make room is served") {
  Bed bed(1, /*sockets=*/64);
  const std::string up = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";
  std::vector<Peer> submitters;
  for (int i = 0; i < 24; ++i) {
    if (i == 23) bed.program.Halt();  // 24 is the limit: the one that comes now takes the last place
    submitters.push_back(bed.Submitter());
    submitters.back().Send(up);
    if (i < 23) CHECK(Status(submitters.back().Read()) == 200);
  }
  submitters[0].Send(up);  // idles longest; asked after the new one came
  bed.program.GoOn();
  CHECK(Status(submitters[0].Read()) == 200);
  CHECK(Status(submitters[23].Read()) == 200);
  CHECK(submitters[1].Ends());
}

TEST_CASE("at the limit of descriptors those go first that never sent a good request") {
  Bed bed(1, /*sockets=*/64);
  Peer keeper = bed.Submitter(), waiting = bed.Submitter();
  const std::string up = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";
  keeper.Send(up);
  CHECK(Status(keeper.Read()) == 200);
  waiting.Send(Get("id-1"));
  Peer node = bed.nodes[0].Accept();
  node.Read();
  std::vector<Peer> others;
  for (std::size_t i = 0; i < 20; ++i) {
    others.push_back(bed.Submitter());
    others.back().Send(up.substr(0, i));
  }
  ::usleep(300'000);  // they have had the time to send a request
  for (int i = 0; i < 20; ++i) {
    others.push_back(bed.Submitter());
    others.back().Send(up);
    CHECK(Status(others.back().Read()) == 200);
  }
  keeper.Send(up);
  CHECK(Status(keeper.Read()) == 200);
  node.Send(Served("ok"));
  CHECK(waiting.Read().ends_with("ok"));
}

TEST_CASE("those who asked once make room before they hold all that submitters may") {
  Bed bed(1,
          /*sockets=*/96);  // a third of which submitters may hold for jobs; a quarter of that is kept free
  std::vector<Peer> keepers;
  Peer node(-1);
  for (int i = 0; i <= 24; ++i) {
    keepers.push_back(bed.Submitter());
    keepers.back().Send(Get("id-" + std::to_string(i)));
    if (i == 0) node = bed.nodes[0].Accept();
    node.Read();
    if (i == 24) CHECK(keepers[0].Ends());
    node.Send(Served("ok"));
    CHECK_FALSE(Has(keepers.back().Read(), "Connection: close\r\n"));
  }
}

TEST_CASE("where submitters hold too many and none idles, the answer says that its connection ends") {
  Bed bed(9, /*sockets=*/96);
  std::vector<Peer> submitters, claims;
  for (int i = 0; i <= 24; ++i) {
    submitters.push_back(bed.Submitter());
    submitters.back().Send(Get("id-" + std::to_string(i)));
    claims.push_back(bed.nodes[bed.AwaitDial()].Accept());
    claims.back().Read();
  }
  for (std::size_t i = 0; i < 2; ++i) {
    claims[i].Send(Served("ok"));
    CHECK(Has(submitters[i].Read(), "Connection: close\r\n") == (i == 0));
  }
  CHECK(submitters[0].Ends());
}

TEST_CASE("a submitter that says nothing or stops in the middle is told or closed") {
  Bed bed;
  Peer keeper = bed.Submitter(), silent = bed.Submitter(), head = bed.Submitter(), body = bed.Submitter();
  const std::string up = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";
  keeper.Send(up);
  CHECK(Status(keeper.Read()) == 200);
  head.Send(up + "GET /up HT");
  CHECK(Status(head.Read()) == 200);
  const std::string post = Post("id-1", "0123456789");
  body.Send(post.substr(0, post.size() - 1));
  CHECK(silent.Ends());
  for (Peer* half : {&head, &body}) {
    CHECK(Status(half->Read()) == 408);
    CHECK(half->Ends());
  }
  keeper.Send(up);
  CHECK(Status(keeper.Read()) == 200);
}

TEST_CASE("requests that are not whole are bounded in all, and others are served meanwhile") {
  Bed bed(1, 1024, /*memory_mb=*/16);
  const std::string post = Post("id-1", std::string(60'000, 'x'));
  std::vector<Peer> senders;
  for (int i = 0; i < 80; ++i) {
    senders.push_back(bed.Submitter());
    senders.back().Send(post.substr(0, post.size() - 1));
  }
  const std::string refused = senders.back().Read();  // it went nowhere, and may come again
  CHECK(Status(refused) == 503);
  CHECK_FALSE(bed.nodes[0].Waiting());
  Peer submitter = bed.Submitter();
  submitter.Send(Post("id-2"));
  Peer node = bed.nodes[0].Accept();
  node.Read();
  node.Send(Served("ok"));
  CHECK(submitter.Read().ends_with("ok"));
}

TEST_CASE("the id of another submitter's open request is turned away, and free once that is answered") {
  Bed bed;
  Peer first = bed.Submitter(), second = bed.Submitter();
  first.Send(Post("id-1"));
  Peer node = bed.nodes[0].Accept();
  node.Read();
  second.Send(Post("id-1"));
  CHECK(Status(second.Read()) == 400);
  CHECK(second.Ends());  // it never sent a good request
  node.Send(Served("first"));
  CHECK(first.Read().ends_with("first"));
  first.Send("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(Status(first.Read()) == 404);
  first.Send(Post("id-1"));
  node.Read();
  node.Send(Served("again"));
  CHECK(first.Read().ends_with("again"));
}

TEST_CASE("out of descriptors, it waits and accepts when there are some again") {
  Bed bed;
  bed.program.port();
  bed.program.LimitDescriptors(3);
  Peer submitter = bed.Submitter();
  bed.program.AwaitLog("accept.failed");
  bed.program.LimitDescriptors(1024);
  submitter.Send("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(Status(submitter.Read()) == 200);
}

TEST_CASE(
    "a log that nobody reads stops neither service nor the end, and what it could not take comes later") {
  Bed bed;
  Peer submitter = bed.Submitter();
  bed.program.FillLog();
  bed.program.Configure("{");
  const bool read_again = GENERATE(true, false);
  bed.program.HangUp();
  for (int i = 0; i < 3; ++i) {
    submitter.Send(Get("id-1"));
    Peer node = bed.nodes[0].Accept();
    node.Read();
    node.Send(Served("ok"));
    node.Close();
    CHECK(submitter.Read().ends_with("ok"));
  }
  if (read_again) CHECK(Has(bed.program.AwaitLog("config.refused"), "config.refused fault="));
  bed.program.Terminate();
  submitter.Close();
  CHECK(bed.program.Exit() == 0);
}

TEST_CASE("a faulty configuration is named and ends the program") {
  const nlohmann::json good = ConfigOf("127.0.0.1:1", 1024, List(41, true, nlohmann::json::array()));
  struct Case {
    std::string message, at;
    nlohmann::json value;
  };
  const std::vector<Case> cases = {
      {"listen: no address", "/listen", "here"},
      {"discovery: must be a text", "/discovery", 7},
      {"name: must be a text", "/name", nullptr},
      {"seed: must be", "/seed", "xyz"},
      {"limits.sockets: must be", "/limits/sockets", "many"},
      {"known.members.0.phase: unknown: 'ASLEEP'", "/known",
       List(1, true, nlohmann::json::array({Machine("s", "1.2.3.4:5", "ASLEEP")}))},
      {"settings: unknown services.1.effect 'odd'", "/settings/services/1/effect", "odd"},
      {"settings.bounds.sendCap: must be a number above 0", "/settings/bounds/sendCap", nullptr},
      {"settings: contract.coldFrom is no number: 'cold'", "/settings/contract/coldFrom", "cold"},
      {"settings.services.0.name: missing", "/settings/services/0/name", ""},
  };
  for (const Case& faulty : cases) {
    nlohmann::json config = good;
    config[nlohmann::json::json_pointer(faulty.at)] = faulty.value;
    Program program(config);
    CHECK_THAT(program.AwaitLog(faulty.message), Catch::Contains(faulty.message));
    CHECK(program.Exit() == 2);
  }
}

}  // namespace bitternmux::peers
