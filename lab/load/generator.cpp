#include "lab/load/generator.h"

#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/coroutine.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <chrono>
#include <cmath>
#include <csignal>
#include <deque>
#include <memory>
#include <set>
#include <stdexcept>
#include <utility>

#include "http/buffer.h"
#include "http/parser.h"
#include "http/writer.h"
// Last: defines reenter and yield.
#include <boost/asio/yield.hpp>

namespace bitternmux::lab::load {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kReadSize = 16 * 1024;
constexpr std::size_t kOwnDescriptors = 32;  // what the process needs beside its connections
constexpr double kUpMs = 5000;               // for GET /up to answer
constexpr double kSweepMs = 10;              // between looks at what waits, once nothing more is due
constexpr std::size_t kBodyBytes = 200;

Clock::duration Ms(double ms) {
  return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double, std::milli>(ms));
}

tcp::endpoint EndpointOf(const std::string& text) {
  const auto colon = text.rfind(':');
  error_code error;
  std::uint16_t port = 0;
  if (colon != text.npos) {
    const auto address = asio::ip::make_address(text.substr(0, colon), error);
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (!error && parsed.ec == std::errc() && parsed.ptr == end && port > 0) return {address, port};
  }
  throw std::invalid_argument("'" + text + "': no address of the form ip:port");
}

// splitmix64 (Steele, Lea, Flood 2014): ids of different seeds have nothing in common.
std::uint64_t Mixed(std::uint64_t seed) {
  seed += 0x9e3779b97f4a7c15;
  seed = (seed ^ (seed >> 30)) * 0xbf58476d1ce4e5b9;
  seed = (seed ^ (seed >> 27)) * 0x94d049bb133111eb;
  return seed ^ (seed >> 31);
}

std::string IdOf(std::uint64_t seed, std::uint64_t number) {
  std::string id(16, '0');
  std::uint64_t value = (Mixed(seed) & 0xffffffff00000000) | number;
  for (std::size_t i = id.size(); i-- > 0; value >>= 4) id[i] = "0123456789abcdef"[value & 15];
  return id;
}

struct Request {
  bool up = false;  // GET /up, before the load
  std::uint64_t number = 0;
  std::size_t klass = 0;
  double due_ms = 0, until_ms = 0;
  bool again = false;  // its kept connection was closed: this time on a new one
};

class Link;

class Generator {
 public:
  explicit Generator(const Plan& plan)
      : plan_(plan),
        endpoint_(EndpointOf(plan.to)),
        schedule_(plan.shape, plan.classes, plan.seed),
        io_(1),
        timer_(io_),
        signals_(io_),
        result_(plan.classes.size()) {
    result_.planned = schedule_.count();
  }

  Result Run();

  // For its links.
  asio::io_context& io() { return io_; }
  const tcp::endpoint& endpoint() const { return endpoint_; }
  Clock::time_point start() const { return start_; }
  double now_ms() const { return std::chrono::duration<double, std::milli>(Clock::now() - start_).count(); }
  std::string TextOf(const Request& request) const;
  void Opened() { ++result_.connections; }
  void Ended(const Request& request, Outcome outcome);
  void Idle(Link& link) { idle_.push_back(&link); }
  void Closed(const std::shared_ptr<Link>& link);
  void SendAgain(Request request) {
    request.again = true;
    waiting_.push_front(request);
  }
  // Sends what waits on what is free.
  void Dispatch();

 private:
  void Begin();
  void Tick();
  void Arm(double at_ms);

  const Plan& plan_;
  const tcp::endpoint endpoint_;
  Schedule schedule_;
  asio::io_context io_;
  asio::steady_timer timer_;
  asio::signal_set signals_;
  Clock::time_point start_ = Clock::now();
  std::deque<Request> waiting_;
  std::set<std::shared_ptr<Link>> links_;
  std::vector<Link*> idle_;  // the one that was used last is used first
  std::uint64_t ended_ = 0;
  bool begun_ = false;
  Result result_;
};

// One connection, with at most one request on it.
class Link : public std::enable_shared_from_this<Link>, private asio::coroutine {
 public:
  explicit Link(Generator& generator)
      : generator_(generator),
        socket_(generator.io()),
        limit_(generator.io()),
        parser_(http::Role::kResponse) {}

  void Take(const Request& request) {
    request_ = request;
    busy_ = true;
    answer_begun_ = written_ = false;
    limit_.expires_at(generator_.start() + Ms(request.until_ms));
    limit_.async_wait([self = shared_from_this(), number = request.number](const error_code& error) {
      if (!error && self->busy_ && self->request_.number == number) self->End(Outcome::kTimedOut, false);
    });
    if (connected_) return Write();
    socket_.async_connect(generator_.endpoint(),
                          [self = shared_from_this()](const error_code& error) { self->Connected(error); });
  }

  void Close() {
    if (std::exchange(closed_, true)) return;
    error_code ignored;
    socket_.close(ignored);
    limit_.cancel();
    generator_.Closed(shared_from_this());
  }

 private:
  void Connected(const error_code& error) {
    if (closed_) return;
    if (error) return End(Outcome::kUnreachable, false);
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    connected_ = true;
    generator_.Opened();
    Write();
    Read();
  }

  void Write() {
    out_ = generator_.TextOf(request_);
    // What goes wrong here is met by the read.
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this()](const error_code& error, std::size_t) {
                        if (!error) self->written_ = true;
                      });
  }

  void Read(const error_code& error = {}, std::size_t count = 0) {
    reenter(this) {
      for (;;) {
        yield socket_.async_read_some(
            asio::buffer(buffer_.Prepare(kReadSize), kReadSize),
            [self = shared_from_this()](const error_code& e, std::size_t size) { self->Read(e, size); });
        if (closed_) return;
        if (error) return Broken();
        buffer_.Commit(count);
        if (!busy_) return Close();  // it says what nobody asked for
        answer_begun_ = true;
        switch (parser_.Parse(buffer_)) {
          case http::Progress::kMore:
            break;
          case http::Progress::kBad:
            return End(Outcome::kFailed, false);
          case http::Progress::kDone:
            Answered();
            if (closed_) return;
        }
      }
    }
  }

  void Broken() {
    if (!busy_) return Close();
    if (used_before_ && !answer_begun_) {
      busy_ = false;
      generator_.SendAgain(request_);
      return Close();
    }
    End(Outcome::kLost, false);
  }

  void Answered() {
    const int status = parser_.message().status;
    const bool keep = parser_.message().keep_alive && written_ && buffer_.size() == 0;
    parser_.Reset();
    End(status == 200                    ? Outcome::kServed
        : status == 429 || status == 503 ? Outcome::kRefused
                                         : Outcome::kFailed,
        keep);
  }

  void End(Outcome outcome, bool keep) {
    busy_ = false;
    used_before_ = true;
    limit_.cancel();
    generator_.Ended(request_, outcome);
    if (!keep) return Close();
    generator_.Idle(*this);
    generator_.Dispatch();
  }

  Generator& generator_;
  tcp::socket socket_;
  asio::steady_timer limit_;
  http::Parser parser_;
  http::Buffer buffer_;
  std::string out_;
  Request request_;
  bool connected_ = false, busy_ = false, used_before_ = false, written_ = false, answer_begun_ = false;
  bool closed_ = false;
};

std::string Generator::TextOf(const Request& request) const {
  const std::string host = plan_.to;
  if (request.up) return http::WriteRequest("GET", "/up", {{"Host", host}}, {});
  const Class& klass = plan_.classes[request.klass];
  // What is left of its time, since it has waited from when it was due.
  const double left = std::max(1.0, std::floor(request.until_ms - now_ms()));
  const http::Headers headers = {{"Host", host},
                                 {"Req-Id", IdOf(plan_.seed, request.number)},
                                 {"Req-Kind", klass.name},
                                 {"Req-Deadline-Ms", std::to_string(std::lround(left))}};
  static const std::string body(kBodyBytes, 'x');
  return http::WriteRequest(klass.safe ? "GET" : "POST", "/" + klass.name, headers, klass.safe ? "" : body);
}

void Generator::Closed(const std::shared_ptr<Link>& link) {
  idle_.erase(std::remove(idle_.begin(), idle_.end(), link.get()), idle_.end());
  links_.erase(link);
  Dispatch();
}

void Generator::Dispatch() {
  const double now = now_ms();
  while (!waiting_.empty()) {
    const Request request = waiting_.front();
    if (now >= request.until_ms) {
      waiting_.pop_front();
      Ended(request, Outcome::kUnsent);
    } else if (!idle_.empty() && !request.again) {
      waiting_.pop_front();
      Link* const link = idle_.back();
      idle_.pop_back();
      link->Take(request);
    } else if (links_.size() < plan_.connections) {
      waiting_.pop_front();
      const auto link = std::make_shared<Link>(*this);
      links_.insert(link);
      link->Take(request);
    } else if (!idle_.empty()) {
      return idle_.front()->Close();  // comes back here, with room for a new one
    } else {
      return;
    }
  }
}

void Generator::Ended(const Request& request, Outcome outcome) {
  if (request.up) {
    if (outcome != Outcome::kServed) {
      throw std::runtime_error(plan_.to + ": GET /up was not answered with 200 (" +
                               std::string(kOutcomeNames[static_cast<std::size_t>(outcome)]) + ")");
    }
    return Begin();
  }
  result_.tally.Add(request.klass, outcome, now_ms() - request.due_ms);
  if (++ended_ == result_.planned) io_.stop();
}

void Generator::Begin() {
  start_ = Clock::now();
  begun_ = true;
  Tick();
}

void Generator::Arm(double at_ms) {
  timer_.expires_at(start_ + Ms(at_ms));
  timer_.async_wait([this](const error_code& error) {
    if (!error) Tick();
  });
}

void Generator::Tick() {
  const double now = now_ms();
  for (; !schedule_.over() && schedule_.due_ms() <= now; schedule_.Advance()) {
    const double late = now - schedule_.due_ms();
    result_.late += late > Result::kLateMs;
    result_.worst_late_ms = std::max(result_.worst_late_ms, late);
    Request request;
    request.number = ++result_.due;
    request.klass = schedule_.klass();
    request.due_ms = schedule_.due_ms();
    request.until_ms = request.due_ms + plan_.classes[request.klass].deadline_ms;
    waiting_.push_back(request);
  }
  Dispatch();
  if (!schedule_.over()) {
    Arm(schedule_.due_ms());
  } else if (!waiting_.empty()) {
    Arm(now + kSweepMs);
  }
}

Result Generator::Run() {
  signals_.add(SIGINT);
  signals_.add(SIGTERM);
  signals_.async_wait([this](const error_code& error, int) {
    if (error) return;
    result_.interrupted = true;
    io_.stop();
  });
  Request up;
  up.up = true;
  up.until_ms = kUpMs;
  waiting_.push_back(up);
  Dispatch();
  io_.run();
  result_.open = result_.due - ended_;
  result_.lasted_ms = begun_ ? now_ms() : 0;
  return std::move(result_);
}

}  // namespace

Result RunLoad(const Plan& plan) {
  rlimit descriptors{};
  ::getrlimit(RLIMIT_NOFILE, &descriptors);
  if (plan.connections == 0 || plan.connections + kOwnDescriptors > descriptors.rlim_cur) {
    throw std::invalid_argument(std::to_string(plan.connections) + " connections: must be from 1 to " +
                                std::to_string(descriptors.rlim_cur - kOwnDescriptors) +
                                ", by the process's limit of descriptors");
  }
  return Generator(plan).Run();
}

}  // namespace bitternmux::lab::load

#include <boost/asio/unyield.hpp>
