#include "admin/door.h"

#include "http/parser.h"
#include "http/writer.h"

namespace bitternmux::admin {
namespace {

using net::error_code;
using net::tcp;

constexpr std::size_t kReadSize = 4096;
constexpr std::size_t kMostBody = 4096;
constexpr double kCallMs = 2000;    // for a call to be whole
constexpr double kLingerMs = 1000;  // for a caller to read its answer
constexpr double kPauseMs = 20;     // when a connection could not be accepted

}  // namespace

// One connection: a call, its answer, the end.
class Door::Caller : public std::enable_shared_from_this<Caller> {
 public:
  Caller(Door& door, tcp::socket socket) : door_(door), socket_(std::move(socket)) {}

  void Start(std::list<std::shared_ptr<Caller>>::iterator place) {
    place_ = place;
    LimitTo(kCallMs);
    Read();
  }

  void Close() {
    if (std::exchange(closed_, true)) return;
    const auto self = shared_from_this();
    door_.runtime_.wheel.Cancel(limit_);
    error_code ignored;
    socket_.close(ignored);
    door_.callers_.erase(place_);
  }

 private:
  // Guards the places against callers that say nothing, stop halfway or never read.
  void LimitTo(double ms) {
    door_.runtime_.wheel.Cancel(limit_);
    limit_ = door_.runtime_.wheel.Add(door_.runtime_.now_ms() + ms,
                                      [self = shared_from_this()] { self->Close(); });
  }

  void Read() {
    socket_.async_read_some(net::asio::buffer(buffer_.Prepare(kReadSize), kReadSize),
                            [self = shared_from_this()](const error_code& error, std::size_t count) {
                              if (!self->closed_) self->Came(error, count);
                            });
  }

  void Came(const error_code& error, std::size_t count) {
    if (error) return Close();
    if (answered_) {  // what comes behind the call is passed over
      buffer_.Consume(buffer_.size());
      return Read();
    }
    buffer_.Commit(count);
    switch (parser_.Parse(buffer_)) {
      case http::Progress::kMore:
        return Read();
      case http::Progress::kBad:
        return Answer(parser_.error(), "the call cannot be read\n");
      case http::Progress::kDone:
        return Call(parser_.message());
    }
  }

  void Call(const http::Message& call) {
    const std::string path = call.target.substr(0, call.target.find('?'));
    const bool health = path == "/admin/health";
    if (!health && path != "/admin/stats") return Answer(404, "no such call\n");
    if (call.method != "GET") return Answer(405, "GET only\n", {{"Allow", "GET"}});
    if (!health) return Answer(200, door_.calls_.figures(), {{"Content-Type", "application/json"}});
    door_.calls_.healthy() ? Answer(200, "yes\n") : Answer(503, "no\n");
  }

  void Answer(int status, const std::string& body, const http::Headers& headers = {}) {
    answered_ = true;
    LimitTo(kLingerMs);
    out_ = http::WriteResponse(status, headers, body, /*keep_alive=*/false);
    net::asio::async_write(socket_, net::asio::buffer(out_),
                           [self = shared_from_this()](const error_code& error, std::size_t) {
                             if (self->closed_) return;
                             if (error) return self->Close();
                             error_code ignored;
                             // The end is told by ours; closing with bytes unread could take the answer
                             // along.
                             self->socket_.shutdown(tcp::socket::shutdown_send, ignored);
                             self->Read();
                           });
  }

  Door& door_;
  tcp::socket socket_;
  std::list<std::shared_ptr<Caller>>::iterator place_;
  http::Buffer buffer_;
  http::Parser parser_{http::Role::kRequest, kMostBody};
  std::string out_;
  TimerWheel::Id limit_ = 0;
  bool answered_ = false;
  bool closed_ = false;
};

Door::Door(net::Runtime& runtime, Calls calls)
    : runtime_(runtime), calls_(std::move(calls)), acceptor_(runtime.strand), incoming_(runtime.strand) {}

Door::~Door() = default;

void Door::Listen(const tcp::endpoint& at) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen();
  Accept();
}

void Door::Accept() {
  acceptor_.async_accept(incoming_, [this](const error_code& error) {
    if (error) {
      runtime_.wheel.Add(runtime_.now_ms() + kPauseMs, [this] { Accept(); });
      return;
    }
    // A caller that means it has its answer in the turn in which its call came: who has been here longest has
    // nothing to say, or has been answered.
    if (callers_.size() >= kDoorPlaces) std::shared_ptr<Caller>(callers_.front())->Close();
    callers_.push_back(std::make_shared<Caller>(*this, std::move(incoming_)));
    incoming_ = tcp::socket(runtime_.strand);
    callers_.back()->Start(std::prev(callers_.end()));
    Accept();
  });
}

}  // namespace bitternmux::admin
