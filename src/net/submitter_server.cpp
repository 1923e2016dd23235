#include "net/submitter_server.h"

#include <algorithm>
#include <boost/asio/coroutine.hpp>
#include <iostream>
#include <vector>

#include "http/parser.h"
#include "net/protocol.h"
// Last: defines reenter and yield.
#include <boost/asio/yield.hpp>

namespace bitternmux::net {
namespace {

constexpr std::size_t kReadSize = 16 * 1024;
constexpr std::size_t kMostReadAhead = 2 * (http::kMaxHead + http::kMaxBody);
constexpr double kLingerMs = 1000;     // for a submitter to read why it was turned away while it still sends
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
    Read();
  }

  bool Idle() const { return state_ == State::kReading; }
  double active_ms() const { return active_ms_; }

  // Ends the connection between requests. One that has come but is not read yet is served first.
  void CloseWhenIdle() {
    if (!Idle()) return;
    error_code error;
    if (socket_.available(error) > 0 && !error) return;
    Close();
  }

  void Close() {
    if (state_ == State::kClosed) return;
    state_ = State::kClosed;
    error_code ignored;
    socket_.close(ignored);
    runtime_.wheel.Cancel(linger_);
    server_.Ended(shared_from_this());
  }

 private:
  enum class State { kReading, kServing, kWriting, kLingering, kClosed };

  void Touch() { active_ms_ = runtime_.now_ms(); }

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
    error_code error;
    const std::size_t count = socket_.read_some(asio::buffer(buffer_.Prepare(kReadSize), kReadSize), error);
    if (error == asio::error::would_block) return true;
    if (error) return false;
    if (state_ != State::kLingering) buffer_.Commit(count);
    return true;
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
          return;
        case http::Progress::kBad:
          keep_alive_ = false;
          return Write(WriteBadRequest({parser_.error(), "the request cannot be read", {}}, false));
        case http::Progress::kDone:
          Touch();
          keep_alive_ = parser_.message().keep_alive && !server_.closing_;
          Serve(ReadRequest(parser_.Take(), server_.settings_));
          parser_.Reset();
      }
    }
  }

  void Serve(Asked asked) {
    if (const auto* bad = std::get_if<BadRequest>(&asked)) return Write(WriteBadRequest(*bad, keep_alive_));
    if (std::holds_alternative<Ready>(asked)) return Write(WriteReady(keep_alive_));
    state_ = State::kServing;
    const JobId job =
        server_.jobs_.Take(runtime_.now_ms(), std::move(std::get<Job>(asked)),
                           [self = shared_from_this()](const Answer& answer) { self->Answered(answer); });
    job_ = job;
  }

  void Answered(const Answer& answer) {
    if (state_ != State::kServing) return;
    if (server_.closing_) keep_alive_ = false;
    Write(WriteAnswer(answer, keep_alive_));
  }

  void Write(std::string bytes) {
    state_ = State::kWriting;
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
    if (server_.closing_ && buffer_.size() == 0) return CloseWhenIdle();
    Process();  // the next request may have come already
    if (std::exchange(paused_, false)) Read();
  }

  // Closing at once with bytes unread would reset the connection, and the answer could be lost on its way.
  void Linger() {
    state_ = State::kLingering;
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    linger_ =
        runtime_.wheel.Add(runtime_.now_ms() + kLingerMs, [self = shared_from_this()] { self->Close(); });
  }

  SubmitterServer& server_;
  Runtime& runtime_;
  tcp::socket socket_;
  State state_ = State::kReading;
  http::Buffer buffer_;
  http::Parser parser_{http::Role::kRequest};
  JobId job_ = 0;
  bool keep_alive_ = true;
  bool paused_ = false;
  bool left_ = false;
  double active_ms_ = 0;
  TimerWheel::Id linger_ = 0;
  std::string out_;
};

SubmitterServer::SubmitterServer(Runtime& runtime, JobTable& jobs, const cartspring::Settings& settings,
                                 std::size_t most_sessions)
    : runtime_(runtime),
      jobs_(jobs),
      settings_(settings),
      most_sessions_(most_sessions),
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
  waiting_for_room_ = sessions_.size() >= most_sessions_ && !MakeRoom();
  if (waiting_for_room_) return;  // the next session to end goes on from here
  acceptor_.async_accept(incoming_, [this](const error_code& error) { Accepted(error); });
}

void SubmitterServer::Accepted(const error_code& error) {
  if (closing_) {
    incoming_.close();
    return;
  }
  if (error) {
    // Guards against a storm at the descriptor limit (EMFILE): the connection stays in the backlog, so that
    // trying again at once would only spin.
    std::cerr << "accept: " << error.message() << "\n";
    MakeRoom();
    runtime_.wheel.Add(runtime_.now_ms() + kAcceptPauseMs, [this] {
      if (!closing_) Accept();
    });
    return;
  }
  const auto session = std::make_shared<Session>(*this, std::move(incoming_));
  incoming_ = tcp::socket(runtime_.strand);
  sessions_.insert(session);
  session->Start();
  Accept();
}

// Ends the connection on which nothing has been asked for the longest time.
bool SubmitterServer::MakeRoom() {
  std::shared_ptr<Session> idlest;
  for (const auto& session : sessions_) {
    if (session->Idle() && (!idlest || session->active_ms() < idlest->active_ms())) idlest = session;
  }
  if (idlest) idlest->CloseWhenIdle();
  return sessions_.size() < most_sessions_;
}

void SubmitterServer::Ended(const std::shared_ptr<Session>& session) {
  sessions_.erase(session);
  if (closing_) {
    if (sessions_.empty() && closed_) asio::post(runtime_.strand, std::exchange(closed_, nullptr));
  } else if (waiting_for_room_) {
    waiting_for_room_ = false;
    asio::post(runtime_.strand, [this] {
      if (!closing_) Accept();
    });
  }
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
