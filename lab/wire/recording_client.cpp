#include "lab/wire/recording_client.h"

#include <algorithm>
#include <array>
#include <utility>

namespace bitternmux::lab::wire {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

std::string RequestBytes(const ClientAsk& ask) {
  http::Headers headers = {{"Host", ask.host}, {"X-Request-Id", ask.request_id}};
  if (ask.first_event > 0) headers.emplace_back("Last-Event-Id", std::to_string(ask.first_event - 1));
  headers.insert(headers.end(), ask.headers.begin(), ask.headers.end());
  return http::WriteRequest(ask.method, ask.path, headers, ask.body);
}

// What lies in the socket, its end aside.
std::string Unread(tcp::socket& socket) {
  std::array<char, 1024> bytes;
  error_code error;
  if (socket.available(error) == 0 || error) return {};
  return {bytes.data(), socket.read_some(asio::buffer(bytes), error)};
}

}  // namespace

void ClientConnection::Ask(const ClientAsk& ask, const ClientHabits& habits, ClientDone done) {
  habits_ = habits;
  done_ = std::move(done);
  out_ = RequestBytes(ask);
  if (habits_.sends_only) out_.resize(std::min(out_.size(), *habits_.sends_only));
  written_ = read_ = 0;
  parser_.Reset();
  received_ = {};
  received_.request_id = ask.request_id;
  received_.path = ask.path;
  received_.body = ask.body;
  received_.rules = ask.rules;
  received_.first_event = ask.first_event;
  received_.event_count = ask.event_count;
  if (!open_) return Connect();
  received_.surplus = Unread(socket_);
  Write();
}

void ClientConnection::Connect() {
  socket_.async_connect(router_, [self = shared_from_this()](const error_code& error) {
    if (error) return self->Over();
    error_code ignored;
    self->socket_.set_option(tcp::no_delay(true), ignored);
    self->open_ = true;
    self->Write();
  });
}

void ClientConnection::Write() {
  const std::size_t left = out_.size() - written_;
  if (left == 0) return habits_.sends_only ? Leave() : Read();
  const std::size_t size = habits_.write_bytes == 0 ? left : std::min(left, habits_.write_bytes);
  asio::async_write(socket_, asio::buffer(out_.data() + written_, size),
                    [self = shared_from_this()](const error_code& error, std::size_t count) {
                      if (error) return self->Over();
                      self->written_ += count;
                      self->Write();
                    });
}

void ClientConnection::Read() {
  std::size_t room = habits_.read_bytes;
  if (habits_.leaves_at) room = std::min(room, *habits_.leaves_at - read_);
  if (room == 0) return Leave();
  socket_.async_read_some(
      asio::buffer(buffer_.Prepare(room), room),
      [self = shared_from_this()](const error_code& error, std::size_t size) { self->Took(error, size); });
}

void ClientConnection::Took(const error_code& error, std::size_t size) {
  buffer_.Commit(size);
  read_ += size;
  const http::Progress progress = parser_.Parse(buffer_);
  if (parser_.head_read()) {
    received_.status = parser_.message().status;
    received_.seal = parser_.message().Find("x-response-seal").value_or("");
  }
  received_.bytes += parser_.TakeBody();
  received_.complete =
      progress == http::Progress::kDone || (error == asio::error::eof && parser_.EndsWhole());
  // Bytes that are no answer count as surplus too.
  if (progress != http::Progress::kMore) received_.surplus += buffer_.Data();
  if (error || progress != http::Progress::kMore) return Over();
  Read();
}

void ClientConnection::Leave() {
  received_.left = true;
  if (!habits_.leaves_by_reset) {
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
  }
  Over();
}

void ClientConnection::Over() {
  if (!done_) return;
  const bool keeps =
      received_.complete && !received_.left && received_.surplus.empty() && parser_.message().keep_alive;
  if (!keeps) Close();
  std::exchange(done_, nullptr)(std::move(received_));
}

void ClientConnection::Close() {
  open_ = false;
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
}

void AskOnce(asio::io_context& io, const tcp::endpoint& router, const ClientAsk& ask,
             const ClientHabits& habits, ClientDone done) {
  const auto connection = std::make_shared<ClientConnection>(io, router);
  connection->Ask(ask, habits, [connection, done = std::move(done)](Received received) {
    connection->Close();
    done(std::move(received));
  });
}

}  // namespace bitternmux::lab::wire
