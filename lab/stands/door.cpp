#include "lab/stands/door.h"

#include <sys/socket.h>

#include <charconv>
#include <chrono>
#include <stdexcept>

namespace bitternmux::lab {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto kAcceptPause = std::chrono::milliseconds(20);  // when there are no descriptors left
constexpr int kBlocks = 2;  // one to fill the queue, and one in case that one was accepted before

}  // namespace

tcp::endpoint LoopbackAt(unsigned a, unsigned b, unsigned c) {
  return {asio::ip::address_v4((127u << 24) | ((a & 255) << 16) | ((b & 255) << 8) | (c & 255)), 0};
}

tcp::endpoint EndpointOf(const std::string& text) {
  const auto colon = text.rfind(':');
  error_code error;
  std::uint16_t port = 0;
  if (colon != text.npos) {
    const auto address = asio::ip::make_address(text.substr(0, colon), error);
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (!error && parsed.ec == std::errc() && parsed.ptr == end) return {address, port};
  }
  throw std::invalid_argument("'" + text + "': no address of the form ip:port");
}

std::string TextOf(const tcp::endpoint& at) {
  return at.address().to_string() + ":" + std::to_string(at.port());
}

Door::Door(asio::io_context& io, const tcp::endpoint& at, Came came, std::function<void()> full)
    : io_(io), at_(at), came_(std::move(came)), full_(std::move(full)), acceptor_(io), pause_(io) {
  Bind();
}

std::string Door::text() const { return TextOf(at_); }

void Door::Bind() {
  try {
    acceptor_.open(at_.protocol());
    // Connections that were taken before may still stand at this address.
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(at_);
    at_ = acceptor_.local_endpoint();
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error(text() + ": cannot listen: " + error.code().message());
  }
}

void Door::Set(State state) {
  if (state == state_) return;
  if (state == State::kSilent && state_ == State::kOpen) {
    // What waits to be accepted stays as it is: open, and silent.
    error_code ignored;
    acceptor_.cancel(ignored);
  } else {
    acceptor_.close();
    Bind();
  }
  state_ = state;
  blocks_.clear();
  pause_.cancel();
  if (state == State::kOpen) {
    acceptor_.listen();
    Accept();
  } else if (state == State::kSilent) {
    Block();
  }
}

// With the queue of those that wait to be accepted full, the kernel drops every further dial unanswered.
void Door::Block() {
  acceptor_.listen(0);
  for (int i = 0; i < kBlocks; ++i) {
    tcp::socket& block = blocks_.emplace_back(io_, at_.protocol());
    error_code ignored;
    block.non_blocking(true, ignored);
    // Asio's own would wait for it to come up, which the last one never does.
    ::connect(block.native_handle(), at_.data(), static_cast<socklen_t>(at_.size()));
  }
}

void Door::Accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || state_ != State::kOpen) return;
    if (!error) {
      came_(std::move(socket));
      if (state_ == State::kOpen) Accept();
      return;
    }
    if (error == asio::error::no_descriptors) full_();
    pause_.expires_after(kAcceptPause);
    pause_.async_wait([this](const error_code& aborted) {
      if (!aborted && state_ == State::kOpen) Accept();
    });
  });
}

}  // namespace bitternmux::lab
