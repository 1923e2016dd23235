#include "router/front.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>
#include <vector>

#include "fleet/transport/link.h"
#include "http/buffer.h"
#include "router/caller_time.h"
#include "router/request_headers.h"

namespace bitternmux::router {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using budget::ClientBudget;
using budget::Shortage;
using budget::Standing;

namespace {

constexpr std::size_t kReadBytes = 8 * 1024;
constexpr std::size_t kIdleBufferBytes = 16 * 1024;
constexpr int kUserTimeoutMs = 8000;
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);
constexpr auto kLingerTimeout = std::chrono::milliseconds(500);
constexpr std::size_t kMaxReadAheadBytes = 64 * 1024;  // of pipelined requests behind the current one
constexpr std::size_t kSessionBytes = 4 * 1024;        // a connection without anything to read or write
// Of a body, within each idle timeout: a client that sends less would take hours for a legal request.
constexpr std::size_t kLeastBodyBytes = 1024;
constexpr double kDefaultClientTimeMs = 30'000;  // of a client that does not tell its deadline
constexpr double kNowhereMs = 0;                 // another router can serve at once

double NowMs() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count();
}

// Header lines of a request are bounded by the bytes of its head alone.
http::ParserLimits RequestLimits(const fleet::Limits& limits) {
  return {limits.max_body_bytes, std::max(http::kMaxHead, limits.max_header_bytes),
          std::numeric_limits<std::size_t>::max()};
}

std::chrono::microseconds ToMicroseconds(double ms) {
  return std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000));
}

}  // namespace

// One client connection.
class Front::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Front& front, tcp::socket socket)
      : front_(front), socket_(std::move(socket)), timer_(front.io_), parser_(http::Role::kRequest) {}

  // False: the process has no place for it.
  bool FindsPlace() {
    account_ = budget_->Open(
        NowMs(), [weak = weak_from_this(), executor = front_.io_.get_executor()](Shortage shortage) {
          asio::post(executor, [weak, shortage] {
            if (const auto self = weak.lock()) self->GiveWay(shortage);
          });
        });
    return account_ != nullptr;
  }

  void Start() {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    socket_.set_option(UserTimeout(kUserTimeoutMs), ignored);
    StartTimeout(front_.limits_.idle_timeout_ms);
    Recount();
    Read();
  }

  void CloseIfIdle() {
    error_code error;
    if (state_ == State::kReading && !parser_.started() && buffer_.size() == 0 &&
        socket_.available(error) == 0)
      Close();
  }

  void Disconnect() { OnDisconnect(); }

  // ---- Response to the current request ----

  void Respond(int status, const http::Headers& headers, std::string_view body) {
    if (state_ != State::kServing) return;
    DecideKeepAlive();
    out_ += http::WriteResponse(status, headers, body, keep_alive_);
    Finish();
  }
  void BeginStream(int status, const http::Headers& headers) {
    if (state_ != State::kServing) return;
    DecideKeepAlive();
    out_ += http::WriteResponseHead(status, headers, http::Framing::kChunks, 0, keep_alive_);
  }
  void SendChunk(std::string_view bytes) {
    if (state_ != State::kServing || bytes.empty()) return;
    out_.append(http::ChunkHead(bytes.size())).append(bytes).append(http::kChunkEnd);
    Write();
    Recount();
  }
  void EndStream() {
    if (state_ != State::kServing) return;
    out_ += http::kLastChunk;
    Finish();
  }
  void Abort() {
    if (state_ != State::kServing) return;
    request_.reset();
    answer_.reset();
    request_bytes_ = answer_bytes_ = 0;
    keep_alive_ = false;
    state_ = State::kFinishing;
    broken_ = true;
    if (!writing_) OnWritten();
  }
  std::size_t UnsentBytes() const { return out_.size() + in_flight_.size(); }
  void HoldAnswer(std::size_t bytes) {
    if (state_ != State::kServing) return;
    answer_bytes_ = bytes;
    Recount();
  }

 private:
  enum class State { kReading, kServing, kFinishing, kLingering, kClosed };

  // The response to one request. The session drops it once the response is complete, so that a holder of a
  // stale reference cannot write into the response to the next request.
  class Answer : public Responder {
   public:
    explicit Answer(std::weak_ptr<Session> session) : session_(std::move(session)) {}
    void Respond(int status, const http::Headers& headers, std::string_view body) override {
      if (const auto session = Current()) session->Respond(status, headers, body);
    }
    void BeginStream(int status, const http::Headers& headers) override {
      if (const auto session = Current()) session->BeginStream(status, headers);
    }
    void SendChunk(std::string_view bytes) override {
      if (const auto session = Current()) session->SendChunk(bytes);
    }
    void EndStream() override {
      if (const auto session = Current()) session->EndStream();
    }
    void Abort() override {
      if (const auto session = Current()) session->Abort();
    }
    std::size_t UnsentBytes() const override {
      const auto session = Current();
      return session ? session->UnsentBytes() : 0;
    }
    void HoldAnswer(std::size_t bytes) override {
      if (const auto session = Current()) session->HoldAnswer(bytes);
    }

   private:
    std::shared_ptr<Session> Current() const {
      const auto session = session_.lock();
      return session && session->answer_.get() == this ? session : nullptr;
    }
    const std::weak_ptr<Session> session_;
  };

  // ---- The process's budget ----

  Standing CurrentStanding() const {
    switch (state_) {
      case State::kReading:
        if (!proven_) return Standing::kNew;
        return parser_.started() || buffer_.size() > 0 ? Standing::kReceiving : Standing::kResting;
      case State::kServing:
        return writing_ ? Standing::kSending : Standing::kWorking;
      case State::kFinishing:
        return Standing::kSending;
      case State::kLingering:
      case State::kClosed:
        break;
    }
    return Standing::kLeaving;
  }

  std::size_t HeldBytes() const {
    return kSessionBytes + buffer_.capacity() + parser_.HeldBytes() + request_bytes_ + answer_bytes_ +
           out_.capacity() + in_flight_.capacity();
  }

  void Recount() {
    if (account_) account_->Update(NowMs(), CurrentStanding(), HeldBytes());
  }

  void GiveWay(Shortage shortage) {
    error_code error;
    switch (state_) {
      case State::kReading: {
        const bool idle = !parser_.started() && buffer_.size() == 0;
        // A request may have come that is not read yet.
        if (idle && proven_ && socket_.available(error) > 0 && !error) return account_->Stay(NowMs());
        if (idle) return Close();
        RefuseForShortage();
        if (shortage == Shortage::kConnections) Close();
        return;
      }
      case State::kServing:
        // It went to work after it was asked.
        return writing_ ? OnDisconnect() : account_->Stay(NowMs());
      case State::kFinishing:
      case State::kLingering:
        return OnDisconnect();
      case State::kClosed:
        return;
    }
  }

  // The request has not run, and another router may have room.
  void RefuseForShortage() {
    const auto deadline = parser_.head_read() ? parser_.message().Find("x-deadline-ms") : std::nullopt;
    const auto client_ms = deadline ? http::WholeNumber(*deadline) : std::nullopt;
    constexpr double kMiddle = 0.5;  // of the spread: connections that give way at once go elsewhere anyway
    const double retry_ms =
        RetryAfterMs(kNowhereMs, kMiddle, client_ms ? static_cast<double>(*client_ms) : kDefaultClientTimeMs);
    Reject(503, "no room for the request", {{"Retry-After", FormatSeconds(retry_ms)}});
  }

  // ---- Reading ----

  void StartTimeout(double ms) {
    timer_.expires_after(ToMicroseconds(ms));
    timer_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error && self->state_ != State::kServing) self->OnTimeout();
    });
  }

  void OnTimeout() {
    if (state_ == State::kReading && parser_.started())
      return Reject(408, "the request is not whole in time");
    Close();
  }

  void DecideKeepAlive() { keep_alive_ = keep_alive_ && !front_.closing_; }

  void Read() {
    if (reading_ || state_ == State::kClosed || buffer_.size() > kMaxReadAheadBytes + parser_.length())
      return;
    reading_ = true;
    socket_.async_read_some(asio::buffer(buffer_.Prepare(kReadBytes), kReadBytes),
                            [self = shared_from_this()](const error_code& error, std::size_t size) {
                              self->reading_ = false;
                              self->OnRead(error, size);
                            });
  }

  void OnRead(const error_code& error, std::size_t size) {
    if (state_ == State::kClosed) return;
    if (error) return OnDisconnect();
    buffer_.Commit(size);
    if (state_ == State::kLingering) buffer_.Consume(buffer_.size());
    if (state_ == State::kReading) Process();
    Recount();
    Read();
  }

  void OnDisconnect() {
    const auto request = std::exchange(request_, nullptr);
    Close();
    if (request) request->ClientDisconnected();
  }

  void Process() {
    const bool began = parser_.started();
    if (!parser_.head_read()) parser_.Use(RequestLimits(front_.limits_));
    switch (parser_.Parse(buffer_)) {
      case http::Progress::kMore:
        if (!began && parser_.started()) StartTimeout(front_.limits_.header_timeout_ms);
        if (parser_.head_read()) MindBody();
        return;
      case http::Progress::kBad:
        return Reject(parser_.error(), "the request cannot be read");
      case http::Progress::kDone:
        break;
    }
    timer_.cancel();
    body_minded_ms_ = 0;
    proven_ = true;
    if (!budget_->MayWork(HeldBytes())) return RefuseForShortage();
    state_ = State::kServing;
    keep_alive_ = parser_.message().keep_alive;
    request_bytes_ = parser_.HeldBytes();
    http::Message message = parser_.Take();
    parser_.Reset();
    Recount();
    const auto answer = std::make_shared<Answer>(weak_from_this());
    answer_ = answer;
    const auto request = front_.take_(std::move(message), answer);
    if (state_ == State::kServing) request_ = request;
  }

  // The body has just begun, or a part of it has come. Each idle timeout has to bring some of it: a byte now
  // and then is not enough.
  void MindBody() {
    const double now_ms = NowMs();
    if (body_minded_ms_ == 0) {
      if (front_.wants_body_ && !front_.wants_body_(parser_.message())) parser_.DiscardBody();
      body_minded_ms_ = now_ms;
      body_minded_bytes_ = parser_.body_bytes();
    } else if (now_ms - body_minded_ms_ >= front_.limits_.idle_timeout_ms) {
      if (parser_.body_bytes() - body_minded_bytes_ < kLeastBodyBytes) return OnTimeout();
      body_minded_ms_ = now_ms;
      body_minded_bytes_ = parser_.body_bytes();
    }
    StartTimeout(front_.limits_.idle_timeout_ms);
  }

  // Answers what is not taken, keeps none of it and ends the connection.
  void Reject(int status, std::string_view why, http::Headers headers = {}) {
    timer_.cancel();
    parser_.Reset();
    state_ = State::kServing;
    keep_alive_ = false;
    headers.emplace_back("Content-Type", "text/plain");
    Respond(status, headers, why);
  }

  void Finish() {
    request_.reset();
    answer_.reset();
    request_bytes_ = answer_bytes_ = 0;
    state_ = State::kFinishing;
    Write();
    Recount();
  }

  void Write() {
    if (writing_ || out_.empty() || state_ == State::kClosed) return;
    writing_ = true;
    in_flight_.swap(out_);
    out_.clear();
    // Usually a synchronous write sends everything, which saves an event loop wake-up.
    error_code error;
    socket_.non_blocking(true, error);
    const std::size_t sent = socket_.write_some(asio::buffer(in_flight_), error);
    if (!error && sent == in_flight_.size()) {
      writing_ = false;
      in_flight_.clear();
      if (state_ == State::kFinishing) {
        asio::post(front_.io_, [self = shared_from_this()] {
          if (!self->writing_) self->OnWritten();
        });
      }
      return;
    }
    if (error && error != asio::error::would_block) {
      asio::post(front_.io_, [self = shared_from_this()] { self->OnDisconnect(); });
      return;
    }
    const auto moved = [self = shared_from_this()](const error_code& failure, std::size_t count) {
      if (count > 0 && self->account_) self->account_->Moved(NowMs());
      return asio::transfer_all()(failure, count);
    };
    asio::async_write(socket_, asio::buffer(in_flight_) + (error ? 0 : sent), moved,
                      [self = shared_from_this()](const error_code& failure, std::size_t) {
                        self->writing_ = false;
                        self->in_flight_.clear();
                        if (self->state_ == State::kClosed) return;
                        failure ? self->OnDisconnect() : self->OnWritten();
                      });
  }

  void OnWritten() {
    Proceed();
    Recount();
  }

  void Proceed() {
    if (state_ == State::kClosed) return;
    if (!out_.empty()) {
      Write();
      // What was written at once is not reported by another call.
      if (writing_ || state_ != State::kServing) return;
    }
    if (state_ == State::kServing) {
      if (request_) request_->ClientDrained();
      return;
    }
    if (state_ != State::kFinishing) return;
    if (broken_) return Close();
    if (!keep_alive_) return Linger();
    state_ = State::kReading;
    buffer_.Trim(kIdleBufferBytes);
    if (in_flight_.capacity() > kIdleBufferBytes) std::string().swap(in_flight_);
    StartTimeout(front_.limits_.idle_timeout_ms);
    if (buffer_.size() > 0) Process();
    Read();
  }

  // Closing at once with unread bytes would reset the connection, and the response could be lost.
  void Linger() {
    state_ = State::kLingering;
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    timer_.expires_after(kLingerTimeout);
    timer_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error) self->Close();
    });
    Read();
  }

  void Close() {
    if (state_ == State::kClosed) return;
    state_ = State::kClosed;
    answer_.reset();
    account_.reset();
    error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
    front_.sessions_.erase(shared_from_this());
  }

  Front& front_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  State state_ = State::kReading;
  http::Buffer buffer_;
  http::Parser parser_;
  std::shared_ptr<OpenRequest> request_;
  std::shared_ptr<Responder> answer_;  // to the current request
  std::string out_, in_flight_;
  bool keep_alive_ = true, reading_ = false, writing_ = false, broken_ = false;
  bool proven_ = false;  // a whole request has come
  // When the progress of the body was last looked at, and how much had come by then; 0: not yet.
  double body_minded_ms_ = 0;
  std::size_t body_minded_bytes_ = 0;
  const std::shared_ptr<ClientBudget> budget_ = front_.budget_;  // a session may outlive the front
  std::unique_ptr<ClientBudget::Account> account_;               // null once it is closed
  std::size_t request_bytes_ = 0;                                // of the request in work
  std::size_t answer_bytes_ = 0;  // of its answer, held by whoever has the request in work
};

Front::Front(asio::io_context& io, Take take, std::shared_ptr<ClientBudget> budget, WantsBody wants_body)
    : io_(io),
      take_(std::move(take)),
      budget_(budget ? std::move(budget) : std::make_shared<ClientBudget>()),
      wants_body_(std::move(wants_body)),
      acceptor_(io),
      accept_retry_timer_(io) {}

Front::~Front() = default;

tcp::endpoint Front::Listen(const std::string& address) {
  const tcp::endpoint at = fleet::EndpointFromText(address);
  acceptor_.open(at.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(at);
  receive_buffer_.Adapt(acceptor_.native_handle(), *budget_);
  acceptor_.listen();
  Accept();
  return acceptor_.local_endpoint();
}

void Front::Accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      Enter(std::move(socket));
      return Accept();
    }
    accept_retry_timer_.expires_after(
        kAcceptRetryDelay);  // e.g. no file descriptors left: retrying at once would spin
    accept_retry_timer_.async_wait([this](const error_code& aborted) {
      if (!aborted) Accept();
    });
  });
}

void Front::Enter(tcp::socket socket) {
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  receive_buffer_.Adapt(acceptor_.native_handle(), *budget_);
  if (!session->FindsPlace()) return;  // closed with it
  sessions_.insert(session);
  session->Start();
}

void Front::CloseIdle() {
  const std::vector<std::shared_ptr<Session>> sessions(sessions_.begin(), sessions_.end());
  for (const auto& session : sessions) session->CloseIfIdle();
}

void Front::CloseAll() {
  const std::vector<std::shared_ptr<Session>> sessions(sessions_.begin(), sessions_.end());
  for (const auto& session : sessions) session->Disconnect();
}

void Front::StopListening() {
  error_code ignored;
  accept_retry_timer_.cancel();
  acceptor_.close(ignored);
}

}  // namespace bitternmux::router
