#include "net/node_pool.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <boost/asio/coroutine.hpp>
#include <optional>

#include "http/parser.h"
#include "net/protocol.h"
// Last: defines reenter and yield.
#include <boost/asio/yield.hpp>

namespace bitternmux::net {
namespace {

constexpr std::size_t kReadSize = 16 * 1024;
constexpr std::size_t kHeldBody = 64 * 1024;  // an answer is held whole up to that, and passed on above
constexpr std::size_t kFlowMost = 64 * 1024;  // on their way to the submitter, of one answer
constexpr std::size_t kFlowLeast = 4 * 1024;
constexpr std::size_t kFlowHeld = 4;  // times that may be held: while queued, framed and written, and grown
constexpr int kReceiveBuffer = 64 * 1024;  // in the kernel, of an answer that is passed on
constexpr double kStallMs = 10'000;        // without a byte of an answer that has begun
constexpr double kProbePatienceMs = 500;   // for the answer to a probe
constexpr double kSweepMs = 20;            // between looks for connections that have idled for too long

}  // namespace

// One connection to an execute node, which carries one exchange at a time. It is watched while it idles, too:
// one that becomes readable then has been closed by the node and is dropped.
class NodePool::Connection : public std::enable_shared_from_this<Connection>, private asio::coroutine {
 public:
  Connection(NodePool& pool, ConnectionId id, std::string node, std::string address)
      : pool_(pool),
        runtime_(pool.runtime_),
        id_(id),
        node_(std::move(node)),
        address_(std::move(address)),
        socket_(pool.runtime_.strand) {}

  const std::string& address() const { return address_; }

  // Without an exchange to carry, it idles once it is up.
  void Dial() {
    dialed_ms_ = runtime_.now_ms();
    const double dial_ms = pool_.settings_.dial_timeout_ms;
    if (dial_ms > 0) {
      dial_timer_ = runtime_.wheel.Add(dialed_ms_ + dial_ms, [self = shared_from_this()] {
        self->busy_ ? self->Broke(Break::kDialFailed) : self->Close();
      });
    }
    Run();
  }

  void Carry(Exchange exchange) {
    exchange_ = std::move(exchange);
    busy_ = true;
    parser_.Reset();
    const auto self = shared_from_this();
    until_timer_ = runtime_.wheel.Add(exchange_.until_ms, [self] { self->Broke(Break::kOutOfTime); });
    if (stage_ == Stage::kDialing) return;
    const bool tells_apart = exchange_.job != 0 && pool_.alike_.TellsApart(node_);
    const double until_ms = recent_.RestsUntilMs(tells_apart);
    if (runtime_.now_ms() >= until_ms) return Begin();
    // Guards against an earlier answer, written a second time, that nothing would tell from this request's.
    stage_ = Stage::kWriting;
    resting_ = true;
    rest_timer_ = runtime_.wheel.Add(until_ms, [self] {
      if (!self->Quiet()) return self->Again();
      self->resting_ = false;
      self->MayBegin() ? self->Begin() : self->Broke(Break::kNoSocket);
    });
  }

  // Has nothing come from the node since the last exchange? Guards against a request on a connection whose
  // end has arrived but was not handled yet: it would end as a reset, and may then not be sent again.
  bool Quiet() {
    char byte;
    error_code error;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
  }

  void GiveUp() {
    Tell(/*broke=*/false);
    Close();
  }

  // False: the exchange is written whole, and goes on. A connection that is not up yet is kept for another.
  bool Withdraw() {
    if (stage_ == Stage::kWaiting) return false;
    if (stage_ == Stage::kWriting) return Close(), true;
    busy_ = false;
    runtime_.wheel.Cancel(until_timer_);
    exchange_ = {};
    return true;
  }

  void Close() {
    if (closed_) return;
    closed_ = true;
    if (flow_) EndFlow(/*whole=*/false);
    for (const auto timer : {until_timer_, dial_timer_, rest_timer_}) runtime_.wheel.Cancel(timer);
    error_code ignored;
    socket_.close(ignored);
    pool_.choice_.Closed(id_);
    pool_.connections_.erase(id_);
  }

 private:
  void Run(const error_code& error = {}) {
    if (closed_) return;
    reenter(this) {
      yield socket_.async_connect(EndpointOf(address_), Resume());
      runtime_.wheel.Cancel(dial_timer_);
      if (error) {
        if (!busy_) return Close();
        // Out of descriptors is no fault of the node's.
        return Broke(error == asio::error::no_descriptors ? Break::kNoSocket : Break::kDialFailed);
      }
      Dialed();
      while (!closed_) {
        yield socket_.async_wait(tcp::socket::wait_read, Resume());
        Readable(error);
        if (!closed_ && flow_ && flow_->Full()) {
          runtime_.wheel.Cancel(until_timer_);  // it is the submitter that is waited for
          yield paused_ = true;
          if (busy_) Due(kStallMs);
        }
      }
    }
  }

  std::function<void(const error_code&)> Resume() {
    return [self = shared_from_this()](const error_code& error) {
      self->runtime_.mind();
      self->Run(error);
    };
  }

  void Dialed() {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    stage_ = Stage::kWriting;
    const double now_ms = runtime_.now_ms();
    pool_.choice_.Opened(now_ms, id_, node_, pool_.machines_.KindOf(node_), now_ms - dialed_ms_);
    if (busy_) return MayBegin() ? Begin() : Broke(Break::kNoSocket);
    IsWanted() ? pool_.Idles(id_) : Close();
  }

  bool IsWanted() const {
    return pool_.machines_.IsLive(node_) && pool_.machines_.AddressOf(node_) == address_;
  }

  // Guards rule 3: the node may have been told to drain, or have come back elsewhere, while the claim waited
  // for its connection. And rule 2: a repeat may come too late for its node to drop it.
  bool MayBegin() const { return IsWanted() && runtime_.now_ms() <= exchange_.out_by_ms; }

  void Begin() {
    stage_ = Stage::kWriting;
    written_ = 0;
    answered_ = false;
    begun_ms_ = runtime_.now_ms();
    pool_.choice_.Begun(id_);
    recent_.Begun(begun_ms_);
    Write();
  }

  std::size_t Size() const { return exchange_.head.size() + (exchange_.body ? exchange_.body->size() : 0); }

  // Written here and not by async_write, so that it is known at any time whether the last byte is out: what
  // was written in part never ran, and the rest may have.
  void Write() {
    error_code error;
    while (written_ < Size() && !error) {
      const std::string& head = exchange_.head;
      const std::size_t of_body = written_ - std::min(written_, head.size());
      std::array<asio::const_buffer, 2> rest = {asio::buffer(head) + std::min(written_, head.size())};
      if (exchange_.body) rest[1] = asio::buffer(*exchange_.body) + of_body;
      written_ += socket_.write_some(rest, error);
    }
    if (error == asio::error::would_block) {
      socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](const error_code& e) {
        if (self->closed_ || !self->busy_ || e) return;
        self->runtime_.now_ms() <= self->exchange_.out_by_ms ? self->Write() : self->Broke(Break::kNoSocket);
      });
    } else if (error) {
      // Told later: the job table must not hear of a claim's end from within its start.
      asio::post(runtime_.strand, [self = shared_from_this()] { self->Broke(Break::kConnection); });
    } else {
      stage_ = Stage::kWaiting;
      if (exchange_.job != 0) pool_.jobs_.ClaimWritten();
    }
  }

  void Readable(const error_code& error) {
    if (closed_) return;
    if (!busy_) return ReadableWhileIdle();
    if (resting_) return Quiet() ? void() : Again();
    error_code failure = error;
    if (!failure) {
      const std::size_t size = flow_ ? std::min(kReadSize, flow_->most()) : kReadSize;
      const std::size_t count = socket_.read_some(asio::buffer(buffer_.Prepare(size), size), failure);
      if (failure == asio::error::would_block) return;
      if (!failure) buffer_.Commit(count);
      answered_ = answered_ || !failure;
    }
    if (failure == asio::error::eof && stage_ == Stage::kWaiting && parser_.EndsWhole())
      return Whole(std::nullopt);
    // Guards against what was left behind on the connection: what comes before a request is written whole is
    // no answer to it.
    if (failure || stage_ != Stage::kWaiting) return Broke(Break::kConnection);
    while (true) {
      const http::Progress progress = parser_.Parse(buffer_);
      if (progress == http::Progress::kBad) return Broke(Break::kConnection);
      if (progress == http::Progress::kMore) return Passes();
      const auto digest = DigestOfAnswer();
      if (!DropsDuplicate(digest)) return Whole(digest);
    }
  }

  // The answer, or more of it, is there and not whole.
  void Passes() {
    const http::Message& message = parser_.message();
    if (!parser_.head_read()) return;
    if (!flow_) {
      if (std::max(parser_.length(), message.body.size()) <= kHeldBody) return;
      // What is no claim's, or no answer that would be served, is bounded as ever.
      if (!exchange_.began || message.status != 200) return Broke(Break::kConnection);
      flow_ = std::make_shared<Flow>(pool_.FlowBytes());
      ++pool_.flows_;
      error_code ignored;
      socket_.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer), ignored);
      flow_->on_room = [weak = weak_from_this()] {
        if (const auto self = weak.lock()) self->RoomAgain();
      };
      std::string body = parser_.TakeBody();
      ClaimEnd begun = ClassifyAnswer(message);
      begun.flow = flow_;
      begun.length = parser_.length();
      if (!exchange_.began(std::move(begun))) flow_->Abandon();
      if (closed_) return;
      flow_->Put(std::move(body));
    } else {
      flow_->Put(parser_.TakeBody());
    }
    Due(kStallMs);
  }

  // Guards against a node that stops in the middle: its connection would stay for good.
  void Due(double ms) {
    runtime_.wheel.Cancel(until_timer_);
    until_timer_ = runtime_.wheel.Add(runtime_.now_ms() + ms,
                                      [self = shared_from_this()] { self->Broke(Break::kConnection); });
  }

  void EndFlow(bool whole) {
    --pool_.flows_;
    std::exchange(flow_, nullptr)->End(whole);
  }

  void RoomAgain() {
    asio::post(runtime_.strand, [self = shared_from_this()] {
      if (!self->closed_ && std::exchange(self->paused_, false)) self->Run();
    });
  }

  // Of the answer that is whole. None for what may truly be alike from one request to the next: a probe's,
  // and anything but a request served; nor for what was passed on and is not held.
  using Digest = std::optional<std::uint64_t>;
  Digest DigestOfAnswer() const {
    const http::Message& message = parser_.message();
    if (exchange_.job == 0 || message.status != 200 || flow_) return std::nullopt;
    limits::Digest digest;
    for (const auto& [name, value] : message.headers) digest.Add(name).Add(value);
    return digest.Add(message.body).value();
  }

  // Guards against an earlier answer that comes again: the request waits on for its own.
  bool DropsDuplicate(const Digest& digest) {
    const bool doubted = recent_.dropped();
    if (!digest || !recent_.IsDuplicate(*digest)) return false;
    if (!doubted) pool_.alike_.Doubt(node_);
    parser_.Reset();
    answered_ = buffer_.size() > 0;
    return true;
  }

  // The request has its own answer.
  void Whole(const Digest& digest) {
    if (recent_.dropped()) pool_.alike_.Settle(node_, /*answered=*/true);
    const auto alike = recent_.Answered(runtime_.now_ms(), digest);
    if (alike) pool_.alike_.Seen(node_, *alike);
    const bool reusable =
        parser_.message().keep_alive && buffer_.size() == 0 && pool_.machines_.IsLive(node_);
    if (reusable) Acknowledge();
    if (flow_) {
      flow_->Put(parser_.TakeBody());
      EndFlow(/*whole=*/true);
    }
    End(ClassifyAnswer(parser_.Take()), reusable);
  }

  // Guards against a second answer that the node's system holds back until the first is acknowledged (Nagle's
  // algorithm): left to delayed acknowledgements it would come with the next request's, however long after.
  void Acknowledge() {
    error_code ignored;
    socket_.set_option(asio::detail::socket_option::boolean<IPPROTO_TCP, TCP_QUICKACK>(true), ignored);
  }

  void ReadableWhileIdle() {
    char byte;
    error_code error;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (error == asio::error::would_block) return;
    // Bytes that nobody asked for say nothing of how long the node keeps a connection.
    const bool ahead = error && pool_.choice_.ClosedByNode(runtime_.now_ms(), id_);
    Close();
    if (ahead) pool_.DialAhead(node_, address_);
  }

  // The node has ended the connection, or written what nobody asked for, before anything of the exchange was
  // out.
  void Again() {
    if (!MayBegin()) return Broke(Break::kNoSocket);
    Exchange exchange = std::move(exchange_);
    busy_ = false;
    Close();
    pool_.Begin(node_, address_, std::move(exchange));
  }

  // The exchange comes to nothing. A claim that is given up closes its connection.
  void Broke(Break what) {
    if (closed_ || !busy_) return;
    Tell(what == Break::kConnection);
    ClaimEnd end;
    end.outcome = ClassifyBreak(stage_, what);
    End(std::move(end), false);
  }

  void Tell(bool broke) {
    if (recent_.dropped()) pool_.alike_.Settle(node_, /*answered=*/false);
    pool_.choice_.Ended(runtime_.now_ms(), id_, {answered_, broke, runtime_.now_ms() - begun_ms_});
  }

  void End(ClaimEnd end, bool reusable) {
    busy_ = false;
    runtime_.wheel.Cancel(until_timer_);
    const Ended ended = std::move(exchange_.ended);
    buffer_.Trim(kReadSize);
    // The connection is back in the pool, or closed, before anyone hears of it and may want one.
    if (reusable) {
      Tell(/*broke=*/false);
      pool_.Idles(id_);
    } else {
      Close();
    }
    ended(std::move(end));
  }

  NodePool& pool_;
  Runtime& runtime_;
  const ConnectionId id_;
  const std::string node_, address_;
  tcp::socket socket_;
  Stage stage_ = Stage::kDialing;
  Exchange exchange_;
  std::size_t written_ = 0;
  double dialed_ms_ = 0, begun_ms_ = 0;
  std::shared_ptr<Flow> flow_;  // of an answer that is passed on as it comes
  bool paused_ = false;         // nothing is read until the flow has room
  bool answered_ = false;       // at least one byte came back
  bool busy_ = false;
  bool resting_ = false;  // it carries an exchange that is not begun yet
  bool closed_ = false;
  limits::RecentAnswers recent_;
  http::Buffer buffer_;
  http::Parser parser_{http::Role::kResponse};
  TimerWheel::Id until_timer_ = 0, dial_timer_ = 0, rest_timer_ = 0;
};

NodePool::NodePool(Runtime& runtime, JobTable& jobs, const MachineList& machines,
                   const cartspring::Settings& settings, std::size_t most_connections,
                   std::size_t most_passing)
    : runtime_(runtime),
      jobs_(jobs),
      machines_(machines),
      settings_(settings),
      most_connections_(most_connections),
      most_passing_(most_passing),
      choice_(settings) {}

NodePool::~NodePool() = default;

void NodePool::Start(const Claim& claim, const Job& job) {
  const auto ended = [this, claim](ClaimEnd end) {
    const auto found = out_.find(claim.job);
    if (found != out_.end() && found->second.first == claim.number) out_.erase(found);
    jobs_.ClaimEnded(runtime_.now_ms(), claim, std::move(end));
  };
  const double wait_ms = claim.until_ms - runtime_.now_ms();
  Begin(claim.node, claim.address,
        {WriteClaim(job, claim.address, wait_ms), job.body, claim.until_ms, claim.out_by_ms, job.klass,
         job.work_hint_ms, claim.job, claim.number, ended, [this, claim](ClaimEnd begun) {
           return jobs_.ClaimBegan(runtime_.now_ms(), claim, std::move(begun));
         }});
}

void NodePool::GiveUp(JobId job, int number) {
  const auto found = out_.find(job);
  if (found == out_.end() || found->second.first != number) return;
  const Handle connection = std::move(found->second.second);
  out_.erase(found);
  connection->GiveUp();
}

void NodePool::Withdraw(JobId job, int number) {
  const auto found = out_.find(job);
  if (found == out_.end() || found->second.first != number) return;
  const Handle connection = found->second.second;
  if (connection->Withdraw()) out_.erase(job);
}

void NodePool::Probe(const std::string& node, const std::string& address) {
  const double asked_ms = runtime_.now_ms();
  Exchange exchange;
  exchange.head = WriteProbe(address);
  exchange.until_ms = asked_ms + kProbePatienceMs;
  exchange.ended = [this, node, asked_ms](ClaimEnd end) {
    const double now_ms = runtime_.now_ms();
    const bool answered = end.outcome == cartspring::Outcome::kServed;
    if (answered && !end.load) end.load = ReadLoad(end.body);
    jobs_.NodeProbed(now_ms, node, answered, now_ms - asked_ms, end.load);
  };
  Begin(node, address, std::move(exchange));
}

void NodePool::Begin(const std::string& node, const std::string& address, Exchange exchange) {
  const int kind = machines_.KindOf(node);
  const bool rests = exchange.job == 0 || !alike_.TellsApart(node);
  while (const ConnectionId id =
             choice_.Take(runtime_.now_ms(), node, kind, exchange.klass, exchange.work_ms, rests)) {
    const Handle connection = connections_.at(id);
    if (connection->address() == address && connection->Quiet()) {
      return Carry(connection, std::move(exchange));
    }
    connection->Close();
  }
  Dial(node, address, std::move(exchange));
}

void NodePool::Carry(const Handle& connection, Exchange exchange) {
  if (exchange.job != 0) out_[exchange.job] = {exchange.number, connection};
  connection->Carry(std::move(exchange));
}

void NodePool::Dial(const std::string& node, const std::string& address, Exchange exchange) {
  if (address.empty() || (connections_.size() >= most_connections_ && !MakeRoom())) {
    ClaimEnd end;
    end.outcome = ClassifyBreak(Stage::kDialing, Break::kNoSocket);
    asio::post(runtime_.strand, [ended = std::move(exchange.ended), end] { ended(end); });
    return;
  }
  const Handle connection = Open(node, address);
  Carry(connection, std::move(exchange));
  connection->Dial();
}

void NodePool::DialAhead(const std::string& node, const std::string& address) {
  if (!machines_.IsLive(node) || connections_.size() >= most_connections_) return;
  Open(node, address)->Dial();
}

NodePool::Handle NodePool::Open(const std::string& node, const std::string& address) {
  const auto connection = std::make_shared<Connection>(*this, ++last_id_, node, address);
  connections_.emplace(last_id_, connection);
  return connection;
}

// Closes the connection that has idled longest.
bool NodePool::MakeRoom() {
  if (const ConnectionId oldest = choice_.Oldest()) connections_.at(oldest)->Close();
  return connections_.size() < most_connections_;
}

// The share of one more answer. Many have little each: then it is not the sidecar that they wait for.
std::size_t NodePool::FlowBytes() const {
  return std::clamp(most_passing_ / (kFlowHeld * (flows_ + 1)), kFlowLeast, kFlowMost);
}

void NodePool::Idles(ConnectionId id) {
  choice_.Idles(runtime_.now_ms(), id);
  if (!std::exchange(sweeping_, true)) Sweep();
}

void NodePool::Sweep() {
  for (const ConnectionId id : choice_.Retire(runtime_.now_ms())) connections_.at(id)->Close();
  sweeping_ = choice_.Oldest() != 0;
  if (sweeping_) runtime_.wheel.Add(runtime_.now_ms() + kSweepMs, [this] { Sweep(); });
}

void NodePool::Prune() {
  alike_.Serving(machines_.Live());
  for (const ConnectionId id : choice_.Serving(machines_.Live())) connections_.at(id)->Close();
}

}  // namespace bitternmux::net

#include <boost/asio/unyield.hpp>
