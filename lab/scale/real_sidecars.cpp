#include "lab/scale/real_sidecars.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>
#include <utility>

#include "http/writer.h"
#include "lab/scale/stand_thread.h"

namespace bitternmux::lab::scale {
namespace {

constexpr double kUpMs = 20'000;   // for GET /up to answer
constexpr double kEndMs = 10'000;  // for the end after SIGTERM
constexpr auto kLook = std::chrono::milliseconds(5);
constexpr timeval kAskWithin{1, 0};
constexpr double kLateWorth = 0.5;

sockaddr_in AddressOf(const std::string& text) {
  sockaddr_in out{};
  const auto colon = text.rfind(':');
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &out.sin_addr);
  return out;
}

class Socket {
 public:
  Socket() : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {}
  ~Socket() { ::close(fd_); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  int fd() const { return fd_; }

 private:
  const int fd_;
};

// An address of 127.44.x that nobody listens at. That net is used by nothing else here, so that it is still
// free when the sidecar takes it.
std::string FreeAddress(std::size_t sidecar, int which) {
  const std::string host = "127.44." + std::to_string(which) + "." + std::to_string(sidecar + 1);
  Socket socket;
  sockaddr_in at = AddressOf(host + ":0");
  socklen_t size = sizeof at;
  if (::bind(socket.fd(), reinterpret_cast<sockaddr*>(&at), size) != 0 ||
      ::getsockname(socket.fd(), reinterpret_cast<sockaddr*>(&at), &size) != 0) {
    throw std::runtime_error(host + ": no port can be had");
  }
  return host + ":" + std::to_string(ntohs(at.sin_port));
}

// GET, on a connection of its own: the whole answer, or what came of it in time.
std::string Get(const std::string& address, const std::string& target) {
  Socket socket;
  ::setsockopt(socket.fd(), SOL_SOCKET, SO_RCVTIMEO, &kAskWithin, sizeof kAskWithin);
  const sockaddr_in at = AddressOf(address);
  if (::connect(socket.fd(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) return {};
  const std::string out = http::WriteRequest("GET", target, {{"Host", address}, {"Connection", "close"}}, {});
  if (::send(socket.fd(), out.data(), out.size(), MSG_NOSIGNAL) < 0) return {};
  std::string in;
  char bytes[4096];
  for (ssize_t count; (count = ::recv(socket.fd(), bytes, sizeof bytes, 0)) > 0;) {
    in.append(bytes, static_cast<std::size_t>(count));
  }
  return in;
}

std::string TextOf(const std::filesystem::path& file) {
  std::ifstream in(file);
  return {std::istreambuf_iterator<char>(in), {}};
}

// It stays to be waited for.
bool HasEnded(pid_t pid) {
  siginfo_t info{};
  return ::waitid(P_PID, static_cast<id_t>(pid), &info, WEXITED | WNOHANG | WNOWAIT) != 0 || info.si_pid != 0;
}

// The number behind "name:" in a file of /proc; 0 if it is not there.
std::int64_t NumberIn(const std::string& text, const std::string& name) {
  const auto at = text.find("\n" + name + ":");
  return at == text.npos ? 0 : std::atoll(text.c_str() + at + name.size() + 2);
}

}  // namespace

RealSidecars::RealSidecars(const Scenario& scenario, const Plan& plan, const std::string& program,
                           const std::string& discovery)
    : scenario_(scenario), plan_(plan), program_(program), discovery_(discovery) {
  if (::access(program_.c_str(), X_OK) != 0) throw std::runtime_error(program_ + ": cannot be run");
  std::string folder = (std::filesystem::temp_directory_path() / "bitternmux-scale-XXXXXX").string();
  if (::mkdtemp(folder.data()) == nullptr) throw std::runtime_error(folder + ": cannot be made");
  folder_ = folder;
  for (std::size_t i = 0; i < static_cast<std::size_t>(plan.real); ++i) {
    rows_.push_back({FreeAddress(i, 1), FreeAddress(i, 2), folder_ / std::to_string(i), -1});
    std::filesystem::create_directory(rows_.back().folder);
    Configure(i, kLateWorth);
    Start(rows_.back());
  }
  for (const Row& row : rows_) AwaitUp(row);
}

RealSidecars::~RealSidecars() {
  for (const Row& row : rows_) {
    if (row.pid <= 0) continue;
    ::kill(row.pid, SIGKILL);
    ::waitpid(row.pid, nullptr, 0);
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void RealSidecars::Configure(std::size_t sidecar, double late_worth) {
  const Row& row = rows_[sidecar];
  auto json = ConfigOf(scenario_, plan_, static_cast<int>(sidecar), row.listen, discovery_, row.door);
  for (auto& service : json["settings"]["services"]) service["lateWorth"] = late_worth;
  // Replaced as a whole: a sidecar never reads half of one.
  std::ofstream(row.folder / "next.json") << json.dump(1) << "\n";
  std::filesystem::rename(row.folder / "next.json", row.folder / "config.json");
}

void RealSidecars::Start(Row& row) const {
  // All made before the fork: other threads may hold the allocator's locks then.
  const std::string config = "RELAY_CONFIG=" + (row.folder / "config.json").string(),
                    folder = "TMPDIR=" + row.folder.string(), log = (row.folder / "log").string();
  std::string words[] = {config, folder};
  char* environment[] = {words[0].data(), words[1].data(), nullptr};
  std::string program = program_;
  char* arguments[] = {program.data(), nullptr};
  const pid_t lab = ::getpid();
  const pid_t pid = ::fork();
  if (pid < 0) throw std::runtime_error("no process can be started");
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != lab) ::_exit(127);
    ::setpgid(0, 0);  // Ctrl-C is the lab's to hear
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::close_range(3, ~0u, 0);
    ::execve(program.c_str(), arguments, environment);
    ::_exit(127);
  }
  row.pid = pid;
}

void RealSidecars::AwaitUp(const Row& row) const {
  const double until_ms = NowMs() + kUpMs;
  while (Get(row.listen, "/up").rfind("HTTP/1.1 200", 0) != 0) {
    if (NowMs() > until_ms || HasEnded(row.pid)) {
      throw std::runtime_error("a sidecar did not come up: " + TextOf(row.folder / "log"));
    }
    std::this_thread::sleep_for(kLook);
  }
}

Usage RealSidecars::Use(std::size_t sidecar) const {
  const pid_t pid = rows_[sidecar].pid;
  const std::filesystem::path proc = "/proc/" + std::to_string(pid);
  Usage out;
  clockid_t clock{};
  timespec time{};
  if (::clock_getcpuclockid(pid, &clock) == 0 && ::clock_gettime(clock, &time) == 0) {
    out.cpu_ms = static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
  }
  const std::string status = TextOf(proc / "status");
  out.wakeups = NumberIn(status, "voluntary_ctxt_switches");
  out.resident_mb = static_cast<double>(NumberIn(status, "VmRSS")) / 1024;
  out.proportional_mb = static_cast<double>(NumberIn(TextOf(proc / "smaps_rollup"), "Pss")) / 1024;
  return out;
}

std::vector<Usage> RealSidecars::UseAll() const {
  std::vector<Usage> out;
  for (std::size_t i = 0; i < rows_.size(); ++i) out.push_back(Use(i));
  return out;
}

std::int64_t RealSidecars::Figure(std::size_t sidecar, const std::string& name) const {
  const std::string answer = Get(rows_[sidecar].door, "/admin/stats");
  const auto body = answer.find("\r\n\r\n");
  if (body == answer.npos) return -1;
  const auto json = nlohmann::json::parse(answer.substr(body + 4), nullptr, /*allow_exceptions=*/false);
  return json.is_object() ? json.value(name, std::int64_t{-1}) : -1;
}

bool RealSidecars::AllRun() const {
  return std::none_of(rows_.begin(), rows_.end(), [](const Row& row) { return HasEnded(row.pid); });
}

void RealSidecars::Reload(double late_worth) {
  for (std::size_t i = 0; i < rows_.size(); ++i) Configure(i, late_worth);
  for (const Row& row : rows_) ::kill(row.pid, SIGHUP);
}

std::vector<double> RealSidecars::Restart() {
  const double from_ms = NowMs();
  for (const Row& row : rows_) ::kill(row.pid, SIGTERM);
  for (Row& row : rows_) {
    while (!HasEnded(row.pid)) {
      if (NowMs() > from_ms + kEndMs) throw std::runtime_error("a sidecar did not end after SIGTERM");
      std::this_thread::sleep_for(kLook);
    }
    ::waitpid(std::exchange(row.pid, -1), nullptr, 0);
    Start(row);
  }
  std::vector<double> away_ms;
  for (const Row& row : rows_) {
    AwaitUp(row);
    away_ms.push_back(NowMs() - from_ms);
  }
  return away_ms;
}

}  // namespace bitternmux::lab::scale
