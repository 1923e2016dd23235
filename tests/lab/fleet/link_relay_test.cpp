// The relay between two small peers on real sockets.
#include "lab/fleet/link_relay.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

#include "fleet/messages/codec.h"
#include "lab/fleet/loopback.h"

namespace bitternmux::lab::fleet {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

std::string HelloFrom(const std::string& internal) {
  return bitternmux::fleet::EncodeFrame(
      bitternmux::fleet::Hello{bitternmux::fleet::PeerRole::kControl, "a", {internal, "", 0}, 1});
}

// A dialer that calls itself "a", a machine that listens, and the relay between them.
struct Ends {
  asio::io_context io;
  tcp::acceptor backend{io, {asio::ip::address_v4::loopback(), 0}};
  const tcp::endpoint front_endpoint = FreeEndpoint(1);
  const std::string front = TextOf(front_endpoint);
  LinkRelay relay{{{front, TextOf(backend.local_endpoint())}}};
  tcp::socket dialer{io};

  Ends() {
    dialer.connect(front_endpoint);
    asio::write(dialer, asio::buffer(HelloFrom("a")));
  }

  static std::string Read(tcp::socket& socket, std::size_t size) {
    std::string bytes(size, '\0');
    asio::read(socket, asio::buffer(bytes));
    return bytes;
  }
};

}  // namespace

TEST_CASE("link relay: bytes pass in both directions, the first frame among them") {
  Ends ends;
  tcp::socket machine = ends.backend.accept();
  const std::string hello = HelloFrom("a");
  CHECK(Ends::Read(machine, hello.size()) == hello);
  asio::write(ends.dialer, asio::buffer(std::string("forth")));
  CHECK(Ends::Read(machine, 5) == "forth");
  asio::write(machine, asio::buffer(std::string("back")));
  CHECK(Ends::Read(ends.dialer, 4) == "back");
}

TEST_CASE("link relay: what comes before its own dial is done is passed on, behind the first frame") {
  asio::io_context io;
  tcp::acceptor backend(io, {asio::ip::address_v4::loopback(), 0});
  const tcp::endpoint front = FreeEndpoint(1);
  const std::string address = TextOf(front);
  LinkRelay relay({{address, TextOf(backend.local_endpoint())}});
  relay.Cut("a", address);  // it dials when that is healed
  tcp::socket dialer(io);
  dialer.connect(front);
  const std::string sent = HelloFrom("a") + "behind it";
  asio::write(dialer, asio::buffer(sent));
  asio::write(dialer, asio::buffer(std::string("and more")));
  relay.HealAll();
  tcp::socket machine = backend.accept();
  CHECK(Ends::Read(machine, sent.size() + 8) == sent + "and more");
}

TEST_CASE("link relay: who dials a machine that does not listen is told, and comes through once it does") {
  asio::io_context io;
  const tcp::endpoint front = FreeEndpoint(1);
  const tcp::endpoint back = FreeEndpoint(2);
  const LinkRelay relay({{TextOf(front), TextOf(back)}});
  const std::string hello = HelloFrom("a");
  const auto dial = [&] {
    tcp::socket dialer(io);
    dialer.connect(front);
    asio::write(dialer, asio::buffer(hello));
    return dialer;
  };
  tcp::socket early = dial();
  char byte = 0;
  boost::system::error_code error;
  early.read_some(asio::buffer(&byte, 1), error);
  CHECK(error);
  tcp::acceptor backend(io, back);
  tcp::socket again = dial();
  tcp::socket machine = backend.accept();
  CHECK(Ends::Read(machine, hello.size()) == hello);
}

TEST_CASE("link relay: a cut in one direction holds what is sent until it is healed, the other one passes") {
  Ends ends;
  tcp::socket machine = ends.backend.accept();
  Ends::Read(machine, HelloFrom("a").size());
  ends.relay.Cut("a", ends.front);
  asio::write(ends.dialer, asio::buffer(std::string("held")));
  asio::write(machine, asio::buffer(std::string("back")));
  CHECK(Ends::Read(ends.dialer, 4) == "back");
  CHECK(machine.available() == 0);
  ends.dialer.shutdown(tcp::socket::shutdown_send);  // its end is not heard either
  asio::write(machine, asio::buffer(std::string("more")));
  CHECK(Ends::Read(ends.dialer, 4) == "more");
  ends.relay.HealAll();
  CHECK(Ends::Read(machine, 4) == "held");
  char byte = 0;
  boost::system::error_code error;
  machine.read_some(asio::buffer(&byte, 1), error);
  CHECK(error);
}

TEST_CASE("link relay: who dials across a cut is let through when it is healed") {
  Ends ends;
  tcp::socket first = ends.backend.accept();
  ends.relay.CutBoth("a", ends.front);
  tcp::socket again(ends.io);
  again.connect(ends.front_endpoint);
  asio::write(again, asio::buffer(HelloFrom("a")));
  ends.relay.HealAll();
  tcp::socket second = ends.backend.accept();
  CHECK(Ends::Read(second, HelloFrom("a").size()) == HelloFrom("a"));
}

TEST_CASE("link relay: a slow machine's link takes its time") {
  Ends ends;
  tcp::socket machine = ends.backend.accept();
  Ends::Read(machine, HelloFrom("a").size());
  constexpr double kBytesPerMs = 1000;
  constexpr std::size_t kBytes = 100'000;
  ends.relay.Slow(ends.front, kBytesPerMs);
  const auto began = std::chrono::steady_clock::now();
  asio::write(ends.dialer, asio::buffer(std::string(kBytes, 'x')));
  Ends::Read(machine, kBytes);
  CHECK(std::chrono::steady_clock::now() - began >= std::chrono::milliseconds(90));
}

}  // namespace bitternmux::lab::fleet
