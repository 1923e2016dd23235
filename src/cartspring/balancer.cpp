// Forwards the methods of the public interface to the implementation (policy.h).
#include "cartspring/balancer.h"

#include <stdexcept>

#include "cartspring/policy.h"

namespace cartspring {

// Rejects calls that are made while another one is in progress.
class Balancer::Entry {
 public:
  explicit Entry(bool& entered) : entered_(entered) {
    if (entered) throw std::logic_error("a call to the module from within one of its actions");
    entered_ = true;
  }
  ~Entry() { entered_ = false; }
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

 private:
  bool& entered_;
};

Balancer::Balancer(const Settings& settings, std::uint64_t seed, ActionSink& sink)
    : impl_(std::make_unique<Impl>(settings, seed, sink)) {}
Balancer::~Balancer() = default;
void Balancer::OnHostList(double now_ms, const std::vector<HostEntry>& all, bool remembered) {
  const Entry entry(entered_);
  impl_->OnHosts(now_ms, all, /*complete=*/true, remembered);
}
void Balancer::OnHostChanges(double now_ms, const std::vector<HostEntry>& changed) {
  const Entry entry(entered_);
  impl_->OnHosts(now_ms, changed, /*complete=*/false, /*remembered=*/false);
}
void Balancer::OnDiscoveryRefused(double now_ms) {
  const Entry entry(entered_);
  impl_->OnDiscoveryRefused(now_ms);
}
void Balancer::OnRequest(double now_ms, const Request& request) {
  const Entry entry(entered_);
  impl_->OnRequest(now_ms, request);
}
void Balancer::OnStreamBegun(double now_ms, RequestId id, int attempt) {
  const Entry entry(entered_);
  impl_->OnStreamBegun(now_ms, id, attempt);
}
void Balancer::OnOutcome(double now_ms, RequestId id, int attempt, Outcome outcome, bool request_over,
                         double took_ms, const LoadReport* report) {
  const Entry entry(entered_);
  impl_->OnOutcome(now_ms, id, attempt, outcome, request_over, took_ms, report);
}
void Balancer::OnProbeResult(double now_ms, const std::string& host, bool answered, double took_ms,
                             const LoadReport* report) {
  const Entry entry(entered_);
  impl_->OnProbeResult(now_ms, host, answered, took_ms, report);
}
void Balancer::OnClientGone(double now_ms, RequestId id) {
  const Entry entry(entered_);
  impl_->OnClientGone(now_ms, id);
}
void Balancer::OnTimer(double now_ms, std::uint64_t token) {
  const Entry entry(entered_);
  impl_->OnTimer(now_ms, token);
}
void Balancer::Retune(const Settings& settings, const std::vector<int>& like) {
  const Entry entry(entered_);
  impl_->Retune(settings, like);
}
std::vector<std::string> Balancer::Avoided(double now_ms) {
  const Entry entry(entered_);
  return impl_->Avoided(now_ms);
}
std::vector<StateChange> Balancer::StateChanges(double now_ms, std::uint64_t after) {
  const Entry entry(entered_);
  return impl_->StateChanges(now_ms, after);
}

}  // namespace cartspring
