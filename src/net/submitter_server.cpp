#include "net/submitter_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/coroutine.hpp>
#include <cerrno>
#include <vector>

#include "events/catalogue.h"
#include "http/parser.h"
#include "net/protocol.h"
// Last: defines reenter and yield.
#include <boost/asio/yield.hpp>

namespace bitternmux::net {
namespace {

constexpr std::size_t kReadSize = 16 * 1024;
constexpr std::size_t kMostReadAhead = http::kMaxHead;  // of the requests behind the one that is served
constexpr std::size_t kDiscardSize = 1024 * 1024;
constexpr double kWholeMs = 2000;      // for a connection's first request, or one that has begun, to be whole
constexpr double kWriteMs = 5000;      // for a submitter to take its answer
constexpr double kLingerMs = 1000;     // for a submitter to read why it was turned away while it still sends
constexpr double kNewMs = 250;         // for a new connection to send its request, when descriptors run short
constexpr int kRoomTries = 8;          // a request may have come on the first ones tried
constexpr double kAcceptPauseMs = 20;  // when there are no descriptors left

}  // namespace

// One connection. Requests come one at a time; while one is being served the connection is watched all the
// same, so that a submitter who leaves is noticed.
class SubmitterServer::Session : public std::enable_shared_from_this<Session>, private asio::coroutine {
 public:
  Session(SubmitterServer& server, tcp::socket socket)
      : server_(server), runtime_(server.runtime_), socket_(std::move(socket)) {}

  void Start() {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    Touch();
    LimitTo(kWholeMs);
    Read();
  }

  // Which sessions go first when descriptors run short: those that were turned away, those that have had the
  // time to send a good request and never did, those that idle, and only then those that have just come. One
  // with a request open stays, and so does one with a request on its way that has sent a good one before.
  enum class Use { kTurnedAway, kUnproven, kIdle, kNew, kInUse };
  Use UseOf() const {
    if (state_ == State::kLingering) return Use::kTurnedAway;
    if (state_ != State::kReading) return Use::kInUse;
    if (proven_) return Begun() ? Use::kInUse : Use::kIdle;
    return runtime_.now_ms() - active_ms_ < kNewMs ? Use::kNew : Use::kUnproven;
  }
  double active_ms() const { return active_ms_; }

  // Ends the connection between requests. One that has come but is not read yet is served first.
  void CloseWhenIdle() {
    error_code error;
    if (state_ != State::kReading) return;
    socket_.available(error) > 0 && !error ? Touch() : Close();
  }

  void Close() {
    if (state_ == State::kClosed) return;
    state_ = State::kClosed;
    error_code ignored;
    socket_.close(ignored);
    runtime_.wheel.Cancel(limit_);
    CountUnread(0);
    server_.Ended(shared_from_this());
  }

 private:
  enum class State { kReading, kServing, kWriting, kLingering, kClosed };

  void Touch() { active_ms_ = runtime_.now_ms(); }
  bool Begun() const { return parser_.started() || buffer_.size() > 0; }

  // Guards the descriptors against connections that say nothing, stop in the middle or never read: what is
  // due from the submitter is due within a time.
  void LimitTo(double ms) {
    runtime_.wheel.Cancel(limit_);
    limit_ = ms <= 0 ? 0 : runtime_.wheel.Add(runtime_.now_ms() + ms, [self = shared_from_this()] {
      self->state_ == State::kReading && self->Begun() ? self->TurnAway(408, "the request is not whole")
                                                       : self->Close();
    });
  }

  void TurnAway(int status, const char* reason) {
    keep_alive_ = false;
    Write(WriteBadRequest({status, reason, {}}, false));
  }

  // Bytes that wait for the rest of their request. Guards the memory: a single request is bounded by the
  // parser, and all of them here.
  void CountUnread(std::size_t bytes) {
    server_.unread_ += bytes - unread_;
    unread_ = bytes;
  }

  void Read(const error_code& error = {}) {
    reenter(this) {
      for (;;) {
        yield socket_.async_wait(tcp::socket::wait_read,
                                 [self = shared_from_this()](const error_code& e) { self->Read(e); });
        if (state_ == State::kClosed) return;
        if (error || !TakeBytes()) return Left();
        Process();
        if (state_ == State::kClosed) return;
        // One who sends on and on without waiting for answers is read no further until one is written.
        if (buffer_.size() >= kMostReadAhead) {
          yield paused_ = true;
        }
      }
    }
  }

  // False: the submitter has closed its side.
  bool TakeBytes() {
    if (state_ == State::kLingering) return Discard();
    error_code error;
    const std::size_t count = socket_.read_some(asio::buffer(buffer_.Prepare(kReadSize), kReadSize), error);
    if (error == asio::error::would_block) return true;
    if (error) return false;
    buffer_.Commit(count);
    return true;
  }

  // What comes behind a request that was turned away is thrown away uncopied: tens of megabytes may come.
  bool Discard() {
    const auto count = ::recv(socket_.native_handle(), nullptr, kDiscardSize, MSG_TRUNC);
    return count > 0 || (count < 0 && (errno == EAGAIN || errno == EINTR));
  }

  // Its claim is given up where the settings allow. An answer that is being written may still arrive.
  void Left() {
    if (state_ == State::kWriting) {
      left_ = true;
      return;
    }
    if (state_ == State::kServing) server_.jobs_.SubmitterLeft(runtime_.now_ms(), job_);
    Close();
  }

  void Process() {
    while (state_ == State::kReading && buffer_.size() > 0) {
      switch (parser_.Parse(buffer_)) {
        case http::Progress::kMore:
          if (limit_ == 0) LimitTo(kWholeMs);  // the first one's time runs from the connection's start
          CountUnread(buffer_.size() + parser_.message().body.size());
          if (unread_ > http::kMaxHead && server_.unread_ > server_.most_unread_) {
            TurnAway(413, "too much is being sent at once");
          }
          return;
        case http::Progress::kBad:
          return TurnAway(parser_.error(), "the request cannot be read");
        case http::Progress::kDone:
          Touch();
          CountUnread(0);
          keep_alive_ = parser_.message().keep_alive && !server_.closing_;
          Serve(ReadRequest(parser_.Take(), server_.settings_));
          parser_.Reset();
      }
    }
  }

  void Serve(Asked asked) {
    const auto* job = std::get_if<Job>(&asked);
    // Guards the request that is open: an answer could not be told to be the one's or the other's.
    if (job != nullptr && server_.jobs_.IsOpen(job->request_id))
      asked = BadRequest{400, "Req-Id is in use", {}};
    if (const auto* bad = std::get_if<BadRequest>(&asked)) {
      // One that never sent a good request would only send the same again.
      keep_alive_ = keep_alive_ && proven_;
      return Write(WriteBadRequest(*bad, keep_alive_));
    }
    proven_ = true;
    if (std::holds_alternative<Ready>(asked)) return Write(WriteReady(keep_alive_));
    state_ = State::kServing;
    LimitTo(0);
    job_ = server_.jobs_.Take(runtime_.now_ms(), std::move(std::get<Job>(asked)),
                              [self = shared_from_this()](const Answer& answer) { self->Answered(answer); });
  }

  void Answered(const Answer& answer) {
    if (state_ != State::kServing) return;
    if (server_.closing_) keep_alive_ = false;
    Write(WriteAnswer(answer, keep_alive_));
  }

  void Write(std::string bytes) {
    state_ = State::kWriting;
    LimitTo(kWriteMs);
    out_ = std::move(bytes);
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this()](const error_code& e, std::size_t) { self->Written(e); });
  }

  void Written(const error_code& error) {
    if (state_ == State::kClosed) return;
    if (error || left_) return Close();
    Touch();
    if (!keep_alive_) return Linger();
    state_ = State::kReading;
    LimitTo(0);
    if (server_.closing_ && buffer_.size() == 0) return CloseWhenIdle();
    Process();  // the next request may have come already
    if (std::exchange(paused_, false)) Read();
  }

  // Closing at once with bytes unread would reset the connection, and the answer could be lost on its way.
  void Linger() {
    state_ = State::kLingering;
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    LimitTo(kLingerMs);
  }

  SubmitterServer& server_;
  Runtime& runtime_;
  tcp::socket socket_;
  State state_ = State::kReading;
  http::Buffer buffer_;
  http::Parser parser_{http::Role::kRequest};
  JobId job_ = 0;
  bool keep_alive_ = true;
  bool proven_ = false;  // a good request has come
  bool paused_ = false;
  bool left_ = false;
  double active_ms_ = 0;
  TimerWheel::Id limit_ = 0;
  std::size_t unread_ = 0;
  std::string out_;
};

SubmitterServer::SubmitterServer(Runtime& runtime, JobTable& jobs, const cartspring::Settings& settings,
                                 std::size_t most_sessions, std::size_t most_unread)
    : runtime_(runtime),
      jobs_(jobs),
      settings_(settings),
      most_sessions_(most_sessions),
      most_unread_(most_unread),
      acceptor_(runtime.strand),
      incoming_(runtime.strand) {}

SubmitterServer::~SubmitterServer() = default;

void SubmitterServer::Listen(const tcp::endpoint& at) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen(asio::socket_base::max_listen_connections);
  Accept();
}

void SubmitterServer::Accept() {
  if (sessions_.size() >= most_sessions_ && !MakeRoom()) return AcceptLater();
  acceptor_.async_accept(incoming_, [this](const error_code& error) { Accepted(error); });
}

void SubmitterServer::AcceptLater() {
  runtime_.wheel.Add(runtime_.now_ms() + kAcceptPauseMs, [this] {
    if (!closing_) Accept();
  });
}

void SubmitterServer::Accepted(const error_code& error) {
  if (closing_) {
    incoming_.close();
    return;
  }
  if (error) {
    // Guards against a storm at the descriptor limit (EMFILE): the connection stays in the backlog, so that
    // trying again at once would only spin.
    runtime_.events.Write(events::kAcceptFailed, {{"why", error.message()}});
    CloseLeast();
    return AcceptLater();
  }
  const auto session = std::make_shared<Session>(*this, std::move(incoming_));
  incoming_ = tcp::socket(runtime_.strand);
  sessions_.insert(session);
  session->Start();
  Accept();
}

bool SubmitterServer::MakeRoom() {
  for (int tries = 0; tries < kRoomTries && sessions_.size() >= most_sessions_; ++tries) CloseLeast();
  return sessions_.size() < most_sessions_;
}

// Ends the connection that is of the least use, and among those the one on which nothing has been asked for
// the longest time.
void SubmitterServer::CloseLeast() {
  std::shared_ptr<Session> least;
  std::pair<Session::Use, double> rank{Session::Use::kInUse, 0};
  for (const auto& session : sessions_) {
    const std::pair<Session::Use, double> of{session->UseOf(), session->active_ms()};
    if (of.first == Session::Use::kInUse || (least && rank <= of)) continue;
    least = session;
    rank = of;
  }
  if (least) rank.first == Session::Use::kTurnedAway ? least->Close() : least->CloseWhenIdle();
}

void SubmitterServer::Ended(const std::shared_ptr<Session>& session) {
  sessions_.erase(session);
  if (closing_ && sessions_.empty() && closed_) asio::post(runtime_.strand, std::exchange(closed_, nullptr));
}

void SubmitterServer::Close(std::function<void()> done) {
  closing_ = true;
  closed_ = std::move(done);
  error_code ignored;
  acceptor_.close(ignored);
  const std::vector<std::shared_ptr<Session>> sessions(sessions_.begin(), sessions_.end());
  for (const auto& session : sessions) session->CloseWhenIdle();
  if (sessions_.empty() && closed_) asio::post(runtime_.strand, std::exchange(closed_, nullptr));
}

}  // namespace bitternmux::net

#include <boost/asio/unyield.hpp>
