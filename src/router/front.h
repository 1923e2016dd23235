// The HTTP server for clients: reads requests from their connections and writes the responses. It processes
// one request at a time per connection and detects clients that disconnect during a request.
//
// What it holds for a connection is charged to the process's budget (budget/client_budget.h). A connection
// that has to give way is answered with 503, which promises that its request has not run, or is closed.
#ifndef BITTERNMUX_SRC_ROUTER_FRONT_H_
#define BITTERNMUX_SRC_ROUTER_FRONT_H_

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include "budget/client_budget.h"
#include "fleet/configuration/configuration.h"
#include "fleet/transport/receive_buffer.h"
#include "http/parser.h"
#include "http/writer.h"

namespace bitternmux::router {

// Writes the response to one request.
class Responder {
 public:
  virtual ~Responder() = default;
  // Sends a complete response.
  virtual void Respond(int status, const http::Headers& headers, std::string_view body) = 0;
  // Sends a response in chunks: BeginStream, SendChunk..., then EndStream or Abort. After Abort the response
  // must not look complete to the client.
  virtual void BeginStream(int status, const http::Headers& headers) = 0;
  virtual void SendChunk(std::string_view bytes) = 0;
  virtual void EndStream() = 0;
  virtual void Abort() = 0;
  // Number of bytes not yet written to the client's socket.
  virtual std::size_t UnsentBytes() const = 0;
  // So many bytes of the response are held elsewhere until they are passed on.
  virtual void HoldAnswer(std::size_t /*bytes*/) {}
};

// A request in progress, as seen by its session.
class OpenRequest {
 public:
  virtual ~OpenRequest() = default;
  virtual void ClientDisconnected() = 0;
  virtual void ClientDrained() = 0;  // all buffered bytes have been written
};

// HTTP server on one listening address.
class Front {
 public:
  // Handles a request. The response may be given before the call returns.
  using Take = std::function<std::shared_ptr<OpenRequest>(http::Message, const std::shared_ptr<Responder>&)>;

  // Whether the body of the request with that head is wanted. One that is not is read and not kept.
  using WantsBody = std::function<bool(const http::Message&)>;

  // `budget`: of the process; null: without bounds. `wants_body`: null: every body is wanted.
  Front(boost::asio::io_context& io, Take take, std::shared_ptr<budget::ClientBudget> budget = nullptr,
        WantsBody wants_body = nullptr);
  ~Front();

  // Listens at "ip:port" and returns where; port 0: a free one is taken. Throws std::invalid_argument for
  // what is no such address, boost::system::system_error where it cannot be listened at.
  boost::asio::ip::tcp::endpoint Listen(const std::string& address);
  // Sets the limits that apply from now on.
  void Use(const fleet::Limits& limits) { limits_ = limits; }
  // From now on each connection is closed after its current response.
  void BeginClosing() { closing_ = true; }
  // Closes the connections that wait for a request.
  void CloseIdle();
  void StopListening();
  // Closes all connections; requests in progress get ClientDisconnected().
  void CloseAll();
  std::size_t sessions() const { return sessions_.size(); }

 private:
  class Session;
  friend class Session;

  void Accept();
  void Enter(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context& io_;
  const Take take_;
  const std::shared_ptr<budget::ClientBudget> budget_;
  const WantsBody wants_body_;
  fleet::ReceiveBuffer receive_buffer_;
  fleet::Limits limits_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  std::unordered_set<std::shared_ptr<Session>> sessions_;
  bool closing_ = false;
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_FRONT_H_
