#include "lab/scale/discovery.h"

#include <boost/asio/write.hpp>
#include <charconv>
#include <chrono>
#include <sstream>

#include "http/buffer.h"
#include "http/parser.h"
#include "http/writer.h"

namespace bitternmux::lab::scale {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kReadSize = 4096;
constexpr auto kBlankEvery = std::chrono::seconds(2);

}  // namespace

class Discovery::Caller : public std::enable_shared_from_this<Caller> {
 public:
  Caller(Discovery& discovery, Group group, tcp::socket socket)
      : discovery_(discovery), group_(group), counts_(discovery.counts_[group]), socket_(std::move(socket)) {}

  void Read() {
    socket_.async_read_some(asio::buffer(in_.Prepare(kReadSize), kReadSize),
                            [self = shared_from_this()](const error_code& error, std::size_t size) {
                              if (error) return self->Close();
                              self->counts_.bytes_in += size;
                              self->in_.Commit(size);
                              if (!self->Requests()) return self->Close();
                              self->Read();
                            });
  }

  void Line(const std::string& line) {
    if (!silent_) Send(http::ChunkHead(line.size()) + line + std::string(http::kChunkEnd));
  }
  void Tell(const std::string& line) {
    if (!silent_) ++counts_.messages;
    Line(line);
  }
  void Blank() {
    if (!silent_) ++counts_.blanks;
    Line("\n");
  }
  void Silence() { silent_ = true; }
  Group group() const { return group_; }

  void Close() {
    if (closed_) return;
    closed_ = true;
    error_code ignored;
    socket_.close(ignored);
    if (!watching_) return;
    --counts_.watches;
    discovery_.watches_.remove(shared_from_this());
  }

 private:
  bool Requests() {
    while (in_.size() > 0) {
      const http::Progress progress = parser_.Parse(in_);
      if (progress == http::Progress::kBad || watching_) return false;
      if (progress == http::Progress::kMore) return true;
      Answer(parser_.Take().target);
      parser_.Reset();
    }
    return true;
  }

  void Answer(const std::string& target) {
    ++counts_.calls;
    counts_.call_times_ms.push_back(NowMs());
    if (target.rfind("/discovery/hosts", 0) != 0) return Send(http::WriteResponse(404, {}, {}, true));
    const auto follow = target.find("follow=1"), since = target.find("since=");
    if (follow == target.npos) {
      ++counts_.messages;
      ++counts_.whole_lists;
      return Send(http::WriteResponse(200, {}, discovery_.Whole(), true));
    }
    std::int64_t from = 0;
    if (since != target.npos) std::from_chars(target.data() + since + 6, target.data() + target.size(), from);
    watching_ = true;
    ++counts_.watches;
    discovery_.watches_.push_back(shared_from_this());
    Send(http::WriteResponseHead(200, {}, http::Framing::kChunks, 0, true));
    const bool whole = from <= 0 || from > discovery_.revision_ || discovery_.always_whole_;
    counts_.whole_lists += whole;
    Tell((whole ? discovery_.Whole() : discovery_.Lines(from)) + "\n");
  }

  void Send(std::string text) {
    counts_.bytes_out += text.size();
    waiting_ += text;
    if (writing_.empty()) Write();
  }

  void Write() {
    writing_.swap(waiting_);
    asio::async_write(socket_, asio::buffer(writing_),
                      [self = shared_from_this()](const error_code& error, std::size_t) {
                        self->writing_.clear();
                        if (error) return self->Close();
                        if (!self->closed_ && !self->waiting_.empty()) self->Write();
                      });
  }

  Discovery& discovery_;
  const Group group_;
  DiscoveryCounts& counts_;
  tcp::socket socket_;
  http::Buffer in_;
  http::Parser parser_{http::Role::kRequest};
  std::string writing_, waiting_;
  bool watching_ = false, silent_ = false, closed_ = false;
};

Discovery::Discovery(const Plan& plan, std::vector<std::string> addresses)
    : plan_(plan),
      addresses_(std::move(addresses)),
      phases_(plan.servers.size(), "SERVING"),
      changed_at_(plan.servers.size(), 1),
      acceptors_{tcp::acceptor(thread_.io(), {asio::ip::address_v4::loopback(), 0}),
                 tcp::acceptor(thread_.io(), {asio::ip::address_v4::loopback(), 0})},
      blank_(thread_.io()) {
  Accept(kReal);
  Accept(kHollow);
  blank_.expires_after(kBlankEvery);
  Blank();
  thread_.Start();
}

Discovery::~Discovery() { thread_.Stop(); }

std::string Discovery::AddressOf(Group group) const {
  std::ostringstream out;
  out << acceptors_[group].local_endpoint();
  return out.str();
}

void Discovery::Accept(Group group) {
  acceptors_[group].async_accept([this, group](const error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      std::make_shared<Caller>(*this, group, std::move(socket))->Read();
    }
    Accept(group);
  });
}

void Discovery::Blank() {
  blank_.async_wait([this](const error_code& error) {
    if (error) return;
    for (const Handle& watch : std::list<Handle>(watches_)) watch->Blank();
    blank_.expires_at(blank_.expiry() + kBlankEvery);
    Blank();
  });
}

std::string Discovery::Entry(std::size_t server) const {
  const Server& row = plan_.servers[server];
  return R"({"id":")" + row.id + R"(","host_port":")" + addresses_[server] + R"(","locality":")" + row.zone +
         R"(","flavor":")" + row.kind + R"(","cell":)" + std::to_string(row.cell) + R"(,"phase":")" +
         phases_[server] + R"(","size":1.0,"up_since_ms":0})";
}

std::string Discovery::Lines(std::int64_t since) const {
  std::string out = R"({"revision":)" + std::to_string(revision_) + R"(,"complete":false,"members":[)";
  bool first = true;
  for (std::size_t i = 0; i < phases_.size(); ++i) {
    if (changed_at_[i] <= since) continue;
    out.append(std::exchange(first, false) ? "" : ",").append(Entry(i));
  }
  return out + "]}";
}

const std::string& Discovery::Whole() {
  if (whole_at_ == revision_) return whole_;
  std::string out = R"({"revision":)" + std::to_string(revision_) + R"(,"complete":true,"members":[)";
  bool first = true;
  for (std::size_t i = 0; i < phases_.size(); ++i) {
    if (phases_[i] == "DELETED") continue;
    out.append(std::exchange(first, false) ? "" : ",").append(Entry(i));
  }
  whole_at_ = revision_;
  return whole_ = out + "]}";
}

double Discovery::Change(const std::vector<int>& servers, const std::string& phase) {
  return thread_.Do([&] {
    const double had_ms = NowMs();
    const std::int64_t before = revision_++;
    for (const int server : servers) {
      phases_[static_cast<std::size_t>(server)] = phase;
      changed_at_[static_cast<std::size_t>(server)] = revision_;
    }
    const std::string line = Lines(before) + "\n";
    for (const Handle& watch : std::list<Handle>(watches_)) watch->Tell(line);
    return had_ms;
  });
}

void Discovery::BreakAll(Group group) {
  thread_.Do([&] {
    for (const Handle& watch : std::list<Handle>(watches_)) {
      if (watch->group() == group) watch->Close();
    }
  });
}

void Discovery::AlwaysWhole(bool on) {
  thread_.Do([&] { always_whole_ = on; });
}

void Discovery::Silence(int nth) {
  thread_.Do([&] {
    int at = 0;
    for (const Handle& watch : watches_) {
      if (nth > 0 && at++ % nth == 0) watch->Silence();
    }
  });
}

Counts Discovery::Count() {
  return thread_.Do([&] { return counts_; });
}

std::size_t Discovery::ListBytes() {
  return thread_.Do([&] { return Whole().size(); });
}

std::int64_t Discovery::Revision() {
  return thread_.Do([&] { return revision_; });
}

}  // namespace bitternmux::lab::scale
