// A stand-in for a model server that answers each request by a plan (answer_plan.h) and records the run. All
// handlers run on the io_context's one thread.
#ifndef BITTERNMUX_LAB_WIRE_HOSTILE_SERVER_H_
#define BITTERNMUX_LAB_WIRE_HOSTILE_SERVER_H_

#include <boost/asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "http/parser.h"
#include "lab/wire/answer_plan.h"
#include "lab/wire/recorder.h"

namespace bitternmux::lab::wire {

class HostileServer {
 public:
  struct Order {
    AnswerPlan plan;
    bool streaming = false;
    std::uint64_t event_count = 0;  // of a whole stream
  };
  // What becomes of the arrival of that number of a request, from 0 over all servers.
  using Planner = std::function<Order(const http::Message& request, int arrival)>;

  // Listens at a free port of that address. Throws boost::system::system_error.
  HostileServer(boost::asio::io_context& io, std::string id, const std::string& ip, Recorder& recorder,
                Planner planner);
  ~HostileServer();
  HostileServer(const HostileServer&) = delete;
  HostileServer& operator=(const HostileServer&) = delete;

  const std::string& id() const;
  std::string address() const;  // ip:port
  // Connections that are open now.
  std::size_t connections() const;

 private:
  class Connection;
  struct State;

  static void Accept(const std::shared_ptr<State>& state);

  std::shared_ptr<State> state_;
};

}  // namespace bitternmux::lab::wire

#endif  // BITTERNMUX_LAB_WIRE_HOSTILE_SERVER_H_
