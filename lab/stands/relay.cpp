#include "lab/stands/relay.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

namespace bitternmux::lab {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr double kPieceMs = 20;  // what passes slowly passes in pieces of as long

}  // namespace

Relay::Relay(tcp::socket socket, How how)
    : socket_(std::move(socket)), pause_(socket_.get_executor()), how_(std::move(how)) {}

void Relay::Write(std::string bytes, std::function<void()> passed) {
  if (closed_ || finishing_) return;
  waiting_ += bytes.size();
  out_.push_back({messages_++, std::move(bytes), std::move(passed)});
  if (waiting_ > kMostWaiting) return Cut();
  Pump();
}

void Relay::Pump() {
  while (!busy_ && !closed_ && !out_.empty()) {
    Message& message = out_.front();
    const model::Passing how = how_ ? how_(message.number) : model::Passing{};
    if (how.lost) {
      waiting_ -= message.bytes.size();
      out_.pop_front();
      continue;
    }
    // In one piece: a copy that came later would meet the next request, where no reader can tell it from an
    // answer.
    if (how.twice && !std::exchange(message.doubled, true)) {
      waiting_ += message.bytes.size();
      message.bytes += std::string(message.bytes);
    }
    std::size_t count = message.bytes.size() - message.at;
    const auto most = static_cast<std::size_t>(std::max(0.0, how.cut_after));
    if (how.cut_after >= 0 && most < message.bytes.size()) {
      if (message.at >= most) return Cut();
      count = std::min(count, most - message.at);
    }
    double pause_ms = 0;
    if (how.bytes_per_s > 0) {
      const double piece = std::max(1.0, how.bytes_per_s * kPieceMs / 1000);
      count = std::min(count, static_cast<std::size_t>(piece));
      pause_ms = 1000 * static_cast<double>(count) / how.bytes_per_s;
    }
    busy_ = true;
    if (message.at + count == message.bytes.size() && message.passed) {
      std::exchange(message.passed, {})();
      if (closed_) return;
    }
    asio::async_write(socket_, asio::buffer(out_.front().bytes.data() + out_.front().at, count),
                      [self = shared_from_this(), count, pause_ms](const error_code& error, std::size_t) {
                        if (!error && !self->closed_) self->Passed(count, pause_ms);
                      });
    return;
  }
  if (!finishing_ || busy_ || closed_) return;
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

void Relay::Passed(std::size_t count, double pause_ms) {
  Message& message = out_.front();
  message.at += count;
  if (message.at == message.bytes.size()) {
    waiting_ -= message.bytes.size();
    out_.pop_front();
  }
  if (pause_ms <= 0) {
    busy_ = false;
    return Pump();
  }
  pause_.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(pause_ms * 1000)));
  pause_.async_wait([self = shared_from_this()](const error_code& aborted) {
    if (aborted || self->closed_) return;
    self->busy_ = false;
    self->Pump();
  });
}

void Relay::Finish() {
  if (!std::exchange(finishing_, true)) Pump();
}

void Relay::Cut() {
  cut_ = true;
  Close();
}

void Relay::Close() {
  if (std::exchange(closed_, true)) return;
  pause_.cancel();
  error_code ignored;
  socket_.close(ignored);
}

}  // namespace bitternmux::lab
