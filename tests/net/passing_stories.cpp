// Large and slow messages through the built program, and the forms that they come in.
#include <catch2/catch.hpp>
#include <thread>

#include "support/peers.h"

namespace bitternmux::peers {
namespace {

constexpr std::size_t kPiece = 100'000;

std::string LengthHead(std::size_t length) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}
std::string HeadOf(Peer& peer) {
  std::string head;
  while (!head.ends_with("\r\n\r\n")) head += peer.Take(1);
  return head;
}

}  // namespace

TEST_CASE("a large answer goes on as it comes, in each form, and its connection serves the next request") {
  Bed bed;
  Peer submitter = bed.Submitter();
  const std::string piece(kPiece, 'p');
  const int form = GENERATE(0, 1, 2);
  submitter.Send(Get("id-1", 300));  // its time does not cut what has begun
  Peer node = bed.nodes[0].Accept();
  node.Read();
  const auto send = [&] { node.Send(form == 1 ? Chunk(piece) : piece); };
  node.Send(form == 0   ? LengthHead(2 * kPiece)
            : form == 1 ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        : "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
  send();
  const std::string head = HeadOf(submitter);
  CHECK((head.find("chunked") != head.npos) == (form != 0));
  std::string got;
  const auto take = [&](std::size_t count) {
    while (got.size() < count) {
      if (form == 0) {
        got += submitter.Take(1);
        continue;
      }
      std::string size;
      while (!size.ends_with("\r\n")) size += submitter.Take(1);
      got += submitter.Take(std::stoul(size, nullptr, 16));
      submitter.Take(2);
    }
  };
  take(kPiece);  // before the node goes on
  ::usleep(400'000);
  send();
  if (form == 1) node.Send("0\r\n\r\n");
  if (form == 2) node.Close();
  take(2 * kPiece);
  CHECK(got == piece + piece);
  if (form != 0) CHECK(submitter.Take(5) == "0\r\n\r\n");
  submitter.Send(Get("id-2"));
  if (form == 2) node = bed.nodes[0].Accept();
  node.Read();
  node.Send(Served("small"));
  CHECK(submitter.Read().ends_with("small"));
}

TEST_CASE("a large answer that breaks off at its node breaks off at the submitter, and is a failure") {
  Listener discovery, node;
  auto config = ConfigOf(discovery.address(), 64,
                         List(41, true, nlohmann::json::array({Machine("s", node.address())})));
  config["operator"] = "127.0.0.1:0";
  Program program(config);
  Peer submitter = Dial(program.port());
  submitter.Send(Get("id-1"));
  Peer claimed = node.Accept();
  claimed.Read();
  claimed.Send(LengthHead(5 * kPiece) + std::string(kPiece, 'p'));
  claimed.Close();
  CHECK(submitter.Rest().size() < 2 * kPiece);
  Peer caller = Dial(program.door());
  caller.Send("GET /admin/stats HTTP/1.1\r\n\r\n");
  CHECK(caller.Read().find(R"("aborted":{"rate-check":1,)") != std::string::npos);
  // A submitter that leaves in the middle ends the claim.
  Peer leaver = Dial(program.port());
  leaver.Send(Get("id-2"));
  Peer other = node.Accept();
  other.Read();
  other.Send(LengthHead(5 * kPiece) + std::string(kPiece, 'p'));
  HeadOf(leaver);
  leaver.Reset();
  CHECK(other.Ends());
}

TEST_CASE("answers of 32 MB to readers that wait stay far under the memory limit") {
  Bed bed(1, 256, 32);
  constexpr std::size_t kSize = 32 * 1024 * 1024;
  const std::string piece(256 * 1024, 'p');
  std::vector<Peer> submitters;
  std::vector<std::thread> nodes;
  for (int i = 0; i < 4; ++i) {
    submitters.push_back(bed.Submitter());
    submitters.back().Send(Get("id-" + std::to_string(i)));
    nodes.emplace_back([&piece, node = bed.nodes[0].Accept()]() mutable {
      node.Read();
      node.Send(LengthHead(kSize));
      for (std::size_t sent = 0; sent < kSize; sent += piece.size()) node.Send(piece);
    });
  }
  // Nobody reads for a while; then all of them do.
  ::usleep(300'000);
  for (Peer& submitter : submitters) {
    HeadOf(submitter);
    std::size_t got = 0;
    while (got < kSize) got += submitter.Take(piece.size()).size();
    CHECK(got == kSize);
  }
  for (std::thread& node : nodes) node.join();
#ifndef __SANITIZE_ADDRESS__  // which keeps what was freed
  CHECK(bed.program.PeakKb() < 32 * 1024);
#endif
}

TEST_CASE("a slow head and a slow body are waited for, and a stalled one is ended") {
  Bed bed;
  Peer slow = bed.Submitter(), stalled = bed.Submitter();
  stalled.Send("POST /space-hold HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
  const std::string request = Post("id-1", std::string(90, 'b'));
  for (std::size_t at = 0; at < request.size(); at += request.size() / 10) {
    slow.Send(request.substr(at, request.size() / 10));
    ::usleep(210'000);
  }
  Peer node = bed.nodes[0].Accept();
  CHECK(node.Read().ends_with(std::string(90, 'b')));
  node.Send(Served("ok"));
  CHECK(slow.Read().ends_with("ok"));
  CHECK(stalled.Read().starts_with("HTTP/1.1 408 "));
  CHECK_FALSE(bed.nodes[0].Waiting());
}

TEST_CASE("a submitter that asks first is told to send its body, and old and absolute forms are served") {
  Bed bed;
  Peer submitter = bed.Submitter();
  std::string request = Post("id-1", "{}");
  request.insert(request.find("Content-Length"), "Expect: 100-Continue\r\n");
  submitter.Send(request.substr(0, request.size() - 2));
  CHECK(submitter.Read() == "HTTP/1.1 100 Continue\r\n\r\n");
  submitter.Send("{}");
  Peer node = bed.nodes[0].Accept();
  node.Read();
  node.Send(Served("ok"));
  CHECK(submitter.Read().ends_with("ok"));

  std::string absolute = Get("id-2");
  absolute.insert(4, "http://app.svc:80");
  submitter.Send(absolute);
  CHECK(node.Read().starts_with("GET /rate-check/1?x=2 HTTP/1.1\r\n"));
  node.Send(Served("ok"));
  CHECK(submitter.Read().ends_with("ok"));

  std::string old = Get("id-3");
  old.replace(old.find("HTTP/1.1"), 8, "HTTP/1.0");
  Peer elder = bed.Submitter();
  elder.Send(old);
  node.Read();
  node.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(std::string(kPiece, 'p')) +
            "0\r\n\r\n");
  const std::string answer = elder.Rest();
  CHECK(answer.find("chunked") == answer.npos);
  CHECK(answer.ends_with("\r\n\r\n" + std::string(kPiece, 'p')));
}

}  // namespace bitternmux::peers
