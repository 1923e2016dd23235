// Pool of keep-alive connections to servers. An attempt uses a connection exclusively from the first byte of
// its request to the last byte of its response. After a complete response the connection can be reused.
//
// A response belongs to the attempt whose request id it carries. A response with another id is surplus (late
// or duplicated): it is read to its end and dropped. A request with the same id as the previous request on a
// connection uses another connection, because a duplicate response to the previous one would be mistaken for
// its own. A connection that receives data while idle is closed. So is a connection whose response was
// complete before its request was fully written: the server would read the rest of that request as the start
// of the next one. docs/design/control-review.md lists the races between two events.
#ifndef BITTERNMUX_SRC_ROUTER_UPSTREAM_H_
#define BITTERNMUX_SRC_ROUTER_UPSTREAM_H_

#include <boost/asio.hpp>
#include <limits>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "budget/client_budget.h"
#include "http/parser.h"

namespace bitternmux::router {

// How an attempt ended.
enum class AttemptEnd {
  kComplete,         // the response was received completely
  kCompleteByClose,  // the response has no length and the connection was closed in order: complete as far as
                     // HTTP can tell
  kUnreachable,      // the connection was refused: nothing was sent
  kDialTimedOut,     // the connection was not established in time: nothing was sent
  kBroken,           // failed after a byte may have been sent: the request may have been executed
  kUnacknowledged,   // like kBroken; the server's host does not acknowledge the bytes sent
};

// Receives the response of an attempt. It is never called from within Upstream::Begin, nor after Cancel or
// after OnEnd.
class AttemptHandler {
 public:
  virtual ~AttemptHandler() = default;
  // A new connection was established for the attempt, in that time.
  virtual void OnConnected(double /*dial_ms*/) {}
  virtual void OnHead(const http::Message& head) = 0;
  virtual void OnBody(std::string bytes) = 0;
  virtual void OnEnd(AttemptEnd end) = 0;
};

constexpr double kNoSpareLimit = std::numeric_limits<double>::infinity();

// The request of one attempt and the server to send it to.
struct AttemptRequest {
  std::string server, address, request_id;
  std::string head;
  std::shared_ptr<const std::string> body;
  bool new_connection = false;  // use a new connection instead of an idle one
  // How long the client can spare to wait for a new connection. An attempt that is given up for this ends as
  // kUnreachable: it says nothing about the server's machine.
  double spare_ms = kNoSpareLimit;
};

class Upstream {
 public:
  class Connection;

  // `budget`: of the process, whose descriptors its connections take; null: without bounds.
  explicit Upstream(boost::asio::io_context& io, std::shared_ptr<budget::ClientBudget> budget = nullptr)
      : io_(io), budget_(budget ? std::move(budget) : std::make_shared<budget::ClientBudget>()) {}
  ~Upstream();

  // Starts an attempt on an idle or a new connection.
  std::shared_ptr<Connection> Begin(AttemptRequest request, std::shared_ptr<AttemptHandler> handler);
  // Ends an attempt and closes its connection.
  static void Cancel(const std::shared_ptr<Connection>& connection);
  // Pauses or resumes reading the response, for backpressure from a slow client.
  static void Pause(const std::shared_ptr<Connection>& connection, bool paused);

  // Closes the idle connections to servers for which `serves(server)` is false.
  template <class Serves>
  void Prune(const Serves& serves) {
    for (auto at = idle_.begin(); at != idle_.end();) {
      if (serves(at->first)) {
        ++at;
        continue;
      }
      CloseAll(at->second);
      at = idle_.erase(at);
    }
  }
  // Counters since the start.
  struct Figures {
    std::uint64_t dialed = 0;           // connection attempts
    std::uint64_t surplus_answers = 0;  // responses that belonged to no attempt and were dropped
  };
  Figures figures() const { return {dialed_, surplus_answers_}; }

 private:
  friend class Connection;
  using Pool = std::vector<std::shared_ptr<Connection>>;

  static void CloseAll(const Pool& pool);
  void ReturnToPool(const std::shared_ptr<Connection>& connection);
  void Remove(Connection* connection);
  // Closes idle connections to other servers where there is no descriptor for one more.
  void MakeRoom();

  boost::asio::io_context& io_;
  const std::shared_ptr<budget::ClientBudget> budget_;
  std::unordered_map<std::string, Pool> idle_;  // by server; the most recently used at the back
  std::uint64_t dialed_ = 0, surplus_answers_ = 0;
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_UPSTREAM_H_
