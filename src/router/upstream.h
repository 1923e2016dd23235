// Connections to servers, and the attempts that they carry. An attempt has one connection to itself from its
// first byte to the last of its answer; a connection whose answer came whole serves the next one.
//
// An answer belongs to the attempt whose request id it carries. One with another id is surplus, late or
// doubled: it is read to its end and dropped. A request whose id a connection has just carried gets another
// one, as a second answer would look like its own. A connection that brings anything while it idles is
// closed, and so is one whose answer was whole before its request was written: the rest of that request would
// be taken for the next one. docs/design/control-review.md has the table of crossings.
#ifndef BITTERNMUX_SRC_ROUTER_UPSTREAM_H_
#define BITTERNMUX_SRC_ROUTER_UPSTREAM_H_

#include <boost/asio.hpp>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "http/parser.h"

namespace bitternmux::router {

enum class AttemptEnd {
  kComplete,         // the answer came whole
  kCompleteByClose,  // the answer has no length and its connection ended in order: whole as far as HTTP can
                     // tell
  kUnreachable,      // the connection was refused: nothing was sent
  kDialTimedOut,     // no connection came up in time: nothing was sent
  kBroken,           // after the first byte may have been sent: it may have run
  kUnacknowledged,   // the same, as the server's machine does not say that bytes have come
};

// Who made the attempt. No call comes from within Upstream::Begin, and none after Cancel or OnEnd.
class AttemptHandler {
 public:
  virtual ~AttemptHandler() = default;
  virtual void OnHead(const http::Message& head) = 0;
  virtual void OnBody(std::string bytes) = 0;
  virtual void OnEnd(AttemptEnd end) = 0;
};

struct AttemptRequest {
  std::string server, address, request_id;
  std::string head;
  std::shared_ptr<const std::string> body;
  bool fresh = false;  // not on a connection that was made before
};

class Upstream {
 public:
  class Connection;

  explicit Upstream(boost::asio::io_context& io) : io_(io) {}
  ~Upstream();

  std::shared_ptr<Connection> Begin(AttemptRequest request, std::shared_ptr<AttemptHandler> handler);
  // Ends an attempt and its connection.
  static void Cancel(const std::shared_ptr<Connection>& connection);
  // Whoever takes the answer on is slow, or no longer is.
  static void Pause(const std::shared_ptr<Connection>& connection, bool paused);

  // Closes what idles to servers that `serves` does not know.
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
  // Counts since the start.
  struct Figures {
    std::uint64_t dialed = 0;           // connections that were begun
    std::uint64_t surplus_answers = 0;  // that belonged to no attempt and were dropped
  };
  Figures figures() const { return {dialed_, surplus_answers_}; }

 private:
  friend class Connection;
  using Pool = std::vector<std::shared_ptr<Connection>>;

  static void CloseAll(const Pool& pool);
  void Idle(const std::shared_ptr<Connection>& connection);
  void Gone(Connection* connection);

  boost::asio::io_context& io_;
  std::unordered_map<std::string, Pool> idle_;  // by server; the one that idled last at the back
  std::uint64_t dialed_ = 0, surplus_answers_ = 0;
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_UPSTREAM_H_
