// A client's connection to a router: sends one request after the other, each as its habits say, and records
// what it got byte for byte. All handlers run on the io_context's one thread.
#ifndef BITTERNMUX_LAB_WIRE_RECORDING_CLIENT_H_
#define BITTERNMUX_LAB_WIRE_RECORDING_CLIENT_H_

#include <boost/asio.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "http/buffer.h"
#include "http/parser.h"
#include "http/writer.h"
#include "lab/wire/history.h"

namespace bitternmux::lab::wire {

struct ClientHabits {
  std::size_t write_bytes = 0;            // of the request in one write; 0: all
  std::size_t read_bytes = 16 * 1024;     // at once, at the most
  std::optional<std::size_t> sends_only;  // it sends so many bytes of the request and leaves
  std::optional<std::size_t>
      leaves_at;  // it leaves once it has read so many bytes of the answer, head included
  bool leaves_by_reset = false;
};

struct ClientAsk {
  std::string method = "POST", path, host, request_id, body;
  RouteRules rules;
  std::uint64_t first_event = 0, event_count = 0;  // of a stream
  http::Headers headers;                           // beside those that follow from the above
};

using ClientDone = std::function<void(Received)>;

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& router)
      : socket_(io), router_(router) {}

  // Calls `done` once, with what was got until the answer was complete, the connection ended or the client
  // left. Not before the one before is done.
  void Ask(const ClientAsk& ask, const ClientHabits& habits, ClientDone done);
  // Another request may be sent on it.
  bool open() const { return open_; }
  // By a reset: many thousand ports in TIME_WAIT would run out.
  void Close();

 private:
  void Connect();
  void Write();
  void Read();
  void Took(const boost::system::error_code& error, std::size_t size);
  void Leave();
  void Over();

  boost::asio::ip::tcp::socket socket_;
  const boost::asio::ip::tcp::endpoint router_;
  bool open_ = false;
  ClientHabits habits_;
  ClientDone done_;
  std::string out_;
  std::size_t written_ = 0, read_ = 0;
  http::Buffer buffer_;
  http::Parser parser_{http::Role::kResponse};
  Received received_;
};

// One request on a connection of its own.
void AskOnce(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& router, const ClientAsk& ask,
             const ClientHabits& habits, ClientDone done);

}  // namespace bitternmux::lab::wire

#endif  // BITTERNMUX_LAB_WIRE_RECORDING_CLIENT_H_
