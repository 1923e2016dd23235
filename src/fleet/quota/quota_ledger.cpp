#include "fleet/quota/quota_ledger.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace bitternmux::fleet {
namespace {

constexpr double kUseMemoryMs = 2000;     // over which a tenant's use is averaged
constexpr double kLeasedShare = 1.15;     // of its use that is leased
constexpr double kCarryMs = 1000;         // of a lease's rate that may be saved up
constexpr double kCarriedRequests = 1.5;  // that may be saved up at least
constexpr double kLeastRequests = 1.5;    // in kUseMemoryMs; a tenant that sends fewer gets no lease
constexpr double kRenewMs = 300;          // after which a lease that is used is renewed
constexpr double kIdleMs = 500;           // after which one that is not used is told to be so
constexpr double kRounding = 1e-6;        // of sums of tokens
constexpr std::size_t kMaxGivenUp = 8;    // requests whose late answers are known
constexpr double kCostWeight = 0.1;       // of a request in the mean of their costs

}  // namespace

// ---- What is there ----

void QuotaLedger::Advance(double now_ms, Row& row) {
  const double passed_ms = std::max(0.0, std::min(now_ms, row.lease_until_ms) - row.level_ms);
  row.level += passed_ms * row.lease.rate_per_ms;
  row.level_ms = std::max(row.level_ms, now_ms);
  if (now_ms >= row.lease_until_ms) row.lease = {};
  LimitLevel(row);
  for (const Tokens& tokens : row.tokens) row.lapsed += tokens.until_ms <= now_ms ? tokens.count : 0;
  std::erase_if(row.tokens, [&](const Tokens& tokens) { return tokens.until_ms <= now_ms; });
}

void QuotaLedger::LimitLevel(Row& row) {
  const double most = std::min(row.level, row.lease.carry);
  row.lapsed += row.level - most;
  row.level = most;
}

double QuotaLedger::Available(const Row& row) {
  double sum = row.level;
  for (const Tokens& tokens : row.tokens) sum += tokens.count;
  return sum;
}

bool QuotaLedger::Covers(const Row& row, double cost) { return Available(row) + kRounding >= cost; }

// Tokens go first, as they lapse.
void QuotaLedger::Take(Row& row, double cost) {
  double left = cost;
  for (Tokens& tokens : row.tokens) {
    const double taken = std::min(left, tokens.count);
    tokens.count -= taken;
    left -= taken;
  }
  std::erase_if(row.tokens, [](const Tokens& tokens) { return tokens.count <= 0; });
  row.figures.granted += cost - left;
  row.figures.leased += left;
  row.level = std::max(0.0, row.level - left);
}

void QuotaLedger::Fade(double now_ms, Row& row) {
  const double passed_ms = std::max(0.0, now_ms - row.used_ms);
  row.used_per_ms *= std::exp(-passed_ms / kUseMemoryMs);
  row.used_ms = std::max(row.used_ms, now_ms);
}

void QuotaLedger::Use(double now_ms, Row& row, double cost) {
  Take(row, cost);
  Fade(now_ms, row);
  row.used_per_ms += cost / kUseMemoryMs;
  const bool first = row.usual_cost <= 0;
  row.usual_cost = first ? cost : (1 - kCostWeight) * row.usual_cost + kCostWeight * cost;
}

// ---- Asking ----

QuotaLease QuotaLedger::Wanted(const Row& row) {
  if (row.used_per_ms * kUseMemoryMs < kLeastRequests * row.usual_cost) return {};
  const double rate_per_ms = kLeasedShare * row.used_per_ms;
  return {rate_per_ms, std::max(kCarryMs * rate_per_ms, kCarriedRequests * row.usual_cost)};
}

void QuotaLedger::Lower(Row& row, const QuotaLease& most) {
  row.lease.rate_per_ms = std::min(row.lease.rate_per_ms, most.rate_per_ms);
  row.lease.carry = std::min(row.lease.carry, most.carry);
  LimitLevel(row);
}

// For the first that waits, if any does: what it lacks once the lease has been lowered.
void QuotaLedger::Request(double now_ms, const std::string& tenant, Row& row) {
  if (row.asked) return;
  Fade(now_ms, row);
  QuotaRequest request;
  request.id = ++last_id_;
  request.holder = options_.holder;
  request.tenant = tenant;
  request.wanted = Wanted(row);
  if (row.keeps_lease) {
    request.wanted.rate_per_ms = std::max(request.wanted.rate_per_ms, row.lease.rate_per_ms);
    request.wanted.carry = std::max(request.wanted.carry, row.lease.carry);
  }
  Lower(row, request.wanted);
  if (row.fair && !row.keeps_lease) Lower(row, *row.fair);
  request.held = row.lease;
  request.returned = std::exchange(row.lapsed, 0);
  row.asked = request.id;
  row.asked_ms = now_ms;
  grantor_.Asked(now_ms);
  row.asked_for = 0;
  if (!row.waiting.empty()) {
    // The level is left for what comes while no grantor answers.
    request.need = std::max(0.0, row.waiting.front().cost - Available(row) + row.level);
    row.asked_for = row.waiting.front().request;
  }
  requests_.push_back(std::move(request));
}

QuotaAnswer QuotaLedger::Ask(double now_ms, std::uint64_t request, const Tenant& tenant, double cost,
                             double wait_until_ms) {
  if (tenant.rate_per_s <= 0) return QuotaAnswer::kAdmitted;
  const auto [found, is_new] = rows_.try_emplace(tenant.name);
  Row& row = found->second;
  if (is_new) row.ungranted_ms = options_.started_ms;
  row.budget = DivideQuota(tenant, options_.bounds);
  Advance(now_ms, row);
  if (row.waiting.empty() && Covers(row, cost)) {
    Use(now_ms, row, cost);
    if (now_ms - row.renewed_ms >= kRenewMs) Request(now_ms, tenant.name, row);
    return QuotaAnswer::kAdmitted;
  }
  if (row.waiting.empty() && grantor_.IsSilent(now_ms) && UseUngranted(now_ms, row, cost)) {
    Request(now_ms, tenant.name, row);
    return QuotaAnswer::kAdmitted;
  }
  if (!row.asked) grantor_.Asked(now_ms);
  const Waiting asking = {request, cost, std::max(wait_until_ms, now_ms + GrantorContact::kSilentMs)};
  if (row.waiting.size() >= kMaxWaiting || EndMs(asking) <= now_ms) {
    row.figures.unanswered += cost;
    Request(now_ms, tenant.name, row);
    return QuotaAnswer::kRefused;
  }
  row.waiting.push_back(asking);
  ++waiting_count_;
  Request(now_ms, tenant.name, row);
  return QuotaAnswer::kWait;
}

void QuotaLedger::GiveBack(double now_ms, const std::string& tenant, double charged_ms, double cost) {
  const auto found = rows_.find(tenant);
  const double until_ms = charged_ms + kGiveBackMs;
  if (found != rows_.end() && now_ms < until_ms) found->second.tokens.push_back({cost, until_ms});
}

void QuotaLedger::Withdraw(const std::string& tenant, std::uint64_t request) {
  const auto found = rows_.find(tenant);
  if (found == rows_.end()) return;
  const auto is_it = [&](const Waiting& waiting) { return waiting.request == request; };
  waiting_count_ -= std::erase_if(found->second.waiting, is_it);
}

// ---- Without a grantor ----

double QuotaLedger::RetryMs(double now_ms) const {
  const std::optional<double> back_ms = grantor_.ExpectedBackMs();
  return back_ms ? std::max(0.0, *back_ms - now_ms) : 0;
}

void QuotaLedger::GrowUngranted(double now_ms, Row& row) const {
  const double half = row.budget.ungranted / routers_ / 2;
  const double passed_ms = std::max(0.0, now_ms - row.ungranted_ms);
  row.ungranted = std::min(half, row.ungranted + half * passed_ms / options_.bounds.window_ms);
  row.ungranted_ms = std::max(row.ungranted_ms, now_ms);
}

bool QuotaLedger::UseUngranted(double now_ms, Row& row, double cost) {
  GrowUngranted(now_ms, row);
  const double lacking = std::max(0.0, cost - Available(row));
  if (row.ungranted < lacking) return false;
  row.ungranted -= lacking;
  row.figures.ungranted += lacking;
  Use(now_ms, row, cost - lacking);
  return true;
}

// In the order in which they came; a small one may fit where a larger one before it does not.
void QuotaLedger::ServeUngranted(double now_ms, Row& row) {
  std::deque<Waiting> left;
  for (const Waiting& waiting : row.waiting) {
    if (UseUngranted(now_ms, row, waiting.cost)) {
      verdicts_.push_back({waiting.request, true, 0});
    } else {
      left.push_back(waiting);
    }
  }
  waiting_count_ -= row.waiting.size() - left.size();
  row.waiting = std::move(left);
}

// ---- Answers ----

void QuotaLedger::Serve(double now_ms, Row& row) {
  while (!row.waiting.empty() && Covers(row, row.waiting.front().cost)) {
    const Waiting served = row.waiting.front();
    row.waiting.pop_front();
    --waiting_count_;
    Use(now_ms, row, served.cost);
    verdicts_.push_back({served.request, true, 0});
  }
}

void QuotaLedger::EndFirst(Row& row, bool admitted, double retry_ms) {
  const Waiting ended = row.waiting.front();
  row.waiting.pop_front();
  --waiting_count_;
  verdicts_.push_back({ended.request, admitted, retry_ms});
}

double QuotaLedger::EndMs(const Waiting& waiting) const {
  return std::min(waiting.until_ms, grantor_.ExpectedBackMs().value_or(kNoWaitLimit));
}

// A request may have less time than those before it.
void QuotaLedger::EndOverdue(double now_ms, Row& row) {
  const auto is_overdue = [&](const Waiting& waiting) { return now_ms >= EndMs(waiting); };
  const auto first = std::stable_partition(row.waiting.begin(), row.waiting.end(), std::not_fn(is_overdue));
  const std::vector<Waiting> overdue(first, row.waiting.end());
  row.waiting.erase(first, row.waiting.end());
  waiting_count_ -= overdue.size();
  for (const Waiting& ended : overdue) {
    row.figures.unanswered += ended.cost;
    verdicts_.push_back({ended.request, false, RetryMs(now_ms)});
  }
}

// A lease that was only renewed may have ended, and its part of the rate be another's, before it was asked
// for.
void QuotaLedger::TakeLease(double now_ms, Row& row, const QuotaGrant& grant) {
  const bool runs = now_ms < row.lease_until_ms;
  if (grant.renewed_only && !runs) return;
  row.lease = grant.lease;
  row.fair = grant.fair;
  row.lease_until_ms = row.asked_ms + kLeaseMs;
  LimitLevel(row);
}

void QuotaLedger::Granted(double now_ms, const QuotaGrant& grant) {
  const auto found = rows_.find(grant.tenant);
  if (found == rows_.end() || grant.holder != options_.holder) return;
  grantor_.Answered(now_ms);
  Row& row = found->second;
  if (row.asked != grant.id) {
    row.lapsed += std::erase(row.given_up, grant.id) > 0 ? grant.tokens : 0;
    return;
  }
  row.asked.reset();
  row.renewed_ms = row.asked_ms;
  row.keeps_lease = grant.renewed_only;
  Advance(now_ms, row);
  TakeLease(now_ms, row, grant);
  if (grant.tokens > 0) row.tokens.push_back({grant.tokens, row.asked_ms + kTokenLifeMs});
  Advance(now_ms, row);
  Serve(now_ms, row);
  // Only the first was asked for; those behind it may be smaller, and are asked for in their turn.
  if (grant.retry_ms > 0 && !row.waiting.empty() && row.waiting.front().request == row.asked_for) {
    row.figures.refused += row.waiting.front().cost;
    EndFirst(row, false, grant.retry_ms);
    Serve(now_ms, row);
  }
  // Neither granted nor refused: it is asked for again at the next tick.
  const bool undecided = row.asked_for != 0 && grant.tokens <= 0 && grant.retry_ms <= 0;
  if (!row.waiting.empty() && !undecided) Request(now_ms, grant.tenant, row);
}

void QuotaLedger::GiveUp(Row& row) {
  row.given_up.push_back(*row.asked);
  if (row.given_up.size() > kMaxGivenUp) row.given_up.pop_front();
  row.asked.reset();
  row.keeps_lease = true;
}

void QuotaLedger::Tick(double now_ms) {
  for (auto& [tenant, row] : rows_) {
    if (row.asked && now_ms - row.asked_ms > kAnswerPatienceMs) GiveUp(row);
    Advance(now_ms, row);
    Serve(now_ms, row);
    if (grantor_.IsSilent(now_ms)) ServeUngranted(now_ms, row);
    EndOverdue(now_ms, row);
    const bool idles = row.lease.rate_per_ms > 0 && now_ms - row.renewed_ms >= kIdleMs;
    if (!row.waiting.empty() || idles) Request(now_ms, tenant, row);
  }
}

std::optional<double> QuotaLedger::NextEndMs(double now_ms) const {
  if (!waiting()) return std::nullopt;
  double next_ms = grantor_.IsSilent(now_ms) ? kNoWaitLimit : grantor_.SilentFromMs().value_or(kNoWaitLimit);
  for (const auto& [tenant, row] : rows_) {
    for (const Waiting& waiting : row.waiting) next_ms = std::min(next_ms, EndMs(waiting));
  }
  return next_ms;
}

std::vector<QuotaRequest> QuotaLedger::TakeRequests() { return std::exchange(requests_, {}); }

std::vector<QuotaVerdict> QuotaLedger::TakeVerdicts() { return std::exchange(verdicts_, {}); }

std::map<std::string, QuotaFigures> QuotaLedger::TakeFigures() {
  std::map<std::string, QuotaFigures> figures;
  for (auto& [tenant, row] : rows_) {
    const QuotaFigures taken = std::exchange(row.figures, {});
    if (taken.refused > 0 || taken.unanswered > 0) figures.emplace(tenant, taken);
  }
  return figures;
}

}  // namespace bitternmux::fleet
