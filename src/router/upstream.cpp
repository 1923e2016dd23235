#include "router/upstream.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <functional>
#include <optional>
#include <utility>

#include "fleet/transport/link.h"
#include "http/buffer.h"

namespace bitternmux::router {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadBytes = 4 * 1024;
// Many round trips; a packet that is lost is sent again after a second only, and another server is reached
// sooner.
constexpr double kDialTimeoutMs = 700;
constexpr double kMinDialTimeoutMs = 30;  // some round trips between zones
constexpr int kUserTimeoutMs = 3000;      // for bytes that the server does not acknowledge (TCP_USER_TIMEOUT)
constexpr double kDefaultMaxIdleMs = 700;  // maximum idle time if the server sends no Keep-Alive timeout
constexpr double kIdleMarginMs = 400;      // subtracted from the server's Keep-Alive timeout
constexpr auto kResponseWaitAfterWriteError = std::chrono::milliseconds(200);
constexpr std::size_t kMaxIdlePerServer = 24;   // idle connections per server
constexpr int kReceiveBufferBytes = 64 * 1024;  // in the kernel, of a response that is not read for a while

double NowMs() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count();
}

// Whether the error means that the peer did not reply at all, as opposed to refusing or resetting.
bool IsUnresponsive(const error_code& error) {
  return error == asio::error::timed_out || error == asio::error::host_unreachable ||
         error == asio::error::network_unreachable;
}

AttemptEnd EndForError(const error_code& error) {
  return IsUnresponsive(error) ? AttemptEnd::kUnacknowledged : AttemptEnd::kBroken;
}

// The Keep-Alive timeout of the response, if it has one.
std::optional<double> KeepAliveMs(const http::Message& message) {
  const auto value = message.Find("keep-alive");
  if (!value) return std::nullopt;
  const auto at = value->find("timeout=");
  if (at == std::string_view::npos) return std::nullopt;
  std::string_view digits = value->substr(at + 8);
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  const auto seconds = http::WholeNumber(digits);
  if (!seconds) return std::nullopt;
  return static_cast<double>(*seconds) * 1000;
}

}  // namespace

// One TCP connection to a server. It carries one attempt at a time.
class Upstream::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Upstream& pool, std::string server, std::string address)
      : pool_(pool),
        server_(std::move(server)),
        address_(std::move(address)),
        socket_(pool.io_),
        timer_(pool.io_) {
    pool_.budget_->UseOwn(NowMs(), 1);
  }
  // The budget may outlive the pool.
  ~Connection() { budget_->UseOwn(NowMs(), -1); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  const std::string& server() const { return server_; }
  const std::string& address() const { return address_; }
  // Whether an idle connection can be reused. Data or a close received while idle may still be unread in the
  // socket, so the socket is checked too.
  bool Usable() {
    return state_ == State::kIdle && NowMs() - idle_since_ms_ < max_idle_ms_ && NoDataPending();
  }

  // Whether the previous request had this id. A late duplicate response to it would be mistaken for the
  // response to a new request with the same id.
  bool LastRequestHadId(const std::string& request_id) const {
    return last_request_id_hash_ && *last_request_id_hash_ == std::hash<std::string>()(request_id);
  }

  void Start(AttemptRequest request, std::shared_ptr<AttemptHandler> handler) {
    last_request_id_hash_ = std::hash<std::string>()(request.request_id);
    request_ = std::make_shared<const AttemptRequest>(std::move(request));
    handler_ = std::move(handler);
    parser_.Reset();
    surplus_ = false;
    head_forwarded_ = false;
    if (state_ == State::kNew) return Dial();
    state_ = State::kBusy;
    Write();
  }

  void Cancel() {
    handler_.reset();
    Close();
  }

  void Pause(bool paused) {
    if (paused_ == paused) return;
    paused_ = paused;
    if (!paused_ && state_ == State::kBusy && !reading_) Read();
  }

  void Close() {
    if (state_ == State::kClosed) return;
    state_ = State::kClosed;
    error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
    pool_.Remove(this);
  }

 private:
  enum class State { kNew, kDialing, kBusy, kIdle, kClosed };

  void Dial() {
    state_ = State::kDialing;
    const auto endpoint = fleet::ParseEndpoint(address_);
    if (!endpoint) return Finish(AttemptEnd::kUnreachable);
    ++pool_.dialed_;
    dialed_ms_ = NowMs();
    error_code ignored;  // a connection without the options is of use too
    socket_.open(endpoint->protocol(), ignored);
    socket_.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
    const auto self = shared_from_this();
    socket_.async_connect(*endpoint, [self](const error_code& error) {
      self->timer_.cancel();
      if (self->state_ != State::kDialing) return;
      error ? self->Finish(IsUnresponsive(error) ? AttemptEnd::kDialTimedOut : AttemptEnd::kUnreachable)
            : self->Connected();
    });
    const double timeout_ms = std::clamp(request_->spare_ms, kMinDialTimeoutMs, kDialTimeoutMs);
    const AttemptEnd end = timeout_ms < kDialTimeoutMs ? AttemptEnd::kUnreachable : AttemptEnd::kDialTimedOut;
    timer_.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(timeout_ms * 1000)));
    timer_.async_wait([self, end](const error_code& error) {
      if (!error && self->state_ == State::kDialing) self->Finish(end);
    });
  }

  void Connected() {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    socket_.set_option(UserTimeout(kUserTimeoutMs), ignored);
    state_ = State::kBusy;
    handler_->OnConnected(NowMs() - dialed_ms_);
    Write();
    Read();
  }

  bool NoDataPending() {
    char byte = 0;
    const auto size = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  // The handler keeps the request alive while it is written, also if the response is complete before that.
  void Write() {
    const std::shared_ptr<const AttemptRequest> request = request_;
    std::array<asio::const_buffer, 2> bytes = {asio::buffer(request->head)};
    if (request->body) bytes[1] = asio::buffer(*request->body);
    writing_ = true;
    asio::async_write(socket_, bytes,
                      [self = shared_from_this(), request](const error_code& error, std::size_t) {
                        self->OnWritten(error);
                      });
  }

  void OnWritten(const error_code& error) {
    writing_ = false;
    if (!error || state_ != State::kBusy) return;
    // A server that has stopped reading may have responded before; that response can still be read.
    write_failed_ = true;
    const AttemptEnd end = EndForError(error);
    timer_.expires_after(kResponseWaitAfterWriteError);
    timer_.async_wait([self = shared_from_this(), end](const error_code& cancelled) {
      if (!cancelled && self->state_ == State::kBusy) self->Finish(end);
    });
  }

  void Read() {
    reading_ = true;
    socket_.async_read_some(asio::buffer(buffer_.Prepare(kReadBytes), kReadBytes),
                            [self = shared_from_this()](const error_code& error, std::size_t size) {
                              self->reading_ = false;
                              self->OnRead(error, size);
                            });
  }

  // Waits for readability without reading: on an idle connection only a close or unsolicited data can
  // arrive, and Usable must be able to detect either.
  void WatchIdle() {
    reading_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code&) {
      self->reading_ = false;
      if (self->state_ == State::kIdle) return self->Close();
      if (self->state_ == State::kBusy && !self->paused_) self->Read();
    });
  }

  void OnRead(const error_code& error, std::size_t size) {
    if (state_ == State::kClosed) return;
    if (error) {
      const bool complete = error == asio::error::eof && !surplus_ && head_forwarded_ && parser_.EndsWhole();
      return Finish(complete ? AttemptEnd::kCompleteByClose : EndForError(error));
    }
    buffer_.Commit(size);
    Parse();
    if (reading_) return;
    if (state_ == State::kBusy && !paused_) Read();
    if (state_ == State::kIdle) WatchIdle();
  }

  void Parse() {
    while (state_ == State::kBusy) {
      const http::Progress progress = parser_.Parse(buffer_);
      if (progress == http::Progress::kBad) return Finish(AttemptEnd::kBroken);
      if (parser_.head_read() && !head_forwarded_ && !surplus_ && !ForwardHead()) return;
      if (head_forwarded_ && !parser_.message().body.empty()) handler_->OnBody(parser_.TakeBody());
      if (state_ != State::kBusy) return;  // the handler has cancelled the attempt
      if (surplus_) parser_.TakeBody();
      if (progress == http::Progress::kMore) return;
      if (!surplus_) return OnResponseComplete();
      ++pool_.surplus_answers_;
      parser_.Reset();
      surplus_ = false;
    }
  }

  // Passes the response head to the handler, or marks the response as surplus. Returns false if the attempt
  // has ended.
  bool ForwardHead() {
    const auto id = parser_.message().Find("x-request-id");
    if (!id) {
      Finish(AttemptEnd::kBroken);
      return false;
    }
    if (*id != request_->request_id) {
      surplus_ = true;
      return true;
    }
    head_forwarded_ = true;
    max_idle_ms_ = std::max(
        0.0, KeepAliveMs(parser_.message()).value_or(kDefaultMaxIdleMs + kIdleMarginMs) - kIdleMarginMs);
    const auto self = shared_from_this();
    handler_->OnHead(parser_.message());
    return state_ == State::kBusy;
  }

  void OnResponseComplete() {
    // If the request is not fully written yet, the next one would be interleaved with it.
    const bool written = !writing_ && !write_failed_;
    const bool reusable = written && parser_.message().keep_alive && buffer_.size() == 0 && max_idle_ms_ > 0;
    const auto handler = std::exchange(handler_, nullptr);
    request_.reset();
    paused_ = false;
    if (reusable) {
      state_ = State::kIdle;
      idle_since_ms_ = NowMs();
      pool_.ReturnToPool(shared_from_this());
    } else {
      Close();
    }
    handler->OnEnd(AttemptEnd::kComplete);
  }

  void Finish(AttemptEnd end) {
    const auto handler = std::exchange(handler_, nullptr);
    Close();
    if (!handler) return;
    asio::post(pool_.io_, [handler, end] { handler->OnEnd(end); });
  }

  Upstream& pool_;
  const std::shared_ptr<budget::ClientBudget> budget_ = pool_.budget_;
  const std::string server_, address_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  State state_ = State::kNew;
  std::shared_ptr<const AttemptRequest> request_;
  std::optional<std::size_t> last_request_id_hash_;  // hash of the id of the most recent request
  std::shared_ptr<AttemptHandler> handler_;
  http::Buffer buffer_;
  http::Parser parser_{http::Role::kResponse};
  bool surplus_ = false, head_forwarded_ = false, paused_ = false, reading_ = false;
  bool writing_ = false, write_failed_ = false;
  double dialed_ms_ = 0, idle_since_ms_ = 0, max_idle_ms_ = 0;
};

Upstream::~Upstream() {
  const auto pools = std::exchange(idle_, {});
  for (const auto& [server, pool] : pools) CloseAll(pool);
}

std::shared_ptr<Upstream::Connection> Upstream::Begin(AttemptRequest request,
                                                      std::shared_ptr<AttemptHandler> handler) {
  Pool& pool = idle_[request.server];
  if (request.new_connection) CloseAll(pool);
  std::shared_ptr<Connection> connection;
  while (!pool.empty() && !connection) {
    const auto candidate = pool.back();
    pool.pop_back();
    const bool fits =
        candidate->address() == request.address && !candidate->LastRequestHadId(request.request_id);
    if (fits && candidate->Usable()) {
      connection = candidate;
    } else {
      candidate->Close();
    }
  }
  if (!connection) {
    MakeRoom();
    connection = std::make_shared<Connection>(*this, request.server, request.address);
  }
  connection->Start(std::move(request), std::move(handler));
  return connection;
}

void Upstream::Cancel(const std::shared_ptr<Connection>& connection) { connection->Cancel(); }

void Upstream::Pause(const std::shared_ptr<Connection>& connection, bool paused) {
  connection->Pause(paused);
}

void Upstream::MakeRoom() {
  for (auto& [server, pool] : idle_) {
    if (!budget_->Full()) return;
    CloseAll(pool);
  }
}

void Upstream::CloseAll(const Pool& pool) {
  const Pool copy = pool;
  for (const auto& connection : copy) connection->Close();
}

void Upstream::ReturnToPool(const std::shared_ptr<Connection>& connection) {
  Pool& pool = idle_[connection->server()];
  if (pool.size() >= kMaxIdlePerServer) {
    const auto oldest = pool.front();
    oldest->Close();
  }
  idle_[connection->server()].push_back(connection);
}

void Upstream::Remove(Connection* connection) {
  const auto found = idle_.find(connection->server());
  if (found == idle_.end()) return;
  std::erase_if(found->second, [&](const auto& idle) { return idle.get() == connection; });
}

}  // namespace bitternmux::router
