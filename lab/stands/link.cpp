#include "lab/stands/link.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/write.hpp>
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

Link::Link(tcp::socket socket, Owner& owner, std::uint64_t number)
    : socket_(std::move(socket)), owner_(owner), number_(number) {}

void Link::Start() {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  Read();
}

void Link::Read(const error_code& error, std::size_t count) {
  reenter(this) {
    for (;;) {
      yield socket_.async_read_some(
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

void Link::Write(std::string bytes) {
  if (closed_ || finishing_) return;
  out_.push_back(std::move(bytes));
  Flush();
}

void Link::Flush() {
  if (writing_ || closed_) return;
  if (out_.empty()) {
    error_code ignored;
    if (finishing_) socket_.shutdown(tcp::socket::shutdown_send, ignored);
    return;
  }
  writing_ = true;
  asio::async_write(socket_, asio::buffer(out_.front()),
                    [self = shared_from_this()](const error_code& error, std::size_t) {
                      self->writing_ = false;
                      self->out_.pop_front();
                      if (!error) self->Flush();  // else met by the read
                    });
}

void Link::Finish() {
  if (std::exchange(finishing_, true)) return;
  Flush();
}

void Link::Reset() {
  if (closed_) return;
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  Close();
}

void Link::Close() {
  if (std::exchange(closed_, true)) return;
  error_code ignored;
  socket_.close(ignored);
}

}  // namespace bitternmux::lab

#include <boost/asio/unyield.hpp>
