#include "lab/stands/sidecars.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <string_view>

#include "http/writer.h"
#include "lab/scenario/settings.h"

namespace bitternmux::lab {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr unsigned kNet = 10;  // of 127.x
constexpr double kAskUpMs = 10;
constexpr double kSampleMs = 1000;
constexpr double kStartGapMs = 3;      // between two starts: each holds the lab up for 2 ms or so
constexpr std::size_t kLogTail = 600;  // of a sidecar that ended by itself, for the reason

Measure MeasureOf(pid_t pid) {
  Measure out;
  const std::filesystem::path proc = "/proc/" + std::to_string(pid);
  std::ifstream memory(proc / "statm");
  std::int64_t all = 0, resident = 0;
  if (memory >> all >> resident) out.memory_bytes = resident * ::sysconf(_SC_PAGESIZE);
  std::ifstream stat(proc / "stat");
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  // The fields behind the name, which may hold anything: state is the 3rd, utime the 14th, stime the 15th.
  std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
  std::vector<std::string> values(std::istream_iterator<std::string>(fields), {});
  if (values.size() > 12) {
    out.cpu_us = (std::stoll(values[11]) + std::stoll(values[12])) * 1'000'000 / ::sysconf(_SC_CLK_TCK);
  }
  std::error_code error;
  for (std::filesystem::directory_iterator fd(proc / "fd", error), end; !error && fd != end;
       fd.increment(error)) {
    ++out.descriptors;
  }
  return out;
}

std::string TailOf(const std::filesystem::path& file) {
  std::ifstream in(file);
  const std::string text((std::istreambuf_iterator<char>(in)), {});
  return text.substr(text.size() - std::min(text.size(), kLogTail));
}

}  // namespace

// GET /up, once.
class Sidecars::UpCall : public std::enable_shared_from_this<UpCall> {
 public:
  UpCall(asio::io_context& io, std::function<void(bool)> done) : socket_(io), done_(std::move(done)) {}
  void Start(const tcp::endpoint& at) {
    out_ = http::WriteRequest("GET", "/up", {{"Host", TextOf(at)}, {"Connection", "close"}}, {});
    socket_.async_connect(at, [self = shared_from_this()](const error_code& error) {
      if (error) return self->done_(false);
      asio::async_write(self->socket_, asio::buffer(self->out_), [self](const error_code& e, std::size_t) {
        if (e) return self->done_(false);
        self->socket_.async_read_some(asio::buffer(self->in_),
                                      [self](const error_code& failed, std::size_t count) {
                                        const std::string_view head(self->in_.data(), count);
                                        self->done_(!failed && head.rfind("HTTP/1.1 200", 0) == 0);
                                      });
      });
    });
  }

 private:
  tcp::socket socket_;
  const std::function<void(bool)> done_;
  std::string out_;
  std::array<char, 256> in_{};
};

Sidecars::Sidecars(Stage& stage, const DiscoveryStand& discovery, std::string program)
    : stage_(stage),
      discovery_(discovery),
      program_(std::move(program)),
      rows_(stage.figures.sidecars.size()),
      children_(stage.io, SIGCHLD) {
  if (::access(program_.c_str(), X_OK) != 0) throw std::runtime_error(program_ + ": cannot be run");
  std::string folder = (std::filesystem::temp_directory_path() / "bitternmux-lab-XXXXXX").string();
  if (::mkdtemp(folder.data()) == nullptr) throw std::runtime_error(folder + ": cannot be made");
  folder_ = folder;
  for (std::size_t i = 0; i < rows_.size(); ++i) {
    const auto s = static_cast<unsigned>(i);
    rows_[i].address =
        std::make_unique<Door>(stage.io, LoopbackAt(kNet, s / 250, 1 + s % 250), nullptr, nullptr);
    rows_[i].folder = folder_ / stage.figures.sidecars[i].name;
    std::filesystem::create_directory(rows_[i].folder);
  }
  stage.on_sidecar = [this](const model::Step& step) { Carry(step); };
  AwaitEnds();
}

Sidecars::~Sidecars() {
  for (Row& row : rows_) {
    if (row.pid <= 0) continue;
    ::kill(row.pid, SIGKILL);
    ::waitpid(row.pid, nullptr, 0);
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

const tcp::endpoint& Sidecars::address(int sidecar) const {
  return rows_[static_cast<std::size_t>(sidecar)].address->address();
}

bool Sidecars::all_ready() const {
  return std::all_of(rows_.begin(), rows_.end(), [](const Row& row) { return row.phase == Phase::kReady; });
}

bool Sidecars::all_ended() const {
  return std::all_of(rows_.begin(), rows_.end(), [](const Row& row) { return row.pid <= 0; });
}

void Sidecars::Begin() {
  for (std::size_t i = 0; i < rows_.size(); ++i) {
    stage_.pace.At(stage_.figures.sidecars[i].start_ms, [this, i] { StartInTurn(static_cast<int>(i)); });
  }
  stage_.pace.At(kSampleMs, [this] { Sample(); });
}

void Sidecars::Configure(int sidecar) {
  Row& row = At(sidecar);
  const model::RuleFigures& rules = stage_.figures.rules;
  const auto seed = stage_.seeds.For("sidecar.seed")
                        .At(static_cast<std::uint64_t>(sidecar), static_cast<std::uint64_t>(row.life));
  char digits[24];
  std::snprintf(digits, sizeof digits, "%016llx",
                static_cast<unsigned long long>(model::Stream(seed).Next()));
  nlohmann::json config;
  config["name"] = stage_.figures.sidecars[static_cast<std::size_t>(sidecar)].name;
  config["listen"] = row.address->text();
  config["discovery"] = discovery_.AddressOf(sidecar);
  config["seed"] = digits;
  config["limits"]["cores"] = 1.0;
  config["limits"]["memory_mb"] = rules.memory_mb;
  config["limits"]["sockets"] = rules.descriptors;
  config["known"] = discovery_.KnownTo(sidecar);
  config["settings"] = scenario::SettingsOf(stage_.figures, sidecar);
  // Replaced as a whole: a sidecar never reads half of one.
  const std::filesystem::path next = row.folder / "next.json";
  std::ofstream(next) << config.dump(1) << "\n";
  std::filesystem::rename(next, row.folder / "config.json");
}

// Many that are due at once would hold up the clients and servers that share the lab's one thread.
void Sidecars::StartInTurn(int sidecar) {
  starting_.push_back(sidecar);
  if (starting_.size() == 1) StartNext();
}

void Sidecars::StartNext() {
  Start(starting_.front());
  stage_.pace.At(stage_.pace.NowMs() + kStartGapMs, [this] {
    starting_.pop_front();
    if (!starting_.empty()) StartNext();
  });
}

void Sidecars::Start(int sidecar) {
  Row& row = At(sidecar);
  if (over_ || row.pid > 0) return;
  ++row.life;
  Configure(sidecar);
  const std::string name = stage_.figures.sidecars[static_cast<std::size_t>(sidecar)].name;
  const std::string config = (row.folder / "config.json").string(), log = (row.folder / "log").string();
  const std::string listen = row.address->text(), discovery = discovery_.AddressOf(sidecar);
  const rlimit descriptors{static_cast<rlim_t>(stage_.figures.rules.descriptors),
                           static_cast<rlim_t>(stage_.figures.rules.descriptors)};
  stage_.Tell(&Observer::SidecarChanged, sidecar, record::Sidecar::STARTED);
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
    ::setrlimit(RLIMIT_NOFILE, &descriptors);
    sigset_t none;
    ::sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    ::setenv("RELAY_NAME", name.c_str(), 1);
    ::setenv("RELAY_LISTEN", listen.c_str(), 1);
    ::setenv("RELAY_DISCOVERY", discovery.c_str(), 1);
    ::setenv("RELAY_CONFIG", config.c_str(), 1);
    ::execl(program_.c_str(), program_.c_str(), nullptr);
    ::_exit(127);
  }
  row.pid = pid;
  row.phase = Phase::kStarting;
  row.stopping = row.killed = false;
  if (!row.alive_ms.empty()) {
    stage_.pace.At(stage_.pace.NowMs() + row.alive_ms.front(), [this, sidecar, life = row.life] {
      if (At(sidecar).life == life && At(sidecar).pid > 0 && !over_) Kill(sidecar);
    });
    row.alive_ms.pop_front();
  }
  AskUp(sidecar, row.life);
}

void Sidecars::AskUp(int sidecar, int life) {
  Row& row = At(sidecar);
  if (row.life != life || row.phase != Phase::kStarting) return;
  std::make_shared<UpCall>(stage_.io, [this, sidecar, life](bool up) {
    Row& asked = At(sidecar);
    if (asked.life != life || asked.phase != Phase::kStarting || asked.killed) return;
    if (!up)
      return stage_.pace.At(stage_.pace.NowMs() + kAskUpMs, [this, sidecar, life] { AskUp(sidecar, life); });
    asked.phase = Phase::kReady;
    stage_.Tell(&Observer::SidecarChanged, sidecar, record::Sidecar::READY);
  })->Start(row.address->address());
}

void Sidecars::Carry(const model::Step& step) {
  Row& row = At(step.target);
  const auto amount = static_cast<int>(step.amount);
  if (step.what == model::Step::What::kShortLife) return row.alive_ms.push_back(step.amount);
  if (row.pid <= 0 || over_) return;
  switch (step.what) {
    case model::Step::What::kFreeze:
      return Freeze(step.target, amount);
    case model::Step::What::kLetGo:
      return LetGo(step.target, amount);
    case model::Step::What::kDescriptors:
      return Limit(step.target, amount);
    case model::Step::What::kHup:
      Configure(step.target);
      stage_.Tell(&Observer::SidecarChanged, step.target, record::Sidecar::HUP);
      ::kill(row.pid, SIGHUP);
      return;
    case model::Step::What::kTerm:
      if (row.stopping) return;
      row.down_ms = step.amount;
      return Terminate(step.target);
    default:
      row.down_ms = step.amount;
      return Kill(step.target);
  }
}

void Sidecars::Freeze(int sidecar, int holder) {
  Row& row = At(sidecar);
  if (row.killed || !row.held_by.insert(holder).second || row.held_by.size() > 1) return;
  stage_.Tell(&Observer::SidecarChanged, sidecar, record::Sidecar::FROZEN);
  ::kill(row.pid, SIGSTOP);
}

void Sidecars::LetGo(int sidecar, int holder) {
  Row& row = At(sidecar);
  if (row.held_by.erase(holder) == 0 || !row.held_by.empty()) return;
  stage_.Tell(&Observer::SidecarChanged, sidecar, record::Sidecar::LET_GO);
  ::kill(row.pid, SIGCONT);
}

// Only the soft limit, so that it can be given back. What is open beyond it stays open.
void Sidecars::Limit(int sidecar, int descriptors) {
  rlimit limit{};
  const pid_t pid = At(sidecar).pid;
  if (::prlimit(pid, RLIMIT_NOFILE, nullptr, &limit) != 0) return;
  limit.rlim_cur =
      descriptors == 0 ? limit.rlim_max : std::min(limit.rlim_max, static_cast<rlim_t>(descriptors));
  ::prlimit(pid, RLIMIT_NOFILE, &limit, nullptr);
}

void Sidecars::Terminate(int sidecar) {
  Row& row = At(sidecar);
  stage_.Tell(&Observer::SidecarChanged, sidecar, record::Sidecar::TERM);
  row.stopping = true;
  ::kill(row.pid, SIGTERM);
  stage_.pace.At(stage_.pace.NowMs() + stage_.figures.rules.kill_after_ms, [this, sidecar, life = row.life] {
    if (At(sidecar).life == life && At(sidecar).pid > 0) Kill(sidecar);
  });
}

void Sidecars::Kill(int sidecar) {
  Row& row = At(sidecar);
  if (std::exchange(row.killed, true)) return;
  stage_.Tell(&Observer::SidecarChanged, sidecar, record::Sidecar::KILLED);
  row.stopping = true;
  row.killed_ms = stage_.pace.NowMs();
  row.held_by.clear();
  ::kill(row.pid, SIGKILL);
}

void Sidecars::AwaitEnds() {
  children_.async_wait([this](const error_code& error, int) {
    if (error) return;
    Reap();
    AwaitEnds();
  });
}

void Sidecars::Reap() {
  for (std::size_t i = 0; i < rows_.size(); ++i) {
    int status = 0;
    if (rows_[i].pid > 0 && ::waitpid(rows_[i].pid, &status, WNOHANG) == rows_[i].pid) {
      Ended(static_cast<int>(i), status);
    }
  }
}

void Sidecars::Ended(int sidecar, int status) {
  Row& row = At(sidecar);
  row.pid = -1;
  row.held_by.clear();
  row.phase = Phase::kDown;
  const bool exited = WIFEXITED(status);
  const int code = exited ? WEXITSTATUS(status) : WTERMSIG(status);
  const bool ours = !exited && code == SIGKILL && row.stopping;
  stage_.Tell(&Observer::SidecarEnded, sidecar,
              exited || ours ? record::Sidecar::EXITED : record::Sidecar::CRASHED, code);
  if (!row.stopping) {
    // By itself: the run tells nothing of what it should have.
    stage_.Void(stage_.figures.sidecars[static_cast<std::size_t>(sidecar)].name + " ended by itself, " +
                (exited ? "with " : "by signal ") + std::to_string(code) + ": " + TailOf(row.folder / "log"));
    return;
  }
  if (over_) return;
  stage_.pace.At(stage_.pace.NowMs() + row.down_ms, [this, sidecar] { StartInTurn(sidecar); });
}

void Sidecars::StopAll() {
  over_ = true;
  for (std::size_t i = 0; i < rows_.size(); ++i) {
    const int sidecar = static_cast<int>(i);
    const std::set<int> holders = rows_[i].held_by;
    if (rows_[i].pid <= 0) continue;
    for (const int holder : holders) LetGo(sidecar, holder);
    if (!rows_[i].stopping) Terminate(sidecar);
  }
}

void Sidecars::Sample() {
  for (std::size_t i = 0; i < rows_.size(); ++i) {
    // One that was killed is no longer there to be measured.
    if (rows_[i].pid <= 0 || rows_[i].phase != Phase::kReady) continue;
    if (rows_[i].killed) continue;
    stage_.Tell(&Observer::Measured, static_cast<int>(i), MeasureOf(rows_[i].pid));
  }
  stage_.pace.At(stage_.pace.NowMs() + kSampleMs, [this] { Sample(); });
}

}  // namespace bitternmux::lab
