#include "lab/depth/socket_chain.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <numeric>
#include <stdexcept>
#include <string_view>
#include <thread>
#include <utility>

#include "http/buffer.h"
#include "http/parser.h"
#include "http/writer.h"
#include "lab/load/generator.h"
#include "lab/model/random.h"
#include "lab/stands/door.h"
#include "lab/stands/link.h"

namespace bitternmux::lab::depth {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

constexpr auto kEmptyLine = std::chrono::seconds(2);
constexpr auto kUpWithin = std::chrono::seconds(60);
constexpr auto kAskUp = std::chrono::milliseconds(10);
constexpr std::size_t kReadSize = 4096;
constexpr double kWarmRate = 50, kWarmSeconds = 0.5;

// A request to the next sidecar. It is told of once, unless it is dropped.
class Ask : public std::enable_shared_from_this<Ask> {
 public:
  // `status`: 0 if no answer came. `kept`: the connection can carry another.
  using Done = std::function<void(int status, std::string body, bool kept)>;

  explicit Ask(asio::io_context& io) : socket_(io) {}
  // On a new connection, or if `again` on the one that it has.
  void Start(const tcp::endpoint& to, std::string bytes, bool again, Done done) {
    out_ = std::move(bytes);
    done_ = std::move(done);
    parser_.Reset();
    if (again) return Write();
    socket_.async_connect(to, [self = shared_from_this()](const error_code& error) {
      if (error) return self->End(0, false);
      error_code ignored;
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->Write();
    });
  }
  void Drop() {
    done_ = nullptr;
    error_code ignored;
    socket_.close(ignored);
  }

 private:
  void Write() {
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this()](const error_code& error, std::size_t) {
                        error ? self->End(0, false) : self->Read();
                      });
  }
  void Read() {
    socket_.async_read_some(asio::buffer(in_.Prepare(kReadSize), kReadSize),
                            [self = shared_from_this()](const error_code& error, std::size_t count) {
                              if (error) return self->End(0, false);
                              self->in_.Commit(count);
                              const http::Progress progress = self->parser_.Parse(self->in_);
                              if (progress == http::Progress::kMore) return self->Read();
                              const bool good = progress == http::Progress::kDone;
                              self->End(good ? self->parser_.message().status : 0,
                                        good && self->parser_.message().keep_alive);
                            });
  }
  void End(int status, bool kept) {
    if (const Done done = std::exchange(done_, nullptr)) {
      done(status, status == 200 ? parser_.message().body : std::string(), kept);
    }
  }

  tcp::socket socket_;
  std::string out_;
  http::Buffer in_;
  http::Parser parser_{http::Role::kResponse};
  Done done_;
};

nlohmann::json ListOf(const std::vector<std::string>& addresses) {
  nlohmann::json list = {{"revision", 1}, {"complete", true}, {"members", nlohmann::json::array()}};
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    list["members"].push_back({{"id", "s-" + std::to_string(i)},
                               {"host_port", addresses[i]},
                               {"locality", "here"},
                               {"flavor", "one"},
                               {"cell", 0},
                               {"phase", "SERVING"},
                               {"size", 1.0},
                               {"up_since_ms", 0}});
  }
  return list;
}

// Says one list, for ever.
class Discovery final : public Link::Owner {
 public:
  Discovery(asio::io_context& io, const nlohmann::json& list)
      : timer_(io),
        list_(list.dump()),
        door_(
            io, LoopbackAt(0, 0, 1),
            [this](tcp::socket socket) {
              const std::uint64_t number = ++last_;
              links_[number].link = std::make_shared<Link>(std::move(socket), *this, number, nullptr);
              links_[number].link->Start();
            },
            [] {}) {
    door_.Set(Door::State::kOpen);
    Tell();
  }
  std::string address() const { return door_.text(); }

 private:
  struct Row {
    std::shared_ptr<Link> link;
    bool watch = false;
  };
  static std::string Chunk(const std::string& text) {
    return http::ChunkHead(text.size()) + text + std::string(http::kChunkEnd);
  }

  void Came(std::uint64_t number, const http::Message& request) override {
    Row& row = links_.at(number);
    if (request.target.find("follow=1") == std::string::npos) {
      row.link->Write(http::WriteResponse(200, {}, list_, true));
      return row.link->Next();
    }
    row.watch = true;
    row.link->Write(http::WriteResponseHead(200, {}, http::Framing::kChunks, 0, true) + Chunk(list_ + "\n"));
  }
  void Unreadable(std::uint64_t number) override {
    links_.at(number).link->Reset();
    links_.erase(number);
  }
  void Left(std::uint64_t number) override { links_.erase(number); }

  void Tell() {
    timer_.expires_after(kEmptyLine);
    timer_.async_wait([this](const error_code& error) {
      if (error) return;
      for (auto& [number, row] : links_) {
        if (row.watch) row.link->Write(Chunk("\n"));
      }
      Tell();
    });
  }

  asio::steady_timer timer_;
  const std::string list_;
  std::map<std::uint64_t, Row> links_;
  std::uint64_t last_ = 0;
  Door door_;
};

}  // namespace

class SocketChain::Impl {
 public:
  Impl(const Chain& chain, const std::string& program, std::uint64_t seed)
      : chain_(chain), fails_(model::Seeds(seed).Of("depth.fails")) {
    if (::access(program.c_str(), X_OK) != 0) throw std::runtime_error(program + ": cannot be run");
    std::string folder = (std::filesystem::temp_directory_path() / "bitternmux-depth-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr) throw std::runtime_error(folder + ": cannot be made");
    folder_ = folder;
    Reset();
    model::Stream seeds = model::Seeds(seed).Of("depth.sidecars");
    for (int hop = 1; hop <= chain.hops; ++hop) {
      doors_.push_back(std::make_unique<Door>(io_, LoopbackAt(0, 0, 1), nullptr, nullptr));
    }
    straight_ = std::make_unique<Server>(*this, chain.hops, false);
    for (int hop = 1; hop <= chain.hops; ++hop) {
      std::vector<std::string> addresses;
      for (int i = 0; i < chain.servers; ++i) {
        servers_.push_back(std::make_unique<Server>(*this, hop, true));
        addresses.push_back(servers_.back()->address());
      }
      const nlohmann::json list = ListOf(addresses);
      discoveries_.push_back(std::make_unique<Discovery>(io_, list));
      Configure(hop, list, seeds.Next());
    }
    try {
      for (int hop = 1; hop <= chain.hops; ++hop) StartProgram(hop, program);
      thread_ = std::thread([this] { io_.run(); });
      for (const auto& door : doors_) AwaitUp(door->address());
      WarmUp();
    } catch (...) {
      End();
      throw;
    }
  }
  ~Impl() { End(); }

  std::string first() const { return doors_.front()->text(); }
  std::string straight() const { return straight_->address(); }
  ServerCounts counts() const {
    const std::lock_guard lock(mutex_);
    return counts_;
  }

 private:
  // Of the chain, or beside it: that one answers at once and counts nothing.
  class Server final : public Link::Owner {
   public:
    Server(Impl& chain, int hop, bool counted)
        : chain_(chain),
          hop_(hop),
          counted_(counted),
          door_(
              chain.io_, LoopbackAt(0, 0, 1),
              [this](tcp::socket socket) {
                const std::uint64_t number = ++last_;
                Row& row = rows_[number];
                row.link = std::make_shared<Link>(std::move(socket), *this, number, nullptr);
                row.link->Start();
              },
              [] {}) {
      door_.Set(Door::State::kOpen);
    }
    std::string address() const { return door_.text(); }

   private:
    struct Row {
      std::shared_ptr<Link> link;
      std::shared_ptr<Ask> ask;
    };

    void Came(std::uint64_t number, const http::Message& request) override {
      if (request.target == "/up") return Reply(number, 200, {});
      const std::uint64_t wait_ms =
          http::WholeNumber(request.Find("req-deadline-ms").value_or("")).value_or(0);
      if (counted_ && chain_.Arrived(hop_, wait_ms, request.Find("req-id").value_or("")))
        return Reply(number, 500, {});
      if (hop_ == chain_.chain_.hops) return Reply(number, 200, "answered at hop " + std::to_string(hop_));
      AskNext(number, static_cast<double>(wait_ms), Clock::now(), true);
    }

    // A kept connection that the sidecar closes between requests has the request sent once more.
    void AskNext(std::uint64_t number, double wait_ms, Clock::time_point came, bool may_keep) {
      const double gone = std::chrono::duration<double, std::milli>(Clock::now() - came).count();
      const double left = std::floor(wait_ms - gone);
      if (left < 1) return Reply(number, 500, {});
      const Door& next = *chain_.doors_[static_cast<std::size_t>(hop_)];
      const bool kept = may_keep && !idle_.empty();
      std::shared_ptr<Ask> ask = kept ? idle_.back() : std::make_shared<Ask>(chain_.io_);
      if (kept) idle_.pop_back();
      rows_.at(number).ask = ask;
      ask->Start(next.address(),
                 http::WriteRequest("GET", std::string("/") + kClass,
                                    {{"Host", next.text()},
                                     {"Req-Id", chain_.FreshId()},
                                     {"Req-Kind", kClass},
                                     {"Req-Deadline-Ms", std::to_string(static_cast<long>(left))}},
                                    {}),
                 kept, [=, this](int status, std::string body, bool keeps) {
                   rows_.at(number).ask = nullptr;
                   if (keeps) idle_.push_back(ask);
                   if (status == 0 && kept) return AskNext(number, wait_ms, came, false);
                   const bool declined = status == 503 && chain_.chain_.refusal == RefusalBecomes::kDeclined;
                   Reply(number, status == 200 ? 200 : declined ? 503 : 500, body);
                 });
    }

    void Reply(std::uint64_t number, int status, const std::string& body) {
      http::Headers headers;
      if (status == 503) headers.emplace_back("Srv-Declined", "1");
      Link& link = *rows_.at(number).link;
      link.Write(http::WriteResponse(status, headers, body, true));
      link.Next();
    }

    void Unreadable(std::uint64_t number) override {
      rows_.at(number).link->Reset();
      Left(number);
    }
    // Its sidecar has given the attempt up: so do we.
    void Left(std::uint64_t number) override {
      if (const auto& ask = rows_.at(number).ask) ask->Drop();
      rows_.erase(number);
    }

    Impl& chain_;
    const int hop_;
    const bool counted_;
    std::map<std::uint64_t, Row> rows_;
    std::uint64_t last_ = 0;
    std::vector<std::shared_ptr<Ask>> idle_;
    Door door_;
  };

  void Reset() {
    counts_.attempts.assign(static_cast<std::size_t>(chain_.hops), 0);
    counts_.longest_wait_ms.assign(static_cast<std::size_t>(chain_.hops), 0);
    counts_.last_ids.assign(static_cast<std::size_t>(chain_.hops), {});
  }

  // Counts an attempt; does it fail?
  bool Arrived(int hop, std::uint64_t wait_ms, std::string_view id) {
    const std::lock_guard lock(mutex_);
    const auto row = static_cast<std::size_t>(hop - 1);
    ++counts_.attempts[row];
    counts_.longest_wait_ms[row] = std::max(counts_.longest_wait_ms[row], wait_ms);
    counts_.last_ids[row] = id;
    return !warming_ && hop == chain_.FailingHop() && fails_.Chance(chain_.failing);
  }
  std::string FreshId() { return "depth-" + std::to_string(++last_id_); }

  std::filesystem::path FileOf(int hop, const char* what) const {
    return folder_ / (std::to_string(hop) + what);
  }

  void Configure(int hop, const nlohmann::json& list, std::uint64_t seed) const {
    Chain alone = chain_;
    alone.own_sidecars = false;
    static constexpr char kDigits[] = "0123456789abcdef";
    std::string digits;
    for (int shift = 60; shift >= 0; shift -= 4) digits += kDigits[(seed >> shift) & 15];
    const nlohmann::json config = {{"name", "hop-" + std::to_string(hop)},
                                   {"listen", doors_[static_cast<std::size_t>(hop - 1)]->text()},
                                   {"discovery", discoveries_.back()->address()},
                                   {"seed", digits},
                                   {"known", list},
                                   {"settings", SettingsOf(alone, hop)}};
    std::ofstream(FileOf(hop, ".json")) << config.dump(1) << "\n";
  }

  void StartProgram(int hop, const std::string& program) {
    const std::string config = FileOf(hop, ".json").string(), log = FileOf(hop, ".log").string();
    const pid_t lab = ::getpid();
    const pid_t pid = ::fork();
    if (pid < 0) throw std::runtime_error("no process can be started");
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != lab) ::_exit(127);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::close_range(3, ~0u, 0);
      ::setenv("RELAY_CONFIG", config.c_str(), 1);
      for (const char* name : {"RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_OPERATOR"}) {
        ::unsetenv(name);
      }
      ::execl(program.c_str(), program.c_str(), nullptr);
      ::_exit(127);
    }
    programs_.push_back(pid);
  }

  // The end of their logs says why, if one did not come up.
  void AwaitUp(const tcp::endpoint& at) const {
    const auto until = Clock::now() + kUpWithin;
    while (Clock::now() < until) {
      asio::io_context io;
      tcp::socket socket(io);
      error_code error;
      socket.connect(at, error);
      if (!error) {
        const std::string out =
            http::WriteRequest("GET", "/up", {{"Host", TextOf(at)}, {"Connection", "close"}}, {});
        asio::write(socket, asio::buffer(out), error);
        std::array<char, 256> in{};
        const std::size_t count = error ? 0 : socket.read_some(asio::buffer(in), error);
        if (std::string_view(in.data(), count).starts_with("HTTP/1.1 200")) return;
      }
      std::this_thread::sleep_for(kAskUp);
    }
    throw std::runtime_error("the sidecar at " + TextOf(at) + " is not up after 60 s");
  }

  void WarmUp() {
    load::Plan plan;
    plan.to = first();
    plan.classes = {{kClass, true, chain_.deadline_ms, 1}};
    plan.shape = {kWarmRate, kWarmRate, kWarmSeconds};
    load::RunLoad(plan);
    const std::lock_guard lock(mutex_);
    Reset();
    warming_ = false;
  }

  void End() {
    for (const pid_t pid : programs_) ::kill(pid, SIGKILL);
    for (const pid_t pid : programs_) ::waitpid(pid, nullptr, 0);
    programs_.clear();
    io_.stop();
    if (thread_.joinable()) thread_.join();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  const Chain chain_;
  asio::io_context io_{1};
  std::filesystem::path folder_;
  mutable std::mutex mutex_;  // of the three below
  bool warming_ = true;       // nothing fails
  model::Stream fails_;
  ServerCounts counts_;
  std::uint64_t last_id_ = 0;
  std::vector<std::unique_ptr<Door>> doors_;  // the sidecars' addresses, by hop
  std::vector<std::unique_ptr<Discovery>> discoveries_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::unique_ptr<Server> straight_;
  std::vector<pid_t> programs_;
  std::thread thread_;
};

SocketChain::SocketChain(const Chain& chain, const std::string& program, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(chain, program, seed)) {}
SocketChain::~SocketChain() = default;
std::string SocketChain::first() const { return impl_->first(); }
std::string SocketChain::straight() const { return impl_->straight(); }
ServerCounts SocketChain::counts() const { return impl_->counts(); }

nlohmann::json PlaySockets(const Chain& chain, const Calls& calls, const std::string& program,
                           std::uint64_t seed) {
  const SocketChain sockets(chain, program, seed);
  load::Plan plan;
  plan.classes = {{kClass, true, chain.deadline_ms, 1}};
  plan.shape = {calls.rate, calls.rate, calls.count / calls.rate};
  plan.seed = seed;
  plan.to = sockets.straight();
  const load::Result straight = load::RunLoad(plan);
  plan.to = sockets.first();
  const load::Result through = load::RunLoad(plan);
  const ServerCounts counts = sockets.counts();
  const auto sent = static_cast<double>(through.due);
  const auto share = [&](load::Outcome outcome) {
    return static_cast<double>(through.tally.Count(outcome)) / sent;
  };
  const auto time = [](const load::Result& result, double part) {
    return result.tally.Of(0, load::Outcome::kServed).Percentile(part);
  };
  const auto all = std::accumulate(counts.attempts.begin(), counts.attempts.end(), std::uint64_t{0});
  nlohmann::json figures = {{"calls", sent},
                            {"attempts_per_call", static_cast<double>(counts.attempts.back()) / sent},
                            {"attempts_naive", NaiveAttempts(chain)},
                            {"attempts_all_hops_per_call", static_cast<double>(all) / sent},
                            {"deadline_first_ms", chain.deadline_ms},
                            {"deadline_last_hop_ms", counts.longest_wait_ms.back()},
                            {"served_share", share(load::Outcome::kServed)},
                            {"refused_share", share(load::Outcome::kRefused)},
                            {"failed_share", share(load::Outcome::kFailed)},
                            {"late_share", static_cast<double>(through.late + straight.late) / (2 * sent)}};
  for (const auto& [name, part] : {std::pair{"p50", 0.5}, {"p99", 0.99}}) {
    const std::string text = name;
    figures["straight_" + text + "_ms"] = time(straight, part);
    if (through.tally.Count(load::Outcome::kServed) == 0) continue;
    figures["served_" + text + "_ms"] = time(through, part);
    figures["added_" + text + "_ms"] = time(through, part) - time(straight, part);
  }
  return figures;
}

}  // namespace bitternmux::lab::depth
