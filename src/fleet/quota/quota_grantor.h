// Grants the tokens of tenants' quotas to routers: a decider, one for the whole fleet at a time (the owner of
// the shard). What it has not granted is not used, so that the sum over all routers holds whatever becomes of
// any of them (quota_budget.h).
//
// A router gets two things: tokens for a request that waits, out of the tenant's bucket, and a lease on a
// part of the tenant's rate for what it uses all the time. While a lease runs, its part of the rate fills the
// router's own level and not the bucket. All leases together take a bounded part of the rate
// (QuotaBudget::leased_per_ms).
//
// Taking over. A grantor knows nothing of what was granted before it, but for the tenants that are told as
// drained by the replicated value: a bucket goes below its reserve only once its tenant's name stands there.
// So it begins with the reserve of the others and with nothing for the drained. Until every lease of its
// predecessors has run out it takes the whole part of the rate that may be leased for leased: it renews what
// a router says that it holds, raises nothing, and fills its buckets with the rest. Its predecessor may still
// grant for a moment; the buckets are filled from the end of that. So
//
//   - the leases that run never hold more than that part of the rate, nor carry more than the budget's
//     carry;
//   - what all grantors together have taken out of buckets by any moment is what one bucket would have given.
//
// Where more is wanted than there is, each is told its fair part, and lowers its lease to it with its next
// request. A router lowers its lease when it asks for less, before the grantor hears of it, and no request is
// answered behind a later one of the same holder; so the book never shows less than what a holder has.
//
// What lapses unused at a router, of tokens or of a lease's level, comes back to the bucket with its next
// request, once. The bucket then holds no more than if it had never been granted.
//
// Bounds: an account for each tenant of the configuration, and for tenants that were taken out until their
// buckets are full again; in each kMaxHolders holdings.
#ifndef BITTERNMUX_SRC_FLEET_QUOTA_QUOTA_GRANTOR_H_
#define BITTERNMUX_SRC_FLEET_QUOTA_QUOTA_GRANTOR_H_

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fleet/configuration/configuration.h"
#include "fleet/messages/messages.h"
#include "fleet/quota/quota_budget.h"

namespace bitternmux::fleet {

class QuotaGrantor {
 public:
  static constexpr std::size_t kMaxHolders = 4096;

  explicit QuotaGrantor(const QuotaBounds& bounds) : bounds_(bounds) {}

  // The limits in force. Tenants that stay, or come back soon, keep what their buckets hold.
  void Configure(double now_ms, const Configuration& configuration);
  // The tenants that are drained, as the replicated value has it for certain.
  void SetDrained(std::vector<std::string> tenants) { drained_ = std::move(tenants); }
  // Takes the role over from a grantor that does not grant any more from `former_ends_ms` on.
  void TakeOver(double now_ms, double former_ends_ms);
  QuotaGrant Ask(double now_ms, const QuotaRequest& request);
  // The tenants that are to be told as drained, in order.
  std::vector<std::string> WantedDrained(double now_ms);
  // Are all leases known?
  bool Settled(double now_ms) const { return now_ms >= settled_ms_; }

 private:
  static constexpr double kNeverMs = -std::numeric_limits<double>::infinity();
  struct Holding {
    QuotaLease lease;
    QuotaLease wanted;
    double until_ms = 0;
    std::uint64_t newest_request = 0;
  };
  struct Account {
    QuotaBudget budget;
    double tokens = 0;  // in the bucket; below 0 after a request above the burst
    double filled_ms = 0;
    bool wants_drained = false;
    double full_since_ms = kNeverMs;  // the bucket has been nearly full since then; kNeverMs: it is not
    double granted_ms = kNeverMs;     // when tokens were granted, or may have been, for the last time
    std::map<std::uint64_t, Holding> holdings;
    QuotaLease leased, wanted;         // sums of the holdings
    double next_expiry_ms = kNeverMs;  // no holding runs out before
  };

  double WindowMs() const { return bounds_.window_ms + kTokenLifeMs + kGiveBackMs; }
  Account OpenAccount(double now_ms, const Tenant& tenant) const;
  double FillPerMs(const Account& account, double now_ms) const;
  void Fill(double now_ms, Account& account) const;
  static void Expire(double now_ms, Account& account);
  void Lease(double now_ms, Account& account, const QuotaRequest& request, QuotaGrant& grant) const;
  void GrantTokens(double now_ms, Account& account, const QuotaRequest& request, QuotaGrant& grant) const;
  bool IsDrained(const std::string& tenant) const;
  static double ReserveOf(const Account& account);
  static void JudgeDrained(double now_ms, Account& account);
  bool MayGoInDebt(double now_ms, const Account& account, double need) const;

  const QuotaBounds bounds_;
  double fills_from_ms_ = kNeverMs;  // since it took over, once its predecessor has ended
  double settled_ms_ = kNeverMs;
  std::map<std::string, Account> accounts_;
  std::vector<std::string> drained_;
  std::vector<std::string> inherited_;  // drained when it took over
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_QUOTA_QUOTA_GRANTOR_H_
