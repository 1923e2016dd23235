#include "net/discovery_watch.h"

#include <boost/asio/coroutine.hpp>
#include <nlohmann/json.hpp>

#include "events/catalogue.h"
#include "http/parser.h"
#include "net/protocol.h"
// Last: defines reenter and yield.
#include <boost/asio/yield.hpp>

namespace bitternmux::net {
namespace {

constexpr std::size_t kReadSize = 16 * 1024;
constexpr std::size_t kLongestLine = 4 * 1024 * 1024;
constexpr std::size_t kNoBound = std::size_t{1} << 62;  // a watch goes on; each line of it is bounded
// A line comes every 2 s at the least. Guards against a connection that stays open and silent, as it does
// when the network is cut: without this the list would age unnoticed.
constexpr double kSilenceMs = 4500;

}  // namespace

class DiscoveryWatch::Call : public std::enable_shared_from_this<Call>, private asio::coroutine {
 public:
  explicit Call(DiscoveryWatch& watch)
      : watch_(watch),
        runtime_(watch.runtime_),
        address_(watch.address_),
        whole_(watch.whole_due_),
        socket_(runtime_.strand) {}

  void Start() {
    Heard();
    Run();
  }

  void CatchUp() {
    while (!closed_ && told_ && !ask_ && TakeSome()) continue;
  }

  void Break(const std::string& why) {
    if (closed_) return;
    runtime_.events.Write(events::kDiscoveryBroken, {{"why", why}, {"address", address_}});
    Close();
    watch_.Broke(shared_from_this());
  }

  void Close() {
    closed_ = true;
    runtime_.wheel.Cancel(silence_);
    error_code ignored;
    socket_.close(ignored);
  }

 private:
  void Run(const error_code& error = {}) {
    if (closed_) return;
    if (error) return Break(error.message());
    reenter(this) {
      yield socket_.async_connect(EndpointOf(address_),
                                  [self = shared_from_this()](const error_code& e) { self->Run(e); });
      SetNonBlocking();
      while (!closed_) {
        if (std::exchange(ask_, false)) {
          out_ = whole_ ? WriteWholeList(address_) : WriteWatch(address_, watch_.machines_.revision());
          yield asio::async_write(socket_, asio::buffer(out_), Written());
        }
        told_ = true;
        yield socket_.async_wait(tcp::socket::wait_read,
                                 [self = shared_from_this()](const error_code& e) { self->Run(e); });
        TakeSome();
      }
    }
  }

  // False: nothing more is there, or the call is over.
  bool TakeSome() {
    error_code error;
    const std::size_t count = socket_.read_some(asio::buffer(buffer_.Prepare(kReadSize), kReadSize), error);
    if (error == asio::error::would_block) return false;
    if (error) {
      Break(error.message());
      return false;
    }
    buffer_.Commit(count);
    Heard();
    Read();
    return !closed_;
  }

  std::function<void(const error_code&, std::size_t)> Written() {
    return [self = shared_from_this()](const error_code& e, std::size_t) { self->Run(e); };
  }

  void SetNonBlocking() {
    error_code ignored;
    socket_.non_blocking(true, ignored);
  }

  void Heard() {
    runtime_.wheel.Cancel(silence_);
    silence_ = runtime_.wheel.Add(runtime_.now_ms() + kSilenceMs,
                                  [self = shared_from_this()] { self->Break("nothing heard"); });
  }

  void Read() {
    const http::Progress progress = parser_.Parse(buffer_);
    if (progress == http::Progress::kBad) return Break("the answer cannot be read");
    if (!parser_.head_read()) return;
    if (parser_.message().status != 200) return Break("status " + std::to_string(parser_.message().status));
    if (whole_) {
      if (parser_.message().body.size() > kLongestLine) return Break("the list is too long");
      if (progress == http::Progress::kDone) WholeList(parser_.Take().body);
      return;
    }
    text_ += parser_.TakeBody();
    std::size_t begin = 0;
    for (auto end = text_.find('\n'); end != text_.npos && !closed_; end = text_.find('\n', begin)) {
      Line(text_.substr(begin, end - begin));
      begin = end + 1;
    }
    text_.erase(0, begin);
    if (closed_) return;
    if (text_.size() > kLongestLine) return Break("a line is too long");
    if (progress == http::Progress::kDone) Break("the answer ended");
  }

  // The whole list has come; the watch on what changes from here on follows on the same connection.
  void WholeList(const std::string& text) {
    whole_ = false;
    ask_ = true;
    parser_.Reset();
    Line(text);
  }

  void Line(std::string_view line) {
    MachineUpdate update;
    if (line.find_first_not_of(" \t\r") == line.npos) {
      if (answered_) return;
      // The first line may be the one that says that all is as it was.
      update.revision = watch_.machines_.revision();
    } else {
      // Guards the list held: a line that cannot be read changes nothing, and the next watch asks from the
      // version before it.
      try {
        update = ReadMachineUpdate(nlohmann::json::parse(line));
      } catch (const std::exception& error) {
        return Break(error.what());
      }
    }
    answered_ = true;
    watch_.Told(update, shared_from_this());
  }

  DiscoveryWatch& watch_;
  Runtime& runtime_;
  const std::string address_;
  bool whole_;       // the whole list is asked for first
  bool ask_ = true;  // a request is to be written
  tcp::socket socket_;
  std::string out_;
  http::Buffer buffer_;
  http::Parser parser_{http::Role::kResponse, kNoBound};
  std::string text_;   // the line that is not whole yet
  bool told_ = false;  // the request is out, and what is there to read is its answer
  bool answered_ = false;
  bool closed_ = false;
  TimerWheel::Id silence_ = 0;
};

DiscoveryWatch::DiscoveryWatch(Runtime& runtime, std::string address, const MachineList& machines,
                               Updated updated, std::function<void()> broken)
    : runtime_(runtime),
      address_(std::move(address)),
      machines_(machines),
      updated_(std::move(updated)),
      broken_(std::move(broken)) {}

DiscoveryWatch::~DiscoveryWatch() = default;

void DiscoveryWatch::Watch() {
  if (call_) call_->Close();
  call_ = std::make_shared<Call>(*this);
  call_->Start();
}

void DiscoveryWatch::MoveTo(const std::string& address) {
  if (address == address_) return;
  address_ = address;
  if (!whole_due_) old_ = std::move(call_);
  whole_due_ = true;
  Watch();
}

void DiscoveryWatch::CatchUp() {
  // Held: the call ends itself where its answer does, and the list that one brings may end the other.
  for (const auto& call : {old_, call_}) {
    if (call) call->CatchUp();
  }
}

void DiscoveryWatch::Told(const MachineUpdate& update, const std::shared_ptr<Call>& by) {
  if (by == call_ && whole_due_) {
    // Guards against a version of another discovery: a watch from it could leave out what it never told.
    if (!update.complete) return by->Break("the list is not whole");
    whole_due_ = false;
    if (old_) std::exchange(old_, nullptr)->Close();
  }
  updated_(update);
}

void DiscoveryWatch::Broke(const std::shared_ptr<Call>& call) {
  if (call == old_) return old_.reset();  // the one that follows it is on its way
  call_.reset();
  broken_();
}

}  // namespace bitternmux::net

#include <boost/asio/unyield.hpp>
