// What the sidecar adds to a call: the built program between stand-in servers that answer at once and clients
// that ask for as long as they are told. One thread plays servers, clients and discovery, so that any build
// of the program can be set beside any other:
//
//   added_time PROGRAM [--names N] [--clients N] [--rate CALLS_A_SECOND] [--warm S] [--seconds S] [--alike]
//
// PROGRAM: path of the binary; "-": straight to the servers. Without --rate each client asks anew as soon as
// it has its answer (closed loop); with it calls are due at even times, whatever became of those before, and
// count from when they were due. --alike: all answers are the same to the last byte. Prints one line.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
double NowMs() { return std::chrono::duration<double, std::milli>(Clock::now().time_since_epoch()).count(); }

[[noreturn]] void Die(const std::string& why) {
  std::fprintf(stderr, "added_time: %s\n", why.c_str());
  std::exit(1);
}

struct Options {
  std::string program;
  int names = 8, clients = 1;
  double rate = 0, warm_s = 2, seconds = 4;
  bool alike = false;
};

Options Read(int count, char** words) {
  Options out;
  if (count < 2)
    Die("usage: added_time PROGRAM|- [--names N] [--clients N] [--rate R] [--warm S] [--seconds S] "
        "[--alike]");
  out.program = words[1];
  for (int i = 2; i < count; ++i) {
    const std::string word = words[i];
    if (word == "--alike") {
      out.alike = true;
      continue;
    }
    if (i + 1 == count) Die(word + " needs a value");
    const double value = std::atof(words[++i]);
    if (word == "--names")
      out.names = static_cast<int>(value);
    else if (word == "--clients")
      out.clients = static_cast<int>(value);
    else if (word == "--rate")
      out.rate = value;
    else if (word == "--warm")
      out.warm_s = value;
    else if (word == "--seconds")
      out.seconds = value;
    else
      Die("no such option: " + word);
  }
  if (out.names < 1 || out.clients < 1 || out.seconds <= 0) Die("names, clients and seconds are above 0");
  return out;
}

sockaddr_in Loopback(int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  return at;
}

int Listen(int& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in at = Loopback(0);
  socklen_t size = sizeof at;
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&at), size) != 0 || ::listen(fd, 1024) != 0) {
    Die("cannot listen");
  }
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  port = ntohs(at.sin_port);
  return fd;
}

// What a descriptor is: who reads it, and what has come.
struct End {
  enum class Kind { kNodes, kNode, kDiscovery, kWatch, kClient } kind;
  int fd;
  std::string in;
  double due_ms = -1;  // of a client's call that is out
};

class Play {
 public:
  explicit Play(const Options& options) : options_(options) {
    signal(SIGPIPE, SIG_IGN);
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
    for (int i = 0; i < options.names; ++i) {
      int port = 0;
      Add(End::Kind::kNodes, Listen(port));
      ports_.push_back(port);
    }
    if (options.program != "-") StartProgram();
    for (int i = 0; i < options.clients; ++i) {
      const int to = pid_ > 0 ? port_ : ports_[static_cast<std::size_t>(i % options.names)];
      const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in at = Loopback(to);
      if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) Die("cannot connect");
      idle_.push_back(Add(End::Kind::kClient, fd));
    }
  }
  ~Play() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
      std::filesystem::remove_all(folder_);
    }
  }
  Play(const Play&) = delete;
  Play& operator=(const Play&) = delete;

  void Run() {
    const double begin_ms = NowMs();
    counted_ms_ = begin_ms + options_.warm_s * 1000;
    const double end_ms = counted_ms_ + options_.seconds * 1000;
    double cpu_ms = -1, next_ms = begin_ms, beat_ms = begin_ms;
    while (NowMs() < end_ms) {
      const double now_ms = NowMs();
      if (now_ms >= beat_ms) {
        for (End* watch : watches_) Send(*watch, "1\r\n\n\r\n");
        beat_ms = now_ms + 1000;
      }
      if (cpu_ms < 0 && now_ms >= counted_ms_) cpu_ms = CpuMs();
      if (options_.rate > 0) {
        for (; next_ms <= now_ms; next_ms += 1000 / options_.rate) waiting_.push_back(next_ms);
      }
      while (!idle_.empty() && (options_.rate <= 0 || !waiting_.empty())) {
        End* client = idle_.front();
        idle_.pop_front();
        double due_ms = NowMs();
        if (options_.rate > 0) {
          due_ms = waiting_.front();
          waiting_.pop_front();
        }
        Ask(*client, due_ms);
      }
      epoll_event events[256];
      // Spins where a call is due within a millisecond: an epoll wait is no finer.
      const int wait_ms =
          options_.rate > 0 && idle_.size() > 0 ? std::max(0, static_cast<int>(next_ms - NowMs())) : 1;
      const int count = ::epoll_wait(epoll_, events, 256, wait_ms);
      for (int i = 0; i < count; ++i) Handle(*static_cast<End*>(events[i].data.ptr));
    }
    Print(cpu_ms < 0 ? 0 : CpuMs() - cpu_ms);
  }

 private:
  End* Add(End::Kind kind, int fd) {
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK);
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    ends_.push_back(std::make_unique<End>(End{kind, fd, {}, -1}));
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.ptr = ends_.back().get();
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
    return ends_.back().get();
  }

  static void Send(End& end, const std::string& text) {
    if (::send(end.fd, text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size()))
      end.in.clear();
  }

  std::string List() const {
    auto members = nlohmann::json::array();
    for (std::size_t i = 0; i < ports_.size(); ++i) {
      auto one = nlohmann::json::parse(
          R"({"locality": "porto", "flavor": "novo", "cell": 0, "size": 1.0, "up_since_ms": 0,)"
          R"( "phase": "SERVING"})");
      one["id"] = "s-" + std::to_string(i);
      one["host_port"] = "127.0.0.1:" + std::to_string(ports_[i]);
      members.push_back(one);
    }
    nlohmann::json out;
    out["revision"] = 41;
    out["complete"] = true;
    out["members"] = members;
    return out.dump();
  }

  void StartProgram() {
    int discovery = 0;
    Add(End::Kind::kDiscovery, Listen(discovery));
    auto config = nlohmann::json::parse(R"({
      "name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
      "limits": {"sockets": 4096, "memory_mb": 64},
      "settings": {
        "services": [{"name": "rate-check", "effect": "free", "promiseMs": 8000.0, "deadlineMs": 9000.0,
                      "streaming": false, "worth": 2.0, "lateWorth": 0.5}],
        "bounds": {"dialTimeoutMs": 5000.0, "connIdleMs": 60000.0, "mayCancel": true, "mayDuplicate": false,
                   "probes": false, "sendCap": 3, "retryAfter": true},
        "contract": {"askWithinMs": 4000.0, "drainGraceMs": 1500.0, "coldFrom": 0.16, "warmWithinMs": 24000.0,
                     "fallMultiple": 2.5, "fallMs": 3000.0},
        "discovery": "subscribe", "feedback": {"via": "answers", "columns": ["active", "waiting"]},
        "tickMs": 5.0, "weights": "rough", "zones": ["porto"], "models": ["novo"], "tenants": []}})");
    config["discovery"] = "127.0.0.1:" + std::to_string(discovery);
    config["known"] = nlohmann::json::parse(List());
    std::string folder = (std::filesystem::temp_directory_path() / "added-time-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr) Die("no temporary folder");
    folder_ = folder;
    std::ofstream(folder_ + "/config.json") << config.dump();
    int log[2];
    if (::pipe2(log, O_CLOEXEC) != 0) Die("no pipe");
    pid_ = ::fork();
    if (pid_ == 0) {
      ::dup2(log[1], 1);
      ::dup2(log[1], 2);
      ::setenv("RELAY_CONFIG", (folder_ + "/config.json").c_str(), 1);
      ::execl(options_.program.c_str(), options_.program.c_str(), nullptr);
      ::_exit(127);
    }
    ::close(log[1]);
    std::string text;
    const std::string mark = "serving address=127.0.0.1:";
    char bytes[4096];
    for (std::size_t at; true;) {
      const auto count = ::read(log[0], bytes, sizeof bytes);
      if (count <= 0) Die("the program ended: " + text);
      text.append(bytes, static_cast<std::size_t>(count));
      if ((at = text.find(mark)) != text.npos && text.find('\n', at) != text.npos) {
        port_ = std::stoi(text.substr(at + mark.size()));
        break;
      }
    }
    ::fcntl(log[0], F_SETFL, O_NONBLOCK);
    log_fd_ = log[0];
  }

  // Processor time of the program so far.
  double CpuMs() const {
    if (pid_ <= 0) return 0;
    std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
    std::string word;
    double ticks = 0;
    for (int i = 1; i <= 15 && stat >> word; ++i) {
      if (i >= 14) ticks += std::stod(word);
    }
    return ticks * 1000 / static_cast<double>(::sysconf(_SC_CLK_TCK));
  }

  void Ask(End& client, double due_ms) {
    client.due_ms = due_ms;
    Send(client, "GET /rate-check/1 HTTP/1.1\r\nHost: app.svc\r\nReq-Id: id-" + std::to_string(++asked_) +
                     "\r\nReq-Kind: rate-check\r\nReq-Deadline-Ms: 8000\r\n\r\n");
  }

  void Handle(End& end) {
    if (end.kind == End::Kind::kNodes || end.kind == End::Kind::kDiscovery) {
      for (int fd; (fd = ::accept4(end.fd, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
        Add(end.kind == End::Kind::kNodes ? End::Kind::kNode : End::Kind::kWatch, fd);
      }
      return;
    }
    char bytes[16384];
    const auto count = ::recv(end.fd, bytes, sizeof bytes, 0);
    if (count < 0 && errno == EAGAIN) return;
    if (count <= 0) {
      if (end.kind == End::Kind::kClient) Die("a client's connection ended");
      ::close(end.fd);  // its row stays: few do
      return;
    }
    end.in.append(bytes, static_cast<std::size_t>(count));
    for (std::size_t head; (head = end.in.find("\r\n\r\n")) != end.in.npos;) {
      std::size_t size = head + 4;
      if (end.kind == End::Kind::kClient) {
        std::string lower = end.in.substr(0, head);
        std::transform(lower.begin(), lower.end(), lower.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        const auto length = lower.find("content-length: ");
        if (length != lower.npos) size += std::stoul(lower.substr(length + 16));
        if (end.in.size() < size) return;
        Answered(end, std::stoi(end.in.substr(9, 3)));
        end.in.clear();
        return;
      }
      end.in.erase(0, size);
      end.kind == End::Kind::kNode ? Answer(end) : Tell(end);
    }
  }

  void Answer(End& node) {
    const std::string body = "{\"id\":" + std::to_string(options_.alike ? 0 : ++answers_) + "}";
    Send(node, "HTTP/1.1 200 OK\r\nSrv-Load: {\"inflight\":1,\"queue\":0}\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  void Tell(End& watch) {
    watches_.push_back(&watch);
    const std::string line = List() + "\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size());
    Send(watch, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + (size + line) + "\r\n");
  }

  void Answered(End& client, int status) {
    const double now_ms = NowMs();
    if (client.due_ms >= counted_ms_) {
      if (status == 200)
        took_ms_.push_back(now_ms - client.due_ms);
      else
        ++refused_;
    }
    idle_.push_back(&client);
  }

  void Print(double cpu_ms) {
    std::sort(took_ms_.begin(), took_ms_.end());
    const auto at = [this](double share) {
      if (took_ms_.empty()) return 0.0;
      return took_ms_[std::min(took_ms_.size() - 1,
                               static_cast<std::size_t>(share * static_cast<double>(took_ms_.size())))];
    };
    std::printf(
        "names=%d clients=%d rate=%.0f alike=%d: p50=%.3f p99=%.3f p99.9=%.3f ms, %.0f/s served, %ld "
        "refused, cpu %.0f ms\n",
        options_.names, options_.clients, options_.rate, options_.alike ? 1 : 0, at(0.5), at(0.99), at(0.999),
        static_cast<double>(took_ms_.size()) / options_.seconds, refused_, cpu_ms);
  }

  const Options options_;
  const int epoll_ = ::epoll_create1(EPOLL_CLOEXEC);
  std::vector<std::unique_ptr<End>> ends_;
  std::vector<int> ports_;
  std::deque<End*> idle_;  // used in turn: the sidecar ends connections that never ask
  std::vector<End*> watches_;
  std::deque<double> waiting_;  // when calls were due that no client was free for
  std::vector<double> took_ms_;
  std::string folder_;
  pid_t pid_ = -1;
  int port_ = 0, log_fd_ = -1;
  long refused_ = 0, asked_ = 0, answers_ = 0;
  double counted_ms_ = 0;
};

}  // namespace

int main(int count, char** words) { Play(Read(count, words)).Run(); }
