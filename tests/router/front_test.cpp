// Tests of the HTTP server for clients, on real sockets in one process.
#include "router/front.h"

#include <array>
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "support/run_until.h"

namespace bitternmux::router {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

const std::string kRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

// A Front whose requests the test answers, and one client connected to it.
class FrontFixture {
 public:
  FrontFixture() {
    client_.connect(front_.Listen("127.0.0.1:0"));
    client_.non_blocking(true);
  }
  void Send(const std::string& bytes) { asio::write(client_, asio::buffer(bytes)); }
  // Waits for the request with that index and returns its responder.
  std::shared_ptr<Responder> WaitForRequest(std::size_t number) {
    REQUIRE(support::RunUntil(io_, [&] { return responders_.size() > number; }));
    return responders_[number];
  }
  // Whether the client receives that text.
  bool ClientReceives(const std::string& text) {
    return support::RunUntil(io_, [&] { return Read().find(text) != std::string::npos; });
  }
  const std::string& Read() {
    std::array<char, 4096> piece;
    boost::system::error_code error;
    const std::size_t size = client_.read_some(asio::buffer(piece), error);
    return received_.append(piece.data(), size);
  }

 private:
  asio::io_context io_;
  std::vector<std::shared_ptr<Responder>> responders_;
  Front front_{io_, [this](const http::Message&, const std::shared_ptr<Responder>& responder) {
                 responders_.push_back(responder);
                 return std::shared_ptr<OpenRequest>();
               }};
  tcp::socket client_{io_};
  std::string received_;
};

}  // namespace

TEST_CASE("front: a stale responder cannot write into the response to the next request") {
  FrontFixture fixture;
  fixture.Send(kRequest);
  const auto first = fixture.WaitForRequest(0);
  first->Respond(200, {}, "first");
  REQUIRE(fixture.ClientReceives("first"));
  fixture.Send(kRequest);
  const auto second = fixture.WaitForRequest(1);
  SECTION("a complete response") { first->Respond(200, {}, "stale"); }
  SECTION("a stream") {
    first->BeginStream(200, {});
    first->SendChunk("stale");
    first->EndStream();
  }
  SECTION("an aborted stream") { first->Abort(); }
  CHECK(first->UnsentBytes() == 0);
  second->Respond(200, {}, "second");
  CHECK(fixture.ClientReceives("second"));
  CHECK(fixture.Read().find("stale") == std::string::npos);
}

TEST_CASE("front: pipelined requests are answered in order") {
  FrontFixture fixture;
  fixture.Send(kRequest + kRequest);
  fixture.WaitForRequest(0)->Respond(200, {}, "first");
  fixture.WaitForRequest(1)->Respond(200, {}, "second");
  REQUIRE(fixture.ClientReceives("second"));
  const std::string seen = fixture.Read();
  CHECK(seen.find("first") < seen.find("second"));
}

}  // namespace bitternmux::router
