#include "lab/wire/recording_client.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "http/buffer.h"
#include "http/parser.h"

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

class Client : public std::enable_shared_from_this<Client> {
 public:
  Client(asio::io_context& io, const ClientAsk& ask, const ClientHabits& habits, ClientDone done)
      : socket_(io), habits_(habits), done_(std::move(done)), out_(RequestBytes(ask)) {
    if (habits_.sends_only) out_.resize(std::min(out_.size(), *habits_.sends_only));
    received_.request_id = ask.request_id;
    received_.path = ask.path;
    received_.body = ask.body;
    received_.rules = ask.rules;
    received_.first_event = ask.first_event;
    received_.event_count = ask.event_count;
  }

  void Start(const tcp::endpoint& router) {
    socket_.async_connect(router, [self = shared_from_this()](const error_code& error) {
      if (error) return self->Over();
      error_code ignored;
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->Write();
    });
  }

 private:
  void Write() {
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

  void Read() {
    std::size_t room = habits_.read_bytes;
    if (habits_.leaves_at) room = std::min(room, *habits_.leaves_at - read_);
    if (room == 0) return Leave();
    socket_.async_read_some(
        asio::buffer(buffer_.Prepare(room), room),
        [self = shared_from_this()](const error_code& error, std::size_t size) { self->Took(error, size); });
  }

  void Took(const error_code& error, std::size_t size) {
    buffer_.Commit(size);
    read_ += size;
    const http::Progress progress = parser_.Parse(buffer_);
    received_.status = parser_.head_read() ? parser_.message().status : 0;
    if (parser_.head_read()) received_.seal = parser_.message().Find("x-response-seal").value_or("");
    received_.bytes += parser_.TakeBody();
    received_.complete =
        progress == http::Progress::kDone || (error == asio::error::eof && parser_.EndsWhole());
    // Bytes that are no answer count as surplus too.
    if (progress != http::Progress::kMore) received_.surplus = buffer_.Data();
    if (error || progress != http::Progress::kMore) return Over();
    Read();
  }

  void Leave() {
    received_.left = true;
    if (!habits_.leaves_by_reset) {
      error_code ignored;
      socket_.shutdown(tcp::socket::shutdown_both, ignored);
    }
    Over();
  }

  // By a reset, where it does not end in order: many thousand ports in TIME_WAIT would run out.
  void Over() {
    if (!done_) return;
    error_code ignored;
    if (!received_.left || habits_.leaves_by_reset)
      socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
    std::exchange(done_, nullptr)(std::move(received_));
  }

  tcp::socket socket_;
  const ClientHabits habits_;
  ClientDone done_;
  std::string out_;
  std::size_t written_ = 0, read_ = 0;
  http::Buffer buffer_;
  http::Parser parser_{http::Role::kResponse};
  Received received_;
};

}  // namespace

void AskOnce(asio::io_context& io, const tcp::endpoint& router, const ClientAsk& ask,
             const ClientHabits& habits, ClientDone done) {
  std::make_shared<Client>(io, ask, habits, std::move(done))->Start(router);
}

}  // namespace bitternmux::lab::wire
