// The interface of cartspring: settings in, events in, actions out.
//
// One Balancer decides for one client process. It performs no I/O, starts no thread and reads no clock: every
// event carries its time, and what is to be done goes to the ActionSink before the event's call returns. All
// times are milliseconds on one clock that only advances.
#ifndef CARTSPRING_BALANCER_H_
#define CARTSPRING_BALANCER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cartspring {

using RequestId = std::uint64_t;  // below 2^60, never used again

enum class Effect { kSafe, kKeyed, kUnsafe };   // may a request run again: always, within its group, never
enum class RepeatGroup { kAll, kZone, kCell };  // which hosts drop repeats of a keyed request
enum class Reporting { kAnswers, kProbe, kNone };
enum class HostState { kLive, kDraining, kGone };

struct RequestClass {
  std::string name;
  double aim_ms = 0;       // an answer by then earns full worth
  double aim_stretch = 0;  // the aim grows by this multiple of the request's own work
  double deadline_ms = 0;  // the client's patience over all its tries
  double worth = 1;
  double late_worth = 0;  // share of the worth for an answer between aim and deadline
  Effect effect = Effect::kSafe;
  RepeatGroup group = RepeatGroup::kAll;
  double repeat_window_ms = 0;  // for keyed classes, from the earliest attempt that may have run
  bool streaming = false;
  bool retired = false;  // no request comes any more; there may be some under way

  bool operator==(const RequestClass&) const = default;
};

struct Settings {
  std::vector<RequestClass> classes;
  int own_zone = 0;
  int balancers = 1;  // how many client processes decide beside each other
  double tick_ms = 1;
  Reporting reporting = Reporting::kNone;
  bool weights_known = false;  // a host's weight stands for its size
  bool may_probe = false;
  bool may_cancel = false;
  bool may_duplicate = false;  // two attempts of one request out at once
  bool may_advise_retry = false;
  bool must_subscribe = false;  // discovery speaks only when asked
  int max_attempts = 1;
  double max_retry_after_ms = 0;
  bool worth_by_work = false;  // worth counts for each unit of work, else for each request
  double ask_within_ms = 0;    // with must_subscribe: never go this long without asking
  double drain_grace_ms = 0;
  double cold_from = 1;  // share of its capacity that a started host has at least
  double warm_within_ms = 0;
  double fall_multiple = 1;  // sent more than this multiple of its capacity for fall_ms, a cold host fails
  double fall_ms = 0;
  double probe_price = 0;  // points of the result, of one, for a probe a request
  double cross_zone_price = 0;
  double handshake_price = 0;     // for a new connection a request
  double connection_idle_ms = 0;  // an idle connection is closed after this
  // What only the client proxy round the module goes by.
  double dial_timeout_ms = 0;      // a connection not up by then counts as failed
  double connection_price = 0;     // points of the result for 100 open connections a host
  std::vector<std::string> zones;  // names, by index
  std::vector<std::string> kinds;  // of machines, likewise
};

// From its start to as good as one that has run for a minute: by the list that it was started with; discovery
// heard; hosts answering; as good as any.
enum class ServiceState { kRemembering, kListed, kLearning, kFull };
struct StateChange {
  std::uint64_t number = 0;  // from 1: the start
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
  double give_up_ms = 0;    // clock time at which the client leaves
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
  // `out_by_ms`: of a repeat, by when its last byte has to be out, or it must not be sent; else infinity.
  virtual void Send(RequestId id, const std::string& host, double give_up_ms, double out_by_ms) = 0;
  virtual void Cancel(RequestId id, int attempt) = 0;
  virtual void Refuse(RequestId id, double retry_after_ms) = 0;  // final; tells that a retry is harmless
  virtual void Fail(RequestId id) = 0;                           // final; no such promise
  virtual void Probe(const std::string& host) = 0;
  virtual void Subscribe() = 0;
  virtual void SetTimer(double at_ms, std::uint64_t token) = 0;
  virtual void Log(const std::string& line) = 0;
};

// Bad use has one result each. Settings that make no sense: std::invalid_argument from the constructor. A
// host or class never named, a request id in use: std::invalid_argument from the call, with nothing changed.
// A call from within an action (ActionSink): std::logic_error, with nothing changed; a walk would else go on
// over rows that have changed. A time that goes back is taken as the latest time seen. An outcome for no
// known attempt, a probe result nobody waits for, a timer or departure for a request that is over: ignored.
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
  // request_over: the request has ended, by this outcome or before it. report: null if none came with it.
  void OnOutcome(double now_ms, RequestId id, int attempt, Outcome outcome, bool request_over, double took_ms,
                 const LoadReport* report);
  void OnProbeResult(double now_ms, const std::string& host, bool answered, double took_ms,
                     const LoadReport* report);
  void OnClientGone(double now_ms, RequestId id);
  void OnTimer(double now_ms, std::uint64_t token);

  // New settings, for what comes from now on. A class's index stays its own as long as a request of it is
  // under way. `like`: for each class the index whose learning it goes on from, or -1; what is known of hosts
  // stays. Throws std::invalid_argument, with nothing changed, if they make no sense.
  void Retune(const Settings& settings, const std::vector<int>& like);

  // The live hosts that a request that may run again would be kept from now, for what is held against them.
  std::vector<std::string> Avoided(double now_ms);

  // The changes of its state after the `after`-th, the oldest first; the last eight are kept.
  std::vector<StateChange> StateChanges(double now_ms, std::uint64_t after);

 private:
  class Impl;
  class Entry;
  std::unique_ptr<Impl> impl_;
  bool entered_ = false;  // a call is under way
};

}  // namespace cartspring

#endif  // CARTSPRING_BALANCER_H_
