// A small fleet in simulated time, for tests of whole runs: several balancer instances decide independently
// for the same hosts. A host queues requests, becomes overloaded (slower) when its queue stays long, and
// recovers once it has been mostly idle. Host list updates, drains and the network are not simulated here;
// the lab has them.
#ifndef CARTSPRING_TESTS_FLEET_H_
#define CARTSPRING_TESTS_FLEET_H_

#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "cartspring/fixture.h"

namespace cartspring {

struct FleetConfig {
  int hosts = 8;
  int instances = 2;
  double service_ms = 8;  // mean service time of a request on a host of speed 1
  double load = 0.6;      // offered load as a share of the capacity of all hosts
  // A host is overloaded once its queue has been longer than this for `overload_after_ms`.
  double overload_queue_length = 1e9;
  double overload_after_ms = 1500;
  double overload_slowdown = 3;     // factor on the service time of an overloaded host
  double recovery_idle_ms = 2500;   // idle time after which it recovers
  double report_interval_ms = 300;  // how often the load that answers report is updated
  bool send_reports = true;         // whether answers carry a load report
  std::uint32_t seed = 1;
};

class Fleet {
 public:
  struct Counts {
    int asked = 0, served = 0, in_time = 0, refused = 0, failed = 0;
    double refused_share() const { return asked > 0 ? static_cast<double>(refused + failed) / asked : 0; }
    double in_time_share() const { return asked > 0 ? static_cast<double>(in_time) / asked : 1; }
  };
  struct Host {
    double speed = 1;
    bool overloaded = false;
    double queue_long_since = -1, updated_at = 0, idle_credit_ms = 0;
    bool was_idle = true;
    double reported_load = 0, reported_at = -1e9;
    std::deque<std::uint64_t> queue;   // calls; the first is being served
    std::uint64_t service_number = 0;  // invalidates completions scheduled for an earlier first call
  };
  // The outcome of a call that a host has finished, in place of kServed.
  using OutcomeOverride = std::function<Outcome(int host)>;

  Fleet(const FleetConfig& config, Settings settings)
      : config_(config), settings_(std::move(settings)), draw_(config.seed) {
    settings_.balancers = config.instances;
    hosts_.resize(static_cast<std::size_t>(config.hosts));
    auto entries = TestHosts(config.hosts);
    for (int i = 0; i < config.hosts; ++i) {
      entries[static_cast<std::size_t>(i)].kind = i % 3;
      hosts_[static_cast<std::size_t>(i)].speed = std::array{1.6, 1.0, 0.6}[static_cast<std::size_t>(i % 3)];
      index_[entries[static_cast<std::size_t>(i)].host] = i;
      capacity_ += hosts_[static_cast<std::size_t>(i)].speed;
    }
    for (int i = 0; i < config.instances; ++i)
      instances_.push_back(std::make_unique<Instance>(*this, i, entries));
    Arrive(arrival_epoch_);
  }

  // Runs the simulation up to that time; returns what was counted since the last call.
  Counts AdvanceTo(double until) {
    counts_ = {};
    while (!events_.empty() && events_.top().at <= until) {
      const auto event = events_.top();
      events_.pop();
      now_ = std::max(now_, event.at);
      event.action();
    }
    now_ = until;
    return counts_;
  }
  double now() const { return now_; }
  std::vector<Host>& hosts() { return hosts_; }
  int overloaded() const {
    return static_cast<int>(
        std::count_if(hosts_.begin(), hosts_.end(), [](const Host& h) { return h.overloaded; }));
  }
  void OverloadAll() {
    for (Host& host : hosts_) {
      host.overloaded = true;
      host.idle_credit_ms = 0;
    }
  }
  void Restart(int instance) {
    Instance& old = *instances_[static_cast<std::size_t>(instance)];
    old.alive = false;
    stopped_instances_.push_back(std::move(instances_[static_cast<std::size_t>(instance)]));
    instances_[static_cast<std::size_t>(instance)] = std::make_unique<Instance>(*this, instance, Entries());
  }

  // Draws the next arrival anew from the present load: at a very low load it was scheduled far in the future.
  void RedrawArrival() {
    ++arrival_epoch_;
    Arrive(arrival_epoch_);
  }

  FleetConfig& config() { return config_; }
  OutcomeOverride override_outcome;    // empty: every call is served
  std::function<bool()> loses_answer;  // whether an answer is lost: the work is done, but no outcome arrives
  std::function<double(double)> distort_load;  // maps the true load to the reported one
  std::function<double(double)> distort_took;  // maps the true duration to the reported one

 private:
  struct Event {
    double at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  struct Call {
    RequestId id;
    int instance_number, attempt, host, klass;
    std::shared_ptr<bool> open;
    double sent, work;
  };
  struct PendingRequest {
    int klass;
    double at, work;
    int attempts = 0;
    std::map<int, std::uint64_t> attempts_in_flight;
  };
  struct Instance : ActionSink {
    Instance(Fleet& fleet, int index, const std::vector<HostEntry>& entries)
        : fleet_(fleet),
          number(index),
          balancer(fleet.settings_, static_cast<std::uint64_t>(index) + 7 * fleet.config_.seed, *this) {
      balancer.OnHostList(fleet.now_, entries, false);
    }
    void Send(RequestId id, const std::string& host, double until, double) override {
      fleet_.Send(*this, id, host, until);
    }
    void Cancel(RequestId id, int attempt) override { fleet_.Cancel(*this, id, attempt); }
    void Refuse(RequestId id, double) override { fleet_.FinishUnserved(*this, id, &Counts::refused); }
    void Fail(RequestId id) override { fleet_.FinishUnserved(*this, id, &Counts::failed); }
    void Probe(const std::string&) override {}
    void Subscribe() override {}
    void SetTimer(double at, std::uint64_t token) override {
      fleet_.Schedule(std::max(at, fleet_.now_), [this, token] {
        if (alive) balancer.OnTimer(fleet_.now_, token);
      });
    }
    void Log(const std::string&) override {}

    Fleet& fleet_;
    int number;
    bool alive = true;
    std::map<RequestId, PendingRequest> open;
    Balancer balancer;
  };

  double DrawUnit() { return std::uniform_real_distribution<double>(1e-9, 1)(draw_); }
  void Schedule(double at, std::function<void()> action) { events_.push({at, ++order_, std::move(action)}); }
  std::vector<HostEntry> Entries() const {
    auto entries = TestHosts(config_.hosts);
    for (int i = 0; i < config_.hosts; ++i) entries[static_cast<std::size_t>(i)].kind = i % 3;
    return entries;
  }

  void Arrive(int epoch) {
    if (epoch != arrival_epoch_) return;
    Schedule(now_ - std::log(DrawUnit()) * config_.service_ms / (config_.load * capacity_),
             [this, epoch] { Arrive(epoch); });
    Instance& to = *instances_[static_cast<std::size_t>(DrawUnit() * config_.instances)];
    const int klass = static_cast<int>(DrawUnit() * static_cast<double>(settings_.classes.size()));
    Request request;
    request.id = ++last_id_;
    request.klass = klass;
    request.give_up_ms = now_ + settings_.classes[static_cast<std::size_t>(klass)].deadline_ms;
    to.open[request.id] = {klass, now_, config_.service_ms * (0.5 + DrawUnit()), 0, {}};
    ++counts_.asked;
    to.balancer.OnRequest(now_, request);
  }

  void FinishUnserved(Instance& at, RequestId id, int Counts::*kind) {
    const auto found = at.open.find(id);
    if (found == at.open.end()) return;
    ++(counts_.*kind);
    at.open.erase(found);
  }

  void Send(Instance& from, RequestId id, const std::string& name, double until) {
    const auto asked = from.open.find(id);
    if (asked == from.open.end()) return;
    const int host = index_.at(name);
    const std::uint64_t call = ++last_call_;
    const int attempt = asked->second.attempts++;
    calls_[call] = {id, from.number, attempt, host, asked->second.klass, nullptr, now_, asked->second.work};
    asked->second.attempts_in_flight[attempt] = call;
    if (until > 0) {
      Schedule(until, [this, call] { EndCall(call, Outcome::kTimeout); });
    }
    Host& at = hosts_[static_cast<std::size_t>(host)];
    at.queue.push_back(call);
    UpdateOverload(at);
    if (at.queue.size() == 1) ServeNext(host);
  }

  void Cancel(Instance& from, RequestId id, int attempt) {
    const auto asked = from.open.find(id);
    if (asked == from.open.end() || asked->second.attempts_in_flight.count(attempt) == 0) return;
    DropCall(asked->second.attempts_in_flight.at(attempt));
  }

  // Updates whether a host is overloaded; to be called whenever its queue has changed.
  void UpdateOverload(Host& host) {
    if (static_cast<double>(host.queue.size()) > config_.overload_queue_length) {
      if (host.queue_long_since < 0) host.queue_long_since = now_;
      if (now_ - host.queue_long_since >= config_.overload_after_ms) host.overloaded = true;
    } else {
      host.queue_long_since = -1;
    }
    // Recovery needs a host that is mostly idle: each ms of busy time cancels 2.3 ms of idle time.
    const double since = now_ - std::exchange(host.updated_at, now_);
    host.idle_credit_ms = std::max(0.0, host.idle_credit_ms + (host.was_idle ? since : -2.3 * since));
    host.was_idle = host.queue.empty();
    if (host.idle_credit_ms >= config_.recovery_idle_ms) host.overloaded = false;
  }

  void ServeNext(int number) {
    Host& host = hosts_[static_cast<std::size_t>(number)];
    if (host.queue.empty()) return;
    const std::uint64_t call = host.queue.front(), service_number = ++host.service_number;
    Schedule(now_ + calls_.at(call).work / host.speed * (host.overloaded ? config_.overload_slowdown : 1),
             [this, number, call, service_number] {
               if (hosts_[static_cast<std::size_t>(number)].service_number != service_number) return;
               if (loses_answer && loses_answer()) return RemoveFromQueue(call);
               EndCall(call, override_outcome ? override_outcome(number) : Outcome::kServed);
             });
  }

  void DropCall(std::uint64_t call) {
    if (calls_.count(call) == 0) return;
    RemoveFromQueue(call);
    calls_.erase(call);
  }

  // Removes a call from its host's queue, whether it waits or is being served.
  void RemoveFromQueue(std::uint64_t call) {
    const int number = calls_.at(call).host;
    Host& host = hosts_[static_cast<std::size_t>(number)];
    const bool first = !host.queue.empty() && host.queue.front() == call;
    std::erase(host.queue, call);
    UpdateOverload(host);
    if (first) {
      ++host.service_number;
      ServeNext(number);
    }
  }

  void EndCall(std::uint64_t call, Outcome outcome) {
    const auto found = calls_.find(call);
    if (found == calls_.end()) return;
    const Call ended = found->second;
    DropCall(call);
    Host& host = hosts_[static_cast<std::size_t>(ended.host)];
    Instance& to = *instances_[static_cast<std::size_t>(ended.instance_number)];
    const auto asked = to.open.find(ended.id);
    if (asked == to.open.end()) return;
    asked->second.attempts_in_flight.erase(ended.attempt);
    if (now_ - host.reported_at >= config_.report_interval_ms) {
      host.reported_load = static_cast<double>(host.queue.size());
      host.reported_at = now_;
    }
    const LoadReport load{distort_load ? distort_load(host.reported_load) : host.reported_load, -1};
    const double took = now_ - ended.sent;
    const bool over = outcome == Outcome::kServed;
    if (over) {
      ++counts_.served;
      counts_.in_time +=
          now_ - asked->second.at <= settings_.classes[static_cast<std::size_t>(ended.klass)].aim_ms;
      to.open.erase(asked);
    }
    to.balancer.OnOutcome(now_, ended.id, ended.attempt, outcome, over,
                          distort_took ? distort_took(took) : took,
                          config_.send_reports && outcome != Outcome::kTimeout ? &load : nullptr);
  }

  FleetConfig config_;
  Settings settings_;
  std::mt19937 draw_;
  double now_ = 1e6;
  double capacity_ = 0;
  int arrival_epoch_ = 0;
  std::uint64_t order_ = 0, last_call_ = 0;
  RequestId last_id_ = 0;
  std::priority_queue<Event> events_;
  std::map<std::string, int> index_;
  std::vector<Host> hosts_;
  std::map<std::uint64_t, Call> calls_;
  Counts counts_;
  std::vector<std::unique_ptr<Instance>> instances_, stopped_instances_;
};

}  // namespace cartspring

#endif  // CARTSPRING_TESTS_FLEET_H_
