// The clients' side: reads requests from their connections and writes answers to them. One request at a time
// on each connection; a client that leaves in the middle is noticed.
#ifndef BITTERNMUX_SRC_ROUTER_FRONT_H_
#define BITTERNMUX_SRC_ROUTER_FRONT_H_

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include "fleet/configuration/configuration.h"
#include "http/parser.h"
#include "http/writer.h"

namespace bitternmux::router {

// The answer to one request, as its flow writes it.
class Responder {
 public:
  virtual ~Responder() = default;
  // The whole answer.
  virtual void Respond(int status, const http::Headers& headers, std::string_view body) = 0;
  // An answer that comes in pieces. One that is broken off must not look whole.
  virtual void BeginStream(int status, const http::Headers& headers) = 0;
  virtual void Piece(std::string_view bytes) = 0;
  virtual void EndStream() = 0;
  virtual void BreakOff() = 0;
  // Bytes that the client has not taken yet.
  virtual std::size_t Unsent() const = 0;
};

// A request under way, as its session sees it.
class OpenRequest {
 public:
  virtual ~OpenRequest() = default;
  virtual void ClientLeft() = 0;
  virtual void ClientTook() = 0;  // what was unsent is sent
};

class Front {
 public:
  // Takes a request on. Its answer may come at once.
  using Take = std::function<std::shared_ptr<OpenRequest>(http::Message, const std::shared_ptr<Responder>&)>;

  Front(boost::asio::io_context& io, Take take);
  ~Front();

  // Throws boost::system::system_error.
  void Listen(const std::string& address);
  void Use(const fleet::Limits& limits) { limits_ = limits; }
  // From now on each answer is its connection's last.
  void BeginClosing() { closing_ = true; }
  // Ends the connections that wait for a request.
  void CloseIdle();
  void StopListening();
  // Ends all connections; requests under way are told that their clients have left.
  void CloseAll();
  std::size_t sessions() const { return sessions_.size(); }

 private:
  class Session;
  friend class Session;

  void Accept();

  boost::asio::io_context& io_;
  const Take take_;
  fleet::Limits limits_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  std::unordered_set<std::shared_ptr<Session>> sessions_;
  bool closing_ = false;
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_FRONT_H_
