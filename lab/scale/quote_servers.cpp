#include "lab/scale/quote_servers.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <numeric>
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

}  // namespace

std::uint64_t ServerCounts::open_in_all() const {
  return std::accumulate(open.begin(), open.end(), std::uint64_t{0},
                         [](std::uint64_t sum, int some) { return sum + static_cast<std::uint64_t>(some); });
}

class QuoteServers::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(QuoteServers& servers, std::size_t server, tcp::socket socket)
      : counts_(servers.counts_),
        hold_ms_(servers.hold_ms_),
        server_(server),
        socket_(std::move(socket)),
        hold_(socket_.get_executor()) {
    ++counts_.opened;
    ++counts_.open[server_];
  }
  ~Connection() { --counts_.open[server_]; }

  void Read() {
    socket_.async_read_some(asio::buffer(in_.Prepare(kReadSize), kReadSize),
                            [self = shared_from_this()](const error_code& error, std::size_t size) {
                              if (error) return;
                              self->in_.Commit(size);
                              const http::Progress progress = self->parser_.Parse(self->in_);
                              if (progress == http::Progress::kBad) return;
                              progress == http::Progress::kDone ? self->Answer() : self->Read();
                            });
  }

 private:
  void Answer() {
    const http::Message message = parser_.Take();
    parser_.Reset();
    const auto id = message.Find("req-id");
    id ? ++counts_.requests : ++counts_.probes;
    out_ = http::WriteResponse(
        200, {}, "server " + std::to_string(server_) + " request " + std::string(id.value_or("-")) + "\n",
        true);
    const int hold_ms = id ? hold_ms_.load() : 0;
    if (hold_ms == 0) return Write();
    hold_.expires_after(std::chrono::milliseconds(hold_ms));
    hold_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error) self->Write();
    });
  }

  void Write() {
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this()](const error_code& error, std::size_t) {
                        if (!error) self->Read();
                      });
  }

  ServerCounts& counts_;
  const std::atomic<int>& hold_ms_;
  const std::size_t server_;
  tcp::socket socket_;
  asio::steady_timer hold_;
  http::Buffer in_;
  http::Parser parser_{http::Role::kRequest};
  std::string out_;
};

QuoteServers::QuoteServers(int count) {
  counts_.open.resize(static_cast<std::size_t>(count));
  for (std::size_t i = 0; i < counts_.open.size(); ++i) {
    acceptors_.emplace_back(thread_.io(), tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  }
  for (std::size_t i = 0; i < acceptors_.size(); ++i) Accept(i);
  thread_.Start();
}

QuoteServers::~QuoteServers() { thread_.Stop(); }

std::vector<std::string> QuoteServers::Addresses() const {
  std::vector<std::string> out;
  for (const tcp::acceptor& acceptor : acceptors_) {
    std::ostringstream text;
    text << acceptor.local_endpoint();
    out.push_back(text.str());
  }
  return out;
}

void QuoteServers::Accept(std::size_t server) {
  acceptors_[server].async_accept([this, server](const error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      std::make_shared<Connection>(*this, server, std::move(socket))->Read();
    }
    Accept(server);
  });
}

ServerCounts QuoteServers::Count() {
  return thread_.Do([&] { return counts_; });
}

}  // namespace bitternmux::lab::scale
