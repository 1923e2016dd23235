// The interface's methods, passed on to what decides (policy.h).
#include "cartspring/balancer.h"

#include "cartspring/policy.h"

namespace cartspring {

Balancer::Balancer(const Settings& settings, std::uint64_t seed, ActionSink& sink)
    : impl_(std::make_unique<Impl>(settings, seed, sink)) {}
Balancer::~Balancer() = default;
void Balancer::OnHostList(double now_ms, const std::vector<HostEntry>& all, bool remembered) {
  impl_->OnHosts(now_ms, all, /*whole=*/true, remembered);
}
void Balancer::OnHostChanges(double now_ms, const std::vector<HostEntry>& changed) {
  impl_->OnHosts(now_ms, changed, /*whole=*/false, /*remembered=*/false);
}
void Balancer::OnDiscoveryRefused(double now_ms) { impl_->OnDiscoveryRefused(now_ms); }
void Balancer::OnRequest(double now_ms, const Request& request) { impl_->OnRequest(now_ms, request); }
void Balancer::OnStreamBegun(double now_ms, RequestId id, int attempt) {
  impl_->OnStreamBegun(now_ms, id, attempt);
}
void Balancer::OnOutcome(double now_ms, RequestId id, int attempt, Outcome outcome, bool request_over,
                         double took_ms, const LoadReport* report) {
  impl_->OnOutcome(now_ms, id, attempt, outcome, request_over, took_ms, report);
}
void Balancer::OnProbeResult(double now_ms, const std::string& host, bool answered, double took_ms,
                             const LoadReport* report) {
  impl_->OnProbeResult(now_ms, host, answered, took_ms, report);
}
void Balancer::OnClientGone(double now_ms, RequestId id) { impl_->OnClientGone(now_ms, id); }
void Balancer::OnTimer(double now_ms, std::uint64_t token) { impl_->OnTimer(now_ms, token); }
void Balancer::Retune(const Settings& settings, const std::vector<int>& like) {
  impl_->Retune(settings, like);
}
std::vector<std::string> Balancer::Avoided(double now_ms) { return impl_->Avoided(now_ms); }

}  // namespace cartspring
