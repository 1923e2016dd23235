// Small stand-ins for the review: processes, an HTTP client, an HTTP server, and a record of what was seen.
#ifndef BITTERNMUX_REVIEW_STAND_H_
#define BITTERNMUX_REVIEW_STAND_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace stand {

inline double NowMs() {
  using namespace std::chrono;
  static const auto start = steady_clock::now();
  return duration<double, std::milli>(steady_clock::now() - start).count();
}

inline void SleepMs(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline void SleepUntil(double at_ms) { SleepMs(at_ms - NowMs()); }

inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  void Say(const std::string& what) {
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f s  ", NowMs() / 1000);
    out_ << time << what << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

// A block of loopback addresses of this run.
inline std::string Ip(int machine) {
  const int number = static_cast<int>(getpid());
  return "127." + std::to_string(20 + number % 200) + "." + std::to_string(number / 200 % 250) + "." +
         std::to_string(machine);
}

inline int FreePort() {
  const int s = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  if (bind(s, reinterpret_cast<sockaddr*>(&at), size) != 0) std::exit(2);
  getsockname(s, reinterpret_cast<sockaddr*>(&at), &size);
  close(s);
  return ntohs(at.sin_port);
}

inline sockaddr_in At(const std::string& address) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  const auto colon = address.rfind(':');
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &at.sin_addr);
  at.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  return at;
}

inline bool SendAll(int s, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = send(s, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// ---- Processes ----

// One of the project's programs. `folder` is the repository's root.
class Process {
 public:
  Process(const std::string& root, const std::string& program, const std::string& settings,
          const std::string& log) {
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with this script, however that ends
      if (chdir(root.c_str()) != 0) _exit(127);
      const int out = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      for (int descriptor = 3; descriptor < 1024; ++descriptor) close(descriptor);
      signal(SIGPIPE, SIG_DFL);
      const std::string variable = "BITTERNMUX_NODE_FILE=" + settings;
      const char* path = std::getenv("PATH");
      const std::string search = std::string("PATH=") + (path ? path : "/usr/bin:/bin");
      char* const environment[] = {const_cast<char*>(variable.c_str()), const_cast<char*>(search.c_str()),
                                   nullptr};
      char* const words[] = {const_cast<char*>(program.c_str()), nullptr};
      execve(program.c_str(), words, environment);
      _exit(127);
    }
  }
  ~Process() { Kill(); }
  pid_t pid() const { return pid_; }
  // Empty: it runs. Else how it ended.
  std::string Ended() {
    if (!how_.empty()) return how_;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return "";
    how_ = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                               : "exit " + std::to_string(WEXITSTATUS(status));
    return how_;
  }
  void Signal(int number) {
    if (Ended().empty()) kill(pid_, number);
  }
  void Kill() {
    if (!Ended().empty()) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    how_ = "killed by the script";
  }

 private:
  pid_t pid_ = -1;
  std::string how_;
};

// ---- HTTP ----

struct Reply {
  int status = 0;  // 0: no whole answer
  std::string head, body, why;
  std::string Header(const std::string& name) const {
    std::istringstream lines(head);
    std::string line;
    while (std::getline(lines, line)) {
      const auto colon = line.find(':');
      if (colon == std::string::npos || strcasecmp(line.substr(0, colon).c_str(), name.c_str()) != 0)
        continue;
      std::string value = line.substr(colon + 1);
      while (!value.empty() && (value.front() == ' ')) value.erase(0, 1);
      while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) value.pop_back();
      return value;
    }
    return "";
  }
};

inline int Connect(const std::string& address, double timeout_ms) {
  const int s = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in at = At(address);
  if (connect(s, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
    pollfd wait{s, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS || poll(&wait, 1, static_cast<int>(timeout_ms)) != 1 ||
        getsockopt(s, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      close(s);
      return -1;
    }
  }
  fcntl(s, F_SETFL, fcntl(s, F_GETFL) & ~O_NONBLOCK);
  const int one = 1;
  setsockopt(s, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return s;
}

// Reads one message (a length, chunks or the end of the connection) from the socket. `buffer` keeps what is
// behind it.
inline bool ReadMessage(int s, std::string& buffer, double until_ms, std::string& head, std::string& body,
                        bool request, std::string& why) {
  const auto more = [&] {
    pollfd wait{s, POLLIN, 0};
    const double left = until_ms - NowMs();
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left) + 1) != 1) {
      why = "silence";
      return false;
    }
    char piece[16384];
    const ssize_t n = recv(s, piece, sizeof piece, 0);
    if (n <= 0) {
      why = n == 0 ? "closed" : std::strerror(errno);
      return false;
    }
    buffer.append(piece, static_cast<std::size_t>(n));
    return true;
  };
  std::size_t end;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
    if (!more()) return false;
  head = buffer.substr(0, end + 2);
  buffer.erase(0, end + 4);
  Reply look;
  look.head = head;
  const std::string length = look.Header("Content-Length");
  body.clear();
  if (look.Header("Transfer-Encoding") == "chunked") {
    while (true) {
      std::size_t line;
      while ((line = buffer.find("\r\n")) == std::string::npos)
        if (!more()) return false;
      const std::size_t size = std::stoul(buffer.substr(0, line), nullptr, 16);
      while (buffer.size() < line + 2 + size + 2)
        if (!more()) return false;
      body += buffer.substr(line + 2, size);
      buffer.erase(0, line + 2 + size + 2);
      if (size == 0) return true;
    }
  }
  if (length.empty() && request) return true;
  if (length.empty()) {
    while (more()) {
    }
    body = std::exchange(buffer, "");
    return why == "closed";
  }
  const std::size_t size = std::stoul(length);
  while (buffer.size() < size)
    if (!more()) return false;
  body = buffer.substr(0, size);
  buffer.erase(0, size);
  return true;
}

// One request on a connection of its own.
inline Reply Call(const std::string& address, const std::string& method, const std::string& path,
                  const std::string& headers, const std::string& body, double timeout_ms) {
  Reply reply;
  const double until_ms = NowMs() + timeout_ms;
  const int s = Connect(address, std::min(timeout_ms, 1000.0));
  if (s < 0) {
    reply.why = "no connection";
    return reply;
  }
  std::string bytes = method + " " + path + " HTTP/1.1\r\n" + headers;
  if (headers.find("Host:") == std::string::npos) bytes += "Host: " + address + "\r\n";
  if (!body.empty() || method != "GET") bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  SendAll(s, bytes + "\r\n" + body);
  std::string buffer;
  if (ReadMessage(s, buffer, until_ms, reply.head, reply.body, false, reply.why))
    reply.status = std::atoi(reply.head.c_str() + reply.head.find(' '));
  close(s);
  return reply;
}

// A server; each connection has a thread. The handler writes to the socket; false closes it.
class Server {
 public:
  struct Request {
    std::string head, body, method, path;
    std::string Header(const std::string& name) const {
      Reply look;
      look.head = head;
      return look.Header(name);
    }
  };
  using Handler = std::function<bool(const Request&, int socket)>;
  Server(const std::string& address, Handler handler) : address_(address), handler_(std::move(handler)) {
    Open();
  }
  ~Server() { Close(); }
  const std::string& address() const { return address_; }
  void Close() {
    if (listener_ < 0) return;
    stopping_ = true;
    shutdown(listener_, SHUT_RDWR);
    accepting_.join();
    close(listener_);
    listener_ = -1;
    {
      const std::lock_guard lock(mutex_);
      for (const int s : sockets_) shutdown(s, SHUT_RDWR);
    }
    while (open_ > 0) SleepMs(5);
  }

 private:
  void Open() {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in at = At(address_);
    if (bind(listener_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || listen(listener_, 512) != 0)
      std::exit(2);
    socklen_t size = sizeof at;
    getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size);
    address_ = address_.substr(0, address_.rfind(':') + 1) + std::to_string(ntohs(at.sin_port));
    accepting_ = std::thread([this] {
      while (!stopping_) {
        const int s = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (s < 0) {
          if (stopping_) return;
          continue;
        }
        const int one = 1;
        setsockopt(s, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        ++open_;
        {
          const std::lock_guard lock(mutex_);
          sockets_.insert(s);
        }
        std::thread([this, s] {
          Serve(s);
          {
            const std::lock_guard lock(mutex_);
            sockets_.erase(s);
          }
          close(s);
          --open_;
        }).detach();
      }
    });
  }
  void Serve(int s) {
    std::string buffer;
    while (!stopping_) {
      Request request;
      std::string why;
      if (!ReadMessage(s, buffer, NowMs() + 600'000, request.head, request.body, true, why)) return;
      std::istringstream line(request.head);
      line >> request.method >> request.path;
      if (!handler_(request, s)) return;
    }
  }

  std::string address_;
  Handler handler_;
  int listener_ = -1;
  std::atomic<bool> stopping_{false};
  std::atomic<int> open_{0};
  std::thread accepting_;
  std::mutex mutex_;
  std::set<int> sockets_;
};

inline std::string Answer(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The settings that all processes share: those of the small deployment acpn-cotacoes.
inline std::string CommonSettings(const std::string& platform, const std::vector<std::string>& seeds,
                                  int first_port) {
  std::string text =
      "zones:\n  matosinhos: \"norte\"\n  maia: \"norte\"\n  braga: \"norte\"\n  valenca: \"norte\"\nregion: "
      "\"norte\"\n"
      "internal_ports:\n  - " +
      std::to_string(first_port) + "\n  - " + std::to_string(first_port + 9) + "\nseeds:\n";
  for (const std::string& seed : seeds) text += "  - \"" + seed + "\"\n";
  return text +
         "discovery: \"cloud_api\"\nentry: \"vip\"\nheartbeat_ms: 1200\ncontracts:\n  - base\n  - drain\n  - "
         "config\n  - cost\n"
         "  - retry\n  - recover\n  - engine\n  - stream\n  - tenants\n  - quota\n"
         "fault_tolerance:\n  machines: 1\n  zones: 0\n  regions: 0\n"
         "bounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 3000\n  ack_ms: 4000\n  catch_up_s: "
         "4\n  drain_ms: 3000\n"
         "  grace_s: 8\n  loss_slack_ms: 200\n  config_apply_ms: 2000\n  rollback_slack_ms: 250\n  outer_ms: "
         "5000\n"
         "  strict_revocation: false\n  revoke_ms: 5000\n  retry_budget_ratio: 0.2\n  budget_window_s: 10\n  "
         "budget_slack: 52\n"
         "  quota_window_s: 8\n  quota_overage: 0.1\n  quota_slack: 110000\n  recovery_s: 12\n  pass_ms: "
         "120\n  again_s: 9.3\n"
         "cloud:\n  address: \"" +
         platform + "\"\n  rate_per_s: 40.0\n  duties: []\n  max_lag_ms: 800\n";
}

inline std::string TemporaryFolder() {
  std::string folder = (std::filesystem::temp_directory_path() / "bitternmux-review-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) std::exit(2);
  return folder;
}

}  // namespace stand

#endif  // BITTERNMUX_REVIEW_STAND_H_
