// What a started program takes over from the process that starts it.
#include "lab/fleet/process.h"

#include <poll.h>
#include <sys/socket.h>

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <string>

#include "fleet/messages/codec.h"
#include "lab/fleet/link_relay.h"
#include "lab/fleet/loopback.h"
#include "support/temporary_folder.h"

namespace bitternmux::lab::fleet {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int kPatienceMs = 5000;

// A program that says "started" and then stands still, so that it keeps what it holds.
class IdleProgram {
 public:
  IdleProgram() {
    std::ofstream(path()) << "#!/bin/sh\necho started >&2\nkill -STOP $$\n";
    std::filesystem::permissions(path(), std::filesystem::perms::owner_all);
  }
  std::string path() const { return folder_.File("program"); }

 private:
  tests::TemporaryFolder folder_;
};

// Whether the peer's end of the connection comes within kPatienceMs.
bool SeesTheEnd(tcp::socket& socket) {
  pollfd ready{socket.native_handle(), POLLIN, 0};
  if (poll(&ready, 1, kPatienceMs) <= 0) return false;
  char byte = 0;
  return recv(socket.native_handle(), &byte, 1, 0) <= 0;
}

}  // namespace

TEST_CASE("process: a connection that its starter closes ends, though the program goes on") {
  asio::io_context io;
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  tcp::socket peer(io);
  peer.connect(acceptor.local_endpoint());
  tcp::socket accepted = acceptor.accept();
  const IdleProgram program;
  Process process(program.path(), "");
  REQUIRE(process.Says("started"));
  accepted.close();
  CHECK(SeesTheEnd(peer));
}

TEST_CASE("process: an address that its starter no longer listens at refuses, though the program goes on") {
  asio::io_context io;
  tcp::acceptor acceptor(io, {asio::ip::make_address(OwnIp(1)), 0});
  const tcp::endpoint address = acceptor.local_endpoint();
  const IdleProgram program;
  Process process(program.path(), "");
  REQUIRE(process.Says("started"));
  acceptor.close();
  tcp::socket peer(io);
  boost::system::error_code error;
  peer.connect(address, error);
  CHECK(error == asio::error::connection_refused);
}

// As in a fleet that starts: one machine dials another that does not listen yet, while more are started.
TEST_CASE("process: who dialed through the relay before a program was started is told that nobody listens") {
  asio::io_context io;
  tcp::acceptor machine(io, {asio::ip::address_v4::loopback(), 0});
  const tcp::endpoint front = FreeEndpoint(1);
  const LinkRelay relay({{TextOf(front), TextOf(machine.local_endpoint())}});
  const std::string hello = bitternmux::fleet::EncodeFrame(
      bitternmux::fleet::Hello{bitternmux::fleet::PeerRole::kControl, "a", {"a", "", 0}, 1});
  tcp::socket dialer(io);
  dialer.connect(front);
  asio::write(dialer, asio::buffer(hello.data(), hello.size() - 1));
  {
    // One that dials later is let through, so that the relay has accepted the first one, too.
    tcp::socket later(io);
    later.connect(front);
    asio::write(later, asio::buffer(hello));
    machine.accept();
  }
  machine.close();
  const IdleProgram program;
  Process process(program.path(), "");
  REQUIRE(process.Says("started"));
  asio::write(dialer, asio::buffer(hello.data() + hello.size() - 1, 1));
  CHECK(SeesTheEnd(dialer));
}

}  // namespace bitternmux::lab::fleet
