// A minimal client proxy: passes events to the balancer and carries out every action. A real proxy has
// sockets, timers and a subscription to service discovery where this one keeps lists.
#include <map>
#include <string>
#include <vector>

#include "cartspring/balancer.h"

namespace embedding {

using cartspring::RequestId;

class Proxy : public cartspring::ActionSink {
 public:
  explicit Proxy(const cartspring::Settings& settings) : balancer_(settings, /*seed=*/42, *this) {}

  // Events from the other parts of the proxy. Each call may cause actions, which the overrides below carry
  // out before it returns.
  void HostsKnown(double now_ms, const std::vector<cartspring::HostEntry>& hosts) {
    balancer_.OnHostList(now_ms, hosts, /*remembered=*/false);
  }
  void ClientAsks(double now_ms, const cartspring::Request& request) { balancer_.OnRequest(now_ms, request); }
  void HostAnswers(double now_ms, RequestId id, int attempt, double took_ms, double in_flight) {
    const cartspring::LoadReport report{in_flight, -1};
    balancer_.OnOutcome(now_ms, id, attempt, cartspring::Outcome::kServed, /*request_over=*/true, took_ms,
                        &report);
    answered.push_back(id);
  }
  void TimePasses(double now_ms) {
    while (!timers_.empty() && timers_.begin()->first <= now_ms) {
      const std::uint64_t token = timers_.begin()->second;
      timers_.erase(timers_.begin());
      balancer_.OnTimer(now_ms, token);
    }
  }

  // Actions (ActionSink).
  void Send(RequestId id, const std::string& host, double /*give_up_ms*/, double /*out_by_ms*/) override {
    sent.emplace_back(id, host);
  }
  void Cancel(RequestId id, int attempt) override { cancelled.emplace_back(id, attempt); }
  void Refuse(RequestId id, double /*retry_after_ms*/) override { refused.push_back(id); }
  void Fail(RequestId id) override { failed.push_back(id); }
  void Probe(const std::string& host) override { probed.push_back(host); }
  void Subscribe() override { subscribed = true; }
  void SetTimer(double at_ms, std::uint64_t token) override { timers_.emplace(at_ms, token); }
  void Log(const std::string& line) override { log.push_back(line); }

  std::vector<std::pair<RequestId, std::string>> sent;
  std::vector<std::pair<RequestId, int>> cancelled;
  std::vector<RequestId> answered, refused, failed;
  std::vector<std::string> probed, log;
  bool subscribed = false;

 private:
  std::multimap<double, std::uint64_t> timers_;
  cartspring::Balancer balancer_;
};

}  // namespace embedding
