// Faults of the way to a sidecar, on real sockets between two small peers.
#include "lab/stands/relay.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <catch2/catch.hpp>
#include <chrono>

namespace bitternmux::lab {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

struct Heard {
  std::string bytes;
  int passed = 0;
  bool cut = false;
};

// What the other side has read by the end, of messages that are written at once.
Heard Through(const std::vector<std::string>& messages, const Relay::How& how) {
  asio::io_context io(1);
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  tcp::socket reader(io);
  reader.connect(acceptor.local_endpoint());
  const auto relay = std::make_shared<Relay>(acceptor.accept(), how);
  Heard heard;
  asio::async_read(reader, asio::dynamic_buffer(heard.bytes), [](const auto&, std::size_t) {});
  for (const std::string& message : messages) relay->Write(message, [&] { ++heard.passed; });
  relay->Finish();
  io.run();  // until the reader has met the end
  heard.cut = relay->cut();
  relay->Close();
  return heard;
}

TEST_CASE("messages pass whole, twice, cut short or not at all") {
  const auto only_first = [](model::Passing passing) {
    return [passing](std::uint64_t message) { return message == 0 ? passing : model::Passing{}; };
  };
  const Heard plain = Through({"one", "two"}, {});
  CHECK(plain.bytes == "onetwo");
  CHECK(plain.passed == 2);
  CHECK(Through({"one", "two"}, only_first({0, -1, true, false})).bytes == "oneonetwo");
  const Heard lost = Through({"one", "two"}, only_first({0, -1, false, true}));
  CHECK(lost.bytes == "two");
  CHECK(lost.passed == 1);
  const Heard cut = Through({"one", "two"}, only_first({0, 2, false, false}));
  CHECK(cut.bytes == "on");
  CHECK(cut.passed == 0);
  CHECK(cut.cut);
}

TEST_CASE("slow bytes take their time, and a way that is cut in the middle loses the rest") {
  const auto begin = std::chrono::steady_clock::now();
  CHECK(Through({std::string(300, 'x')}, [](std::uint64_t) { return model::Passing{2000}; }).bytes ==
        std::string(300, 'x'));
  // All but the pause behind the last piece.
  CHECK(std::chrono::steady_clock::now() - begin >= std::chrono::milliseconds(125));
  int asked = 0;
  const Heard half = Through({std::string(300, 'x')}, [&](std::uint64_t) {
    return model::Passing{2000, -1, false, ++asked > 2};
  });
  CHECK(half.bytes == std::string(80, 'x'));
  CHECK(half.passed == 0);
}

TEST_CASE("what waits is bounded") { CHECK(Through({std::string(Relay::kMostWaiting + 1, 'x')}, {}).cut); }

}  // namespace
}  // namespace bitternmux::lab
