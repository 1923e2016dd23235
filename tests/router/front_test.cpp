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
class Stand {
 public:
  Stand() {
    tcp::acceptor probe(io_, {asio::ip::address_v4::loopback(), 0});
    const tcp::endpoint at = probe.local_endpoint();
    probe.close();
    front_.Listen("127.0.0.1:" + std::to_string(at.port()));
    client_.connect(at);
    client_.non_blocking(true);
  }
  void Send(const std::string& bytes) { asio::write(client_, asio::buffer(bytes)); }
  // Waits for the request with that index and returns its responder.
  std::shared_ptr<Responder> Taken(std::size_t number) {
    REQUIRE(support::RunUntil(io_, [&] { return taken_.size() > number; }));
    return taken_[number];
  }
  // Whether the client receives that text.
  bool Sees(const std::string& text) {
    return support::RunUntil(io_, [&] { return Read().find(text) != std::string::npos; });
  }
  const std::string& Read() {
    std::array<char, 4096> piece;
    boost::system::error_code error;
    const std::size_t size = client_.read_some(asio::buffer(piece), error);
    return seen_.append(piece.data(), size);
  }

 private:
  asio::io_context io_;
  std::vector<std::shared_ptr<Responder>> taken_;
  Front front_{io_, [this](const http::Message&, const std::shared_ptr<Responder>& responder) {
                 taken_.push_back(responder);
                 return std::shared_ptr<OpenRequest>();
               }};
  tcp::socket client_{io_};
  std::string seen_;
};

}  // namespace

TEST_CASE("front: a stale responder cannot write into the response to the next request") {
  Stand stand;
  stand.Send(kRequest);
  const auto first = stand.Taken(0);
  first->Respond(200, {}, "first");
  REQUIRE(stand.Sees("first"));
  stand.Send(kRequest);
  const auto second = stand.Taken(1);
  SECTION("a complete response") { first->Respond(200, {}, "stale"); }
  SECTION("a stream") {
    first->BeginStream(200, {});
    first->Piece("stale");
    first->EndStream();
  }
  SECTION("an aborted stream") { first->BreakOff(); }
  CHECK(first->Unsent() == 0);
  second->Respond(200, {}, "second");
  CHECK(stand.Sees("second"));
  CHECK(stand.Read().find("stale") == std::string::npos);
}

TEST_CASE("front: pipelined requests are answered in order") {
  Stand stand;
  stand.Send(kRequest + kRequest);
  stand.Taken(0)->Respond(200, {}, "first");
  stand.Taken(1)->Respond(200, {}, "second");
  REQUIRE(stand.Sees("second"));
  const std::string seen = stand.Read();
  CHECK(seen.find("first") < seen.find("second"));
}

}  // namespace bitternmux::router
