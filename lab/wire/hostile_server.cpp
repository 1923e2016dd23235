#include "lab/wire/hostile_server.h"

#include <algorithm>
#include <utility>

#include "http/buffer.h"

namespace bitternmux::lab::wire {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadBytes = 16 * 1024;
constexpr int kMisdirectedStatus = 421, kNotExecutedStatus = 503, kFailureStatus = 500;

}  // namespace

// Connections hold it, so that they may outlive the server.
struct HostileServer::State {
  State(asio::io_context& io, std::string its_id, const std::string& ip, Recorder& its_recorder,
        Planner its_planner)
      : id(std::move(its_id)),
        acceptor(io, tcp::endpoint(asio::ip::make_address(ip), 0)),
        recorder(its_recorder),
        planner(std::move(its_planner)) {}
  const std::string id;
  tcp::acceptor acceptor;
  Recorder& recorder;
  const Planner planner;
  std::size_t connections = 0;
};

class HostileServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<State> state, tcp::socket socket)
      : state_(std::move(state)), socket_(std::move(socket)) {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    ++state_->connections;
  }
  ~Connection() { --state_->connections; }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Read() {
    socket_.async_read_some(asio::buffer(buffer_.Prepare(kReadBytes), kReadBytes),
                            [self = shared_from_this()](const error_code& error, std::size_t size) {
                              if (error) return;
                              self->buffer_.Commit(size);
                              self->Process();
                            });
  }

 private:
  void Process() {
    const http::Progress progress = parser_.Parse(buffer_);
    if (progress == http::Progress::kBad) return Reset();
    if (progress == http::Progress::kMore) return Read();
    const http::Message request = parser_.Take();
    parser_.Reset();
    Serve(request);
  }

  void Serve(const http::Message& request) {
    const auto header = [&](std::string_view name) { return std::string(request.Find(name).value_or("")); };
    Run run;
    run.request_id = header("x-request-id");
    run.server = state_->id;
    run.path = request.target;
    run.body = request.body;
    const int arrival = state_->recorder.Arrive(run.request_id);
    Order order = state_->planner(request, arrival);
    if (header("x-expected-instance") != state_->id) order.plan.kind = AnswerPlan::Kind::kMisdirected;
    const std::string mark = run.request_id + "." + std::to_string(arrival) + "." + state_->id;
    Make(order, mark, header("last-event-id"), run);
    plan_ = order.plan;
    out_ = AnswerBytes(plan_, run);
    // It would be a whole answer to everybody.
    if (plan_.cut_at && LooksWhole(plan_, out_, order.streaming)) plan_.ending = Ending::kReset;
    const std::string again = plan_.second_answer == SecondAnswer::kNone ? "" : out_;
    if (plan_.second_answer == SecondAnswer::kAtOnce) out_ += again;
    if (plan_.cut_at) out_.resize(std::min(out_.size(), *plan_.cut_at));
    out_.insert(0, std::exchange(late_, plan_.second_answer == SecondAnswer::kBeforeNext ? again : ""));
    run.sound = !plan_.cut_at && plan_.kind == AnswerPlan::Kind::kAnswer;
    state_->recorder.Add(std::move(run));
    written_ = 0;
    Write();
  }

  static void Make(const Order& order, const std::string& mark, const std::string& last_event, Run& run) {
    switch (order.plan.kind) {
      case AnswerPlan::Kind::kMisdirected:
        run.executed = false;
        run.status = kMisdirectedStatus;
        return;
      case AnswerPlan::Kind::kNotExecuted:
        run.executed = false;
        run.status = kNotExecutedStatus;
        return;
      case AnswerPlan::Kind::kFailure:
        run.status = kFailureStatus;
        run.seal = "failed." + mark;
        run.answer = "failed";
        return;
      case AnswerPlan::Kind::kAnswer:
        break;
    }
    run.seal = "seal." + mark;
    if (!order.streaming) {
      run.answer = "answer of " + mark;
      return;
    }
    const auto last = http::WholeNumber(last_event);
    run.first_event = last ? *last + 1 : 0;
    for (std::uint64_t number = run.first_event; number < order.event_count; ++number)
      run.events.push_back(MakeEvent(number, mark, order.plan.line_end));
  }

  void Write() {
    const std::size_t left = out_.size() - written_;
    if (left == 0) return Written();
    const std::size_t size = plan_.write_bytes == 0 ? left : std::min(left, plan_.write_bytes);
    asio::async_write(socket_, asio::buffer(out_.data() + written_, size),
                      [self = shared_from_this()](const error_code& error, std::size_t count) {
                        if (error) return;
                        self->written_ += count;
                        self->Write();
                      });
  }

  void Written() {
    if (plan_.cut_at) {
      if (plan_.ending == Ending::kReset) return Reset();
      if (plan_.ending == Ending::kClose) return Close();
      return AwaitEnd();
    }
    if (plan_.kind == AnswerPlan::Kind::kAnswer && plan_.framing == Framing::kUntilClose) return Close();
    buffer_.size() > 0 ? Process() : Read();
  }

  // Says nothing more until the other side ends the connection.
  void AwaitEnd() {
    socket_.async_read_some(asio::buffer(buffer_.Prepare(kReadBytes), kReadBytes),
                            [self = shared_from_this()](const error_code& error, std::size_t) {
                              if (!error) self->AwaitEnd();
                            });
  }

  void Close() {
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
  }

  void Reset() {
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
  }

  const std::shared_ptr<State> state_;
  tcp::socket socket_;
  http::Buffer buffer_;
  http::Parser parser_{http::Role::kRequest};
  AnswerPlan plan_;
  std::string out_;
  std::string late_;  // the answer before, which is sent once more in front of the next one
  std::size_t written_ = 0;
};

HostileServer::HostileServer(asio::io_context& io, std::string id, const std::string& ip, Recorder& recorder,
                             Planner planner)
    : state_(std::make_shared<State>(io, std::move(id), ip, recorder, std::move(planner))) {
  Accept(state_);
}

HostileServer::~HostileServer() {
  error_code ignored;
  state_->acceptor.close(ignored);
}

const std::string& HostileServer::id() const { return state_->id; }

std::string HostileServer::address() const {
  const tcp::endpoint at = state_->acceptor.local_endpoint();
  return at.address().to_string() + ":" + std::to_string(at.port());
}

std::size_t HostileServer::connections() const { return state_->connections; }

void HostileServer::Accept(const std::shared_ptr<State>& state) {
  state->acceptor.async_accept([state](const error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || !state->acceptor.is_open()) return;
    if (!error) std::make_shared<Connection>(state, std::move(socket))->Read();
    Accept(state);
  });
}

}  // namespace bitternmux::lab::wire
