// The public interface of cartspring: settings and events go in, actions come out.
//
// A Balancer makes the decisions of one client process. It performs no I/O, starts no thread and reads no
// clock: every event carries its time, and the resulting actions are passed to the ActionSink before the
// event's call returns. All times are milliseconds on one monotonic clock.
#ifndef CARTSPRING_BALANCER_H_
#define CARTSPRING_BALANCER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cartspring {

using RequestId = std::uint64_t;  // below 2^60, never reused

enum class Effect { kSafe, kKeyed, kUnsafe };   // may a request run again: always, within its group, never
enum class RepeatGroup { kAll, kZone, kCell };  // the hosts that deduplicate a keyed request
enum class Reporting { kAnswers, kProbe, kNone };
enum class HostState { kLive, kDraining, kGone };

struct RequestClass {
  std::string name;
  double aim_ms = 0;       // target latency: an answer within it earns the full worth
  double aim_stretch = 0;  // the target latency grows by this multiple of the request's own work
  double deadline_ms = 0;  // how long the client waits in total, over all its tries
  double worth = 1;
  double late_worth = 0;  // share of the worth for an answer between target latency and deadline
  Effect effect = Effect::kSafe;
  RepeatGroup group = RepeatGroup::kAll;
  double repeat_window_ms = 0;  // for keyed classes, from the earliest attempt that may have run
  bool streaming = false;
  bool retired = false;  // no new requests arrive; some may still be in flight

  bool operator==(const RequestClass&) const = default;
};

struct Settings {
  std::vector<RequestClass> classes;
  int own_zone = 0;
  int balancers = 1;  // number of client processes that balance independently over these hosts
  double tick_ms = 1;
  Reporting reporting = Reporting::kNone;
  bool weights_known = false;  // a host's weight is proportional to its capacity
  bool may_probe = false;
  bool may_cancel = false;
  bool may_duplicate = false;  // two attempts of one request may be in flight at once
  bool may_advise_retry = false;
  bool must_subscribe = false;  // discovery sends updates only on request
  int max_attempts = 1;
  double max_retry_after_ms = 0;
  bool worth_by_work = false;  // worth counts per unit of work, else per request
  double ask_within_ms = 0;    // with must_subscribe: the longest time between two subscriptions
  double drain_grace_ms = 0;
  double cold_from = 1;  // least share of its capacity that a host has when it starts
  double warm_within_ms = 0;
  double fall_multiple = 1;  // a cold host fails if sent more than this multiple of its capacity for fall_ms
  double fall_ms = 0;
  double probe_price = 0;  // part of the result (of 1) that one probe per request costs
  double cross_zone_price = 0;
  double handshake_price = 0;     // for one new connection per request
  double connection_idle_ms = 0;  // an idle connection is closed after this
  // Used only by the client proxy that embeds the balancer.
  double dial_timeout_ms = 0;      // a connection not established by then counts as failed
  double connection_price = 0;     // part of the result that 100 open connections per host cost
  std::vector<std::string> zones;  // names, by index
  std::vector<std::string> kinds;  // machine kinds, by index
};

// Start-up progress of an instance, in order: it uses the host list that it was started with; it has received
// a list from discovery; hosts answer its requests; it decides as well as after a minute's run.
enum class ServiceState { kRemembering, kListed, kLearning, kFull };
struct StateChange {
  std::uint64_t number = 0;  // counts from 1, the start
  ServiceState state = ServiceState::kRemembering;
  double at_ms = 0;
};

struct HostEntry {
  std::string host;
  int zone = 0;
  int kind = 0;
  int cell = 0;
  HostState state = HostState::kLive;
  double weight = 1;
  double started_ms = 0;  // 0: long ago
};

struct LoadReport {
  double in_flight = -1;  // -1: not reported
  double queue = -1;
};

struct Request {
  RequestId id = 0;
  int klass = 0;
  double give_up_ms = 0;    // clock time at which the client gives up
  double work_hint_ms = 0;  // 0: none
};

enum class Outcome {
  kServed,
  kError,
  kRefusedByHost,  // proves that it never ran
  kTimeout,
  kConnectFailed,  // proves that it never ran
  kConnectionLost,
  kCancelled,
  kNotSent,  // proves that it never ran
};

class ActionSink {
 public:
  virtual ~ActionSink() = default;
  // `out_by_ms`: for a repeat, the time by which its last byte must be sent, or it must not be sent at all;
  // otherwise infinity.
  virtual void Send(RequestId id, const std::string& host, double give_up_ms, double out_by_ms) = 0;
  virtual void Cancel(RequestId id, int attempt) = 0;
  virtual void Refuse(RequestId id, double retry_after_ms) = 0;  // final; guarantees that a retry is harmless
  virtual void Fail(RequestId id) = 0;                           // final; a host may have executed it
  virtual void Probe(const std::string& host) = 0;
  virtual void Subscribe() = 0;
  virtual void SetTimer(double at_ms, std::uint64_t token) = 0;
  virtual void Log(const std::string& line) = 0;
};

// Errors. Invalid settings: std::invalid_argument from the constructor. A host or class never named, or a
// request id in use: std::invalid_argument from the call, and nothing changes. A call from within an action
// (ActionSink): std::logic_error, and nothing changes; the loop that issued the action would otherwise
// continue over rows that have changed. A time earlier than the latest one seen is replaced by the latest.
// Ignored: an outcome of an unknown attempt, a probe result that nothing waits for, a timer or departure for
// a finished request.
class Balancer {
 public:
  Balancer(const Settings& settings, std::uint64_t seed, ActionSink& sink);
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  void OnHostList(double now_ms, const std::vector<HostEntry>& all, bool remembered);
  void OnHostChanges(double now_ms, const std::vector<HostEntry>& changed);
  void OnDiscoveryRefused(double now_ms);
  void OnRequest(double now_ms, const Request& request);
  void OnStreamBegun(double now_ms, RequestId id, int attempt);
  // `request_over`: the request has ended, with this outcome or earlier. `report`: null if none came with it.
  void OnOutcome(double now_ms, RequestId id, int attempt, Outcome outcome, bool request_over, double took_ms,
                 const LoadReport* report);
  void OnProbeResult(double now_ms, const std::string& host, bool answered, double took_ms,
                     const LoadReport* report);
  void OnClientGone(double now_ms, RequestId id);
  void OnTimer(double now_ms, std::uint64_t token);

  // Applies new settings to everything from now on. A class keeps its index as long as one of its requests is
  // in flight. `like`: for each class the index of the class whose learned state it continues, or -1. What is
  // known of hosts is kept. Throws std::invalid_argument, with nothing changed, if the settings are invalid.
  void Retune(const Settings& settings, const std::vector<int>& like);

  // The live hosts to which requests that may run again are currently not sent, because of earlier failures.
  std::vector<std::string> Avoided(double now_ms);

  // The state changes with a number above `after`, the oldest first; only the last eight are kept.
  std::vector<StateChange> StateChanges(double now_ms, std::uint64_t after);

 private:
  class Impl;
  class Entry;
  std::unique_ptr<Impl> impl_;
  bool entered_ = false;  // a call is in progress
};

}  // namespace cartspring

#endif  // CARTSPRING_BALANCER_H_
