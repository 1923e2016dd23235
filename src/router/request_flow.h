// The life of one request: from its last byte to its one final answer.
//
//   quota -> choice of a server -> attempt -> (another attempt) -> answer
//
// request_admission.cpp has the way to the choice, request_attempts.cpp the attempts, request_ending.cpp the
// end.
//
// What never ran is told from what may have run by one flag, which the first byte of an attempt sets and only
// a server's own word (X-Not-Executed, 421) takes back: without it a request that must not run twice is
// neither sent again nor answered with one of the statuses that promise it never will run.
#ifndef BITTERNMUX_SRC_ROUTER_REQUEST_FLOW_H_
#define BITTERNMUX_SRC_ROUTER_REQUEST_FLOW_H_

#include <boost/asio.hpp>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "events/event.h"
#include "fleet/quota/quota_ledger.h"
#include "router/attempt.h"
#include "router/event_stream.h"
#include "router/front.h"
#include "router/prompt.h"
#include "router/request_end.h"
#include "router/retry_budget.h"
#include "router/route_table.h"
#include "router/router_metrics.h"
#include "router/server_choice.h"
#include "router/shutdown.h"
#include "router/upstream.h"

namespace bitternmux::router {

// What all requests of a router share.
struct RouterState {
  boost::asio::io_context& io;
  EventSink& events;
  Upstream upstream;
  ServerChoice choice;
  fleet::QuotaLedger quota;
  RetryBudget budget;
  std::shared_ptr<const RouteTable> table;  // null: no configuration is known yet
  bool servers_known = false;               // a list of servers has come
  Shutdown shutdown;
  std::uint64_t last_request = 0;
  std::unordered_map<std::uint64_t, std::weak_ptr<class RequestFlow>> waiting_for_quota;
  std::vector<std::weak_ptr<class RequestFlow>> waiting_for_table;
  std::function<void()> quota_changed;  // requests or verdicts are to be taken from the ledger
  std::function<void()> loads_changed;  // the choice has loads to tell
  std::mt19937 random;
  RouterMetrics metrics;
};

class RequestFlow : public OpenRequest,
                    public AttemptHandler,
                    public std::enable_shared_from_this<RequestFlow> {
 public:
  // Answers the request, maybe before it returns.
  static std::shared_ptr<RequestFlow> Begin(RouterState& state, http::Message message,
                                            const std::shared_ptr<Responder>& responder);

  RequestFlow(RouterState& state, http::Message message, const std::shared_ptr<Responder>& responder);

  void ClientLeft() override;
  void ClientTook() override;
  void OnHead(const http::Message& head) override;
  void OnBody(std::string bytes) override;
  void OnEnd(AttemptEnd end) override;
  void QuotaDecided(bool admitted, double retry_ms);
  // A configuration and a list of servers are known now.
  void TableCame();

 private:
  enum class Phase { kBegun, kWaitsForTable, kWaitsForQuota, kSent, kOver };

  void Admit();
  void WaitForTable();
  bool FindTenant();
  // For how long it may still be held for a grant of its quota.
  double HoldMs(double now_ms) const;
  void Charge();
  void Dispatch();
  void RefuseUnchosen(const ServerChoice::Answer& answer);
  void SendTo(const ServerChoice::Chosen& chosen);
  std::string HeadFor(const ServerChoice::Chosen& chosen) const;
  int PriorityLevel() const;
  void NotRun();
  void Failed(bool reached);
  bool MayRepeat(double now_ms);
  void StreamBroke();
  void NoteFirstEvent();
  void NoteTornEvent(const Attempt& attempt, AttemptEnd end);
  void RefuseEvents();
  // The attempt under way, which is none any more.
  Attempt TakeAttempt();
  void AttemptOver(const Attempt& attempt, ServerOutcome outcome);
  void PassHead(const http::Message& head);
  void PassStreamEnd(Attempt& attempt);
  void PassAnswer(const Attempt& attempt);
  void Refuse(double retry_ms, EndReason reason);
  void Respond(int status, std::string_view why, EndReason reason);
  void BreakOff(EndReason reason);
  void TimeIsUp();
  void Over(EndReason reason);
  void TellEnd(EndReason reason);
  double Left(double now_ms) const { return until_ms_ - now_ms; }

  RouterState& state_;
  std::shared_ptr<const RouteTable> table_;
  http::Message message_;
  const std::weak_ptr<Responder> responder_;
  const std::uint64_t number_;
  const double began_ms_;
  boost::asio::steady_timer timer_;
  Phase phase_ = Phase::kBegun;

  std::string request_id_;
  std::shared_ptr<const std::string> body_;
  const fleet::Route* route_ = nullptr;
  const fleet::Tenant* tenant_ = nullptr;
  std::string service_;
  std::optional<Prompt> prompt_;
  double cost_ = 0;
  bool charged_ = false;
  double charged_ms_ = 0;
  double until_ms_ = 0;

  std::optional<Attempt> attempt_;     // under way
  std::vector<std::string> excluded_;  // servers that it was sent to
  int sends_ = 0, runs_ = 0;
  bool may_have_run_ = false;

  // What the client has of the answer, over all attempts.
  double first_event_ms_ = 0;  // from the request's beginning; 0: none came
  bool passing_ = false;       // a stream's head has gone to it
  StreamPosition position_;
};

double SteadyNowMs();

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_REQUEST_FLOW_H_
