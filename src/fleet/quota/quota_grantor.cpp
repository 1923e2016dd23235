#include "fleet/quota/quota_grantor.h"

#include <algorithm>
#include <set>
#include <string>

namespace bitternmux::fleet {
namespace {

constexpr double kUnknownTenantRetryMs = 200;
constexpr double kReserveShare = 0.6;  // of a burst, that a tenant holds which is not told as drained
constexpr double kFullAt = 0.75;
constexpr double kFullForMs = 3000;
constexpr double kSlowestFill = 0.05;  // of the rate, for the moment that is told to who is refused

QuotaLease Least(const QuotaLease& one, const QuotaLease& other) {
  return {std::min(one.rate_per_ms, other.rate_per_ms), std::min(one.carry, other.carry)};
}

QuotaLease Most(const QuotaLease& one, const QuotaLease& other) {
  return {std::max(one.rate_per_ms, other.rate_per_ms), std::max(one.carry, other.carry)};
}

QuotaLease Sum(const QuotaLease& one, const QuotaLease& other) {
  return {one.rate_per_ms + other.rate_per_ms, one.carry + other.carry};
}

QuotaLease Difference(const QuotaLease& one, const QuotaLease& other) {
  return {std::max(0.0, one.rate_per_ms - other.rate_per_ms), std::max(0.0, one.carry - other.carry)};
}

// What of `all` is for one that wants so much, where all that ask want so much together.
double FairPart(double wanted, double wanted_by_all, double all) {
  return wanted_by_all > all ? wanted * all / wanted_by_all : wanted;
}

}  // namespace

// ---- Accounts ----

bool QuotaGrantor::IsDrained(const std::string& tenant) const {
  return std::ranges::find(drained_, tenant) != drained_.end();
}

double QuotaGrantor::ReserveOf(const Account& account) { return kReserveShare * account.budget.burst; }

// What was granted for a tenant that is new to a grantor that has taken over is not known.
QuotaGrantor::Account QuotaGrantor::OpenAccount(double now_ms, const Tenant& tenant) const {
  Account account;
  account.budget = DivideQuota(tenant, bounds_);
  account.filled_ms = now_ms;
  account.tokens = account.budget.burst;
  if (fills_from_ms_ == kNeverMs) return account;
  const double since_ms = std::max(0.0, now_ms - fills_from_ms_);
  const bool drained = std::ranges::find(inherited_, tenant.name) != inherited_.end();
  const double held = drained ? 0 : ReserveOf(account);
  const double filled = since_ms * (account.budget.rate_per_ms - account.budget.leased_per_ms);
  account.wants_drained = drained;
  account.granted_ms = fills_from_ms_;
  account.tokens = std::min(account.budget.burst, held + filled);
  return account;
}

void QuotaGrantor::Configure(double now_ms, const Configuration& configuration) {
  std::set<std::string> limited;
  for (const Tenant& tenant : configuration.tenants) {
    if (tenant.rate_per_s <= 0) continue;
    limited.insert(tenant.name);
    const auto found = accounts_.find(tenant.name);
    if (found == accounts_.end()) {
      accounts_.emplace(tenant.name, OpenAccount(now_ms, tenant));
      continue;
    }
    Account& account = found->second;
    Fill(now_ms, account);
    // What is missing in the bucket stays as it is, however often the limit changes.
    const double missing = account.budget.burst - account.tokens;
    account.budget = DivideQuota(tenant, bounds_);
    account.tokens = account.budget.burst - missing;
  }
  for (auto& [name, account] : accounts_) Fill(now_ms, account);
  std::erase_if(accounts_, [&](const auto& entry) {
    const auto& [name, account] = entry;
    const bool untouched = account.holdings.empty() && account.tokens >= account.budget.burst;
    return untouched && !limited.contains(name);
  });
}

void QuotaGrantor::TakeOver(double now_ms, double former_ends_ms) {
  fills_from_ms_ = std::max(now_ms, former_ends_ms);
  settled_ms_ = former_ends_ms + kLeaseMs;
  inherited_ = drained_;
  for (auto& [name, account] : accounts_) {
    const bool drained = IsDrained(name);
    account.tokens = drained ? 0 : ReserveOf(account);
    account.wants_drained = drained;
    account.full_since_ms = kNeverMs;
    account.filled_ms = now_ms;
    account.granted_ms = fills_from_ms_;
    account.holdings.clear();
    account.next_expiry_ms = kNeverMs;
    account.leased = account.wanted = {};
  }
}

// A tenant is drained no more once its bucket has been well above the reserve for a while.
void QuotaGrantor::JudgeDrained(double now_ms, Account& account) {
  if (account.tokens < kFullAt * account.budget.burst) {
    account.full_since_ms = kNeverMs;
  } else if (account.full_since_ms == kNeverMs) {
    account.full_since_ms = now_ms;
  } else if (now_ms - account.full_since_ms >= kFullForMs) {
    account.wants_drained = false;
  }
}

std::vector<std::string> QuotaGrantor::WantedDrained(double now_ms) {
  std::vector<std::string> wanted;
  for (auto& [name, account] : accounts_) {
    Fill(now_ms, account);
    if (account.wants_drained) wanted.push_back(name);
  }
  if (now_ms - fills_from_ms_ >= WindowMs()) inherited_.clear();
  for (const std::string& name : inherited_) {
    if (!accounts_.contains(name)) wanted.push_back(name);
  }
  std::ranges::sort(wanted);
  return wanted;
}

double QuotaGrantor::FillPerMs(const Account& account, double now_ms) const {
  return account.budget.rate_per_ms -
         (Settled(now_ms) ? account.leased.rate_per_ms : account.budget.leased_per_ms);
}

// Leases that have run out meanwhile are counted to the end of the time that has passed.
void QuotaGrantor::Fill(double now_ms, Account& account) const {
  const double from_ms = std::max(account.filled_ms, fills_from_ms_);
  const double passed_ms = std::max(0.0, now_ms - from_ms);
  const double filled = passed_ms * std::max(0.0, FillPerMs(account, account.filled_ms));
  account.tokens = std::min(account.budget.burst, account.tokens + filled);
  account.filled_ms = std::max(account.filled_ms, now_ms);
  JudgeDrained(now_ms, account);
  Expire(now_ms, account);
}

void QuotaGrantor::Expire(double now_ms, Account& account) {
  if (now_ms < account.next_expiry_ms) return;
  std::erase_if(account.holdings, [&](const auto& entry) { return entry.second.until_ms <= now_ms; });
  account.leased = account.wanted = {};
  account.next_expiry_ms = now_ms + kLeaseMs;  // of one that is granted from now on
  for (const auto& [holder, holding] : account.holdings) {
    account.next_expiry_ms = std::min(account.next_expiry_ms, holding.until_ms);
    account.leased = Sum(account.leased, holding.lease);
    account.wanted = Sum(account.wanted, holding.wanted);
  }
}

// ---- Requests ----

QuotaGrant QuotaGrantor::Ask(double now_ms, const QuotaRequest& request) {
  QuotaGrant grant;
  grant.id = request.id;
  grant.tenant = request.tenant;
  grant.holder = request.holder;
  grant.asker = request.asker;
  const auto found = accounts_.find(request.tenant);
  if (found == accounts_.end()) {
    grant.retry_ms = kUnknownTenantRetryMs;
    return grant;
  }
  Account& account = found->second;
  Fill(now_ms, account);
  const auto holding = account.holdings.find(request.holder);
  if (holding != account.holdings.end() && request.id <= holding->second.newest_request) return grant;
  account.tokens = std::min(account.budget.burst, account.tokens + std::max(0.0, request.returned));
  grant.renewed_only = !Settled(now_ms);
  Lease(now_ms, account, request, grant);
  if (request.need > 0) GrantTokens(now_ms, account, request, grant);
  return grant;
}

// Never less than is held: the answer may be lost.
void QuotaGrantor::Lease(double now_ms, Account& account, const QuotaRequest& request,
                         QuotaGrant& grant) const {
  Holding& holding = account.holdings[request.holder];
  account.leased = Difference(account.leased, holding.lease);
  account.wanted = Sum(Difference(account.wanted, holding.wanted), request.wanted);
  const QuotaLease all = {account.budget.leased_per_ms, account.budget.carry};
  grant.fair = {FairPart(request.wanted.rate_per_ms, account.wanted.rate_per_ms, all.rate_per_ms),
                FairPart(request.wanted.carry, account.wanted.carry, all.carry)};
  const QuotaLease room = Difference(all, account.leased);
  const bool full = account.holdings.size() > kMaxHolders;
  grant.lease = Least(Settled(now_ms) ? Most(grant.fair, request.held) : request.held, room);
  if (full) grant.lease = {};
  holding.lease = grant.lease;
  holding.wanted = request.wanted;
  holding.until_ms = now_ms + kLeaseMs;
  holding.newest_request = request.id;
  account.leased = Sum(account.leased, holding.lease);
  if (full) account.holdings.erase(request.holder);
}

// A request above the burst waits for a full bucket. What it takes beyond that is bounded by the budget;
// where it is more, nothing else may have been granted for a window.
bool QuotaGrantor::MayGoInDebt(double now_ms, const Account& account, double need) const {
  if (need - account.budget.burst <= account.budget.excess) return true;
  const double idle_ms = WindowMs();
  return account.leased.rate_per_ms <= 0 && now_ms - account.granted_ms >= idle_ms;
}

void QuotaGrantor::GrantTokens(double now_ms, Account& account, const QuotaRequest& request,
                               QuotaGrant& grant) const {
  const double need = request.need;
  const double wanted = std::min(need, account.budget.burst);
  const bool above_burst = need > account.budget.burst;
  const bool may_drain = account.wants_drained && IsDrained(request.tenant);
  const bool keeps_reserve = account.tokens - need >= ReserveOf(account);
  if (account.tokens >= wanted && !keeps_reserve && !may_drain) {
    account.wants_drained = true;
    account.full_since_ms = kNeverMs;
    return;  // neither granted nor refused: in a moment it is told
  }
  if (account.tokens >= wanted && (!above_burst || MayGoInDebt(now_ms, account, need))) {
    account.tokens -= need;
    account.granted_ms = now_ms;
    grant.tokens = need;
    return JudgeDrained(now_ms, account);
  }
  const double slowest = kSlowestFill * account.budget.rate_per_ms;
  const double fill_per_ms = std::max({slowest, FillPerMs(account, now_ms), 1e-9});
  const double until_filled_ms = std::max(0.0, wanted - account.tokens) / fill_per_ms;
  grant.retry_ms = std::max(1.0, until_filled_ms + std::max(0.0, fills_from_ms_ - now_ms));
}

}  // namespace bitternmux::fleet
