// The life cycle of one request, from the arrival of its last byte to its single final response.
//
//   quota -> choice of a server -> attempt -> (another attempt) -> response
//
// request_admission.cpp implements the steps up to the choice of a server, request_attempts.cpp the attempts
// and request_ending.cpp the end.
//
// One flag separates requests that were never executed from those that may have been. An attempt that may
// have sent a byte counts as possibly executed unless the server itself says otherwise (X-Not-Executed, 421).
// A request that must not be executed twice and may have been executed is neither sent again nor answered
// with a status that promises that it was not executed.
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

// State that all requests of a router share.
struct RouterState {
  boost::asio::io_context& io;
  EventSink& events;
  Upstream upstream;
  ServerChoice choice;
  fleet::QuotaLedger quota;
  RetryBudget budget;
  std::shared_ptr<const RouteTable> table;  // null until a configuration has been received
  bool servers_known = false;               // a server list has been received
  Shutdown shutdown;
  std::uint64_t last_request_number = 0;
  std::unordered_map<std::uint64_t, std::weak_ptr<class RequestFlow>> waiting_for_quota;
  std::vector<std::weak_ptr<class RequestFlow>> waiting_for_table;
  std::function<void()> quota_changed;  // the ledger has requests or verdicts to collect
  std::function<void()> loads_changed;  // `choice` has loads to report
  std::mt19937 random;
  RouterMetrics metrics;
};

// State machine of one request. Driven by the client's session (OpenRequest), the connection to the server
// (AttemptHandler), the quota ledger and a timer.
class RequestFlow : public OpenRequest,
                    public AttemptHandler,
                    public std::enable_shared_from_this<RequestFlow> {
 public:
  // Starts processing the request. The response may be given before this returns.
  static std::shared_ptr<RequestFlow> Begin(RouterState& state, http::Message message,
                                            const std::shared_ptr<Responder>& responder);

  RequestFlow(RouterState& state, http::Message message, const std::shared_ptr<Responder>& responder);

  void ClientDisconnected() override;
  void ClientDrained() override;
  void OnConnected(double dial_ms) override;
  void OnHead(const http::Message& head) override;
  void OnBody(std::string bytes) override;
  void OnEnd(AttemptEnd end) override;
  // The quota ledger has admitted or refused the request. `retry_ms`: time after which to try again.
  void QuotaDecided(bool admitted, double retry_ms);
  // Continues a request that waited until a configuration and a server list were available.
  void OnRouteTableAvailable();

 private:
  enum class Phase { kAdmitting, kWaitingForTable, kWaitingForQuota, kSent, kFinished };

  void Admit();
  double ClientTimeMs() const;
  void WaitForTable();
  bool FindTenant();
  // Until when its client can spare the time to wait for a quota grant.
  double QuotaWaitEndMs(double now_ms) const;
  void RequestQuota();
  void Dispatch();
  void SendTo(const ServerChoice::Chosen& chosen);
  std::string HeadFor(const ServerChoice::Chosen& chosen) const;
  int PriorityLevel() const;
  void OnNotExecuted(double expected_ms);
  void OnAttemptFailed(bool reached);
  bool MayRepeat(double now_ms);
  void OnStreamBroken();
  void RecordFirstEvent();
  void RecordTornEvent(const Attempt& attempt, AttemptEnd end);
  void RejectRepeatedEvents();
  // A response that is no stream has grown too large to be held.
  void PassOnLargeResponse();
  // An event of a stream has.
  void PassOnLargeEvent();
  void ForwardEvents(std::string_view events);
  void ForwardPiece(std::string_view bytes);
  // Forwards bytes of a response of which nothing is held any more.
  void ForwardUnheld(std::string_view bytes);
  // Whether the response must not be returned as it is.
  bool MustNotReturn(const http::Message& head) const;
  // Moves the current attempt out of the flow.
  Attempt TakeAttempt();
  void FinishAttempt(const Attempt& attempt, ServerOutcome outcome);
  void ForwardHead(const http::Message& head);
  void ForwardStreamEnd(Attempt& attempt);
  void ForwardResponse(const Attempt& attempt);
  // Ends the request with 503 and, unless there is no time for a retry, a Retry-After (caller_time.h).
  // `retry_ms`: after about this time a retry may succeed. Responds with 502 if the request may have been
  // executed and must not be repeated; aborts a stream that was started.
  void Refuse(std::optional<double> retry_ms, EndReason reason);
  void Respond(int status, std::string_view why, EndReason reason);
  void Abort(EndReason reason);
  void OnDeadline();
  // Ends the request once: records the end and refunds the quota if the request was not executed.
  void Finish(EndReason reason);
  void RecordEnd(EndReason reason);
  double RemainingMs(double now_ms) const { return deadline_ms_ - now_ms; }

  RouterState& state_;
  std::shared_ptr<const RouteTable> table_;
  http::Message message_;
  const std::weak_ptr<Responder> responder_;
  const std::uint64_t request_number_;
  const double started_ms_;
  boost::asio::steady_timer timer_;
  Phase phase_ = Phase::kAdmitting;

  std::string request_id_;
  std::shared_ptr<const std::string> body_;
  const fleet::Route* route_ = nullptr;
  const fleet::Tenant* tenant_ = nullptr;
  std::string service_;
  std::optional<Prompt> prompt_;
  double cost_ = 0;
  bool charged_ = false;
  double charged_ms_ = 0;
  double deadline_ms_ = 0;

  std::optional<Attempt> attempt_;          // in progress
  std::vector<std::string> tried_servers_;  // servers that were already tried
  // Attempts made, including rejected ones, and those of them that were or may have been executed.
  int attempt_count_ = 0, executions_ = 0;
  bool may_have_run_ = false;  // a server may have executed the request

  // What the client has received of the response, over all attempts.
  double first_event_ms_ = 0;    // since the start of the request; 0: no event yet
  bool stream_started_ = false;  // the head of a stream was forwarded
  StreamPosition position_;
};

// The steady clock in milliseconds.
double SteadyNowMs();

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_REQUEST_FLOW_H_
