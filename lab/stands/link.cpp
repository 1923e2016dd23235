#include "lab/stands/link.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/socket_base.hpp>
#include <utility>
// Last: defines reenter and yield.
#include <boost/asio/yield.hpp>

namespace bitternmux::lab {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kReadSize = 16 * 1024;
constexpr std::size_t kMostReadAhead = 256 * 1024;  // of requests behind the one that is open

}  // namespace

Link::Link(tcp::socket socket, Owner& owner, std::uint64_t number, Relay::How how)
    : relay_(std::make_shared<Relay>(std::move(socket), std::move(how))), owner_(owner), number_(number) {}

void Link::Start() {
  error_code ignored;
  relay_->socket().set_option(tcp::no_delay(true), ignored);
  Read();
}

void Link::Read(const error_code& error, std::size_t count) {
  reenter(this) {
    for (;;) {
      yield relay_->socket().async_read_some(
          asio::buffer(buffer_.Prepare(kReadSize), kReadSize),
          [self = shared_from_this()](const error_code& e, std::size_t size) { self->Read(e, size); });
      if (closed_) return;
      if (error) {
        Close();
        return owner_.Left(number_);
      }
      buffer_.Commit(count);
      if (buffer_.size() > kMostReadAhead) {
        Reset();
        return owner_.Left(number_);
      }
      Process();
      if (closed_) return;
    }
  }
}

void Link::Process() {
  if (busy_ || closed_ || buffer_.size() == 0) return;
  switch (parser_.Parse(buffer_)) {
    case http::Progress::kMore:
      return;
    case http::Progress::kBad:
      busy_ = true;
      return owner_.Unreadable(number_);
    case http::Progress::kDone: {
      busy_ = true;
      const http::Message request = parser_.Take();
      parser_.Reset();
      return owner_.Came(number_, request);
    }
  }
}

void Link::Next() {
  busy_ = false;
  Process();
}

void Link::Write(std::string bytes, std::function<void()> passed) {
  if (!closed_ && !finishing_) relay_->Write(std::move(bytes), std::move(passed));
}

void Link::Finish() {
  if (std::exchange(finishing_, true)) return;
  relay_->Finish();
}

void Link::Reset() {
  if (closed_) return;
  error_code ignored;
  relay_->socket().set_option(asio::socket_base::linger(true, 0), ignored);
  Close();
}

void Link::Close() {
  if (!std::exchange(closed_, true)) relay_->Close();
}

}  // namespace bitternmux::lab

#include <boost/asio/unyield.hpp>
