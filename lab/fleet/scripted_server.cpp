#include "lab/fleet/scripted_server.h"

#include <sys/socket.h>

#include <limits>

#include "http/buffer.h"

namespace bitternmux::lab::fleet {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {
constexpr std::size_t kReadBytes = 16 * 1024;
}  // namespace

void Exchange::Send(std::string_view bytes) {
  error_code ignored;
  asio::write(socket_, asio::buffer(bytes.data(), bytes.size()), ignored);
}

void Exchange::Close() {
  closed_ = true;
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_both, ignored);
}

ScriptedServer::ScriptedServer(const std::string& ip, std::uint16_t port, Script script)
    : acceptor_(io_, tcp::endpoint(asio::ip::make_address(ip), port)),
      script_(std::move(script)),
      thread_([this] { Accept(); }) {}

ScriptedServer::~ScriptedServer() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);  // wakes the thread that accepts
    for (Connection& connection : connections_) ::shutdown(connection.socket.native_handle(), SHUT_RDWR);
  }
  thread_.join();
  for (Connection& connection : connections_) connection.thread.join();
}

std::string ScriptedServer::address() const {
  const tcp::endpoint at = acceptor_.local_endpoint();
  return at.address().to_string() + ":" + std::to_string(at.port());
}

void ScriptedServer::Use(Script script) {
  const std::lock_guard lock(mutex_);
  script_ = std::move(script);
}

void ScriptedServer::Accept() {
  while (true) {
    error_code error;
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    const std::lock_guard lock(mutex_);
    if (stopping_ || error) return;
    Connection& connection = connections_.emplace_back(std::move(socket));
    connection.thread = std::thread([this, &connection] { Serve(connection); });
  }
}

void ScriptedServer::Serve(Connection& connection) {
  http::Buffer buffer;
  http::Parser parser(http::Role::kRequest);
  // A head of legal size may have any number of lines, and the system adds some of its own.
  parser.Use({http::kMaxBody, 2 * http::kMaxHead, std::numeric_limits<std::size_t>::max()});
  while (true) {
    error_code error;
    const std::size_t size =
        connection.socket.read_some(asio::buffer(buffer.Prepare(kReadBytes), kReadBytes), error);
    if (error) return;
    buffer.Commit(size);
    const http::Progress progress = parser.Parse(buffer);
    if (progress == http::Progress::kBad) return;
    if (progress == http::Progress::kMore) continue;
    const http::Message request = parser.Take();
    parser.Reset();
    Script script;
    {
      const std::lock_guard lock(mutex_);
      script = script_;
    }
    Exchange exchange(connection.socket, request);
    script(exchange);
    if (exchange.closed()) return;
  }
}

}  // namespace bitternmux::lab::fleet
