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
// Guard against a connection that stays open and silent, as it does when the network is cut: the list would
// age unnoticed. By the protocol a line comes every 2 s, and all that a silent watch misses counts as told 6
// s after its last word: in what is left of these the next call has to be made, and answered.
constexpr double kSilenceMs = 3000;
constexpr double kDialMs = 1000;  // for a connection, which takes some round trips
constexpr double kAnswerMs =
    4000;  // from its start, for the head of an answer: discovery takes calls in turn

// Finds where the lines of a watch end. A list may come indented over several.
class LineEnds {
 public:
  // Does the line end with this character, the next one of the stream?
  bool Ends(char c) {
    if (in_text_) {
      const bool escaped = std::exchange(escaped_, !escaped_ && c == '\\');
      in_text_ = c != '\n' && (escaped || c != '"');
      return c == '\n';  // which no text may hold: it cannot be read
    }
    in_text_ = c == '"';
    if (c == '{' || c == '[') ++depth_;
    if ((c == '}' || c == ']') && depth_ > 0) --depth_;
    return c == '\n' && depth_ == 0;
  }
  // In the middle of a list?
  bool open() const { return depth_ > 0 || in_text_; }

 private:
  int depth_ = 0;  // of brackets that are open
  bool in_text_ = false, escaped_ = false;
};

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
    started_ms_ = runtime_.now_ms();
    Expect(kDialMs);
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
      Expect(started_ms_ + kAnswerMs - runtime_.now_ms());
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

  // More has to come within that time.
  void Expect(double ms) {
    runtime_.wheel.Cancel(silence_);
    silence_ = runtime_.wheel.Add(runtime_.now_ms() + ms,
                                  [self = shared_from_this()] { self->Break("nothing heard"); });
  }

  void Read() {
    const http::Progress progress = parser_.Parse(buffer_);
    if (progress == http::Progress::kBad) return Break("the answer cannot be read");
    if (!parser_.head_read()) return;
    if (parser_.message().status != 200) return Break("status " + std::to_string(parser_.message().status));
    if (whole_) {
      Expect(kSilenceMs);
      if (parser_.message().body.size() > kLongestLine) return Break("the list is too long");
      if (progress == http::Progress::kDone) WholeList(parser_.Take().body);
      return;
    }
    const std::string more = parser_.TakeBody();
    // Blank lines in the middle of a list tell nothing of its rest.
    if (!ends_.open() || more.find_first_not_of(" \t\r\n") != more.npos) Expect(kSilenceMs);
    const std::size_t scanned = text_.size();
    text_ += more;
    std::size_t begin = 0;
    for (std::size_t at = scanned; at < text_.size() && !closed_; ++at) {
      if (!ends_.Ends(text_[at])) continue;
      Line(text_.substr(begin, at - begin));
      begin = at + 1;
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
  double started_ms_ = 0;
  tcp::socket socket_;
  std::string out_;
  http::Buffer buffer_;
  http::Parser parser_{http::Role::kResponse, kNoBound};
  std::string text_;  // the line that is not whole yet
  LineEnds ends_;
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
