// The clients of a run on sockets, over the model's: each sidecar has its own, who keep their connections,
// send one request at a time on each, and open more when all are busy.
//
// A try is written in one piece, and its time runs from when the model sent it. A kept connection that breaks
// before anything came of a request that its sidecar cannot have read is what the platform's clients meet
// when a close crosses a request: it is sent once more, on a new connection.
//
// State: the tries of the last seconds, and the connections, kMostConnections for each sidecar.
#ifndef BITTERNMUX_LAB_STANDS_CLIENT_STAND_H_
#define BITTERNMUX_LAB_STANDS_CLIENT_STAND_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lab/model/clients.h"
#include "lab/stands/quote_servers.h"
#include "lab/stands/sidecars.h"
#include "lab/stands/stage.h"

namespace bitternmux::lab {

class ClientStand {
 public:
  static constexpr std::size_t kMostConnections = 1000;

  // Both must outlive it.
  ClientStand(Stage& stage, const Sidecars& sidecars);
  ~ClientStand();

  // What an execute node was sent, by its Req-Id.
  std::optional<Order> Find(const http::Message& request);
  // All wishes are over.
  bool done() const { return clients_.Done(); }
  std::uint64_t sent() const { return sent_; }
  // Sent more than Pace::kLateMs after they were due.
  std::uint64_t sent_late() const { return sent_late_; }

 private:
  class Line;
  struct Row {
    model::Try attempt;
    std::shared_ptr<Line> line;  // null once it is over
    double sent_ms = -1;         // written; below 0: not yet
    int claims = 0;
    bool again = false;  // sent once more, on a new connection
    bool over = false;
  };

  void Carry();
  void Send(model::TryId id);
  void Leave(const model::Try& attempt, record::TryEnded::How how);
  // For the lines.
  void Written(model::TryId id);
  void Answered(model::TryId id, const http::Message& answer, bool whole);
  void Broken(model::TryId id, bool connected, bool answer_begun);
  void End(model::TryId id, const TryOutcome& outcome);
  void Idle(const std::shared_ptr<Line>& line);
  void Closed(const std::shared_ptr<Line>& line);
  std::string TextOf(const Row& row) const;
  void Forget();

  Stage& stage_;
  const Sidecars& sidecars_;
  model::Clients clients_;
  model::ClientActions actions_;
  std::unordered_map<model::TryId, Row> rows_;
  std::deque<std::pair<double, model::TryId>> over_;      // by when they ended
  std::vector<std::set<std::shared_ptr<Line>>> lines_;    // by sidecar
  std::vector<std::vector<std::shared_ptr<Line>>> idle_;  // by sidecar; the one used last comes last
  double keep_ms_ = 0;
  std::uint64_t sent_ = 0, sent_late_ = 0;
};

}  // namespace bitternmux::lab

#endif  // BITTERNMUX_LAB_STANDS_CLIENT_STAND_H_
