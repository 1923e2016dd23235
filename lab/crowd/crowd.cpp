#include "lab/crowd/crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>
#include <utility>

namespace bitternmux::lab::crowd {
namespace {

constexpr std::size_t kPieceBytes = 64 * 1024;
constexpr std::size_t kSendsARound = 4;   // of one connection
constexpr std::size_t kQuietRounds = 20;  // without a byte taken, until the crowd has pressed
constexpr std::size_t kMaxRounds = 2'000;
constexpr std::size_t kDripRounds = 200;  // in which nothing but drips moves
constexpr int kRoundMs = 10;              // to wait for a socket that takes or has something
constexpr std::size_t kOpeningsEach = 4;  // connections opened for each script, on average
constexpr std::size_t kSpareDescriptors = 200;

// The soft limit of this process, raised to what is needed.
void AllowDescriptors(std::size_t count) {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_cur >= count) return;
  limit.rlim_cur = count;
  if (limit.rlim_cur > limit.rlim_max || setrlimit(RLIMIT_NOFILE, &limit) != 0)
    throw std::runtime_error("a crowd needs " + std::to_string(count) + " descriptors");
}

}  // namespace

struct Crowd::Connection {
  Script script;
  int descriptor = -1;
  std::size_t sent = 0;  // of the script

  bool done() const { return sent >= script.size(); }
  bool drips() const { return script.pace == Script::Pace::kOneByteARound; }
};

Crowd::Crowd(const std::string& address, std::vector<Script> scripts)
    : ip_(address.substr(0, address.rfind(':'))), port_(std::stoi(address.substr(address.rfind(':') + 1))) {
  AllowDescriptors(scripts.size() + kSpareDescriptors);
  most_opened_ = scripts.size() * kOpeningsEach;
  for (Script& script : scripts) connections_.push_back({std::move(script)});
  for (Connection& connection : connections_) Open(connection);
}

Crowd::~Crowd() {
  for (Connection& connection : connections_) {
    if (connection.descriptor >= 0) close(connection.descriptor);
  }
}

void Crowd::Open(Connection& connection) {
  if (opened_ >= most_opened_) return;
  ++opened_;
  connection.sent = 0;
  connection.descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (connection.descriptor < 0) throw std::runtime_error("a crowd found no descriptor");
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port_));
  inet_pton(AF_INET, ip_.c_str(), &at.sin_addr);
  connect(connection.descriptor, reinterpret_cast<const sockaddr*>(&at), sizeof at);
}

void Crowd::Reopen(Connection& connection) {
  close(std::exchange(connection.descriptor, -1));
  Open(connection);
}

void Crowd::Send(Connection& connection) {
  const std::size_t most = connection.drips() ? 1 : kPieceBytes;
  for (std::size_t i = 0; i < kSendsARound && !connection.done(); ++i) {
    const std::string piece = connection.script.Bytes(connection.sent, most);
    const ssize_t taken = send(connection.descriptor, piece.data(), piece.size(), MSG_NOSIGNAL);
    if (taken < 0 && (errno == EAGAIN || errno == EINTR || errno == ENOTCONN)) return;
    if (taken < 0) return Reopen(connection);
    connection.sent += static_cast<std::size_t>(taken);
    sent_ += static_cast<std::size_t>(taken);
    if (connection.drips()) return;
  }
  if (!connection.done() || !connection.script.leaves) return;
  const linger reset{1, 0};
  setsockopt(connection.descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  Reopen(connection);
}

void Crowd::Receive(Connection& connection) {
  std::array<char, 16 * 1024> bytes;
  const ssize_t count = recv(connection.descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
  if (count > 0 || (count < 0 && (errno == EAGAIN || errno == EINTR))) return;
  Reopen(connection);
}

void Crowd::Round() {
  std::vector<pollfd> polled;
  std::vector<Connection*> owners;
  for (Connection& connection : connections_) {
    if (connection.descriptor < 0) continue;
    short events = connection.script.reads ? POLLIN : POLLRDHUP;
    if (!connection.done()) events = static_cast<short>(events | POLLOUT);
    polled.push_back({connection.descriptor, events, 0});
    owners.push_back(&connection);
  }
  if (poll(polled.data(), polled.size(), kRoundMs) <= 0) return;
  for (std::size_t i = 0; i < polled.size(); ++i) {
    Connection& connection = *owners[i];
    const short seen = polled[i].revents;
    const std::size_t opened = opened_;
    if (connection.script.reads && (seen & POLLIN) != 0) Receive(connection);
    // One that was opened again meanwhile has its turn in the next round.
    if (opened_ != opened || connection.descriptor < 0) continue;
    if ((seen & (POLLERR | POLLHUP | POLLRDHUP)) != 0) {
      Reopen(connection);
    } else if ((seen & POLLOUT) != 0) {
      Send(connection);
    }
  }
}

void Crowd::Press(const std::function<void()>& each_round) {
  std::size_t quiet = 0, drips = 0;
  for (std::size_t round = 0; round < kMaxRounds && quiet < kQuietRounds && drips < kDripRounds; ++round) {
    const std::size_t before = sent_, opened = opened_;
    Round();
    each_round();
    quiet = sent_ == before && opened_ == opened ? quiet + 1 : 0;
    const std::size_t dripping = static_cast<std::size_t>(
        std::ranges::count_if(connections_, [](const Connection& one) { return one.drips(); }));
    drips = sent_ - before <= dripping ? drips + 1 : 0;
  }
}

BackgroundRounds::BackgroundRounds(Crowd& crowd, std::function<void()> each_round)
    : thread_([this, &crowd, each_round = std::move(each_round)] {
        while (!stopping_) {
          crowd.Round();
          each_round();
        }
      }) {}

BackgroundRounds::~BackgroundRounds() {
  stopping_ = true;
  thread_.join();
}

}  // namespace bitternmux::lab::crowd
