// An HTTP server that answers as a script says, on a thread for each connection: stands for model servers and
// for the platform's list.
#ifndef BITTERNMUX_LAB_FLEET_SCRIPTED_SERVER_H_
#define BITTERNMUX_LAB_FLEET_SCRIPTED_SERVER_H_

#include <atomic>
#include <boost/asio.hpp>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "http/parser.h"

namespace bitternmux::lab::fleet {

// One request and its connection.
class Exchange {
 public:
  Exchange(boost::asio::ip::tcp::socket& socket, const http::Message& request)
      : socket_(socket), request_(request) {}
  const http::Message& request() const { return request_; }
  std::string Header(std::string_view name) const { return std::string(request_.Find(name).value_or("")); }
  void Send(std::string_view bytes);
  // Ends the connection behind what was sent.
  void Close();
  bool closed() const { return closed_; }

 private:
  boost::asio::ip::tcp::socket& socket_;
  const http::Message& request_;
  bool closed_ = false;
};

class ScriptedServer {
 public:
  using Script = std::function<void(Exchange&)>;

  // Listens at that address, at a port of its own if `port` is 0.
  ScriptedServer(const std::string& ip, std::uint16_t port, Script script);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  std::string address() const;
  void Use(Script script);

 private:
  struct Connection {
    explicit Connection(boost::asio::ip::tcp::socket its_socket) : socket(std::move(its_socket)) {}
    boost::asio::ip::tcp::socket socket;
    std::thread thread;
  };
  void Accept();
  void Serve(Connection& connection);

  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::mutex mutex_;  // guards what follows
  Script script_;
  std::list<Connection> connections_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace bitternmux::lab::fleet

#endif  // BITTERNMUX_LAB_FLEET_SCRIPTED_SERVER_H_
