#include "net/submitter_server.h"

#include <linux/filter.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/coroutine.hpp>
#include <cerrno>
#include <limits>
#include <vector>

#include "events/catalogue.h"
#include "http/parser.h"
#include "net/protocol.h"
// Last: defines reenter and yield.
#include <boost/asio/yield.hpp>

namespace bitternmux::net {
namespace {

constexpr std::size_t kReadSize = 16 * 1024;  // of a body
constexpr std::size_t kHeadReadSize = 4 * 1024;
constexpr std::size_t kMostReadAhead = http::kMaxHead;  // of the requests behind the one that is served
constexpr std::size_t kDiscardSize = 1024 * 1024;
constexpr double kHeadMs = 2600;       // for a connection's first head, or one that has begun, to be whole
constexpr double kBodyStallMs = 2200;  // between two bytes of a body
constexpr double kBodyGraceMs = 2000;  // after its head, before a body is held to a rate
constexpr double kBodyRate = 16;       // bytes a millisecond, over the whole body
constexpr double kStallMs = 10'000;    // for a submitter to take the next piece of a large answer
constexpr std::size_t kIdleBuffer = 8 * 1024;
constexpr int kSendBuffer = 64 * 1024;  // in the kernel, of a large answer
constexpr double kWriteMs = 5000;       // for a submitter to take its answer
constexpr double kLingerMs = 1000;      // for a submitter to read why it was turned away while it still sends
constexpr double kAcceptPauseMs = 20;   // when there are no descriptors left
constexpr double kTrimMs = 100;         // between two looks at what is to go for the time alone
constexpr double kQueueMs = 50;         // for connections that come to a queue that others are led away from
constexpr double kSayMs = 10'000;       // between two lines on places that run short

// Of the listeners that share an address, the second one gets what comes from now on: a process that holds
// its place is the first of them, since those before it are gone, and its successor is the next.
bool LeadAway(int listener) {
  sock_filter second = BPF_STMT(BPF_RET | BPF_K, 1);
  const sock_fprog program{1, &second};
  return ::setsockopt(listener, SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &program, sizeof program) == 0;
}

}  // namespace

// One connection. Requests come one at a time; while one is being served the connection is watched all the
// same, so that a submitter who leaves is noticed.
class SubmitterServer::Session : public std::enable_shared_from_this<Session>, private asio::coroutine {
 public:
  Session(SubmitterServer& server, limits::Sessions::Id id, tcp::socket socket)
      : server_(server), runtime_(server.runtime_), id_(id), socket_(std::move(socket)) {}

  void Start() {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    LimitTo(kHeadMs);
    Read();
  }

  // Ends the connection, unless a request has come on it that is not read yet: that one is served first. What
  // comes behind the end is read and thrown away.
  void Retire() {
    if (HasMore()) return;
    state_ == State::kReading ? Linger() : Close();
  }

  // The same where its descriptor is needed at once.
  void MakeRoom() {
    if (!HasMore()) Close();
  }

  // The same when the program stops. One that is being served ends with its answer.
  void CloseWhenIdle() {
    if (state_ == State::kReading) Retire();
  }

  // The end of its connection may lie unread behind other news.
  void CatchUp() {
    if (state_ == State::kServing && HasLeft()) Left();
  }

  void Close() {
    if (state_ == State::kClosed) return;
    const bool passing = std::exchange(state_, State::kClosed) == State::kPassing;
    error_code ignored;
    socket_.close(ignored);
    runtime_.wheel.Cancel(limit_);
    CountUnread(0);
    if (flow_) std::exchange(flow_, nullptr)->Abandon();
    if (passing) server_.jobs_.SubmitterLeft(runtime_.now_ms(), job_);
    server_.Ended(id_);
  }

 private:
  enum class State { kReading, kServing, kPassing, kWriting, kLingering, kClosed };

  bool HasMore() {
    error_code error;
    if (state_ != State::kReading || socket_.available(error) == 0 || error) return false;
    server_.limits_.Began(runtime_.now_ms(), id_);
    return true;
  }

  bool Begun() const { return parser_.started() || buffer_.size() > 0; }

  // Guards the descriptors against connections that say nothing, stop in the middle or never read: what is
  // due from the submitter is due within a time.
  void LimitTo(double ms) {
    runtime_.wheel.Cancel(limit_);
    limit_ = ms <= 0 ? 0 : runtime_.wheel.Add(runtime_.now_ms() + ms, [self = shared_from_this()] {
      self->limit_ = 0;
      self->state_ == State::kReading && self->Begun() ? self->TurnAway(408, "the request is not whole")
                                                       : self->Retire();
    });
  }

  void TurnAway(int status, const char* reason) {
    keep_alive_ = false;
    Write(WriteBadRequest({status, reason, {}}, false));
  }

  // The memory for bodies is spent.
  void RefuseForMemory() {
    keep_alive_ = false;
    Write(WriteAnswer(RefuseBody(parser_.message(), server_.settings_), false));
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
        runtime_.mind();
        if (state_ == State::kClosed) return;
        if (error || !TakeBytes()) return Left();
        Process();
        if (state_ == State::kClosed) return;
        // Of one who sends on and on without waiting for answers no more is kept. It is read on all the same:
        // behind bytes that are left unread nobody sees that it goes.
        overrun_ = overrun_ || buffer_.size() >= kMostReadAhead;
      }
    }
  }

  // False: the submitter has closed its side.
  bool TakeBytes() {
    if (state_ == State::kLingering || overrun_) return Discard();
    error_code error;
    // Most connections idle most of the time: what they keep for the next head is small.
    const std::size_t size = parser_.head_read() ? kReadSize : kHeadReadSize;
    const std::size_t count = socket_.read_some(asio::buffer(buffer_.Prepare(size), size), error);
    if (error == asio::error::would_block) return true;
    if (error) return false;
    buffer_.Commit(count);
    if (state_ == State::kReading) server_.limits_.Began(runtime_.now_ms(), id_);
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
          if (overrun_) return Linger();  // the rest of it was not kept
          MindTime();
          InviteBody();
          CountUnread(buffer_.size() + parser_.message().body.size());
          if (unread_ > http::kMaxHead && server_.unread_ > server_.most_unread_) return RefuseForMemory();
          return;
        case http::Progress::kBad:
          return TurnAway(parser_.error(), "the request cannot be read");
        case http::Progress::kDone:
          // Held for as long as the claims of it may be written.
          CountUnread(parser_.message().body.size());
          head_read_ms_ = 0;
          invited_ = false;
          old_form_ = parser_.message().http_1_0;
          keep_alive_ = parser_.message().keep_alive && !old_form_ && !server_.closing_;
          Serve(ReadRequest(parser_.Take(), server_.settings_));
          parser_.Reset();
      }
    }
    if (state_ == State::kReading && overrun_) Linger();
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
    const bool first = !std::exchange(proven_, true);
    using Ask = limits::Sessions::Ask;
    server_.limits_.Taken(runtime_.now_ms(), id_, job != nullptr ? Ask::kJob : Ask::kProbe);
    server_.Trim();
    if (std::holds_alternative<Ready>(asked)) return Write(WriteReady(keep_alive_));
    state_ = State::kServing;
    LimitTo(0);
    Job& taken = std::get<Job>(asked);
    // Guards against what was over before it was read: it may lie here since before a standstill, or since
    // before there was a place for its connection. Its submitter may have gone, and may have asked elsewhere.
    const double unread_ms = runtime_.unread_ms();
    if ((first || unread_ms > 0) && HasLeft()) return Close();
    if (unread_ms > 0) {
      taken.patience_ms = std::max(0.0, taken.patience_ms - std::min(unread_ms, SinceLastByteMs()));
    }
    job_ = server_.jobs_.Take(runtime_.now_ms(), std::move(taken),
                              [self = shared_from_this()](const Answer& answer) { self->Answered(answer); });
  }

  bool HasLeft() {
    char byte;
    error_code error;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error && error != asio::error::would_block;
  }

  // As the kernel has it; where it does not say, anything is possible.
  double SinceLastByteMs() {
    tcp_info info{};
    socklen_t size = sizeof info;
    const bool told = ::getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
    return told ? info.tcpi_last_data_recv : std::numeric_limits<double>::infinity();
  }

  // Time goes by progress: a head within its own, a body without long pauses and not too slowly over all. The
  // first head's time runs from the connection's start, a later one's from its first byte.
  void MindTime() {
    if (!parser_.head_read()) {
      if (limit_ == 0) LimitTo(kHeadMs);
      return;
    }
    const double now_ms = runtime_.now_ms();
    if (head_read_ms_ == 0) head_read_ms_ = now_ms;
    const double slowest_ms =
        head_read_ms_ + kBodyGraceMs + static_cast<double>(parser_.body_bytes()) / kBodyRate;
    LimitTo(std::max(1.0, std::min(kBodyStallMs, slowest_ms - now_ms)));
  }

  // A submitter that waits to be told sends its body only then.
  void InviteBody() {
    if (invited_ || !parser_.head_read() || parser_.body_bytes() > 0 || parser_.message().http_1_0) return;
    invited_ = true;
    const auto expect = parser_.message().Find("expect");
    if (!expect || !http::SameWord(*expect, "100-continue")) return;
    error_code ignored;  // one that cannot be told sends it in any case, after a wait of its own
    socket_.write_some(asio::buffer(http::kContinue), ignored);
  }

  // The answer's body comes from its node piece by piece, and goes on as the submitter takes it.
  void Pass(const Answer& answer) {
    flow_ = answer.flow;
    framing_ = answer.length > 0 ? http::Framing::kLength
               : old_form_       ? http::Framing::kToEnd
                                 : http::Framing::kChunks;
    state_ = State::kPassing;
    error_code ignored;
    // What the kernel holds is out of reach; a slow reader would else keep megabytes there.
    socket_.set_option(asio::socket_base::send_buffer_size(kSendBuffer), ignored);
    flow_->on_bytes = [weak = weak_from_this(), strand = runtime_.strand] {
      asio::post(strand, [weak] {
        if (const auto self = weak.lock()) self->PassOn();
      });
    };
    out_ = WriteAnswerHead(answer, framing_, keep_alive_);
    WritePiece();
  }

  void PassOn() {
    if (state_ != State::kPassing || !out_.empty()) return;
    std::string bytes = flow_->Take();
    if (!bytes.empty()) {
      if (framing_ == http::Framing::kChunks) {
        out_ = http::ChunkHead(bytes.size()).append(bytes).append(http::kChunkEnd);
      } else {
        out_ = std::move(bytes);
      }
      return WritePiece();
    }
    if (!flow_->Ended()) return LimitTo(0);  // the node is waited for, which is minded there
    if (!flow_->Whole()) return BreakOff();
    flow_ = nullptr;
    state_ = State::kWriting;
    if (framing_ == http::Framing::kChunks) return Write(std::string(http::kLastChunk));
    Written({});
  }

  void WritePiece() {
    LimitTo(kStallMs);
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this()](const error_code& error, std::size_t) {
                        if (self->state_ != State::kPassing) return;
                        if (error) return self->Close();
                        self->out_.clear();
                        self->PassOn();
                      });
  }

  // The submitter has to see that it is not whole. Short of its length or without the last chunk it does;
  // else only by a reset.
  void BreakOff() {
    error_code ignored;
    if (framing_ == http::Framing::kToEnd) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    Close();
  }

  void Answered(const Answer& answer) {
    if (state_ != State::kServing) return;
    CountUnread(0);
    // With the next request read already, there is no telling the submitter in time.
    if (server_.closing_ || (buffer_.size() == 0 && !server_.limits_.MayStay(runtime_.now_ms(), id_))) {
      keep_alive_ = false;
    }
    if (answer.flow) return Pass(answer);
    Write(WriteAnswer(answer, keep_alive_));
  }

  void Write(std::string bytes) {
    state_ = State::kWriting;
    CountUnread(0);
    LimitTo(kWriteMs);
    out_ = std::move(bytes);
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this()](const error_code& e, std::size_t) { self->Written(e); });
  }

  void Written(const error_code& error) {
    if (state_ == State::kClosed) return;
    if (error || left_) return Close();
    if (!keep_alive_) return Linger();
    state_ = State::kReading;
    buffer_.Trim(kIdleBuffer);
    LimitTo(0);
    server_.limits_.Rests(runtime_.now_ms(), id_);
    if (buffer_.size() > 0) server_.limits_.Began(runtime_.now_ms(), id_);
    if (server_.closing_ && !server_.leaving_ && buffer_.size() == 0) return CloseWhenIdle();
    Process();  // the next request may have come already
  }

  // Closing at once with bytes unread would reset the connection, and the answer could be lost on its way.
  void Linger() {
    state_ = State::kLingering;
    server_.limits_.Leaves(runtime_.now_ms(), id_);
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    LimitTo(kLingerMs);
  }

  SubmitterServer& server_;
  Runtime& runtime_;
  const limits::Sessions::Id id_;
  tcp::socket socket_;
  State state_ = State::kReading;
  http::Buffer buffer_;
  http::Parser parser_{http::Role::kRequest};
  JobId job_ = 0;
  bool keep_alive_ = true;
  bool proven_ = false;   // a good request has come
  bool overrun_ = false;  // what comes is thrown away, and the connection ends with what was kept
  bool left_ = false;
  bool invited_ = false;     // to send its body
  bool old_form_ = false;    // asked in HTTP/1.0
  double head_read_ms_ = 0;  // when the head of the request on its way was; 0: not yet
  std::shared_ptr<Flow> flow_;
  http::Framing framing_ = http::Framing::kLength;
  TimerWheel::Id limit_ = 0;
  std::size_t unread_ = 0;
  std::string out_;
};

SubmitterServer::SubmitterServer(Runtime& runtime, JobTable& jobs, const cartspring::Settings& settings,
                                 std::size_t most_sessions, std::size_t clients_hold, std::size_t most_unread)
    : runtime_(runtime),
      jobs_(jobs),
      settings_(settings),
      most_unread_(most_unread),
      acceptor_(runtime.strand),
      incoming_(runtime.strand),
      limits_({most_sessions, clients_hold, kHeadMs}) {}

SubmitterServer::~SubmitterServer() = default;

void SubmitterServer::Lead() {
  const int off = 0;
  ::setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_DETACH_REUSEPORT_BPF, &off, sizeof off);
}

void SubmitterServer::Listen(const tcp::endpoint& at) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  // So that a new process can listen beside this one. Where it is refused, one process alone serves all the
  // same.
  using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
  error_code ignored;
  acceptor_.set_option(ReusePort(true), ignored);
  acceptor_.bind(at);
  acceptor_.listen(asio::socket_base::max_listen_connections);
  Accept();
  TrimOften();
}

void SubmitterServer::Accept() {
  while (!limits_.HasRoom()) {
    if (!MakeRoom()) return AcceptLater();
  }
  acceptor_.async_accept(incoming_, [this](const error_code& error) { Accepted(error); });
}

void SubmitterServer::AcceptLater() {
  runtime_.wheel.Add(runtime_.now_ms() + kAcceptPauseMs, [this] {
    if (acceptor_.is_open()) Accept();
  });
}

void SubmitterServer::Accepted(const error_code& error) {
  if (error && !acceptor_.is_open()) return;
  if (error) {
    // Guards against a storm at the descriptor limit (EMFILE): the connection stays in the backlog, so that
    // trying again at once would only spin.
    runtime_.events.Write(events::kAcceptFailed, {{"why", error.message()}});
    MakeRoom();
    return AcceptLater();
  }
  Enter(std::exchange(incoming_, tcp::socket(runtime_.strand)));
  Trim();
  if (acceptor_.is_open()) Accept();
}

void SubmitterServer::Enter(tcp::socket socket) {
  const limits::Sessions::Id id = limits_.Opened(runtime_.now_ms());
  if (id >= sessions_.size()) sessions_.resize(id + 1);
  const auto session = std::make_shared<Session>(*this, id, std::move(socket));
  sessions_[id] = session;
  session->Start();
  // It was let in by the kernel before the door closed.
  if (closing_ && !leaving_) session->CloseWhenIdle();
}

// Tries the session of least use. False: there is none that may go.
bool SubmitterServer::MakeRoom() {
  const auto least = limits_.MakeRoom(runtime_.now_ms());
  if (!least) return false;
  SayShort();
  std::shared_ptr<Session>(sessions_[*least])->MakeRoom();
  return true;
}

void SubmitterServer::Trim() {
  while (const auto id = limits_.Retire(runtime_.now_ms())) {
    if (limits_.held() > limits_.kept()) SayShort();
    std::shared_ptr<Session>(sessions_[*id])->Retire();
  }
}

void SubmitterServer::TrimOften() {
  Trim();
  runtime_.wheel.Add(runtime_.now_ms() + kTrimMs, [this] {
    if (!closing_) TrimOften();
  });
}

void SubmitterServer::SayShort() {
  const double now_ms = runtime_.now_ms();
  if (said_short_ms_ > 0 && now_ms - said_short_ms_ < kSayMs) return;
  said_short_ms_ = now_ms;
  runtime_.events.Write(events::kPlacesShort, {{"sessions", limits_.Describe()}});
}

void SubmitterServer::Ended(limits::Sessions::Id id) {
  limits_.Closed(runtime_.now_ms(), id);
  sessions_[id] = nullptr;
  if (closing_) EndWhenEmpty();
}

// Looked at later: a connection that was accepted already may still be on its way in.
void SubmitterServer::EndWhenEmpty() {
  asio::post(runtime_.strand, [this] {
    if (limits_.open() == 0 && closed_) std::exchange(closed_, nullptr)();
  });
}

void SubmitterServer::Leave(std::function<void()> done) {
  closing_ = leaving_ = true;
  closed_ = std::move(done);
  // Whatever waits in a listener's queue when it closes is reset. So new connections are led to the
  // successor's first, and what the kernel had on its way here has some time to come. Where that cannot be
  // had, nothing but the moment between the last look and the close is left to chance.
  LeadAway(acceptor_.native_handle())
      ? void(runtime_.wheel.Add(runtime_.now_ms() + kQueueMs, [this] { EmptyQueue(); }))
      : EmptyQueue();
}

void SubmitterServer::EmptyQueue() {
  error_code error;
  acceptor_.cancel(error);
  acceptor_.non_blocking(true, error);
  while (!error && acceptor_.is_open()) {
    tcp::socket socket(runtime_.strand);
    acceptor_.accept(socket, error);
    if (!error) Enter(std::move(socket));
  }
  acceptor_.close(error);
  EndWhenEmpty();
}

void SubmitterServer::CatchUp() {
  const std::vector<std::shared_ptr<Session>> sessions = sessions_;
  for (const auto& session : sessions) {
    if (session) session->CatchUp();
  }
}

void SubmitterServer::Close(std::function<void()> done) {
  closing_ = true;
  leaving_ = false;
  closed_ = std::move(done);
  if (acceptor_.is_open()) EmptyQueue();  // what the kernel has let in may carry requests
  const std::vector<std::shared_ptr<Session>> sessions = sessions_;
  for (const auto& session : sessions) {
    if (session) session->CloseWhenIdle();
  }
  EndWhenEmpty();
}

}  // namespace bitternmux::net

#include <boost/asio/unyield.hpp>
