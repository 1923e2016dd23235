#include "fleet/quota/quota_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bitternmux::fleet {
namespace {

constexpr double kUseMemoryMs = 4000;    // over which a tenant's use is averaged
constexpr double kReserveMs = 250;       // of that use is kept in reserve
constexpr double kRefillShare = 0.5;     // of the reserve below which more is asked for
constexpr double kMostOnTrustMs = 4000;  // of trusted use in any window
constexpr double kTrustShare = 0.8;      // of what was used is trusted: the mean may hold a spent burst
constexpr double kTrustMs = 30'000;      // over which what the last grantor allowed fades
constexpr double kAllowanceMs = 400;     // of that may be saved up
// Of the slack that stands for what is used without a grantor. Grantors take less than a fifth of it, and
// both may fall into one window.
constexpr double kAllowanceShare = 0.6;

}  // namespace

void QuotaLedger::Fade(double now_ms, Row& row) {
  const double passed = std::max(0.0, now_ms - row.used_ms);
  row.used_per_ms *= std::exp(-passed / kUseMemoryMs);
  row.used_ms = now_ms;
}

void QuotaLedger::Use(double now_ms, Row& row, double cost) {
  Fade(now_ms, row);
  row.used_per_ms += cost / kUseMemoryMs;
}

void QuotaLedger::Request(double now_ms, const std::string& tenant, Row& row, double need) {
  if (row.asked) return;
  Fade(now_ms, row);
  QuotaRequest request;
  request.id = ++last_id_;
  request.tenant = tenant;
  request.need = need;
  request.reserve = kReserveMs * row.used_per_ms;
  row.asked = request.id;
  row.asked_ms = now_ms;
  requests_.push_back(std::move(request));
}

QuotaAnswer QuotaLedger::Ask(double now_ms, std::uint64_t request, const Tenant& tenant, double cost) {
  if (tenant.rate_per_s <= 0) return QuotaAnswer::kAdmitted;
  Row& row = rows_[tenant.name];
  if (row.waiting.empty() && row.balance >= cost) {
    row.balance -= cost;
    Use(now_ms, row, cost);
    if (row.balance < kRefillShare * kReserveMs * row.used_per_ms && now_ms >= row.refused_until_ms) {
      Request(now_ms, tenant.name, row, 0);
    }
    return QuotaAnswer::kAdmitted;
  }
  if (row.waiting.size() >= kMaxWaiting) return QuotaAnswer::kRefused;
  const bool no_grantor = row.grantor_gone || row.granted_ms == 0;
  if (no_grantor && row.waiting.empty() && UseAllowance(now_ms, row, cost)) {
    Request(now_ms, tenant.name, row, 0);
    return QuotaAnswer::kAdmitted;
  }
  row.waiting.push_back({request, cost, now_ms});
  ++waiting_count_;
  Request(now_ms, tenant.name, row, cost - row.balance);
  return QuotaAnswer::kWait;
}

void QuotaLedger::GiveBack(const std::string& tenant, double cost) {
  const auto found = rows_.find(tenant);
  if (found != rows_.end()) found->second.balance += cost;
}

void QuotaLedger::Serve(double now_ms, Row& row) {
  while (!row.waiting.empty() && row.balance >= row.waiting.front().cost) {
    const Waiting served = row.waiting.front();
    row.waiting.pop_front();
    --waiting_count_;
    row.balance -= served.cost;
    Use(now_ms, row, served.cost);
    verdicts_.push_back({served.request, true, 0});
  }
}

void QuotaLedger::Granted(double now_ms, const QuotaGrant& grant) {
  const auto found = rows_.find(grant.tenant);
  if (found == rows_.end()) return;
  Row& row = found->second;
  // What a late grant was asked for has been used without it meanwhile.
  const bool late = row.asked != grant.id;
  row.balance += grant.tokens - (late ? std::min(grant.tokens, row.since_grant) : 0);
  row.since_grant = 0;
  row.grantor_gone = false;
  Fade(now_ms, row);
  row.trusted_per_ms = kTrustShare * row.used_per_ms;
  row.granted_ms = now_ms;
  row.trust = 0;
  if (late) return Serve(now_ms, row);
  row.asked.reset();
  if (grant.tokens <= 0 && grant.retry_ms > 0) {
    row.refused_until_ms = now_ms + grant.retry_ms;
    // Only the first was asked for; those behind it may be smaller, and are asked for in their turn.
    if (!row.waiting.empty()) {
      const Waiting refused = row.waiting.front();
      row.waiting.pop_front();
      --waiting_count_;
      verdicts_.push_back({refused.request, false, grant.retry_ms});
    }
  }
  Serve(now_ms, row);
  if (!row.waiting.empty()) Request(now_ms, grant.tenant, row, row.waiting.front().cost - row.balance);
}

// While no grantor answers: what is used on trust fills up, from nothing, at the rate that the last one
// allowed. Others may be granted that rate meanwhile, as this router alone may be cut off: so it ends within
// a window. This router's share of the slack is there once in any window.
bool QuotaLedger::UseAllowance(double now_ms, Row& row, double cost) {
  const double share = kAllowanceShare * options_.slack / routers_;
  const double trusted_per_ms = row.trusted_per_ms * std::exp(-(now_ms - row.granted_ms) / kTrustMs);
  const double passed_ms = std::max(0.0, now_ms - std::max(row.trust_ms, row.granted_ms));
  row.trust_ms = now_ms;
  row.trust = std::min(share + kAllowanceMs * trusted_per_ms, row.trust + passed_ms * trusted_per_ms);
  const UngrantedUse used = UngrantedInWindow(now_ms, row);
  const double trust_left = std::max(0.0, kMostOnTrustMs * trusted_per_ms - used.on_trust);
  const double on_trust = std::min({row.trust, trust_left, cost});
  const double of_slack = cost - on_trust;
  if (of_slack > share - used.of_slack) return false;
  row.trust -= on_trust;
  const bool same_span = !row.ungranted.empty() && now_ms - row.ungranted.back().from_ms < kUseSpanMs;
  if (!same_span) row.ungranted.push_back({now_ms, 0, 0});
  row.since_grant += cost;
  row.ungranted.back().on_trust += on_trust;
  row.ungranted.back().of_slack += of_slack;
  return true;
}

QuotaLedger::UngrantedUse QuotaLedger::UngrantedInWindow(double now_ms, Row& row) const {
  const double since_ms = now_ms - options_.window_ms;
  while (!row.ungranted.empty() && row.ungranted.front().from_ms + kUseSpanMs < since_ms)
    row.ungranted.pop_front();
  UngrantedUse sum;
  for (const UngrantedUse& use : row.ungranted) {
    sum.on_trust += use.on_trust;
    sum.of_slack += use.of_slack;
  }
  return sum;
}

void QuotaLedger::Tick(double now_ms) {
  for (auto& [tenant, row] : rows_) {
    if (row.asked && now_ms - row.asked_ms > kGrantPatienceMs) {
      row.asked.reset();
      row.grantor_gone = true;
    }
    // After a start the link to the grantor may still be on its way.
    const double patience_ms = row.granted_ms == 0 ? kFirstGrantPatienceMs : kGrantPatienceMs;
    while (!row.waiting.empty() && now_ms - row.waiting.front().since_ms > patience_ms) {
      const Waiting late = row.waiting.front();
      row.waiting.pop_front();
      --waiting_count_;
      verdicts_.push_back({late.request, UseAllowance(now_ms, row, late.cost), kGrantPatienceMs});
    }
    if (!row.waiting.empty()) Request(now_ms, tenant, row, row.waiting.front().cost - row.balance);
  }
}

std::vector<QuotaRequest> QuotaLedger::TakeRequests() { return std::exchange(requests_, {}); }

std::vector<QuotaVerdict> QuotaLedger::TakeVerdicts() { return std::exchange(verdicts_, {}); }

}  // namespace bitternmux::fleet
