#include "fleet/transport/link.h"

#include <netinet/tcp.h>

#include <charconv>
#include <stdexcept>

namespace bitternmux::fleet {
namespace {

constexpr int kUserTimeoutMs = 1500;
constexpr auto kDialTimeout = std::chrono::milliseconds(600);
constexpr auto kRedialPause = std::chrono::milliseconds(200);
constexpr auto kAcceptPause = std::chrono::milliseconds(50);
constexpr std::size_t kMaxQueuedBytes = 2 * kMaxFrameBytes;
constexpr std::size_t kIdleBufferBytes = 64 * 1024;

void SetOptions(tcp::socket& socket) {
  ErrorCode ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  socket.set_option(UserTimeout(kUserTimeoutMs), ignored);
}

}  // namespace

std::optional<tcp::endpoint> ParseEndpoint(std::string_view address) {
  const auto colon = address.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  ErrorCode error;
  const auto ip = asio::ip::make_address(std::string(address.substr(0, colon)), error);
  if (error) return std::nullopt;
  const std::string_view digits = address.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (failure != std::errc() || end != digits.data() + digits.size()) return std::nullopt;
  return tcp::endpoint(ip, port);
}

tcp::endpoint EndpointFromText(const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) throw std::invalid_argument("no ip:port: " + address);
  return *endpoint;
}

std::string WithPort(const std::string& address, std::uint16_t port) {
  return address.substr(0, address.rfind(':')) + ":" + std::to_string(port);
}

Link::Link(tcp::socket socket, Received received, Closed closed)
    : socket_(std::move(socket)), received_(std::move(received)), closed_(std::move(closed)) {
  SetOptions(socket_);
}

void Link::Start() { Read(); }

void Link::Read() {
  socket_.async_read_some(asio::buffer(piece_),
                          [self = shared_from_this()](const ErrorCode& error, std::size_t size) {
                            if (!self->open_) return;
                            if (error) return self->Fail();
                            self->in_.append(self->piece_.data(), size);
                            self->TakeFrames();
                            if (self->open_) self->Read();
                          });
}

void Link::TakeFrames() {
  std::size_t taken = 0;
  while (open_) {
    const std::string_view rest = std::string_view(in_).substr(taken);
    const auto size = FramePayloadBytes(rest);
    if (!size) break;
    if (*size > kMaxFrameBytes) return Fail();
    if (rest.size() < kFrameHeaderBytes + *size) break;
    taken += kFrameHeaderBytes + *size;
    try {
      received_(shared_from_this(), DecodePayload(rest.substr(kFrameHeaderBytes, *size)));
    } catch (const FrameError&) {
      return Fail();
    }
  }
  in_.erase(0, taken);
  if (in_.empty() && in_.capacity() > kIdleBufferBytes) std::string().swap(in_);
}

void Link::SendFrame(std::shared_ptr<const std::string> frame) {
  if (!open_) return;
  queued_bytes_ += frame->size();
  queue_.push_back(std::move(frame));
  if (queued_bytes_ > kMaxQueuedBytes) {
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->Fail(); });
    return;
  }
  if (!writing_) Write();
}

void Link::Write() {
  if (queue_.empty() || !open_) return;
  writing_ = true;
  asio::async_write(socket_, asio::buffer(*queue_.front()),
                    [self = shared_from_this(), frame = queue_.front()](const ErrorCode& error, std::size_t) {
                      self->writing_ = false;
                      if (!self->open_) return;
                      if (error) return self->Fail();
                      self->queued_bytes_ -= frame->size();
                      self->queue_.pop_front();
                      self->Write();
                    });
}

void Link::Close() {
  if (!open_) return;
  open_ = false;
  ErrorCode ignored;
  socket_.close(ignored);
  queue_.clear();
}

void Link::Fail() {
  if (!open_) return;
  const auto self = shared_from_this();
  Close();
  closed_(self);
}

LinkListener::LinkListener(asio::io_context& io, const tcp::endpoint& at,
                           std::function<void(tcp::socket)> accepted)
    : acceptor_(io), accepted_(std::move(accepted)), pause_(io) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen();
  Accept();
}

void LinkListener::Accept() {
  acceptor_.async_accept([this](const ErrorCode& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      accepted_(std::move(socket));
      return Accept();
    }
    // Out of descriptors: the connection stays in the queue, and trying again at once would only spin.
    pause_.expires_after(kAcceptPause);
    pause_.async_wait([this](const ErrorCode& aborted) {
      if (!aborted) Accept();
    });
  });
}

Dialer::Dialer(asio::io_context& io, std::string address, Handlers handlers)
    : io_(io), address_(std::move(address)), handlers_(std::move(handlers)), socket_(io), timer_(io) {}

void Dialer::Start() { Dial(); }

void Dialer::Stop() {
  stopped_ = true;
  timer_.cancel();
  ErrorCode ignored;
  socket_.close(ignored);
  if (link_) link_->Close();
  link_.reset();
}

void Dialer::Dial() {
  if (stopped_) return;
  socket_ = tcp::socket(io_);
  const std::uint64_t attempt = ++attempt_;
  const auto self = shared_from_this();
  const auto done = [self, attempt](const ErrorCode& error) {
    if (!self->stopped_ && attempt == self->attempt_) self->Connected(error);
  };
  const auto endpoint = ParseEndpoint(address_);
  if (!endpoint) return asio::post(io_, [done] { done(asio::error::invalid_argument); });
  socket_.async_connect(*endpoint, done);
  timer_.expires_after(kDialTimeout);
  timer_.async_wait([self, attempt](const ErrorCode& error) {
    if (error || self->stopped_ || attempt != self->attempt_ || self->link_) return;
    ErrorCode ignored;
    self->socket_.close(ignored);
  });
}

void Dialer::Connected(const ErrorCode& error) {
  timer_.cancel();
  if (error) {
    Retry();
    if (handlers_.failed) handlers_.failed();
    return;
  }
  const auto self = shared_from_this();
  link_ =
      std::make_shared<Link>(std::move(socket_), handlers_.received, [self](const std::shared_ptr<Link>&) {
        self->link_.reset();
        if (self->stopped_) return;
        self->handlers_.lost();
        self->Retry();
      });
  link_->Start();
  handlers_.connected(link_);
}

void Dialer::Retry() {
  if (stopped_) return;
  ++attempt_;
  timer_.expires_after(kRedialPause);
  timer_.async_wait([self = shared_from_this()](const ErrorCode& error) {
    if (!error) self->Dial();
  });
}

}  // namespace bitternmux::fleet
