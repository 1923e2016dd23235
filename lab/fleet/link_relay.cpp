#include "lab/fleet/link_relay.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string_view>

#include "fleet/messages/codec.h"

namespace bitternmux::lab::fleet {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadBytes = 16 * 1024;

tcp::endpoint At(const std::string& address) {
  const auto colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

// Who a link's first frame says that it comes from; empty while the frame is not whole.
std::string SenderOf(std::string_view bytes) {
  using bitternmux::fleet::kFrameHeaderBytes;
  const auto size = bitternmux::fleet::FramePayloadBytes(bytes);
  if (!size || bytes.size() < kFrameHeaderBytes + *size) return "";
  const bitternmux::fleet::Message message =
      bitternmux::fleet::DecodePayload(bytes.substr(kFrameHeaderBytes, *size));
  const auto* hello = std::get_if<bitternmux::fleet::Hello>(&message);
  if (hello == nullptr) return "unknown";
  return hello->role == bitternmux::fleet::PeerRole::kControl ? hello->member.internal : hello->name;
}

}  // namespace

// A link from a dialer to a machine, as two connections.
class LinkRelay::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(LinkRelay& relay, tcp::socket dialer, std::string to, tcp::endpoint backend)
      : relay_(relay),
        to_(std::move(to)),
        backend_(std::move(backend)),
        dialer_(std::move(dialer)),
        machine_(relay.io_),
        forth_(relay.io_),
        back_(relay.io_) {}

  void Start() { ReadHello(); }

  // A cut was healed.
  void Resume() {
    if (closed_) return;
    if (waits_to_dial_) return DialBackend();
    for (const bool forth : {true, false}) {
      if (Way(forth).held) PassOn(forth);
    }
  }

  void Close() {
    closed_ = true;
    error_code ignored;
    dialer_.close(ignored);
    machine_.close(ignored);
    forth_.pace.cancel();
    back_.pace.cancel();
  }

 private:
  // One of the two directions.
  struct Direction {
    explicit Direction(asio::io_context& io) : pace(io) {}
    std::array<char, kReadBytes> piece{};
    std::string waiting;  // was read and is to be written
    bool ended = false;   // nothing comes behind that
    bool held = false;    // by a cut
    asio::steady_timer pace;
  };

  Direction& Way(bool forth) { return forth ? forth_ : back_; }
  tcp::socket& Source(bool forth) { return forth ? dialer_ : machine_; }
  tcp::socket& Sink(bool forth) { return forth ? machine_ : dialer_; }
  bool IsCut(bool forth) const { return forth ? relay_.IsCut(from_, to_) : relay_.IsCut(to_, from_); }

  void ReadHello() {
    dialer_.async_read_some(asio::buffer(forth_.piece),
                            [self = shared_from_this()](const error_code& error, std::size_t size) {
                              if (error) return self->End();
                              self->forth_.waiting.append(self->forth_.piece.data(), size);
                              self->from_ = SenderOf(self->forth_.waiting);
                              self->from_.empty() ? self->ReadHello() : self->DialBackend();
                            });
  }

  void DialBackend() {
    waits_to_dial_ = IsCut(true);
    if (waits_to_dial_) return;
    machine_.async_connect(backend_, [self = shared_from_this()](const error_code& error) {
      if (error || self->closed_) return self->End();
      self->PassOn(true);
      self->Read(false);
    });
  }

  void Read(bool forth) {
    Source(forth).async_read_some(
        asio::buffer(Way(forth).piece),
        [self = shared_from_this(), forth](const error_code& error, std::size_t size) {
          Direction& way = self->Way(forth);
          way.ended = static_cast<bool>(error);
          way.waiting.append(way.piece.data(), size);
          self->PassOn(forth);
        });
  }

  void PassOn(bool forth) {
    Direction& way = Way(forth);
    way.held = IsCut(forth);
    if (way.held || closed_) return;
    if (way.waiting.empty() && way.ended) return End();
    const double rate = relay_.RateOf(from_, to_);
    if (rate <= 0) return Write(forth);
    const double span_ms = static_cast<double>(way.waiting.size()) / rate;
    way.pace.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(span_ms * 1000)));
    way.pace.async_wait([self = shared_from_this(), forth](const error_code& error) {
      if (!error) self->Write(forth);
    });
  }

  void Write(bool forth) {
    Direction& way = Way(forth);
    asio::async_write(Sink(forth), asio::buffer(way.waiting),
                      [self = shared_from_this(), forth](const error_code& error, std::size_t size) {
                        Direction& written = self->Way(forth);
                        if (error || self->closed_) return self->End();
                        self->relay_.Passed(size);
                        written.waiting.clear();
                        written.ended ? self->End() : self->Read(forth);
                      });
  }

  void End() {
    Close();
    relay_.connections_.erase(shared_from_this());
  }

  LinkRelay& relay_;
  const std::string to_;
  std::string from_;
  const tcp::endpoint backend_;
  tcp::socket dialer_, machine_;
  Direction forth_, back_;
  bool waits_to_dial_ = false, closed_ = false;
};

struct LinkRelay::Front {
  Front(asio::io_context& io, const Machine& its_machine)
      : machine(its_machine), acceptor(io, At(its_machine.front)) {}
  const Machine machine;
  tcp::acceptor acceptor;
};

LinkRelay::LinkRelay(const std::vector<Machine>& machines) {
  for (const Machine& machine : machines) {
    fronts_.push_back(std::make_unique<Front>(io_, machine));
    Accept(*fronts_.back());
  }
  thread_ = std::thread([this] { io_.run(); });
}

LinkRelay::~LinkRelay() {
  io_.stop();
  thread_.join();
}

void LinkRelay::Accept(Front& front) {
  front.acceptor.async_accept([this, &front](const error_code& error, tcp::socket socket) {
    if (error) return;
    const auto connection = std::make_shared<Connection>(*this, std::move(socket), front.machine.front,
                                                         At(front.machine.backend));
    connections_.insert(connection);
    connection->Start();
    Accept(front);
  });
}

void LinkRelay::Cut(const std::string& from, const std::string& to) {
  const std::lock_guard lock(mutex_);
  cuts_.insert({from, to});
}

void LinkRelay::CutBoth(const std::string& one, const std::string& other) {
  Cut(one, other);
  Cut(other, one);
}

void LinkRelay::HealAll() {
  {
    const std::lock_guard lock(mutex_);
    cuts_.clear();
  }
  asio::post(io_, [this] {
    const auto connections = connections_;
    for (const auto& connection : connections) connection->Resume();
  });
}

void LinkRelay::Slow(const std::string& machine, double bytes_per_ms) {
  const std::lock_guard lock(mutex_);
  rates_[machine] = bytes_per_ms;
}

std::size_t LinkRelay::passed() const {
  const std::lock_guard lock(mutex_);
  return passed_;
}

bool LinkRelay::IsCut(const std::string& from, const std::string& to) const {
  const std::lock_guard lock(mutex_);
  return cuts_.contains({from, to});
}

double LinkRelay::RateOf(const std::string& one, const std::string& other) const {
  const std::lock_guard lock(mutex_);
  double least = 0;
  for (const std::string& machine : {one, other}) {
    const auto found = rates_.find(machine);
    if (found == rates_.end()) continue;
    least = least == 0 ? found->second : std::min(least, found->second);
  }
  return least;
}

void LinkRelay::Passed(std::size_t bytes) {
  const std::lock_guard lock(mutex_);
  passed_ += bytes;
}

}  // namespace bitternmux::lab::fleet
