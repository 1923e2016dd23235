#include "net/node_pool.h"

#include <algorithm>
#include <boost/asio/coroutine.hpp>

#include "http/parser.h"
#include "net/protocol.h"
// Last: defines reenter and yield.
#include <boost/asio/yield.hpp>

namespace bitternmux::net {
namespace {

constexpr std::size_t kReadSize = 16 * 1024;
constexpr double kIdleShare = 0.5;        // of the time after which a node closes an idle connection
constexpr double kProbePatienceMs = 500;  // for the answer to a probe

}  // namespace

// One connection to an execute node, which carries one exchange at a time. It is watched while it idles, too:
// one that becomes readable then has been closed by the node and is dropped.
class NodePool::Connection : public std::enable_shared_from_this<Connection>, private asio::coroutine {
 public:
  Connection(NodePool& pool, std::string node, std::string address)
      : pool_(pool),
        runtime_(pool.runtime_),
        node_(std::move(node)),
        address_(std::move(address)),
        socket_(pool.runtime_.strand) {}

  const std::string& node() const { return node_; }
  const std::string& address() const { return address_; }
  double idle_since_ms() const { return idle_since_ms_; }

  void Carry(Exchange exchange) {
    exchange_ = std::move(exchange);
    written_ = 0;
    busy_ = true;
    runtime_.wheel.Cancel(idle_timer_);
    parser_.Reset();
    const auto self = shared_from_this();
    until_timer_ = runtime_.wheel.Add(exchange_.until_ms, [self] { self->Broke(Break::kOutOfTime); });
    if (stage_ != Stage::kDialing) return Write();
    const double dial_ms = pool_.settings_.dial_timeout_ms;
    if (dial_ms > 0) {
      dial_timer_ =
          runtime_.wheel.Add(runtime_.now_ms() + dial_ms, [self] { self->Broke(Break::kDialFailed); });
    }
    Run();
  }

  // Has nothing come from the node since the last exchange? Guards against a request on a connection whose
  // end has arrived but was not handled yet: it would end as a reset, and may then not be sent again.
  bool Quiet() {
    char byte;
    error_code error;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
  }

  void Close() {
    if (closed_) return;
    closed_ = true;
    for (const auto timer : {until_timer_, dial_timer_, idle_timer_}) runtime_.wheel.Cancel(timer);
    error_code ignored;
    socket_.close(ignored);
    pool_.Closed(shared_from_this());
  }

 private:
  void Run(const error_code& error = {}) {
    if (closed_) return;
    reenter(this) {
      yield socket_.async_connect(EndpointOf(address_), Resume());
      runtime_.wheel.Cancel(dial_timer_);
      if (error) {
        // Out of descriptors is no fault of the node's.
        return Broke(error == asio::error::no_descriptors ? Break::kNoSocket : Break::kDialFailed);
      }
      Dialed();
      while (!closed_) {
        yield socket_.async_wait(tcp::socket::wait_read, Resume());
        Readable(error);
      }
    }
  }

  std::function<void(const error_code&)> Resume() {
    return [self = shared_from_this()](const error_code& error) { self->Run(error); };
  }

  void Dialed() {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    Write();
  }

  // Written here and not by async_write, so that it is known at any time whether the last byte is out: what
  // was written in part never ran, and the rest may have.
  void Write() {
    stage_ = Stage::kWriting;
    error_code error;
    while (written_ < exchange_.bytes.size() && !error) {
      written_ += socket_.write_some(
          asio::buffer(exchange_.bytes.data() + written_, exchange_.bytes.size() - written_), error);
    }
    if (error == asio::error::would_block) {
      socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](const error_code& e) {
        if (!self->closed_ && self->busy_ && !e) self->Write();
      });
    } else if (error) {
      // Told later: the job table must not hear of a claim's end from within its start.
      asio::post(runtime_.strand, [self = shared_from_this()] { self->Broke(Break::kConnection); });
    } else {
      stage_ = Stage::kWaiting;
    }
  }

  void Readable(const error_code& error) {
    if (closed_) return;
    if (!busy_) return Close();
    error_code failure = error;
    if (!failure) {
      const std::size_t count =
          socket_.read_some(asio::buffer(buffer_.Prepare(kReadSize), kReadSize), failure);
      if (failure == asio::error::would_block) return;
      if (!failure) buffer_.Commit(count);
    }
    // Guards against what was left behind on the connection: what comes before a request is written whole is
    // no answer to it.
    if (failure || stage_ != Stage::kWaiting) return Broke(Break::kConnection);
    const http::Progress progress = parser_.Parse(buffer_);
    if (progress == http::Progress::kMore) return;
    if (progress == http::Progress::kBad) return Broke(Break::kConnection);
    const bool reusable =
        parser_.message().keep_alive && buffer_.size() == 0 && pool_.machines_.IsLive(node_);
    End(ClassifyAnswer(parser_.Take()), reusable);
  }

  // The exchange comes to nothing. A claim that is given up closes its connection.
  void Broke(Break what) {
    if (closed_ || !busy_) return;
    ClaimEnd end;
    end.outcome = ClassifyBreak(stage_, what);
    End(std::move(end), false);
  }

  void End(ClaimEnd end, bool reusable) {
    busy_ = false;
    runtime_.wheel.Cancel(until_timer_);
    const Ended ended = std::move(exchange_.ended);
    // The connection is back in the pool, or closed, before anyone hears of it and may want one.
    if (reusable) {
      idle_since_ms_ = runtime_.now_ms();
      // Retired well before the node closes it: a request that crosses such a close ends as a reset.
      const double retire_ms = kIdleShare * pool_.settings_.connection_idle_ms;
      if (retire_ms > 0) {
        idle_timer_ =
            runtime_.wheel.Add(idle_since_ms_ + retire_ms, [self = shared_from_this()] { self->Close(); });
      }
      pool_.Idles(shared_from_this());
    } else {
      Close();
    }
    ended(std::move(end));
  }

  NodePool& pool_;
  Runtime& runtime_;
  const std::string node_, address_;
  tcp::socket socket_;
  Stage stage_ = Stage::kDialing;
  Exchange exchange_;
  std::size_t written_ = 0;
  bool busy_ = false;
  bool closed_ = false;
  double idle_since_ms_ = 0;
  http::Buffer buffer_;
  http::Parser parser_{http::Role::kResponse};
  TimerWheel::Id until_timer_ = 0, dial_timer_ = 0, idle_timer_ = 0;
};

NodePool::NodePool(Runtime& runtime, JobTable& jobs, const MachineList& machines,
                   const cartspring::Settings& settings, std::size_t most_connections)
    : runtime_(runtime),
      jobs_(jobs),
      machines_(machines),
      settings_(settings),
      most_connections_(most_connections) {}

NodePool::~NodePool() = default;

void NodePool::Start(const Claim& claim, const Job& job) {
  const auto ended = [this, claim](ClaimEnd end) {
    out_.erase(claim.job);
    jobs_.ClaimEnded(runtime_.now_ms(), claim, std::move(end));
  };
  const double wait_ms = claim.until_ms - runtime_.now_ms();
  const Handle connection =
      Begin(claim.node, claim.address, {WriteClaim(job, claim.address, wait_ms), claim.until_ms, ended});
  if (connection) out_[claim.job] = {claim.number, connection};
}

void NodePool::GiveUp(JobId job, int number) {
  const auto found = out_.find(job);
  if (found == out_.end() || found->second.first != number) return;
  const Handle connection = std::move(found->second.second);
  out_.erase(found);
  connection->Close();
}

void NodePool::Probe(const std::string& node, const std::string& address) {
  const double asked_ms = runtime_.now_ms();
  Begin(node, address,
        {WriteProbe(address), asked_ms + kProbePatienceMs, [this, node, asked_ms](ClaimEnd end) {
           const double now_ms = runtime_.now_ms();
           const bool answered = end.outcome == cartspring::Outcome::kServed;
           if (answered && !end.load) end.load = ReadLoad(end.body);
           jobs_.NodeProbed(now_ms, node, answered, now_ms - asked_ms, end.load);
         }});
}

NodePool::Handle NodePool::Begin(const std::string& node, const std::string& address, Exchange exchange) {
  Handle connection = TakeIdle(node, address);
  if (!connection) {
    if (address.empty() || (connections_.size() >= most_connections_ && !MakeRoom())) {
      ClaimEnd end;
      end.outcome = ClassifyBreak(Stage::kDialing, Break::kNoSocket);
      asio::post(runtime_.strand, [ended = std::move(exchange.ended), end] { ended(end); });
      return nullptr;
    }
    connection = std::make_shared<Connection>(*this, node, address);
    connections_.insert(connection);
  }
  connection->Carry(std::move(exchange));
  return connection;
}

NodePool::Handle NodePool::TakeIdle(const std::string& node, const std::string& address) {
  for (auto found = idle_.find(node); found != idle_.end(); found = idle_.find(node)) {
    const Handle connection = found->second.back();
    if (connection->address() == address && connection->Quiet()) {
      found->second.pop_back();
      if (found->second.empty()) idle_.erase(found);
      return connection;
    }
    connection->Close();
  }
  return nullptr;
}

// Closes the connection that has idled longest.
bool NodePool::MakeRoom() {
  Handle idlest;
  for (const auto& [node, idle] : idle_) {
    if (!idle.empty() && (!idlest || idle.front()->idle_since_ms() < idlest->idle_since_ms()))
      idlest = idle.front();
  }
  if (idlest) idlest->Close();
  return connections_.size() < most_connections_;
}

void NodePool::Idles(const Handle& connection) { idle_[connection->node()].push_back(connection); }

void NodePool::Closed(const Handle& connection) {
  connections_.erase(connection);
  const auto found = idle_.find(connection->node());
  if (found == idle_.end()) return;
  std::erase(found->second, connection);
  if (found->second.empty()) idle_.erase(found);  // or the ids of a long day's nodes would pile up
}

void NodePool::Prune() {
  std::vector<Handle> closing;
  for (const auto& [node, idle] : idle_) {
    if (!machines_.IsLive(node)) closing.insert(closing.end(), idle.begin(), idle.end());
  }
  for (const Handle& connection : closing) connection->Close();
}

}  // namespace bitternmux::net

#include <boost/asio/unyield.hpp>
