#include "fleet/transport/link.h"

#include <netinet/tcp.h>

#include <charconv>
#include <chrono>
#include <stdexcept>
#include <utility>

namespace bitternmux::fleet {
namespace {

constexpr int kUserTimeoutMs = 1500;
constexpr auto kDialTimeout = std::chrono::milliseconds(600);
constexpr auto kRedialPause = std::chrono::milliseconds(200);
constexpr auto kAcceptPause = std::chrono::milliseconds(50);
constexpr std::size_t kMaxQueuedBytes = 2 * kMaxFrameBytes;
constexpr std::size_t kIdleBufferBytes = 64 * 1024;
// Of an accepted link.
constexpr std::size_t kMaxFirstFrameBytes = 64 * 1024;  // a greeting or a subscription
constexpr auto kFirstMessageTimeout = std::chrono::seconds(10);
constexpr double kFrameTimeoutMs = 60'000;          // the longest frame, over a slow line between zones
constexpr std::size_t kMaxUnsentBytes = 64 * 1024;  // behind which its peer is not read
constexpr std::size_t kQueuedFrameBytes = 128;      // of a frame in a queue, beside its own
constexpr std::size_t kLinkBytes = 24 * 1024;       // a link without anything to read or write

double NowMs() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count();
}

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
    : socket_(std::move(socket)),
      received_(std::move(received)),
      closed_(std::move(closed)),
      first_message_timer_(socket_.get_executor()) {
  SetOptions(socket_);
}

bool Link::FindsPlace(std::shared_ptr<budget::ClientBudget> budget) {
  budget_ = std::move(budget);
  account_ =
      budget_->Open(NowMs(), [weak = weak_from_this(), executor = socket_.get_executor()](budget::Shortage) {
        asio::post(executor, [weak] {
          if (const auto self = weak.lock()) self->Fail();
        });
      });
  if (!account_) return false;
  AwaitFirstMessage();
  Recount();
  return true;
}

void Link::AwaitFirstMessage() {
  first_message_timer_.expires_after(kFirstMessageTimeout);
  first_message_timer_.async_wait([weak = weak_from_this()](const ErrorCode& error) {
    const auto self = weak.lock();
    if (!error && self && !self->proven_) self->Fail();
  });
}

void Link::Recount() {
  using budget::Standing;
  if (!account_) return;
  const Standing standing = !proven_          ? Standing::kNew
                            : !in_.empty()    ? Standing::kReceiving
                            : !queue_.empty() ? Standing::kSending
                                              : Standing::kResting;
  account_->Update(NowMs(), standing, kLinkBytes + in_.capacity() + charged_bytes_);
}

void Link::Start() { Read(); }

// A link that was dialed is read in any case, so that two ends never wait for each other.
bool Link::MayRead() const {
  return !account_ || (queued_bytes_ <= kMaxUnsentBytes && !account_->asked_to_leave());
}

void Link::Read() {
  if (reading_ || !open_ || !MayRead()) return;
  reading_ = true;
  socket_.async_read_some(asio::buffer(piece_),
                          [self = shared_from_this()](const ErrorCode& error, std::size_t size) {
                            self->reading_ = false;
                            if (!self->open_) return;
                            if (error) return self->Fail();
                            self->in_.append(self->piece_.data(), size);
                            self->TakeFrames();
                            if (self->open_ && self->FrameOverdue()) return self->Fail();
                            self->Recount();
                            self->Read();
                          });
}

std::size_t Link::MaxFrameBytes() const {
  return account_ && !proven_ ? kMaxFirstFrameBytes : kMaxFrameBytes;
}

// A byte now and then does not give a frame more time.
bool Link::FrameOverdue() {
  if (in_.empty()) {
    frame_began_ms_ = 0;
    return false;
  }
  if (frame_began_ms_ == 0) frame_began_ms_ = NowMs();
  return account_ && NowMs() - frame_began_ms_ > kFrameTimeoutMs;
}

void Link::TakeFrames() {
  std::size_t taken = 0;
  while (open_ && MayRead()) {
    const std::string_view rest = std::string_view(in_).substr(taken);
    const auto size = FramePayloadBytes(rest);
    if (!size) break;
    if (*size > MaxFrameBytes()) return Fail();
    if (rest.size() < kFrameHeaderBytes + *size) break;
    taken += kFrameHeaderBytes + *size;
    frame_began_ms_ = 0;
    try {
      received_(shared_from_this(), DecodePayload(rest.substr(kFrameHeaderBytes, *size)));
    } catch (const FrameError&) {
      return Fail();
    }
    proven_ = true;
    if (account_) account_->Moved(NowMs());
  }
  if (!open_) return;
  in_.erase(0, taken);
  if (in_.empty() && in_.capacity() > kIdleBufferBytes) std::string().swap(in_);
}

void Link::SendFrame(std::shared_ptr<const std::string> frame, std::size_t sharers) {
  if (!open_) return;
  const std::size_t charged_bytes = kQueuedFrameBytes + frame->size() / sharers;
  queued_bytes_ += frame->size();
  charged_bytes_ += charged_bytes;
  queue_.push_back({std::move(frame), charged_bytes});
  Recount();
  if (queued_bytes_ > kMaxQueuedBytes) {
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->Fail(); });
    return;
  }
  if (!writing_) Write();
}

void Link::Write() {
  if (queue_.empty() || !open_) return;
  writing_ = true;
  const std::shared_ptr<const std::string> frame = queue_.front().bytes;
  asio::async_write(socket_, asio::buffer(*frame),
                    [self = shared_from_this(), frame](const ErrorCode& error, std::size_t) {
                      self->writing_ = false;
                      if (!self->open_) return;
                      if (error) return self->Fail();
                      self->queued_bytes_ -= frame->size();
                      self->charged_bytes_ -= self->queue_.front().charged_bytes;
                      self->queue_.pop_front();
                      if (self->account_) self->account_->Moved(NowMs());
                      self->Recount();
                      self->Write();
                      if (self->MayRead()) self->TakeFrames();
                      self->Recount();
                      self->Read();
                    });
}

void Link::Close() {
  if (!open_) return;
  open_ = false;
  ErrorCode ignored;
  first_message_timer_.cancel();
  socket_.close(ignored);
  queue_.clear();
  std::string().swap(in_);
  account_.reset();
}

void Link::Fail() {
  if (!open_) return;
  const auto self = shared_from_this();
  Close();
  closed_(self);
}

LinkListener::LinkListener(asio::io_context& io, const tcp::endpoint& at,
                           std::shared_ptr<budget::ClientBudget> budget,
                           std::function<void(tcp::socket)> accepted)
    : acceptor_(io), budget_(std::move(budget)), accepted_(std::move(accepted)), pause_(io) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(at);
  receive_buffer_.Adapt(acceptor_.native_handle(), *budget_);
  acceptor_.listen();
  Accept();
}

void LinkListener::Accept() {
  acceptor_.async_accept([this](const ErrorCode& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      receive_buffer_.Adapt(acceptor_.native_handle(), *budget_);
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
