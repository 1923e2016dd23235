// How the limit of a tenant is divided, so that what all routers let through in any window stays inside it by
// construction. The limit in a window is
//
//   (rate x window + burst) x (1 + overage) + slack
//
// and what can be let through in a window is at most the sum of
//
//   - the burst: what the grantor's bucket holds when the window begins;
//   - a rate x (window + lateness): what the bucket and the leases are filled with; the tenant's, and a part
//     of what is left over. Tokens that were granted are used within kTokenLifeMs of being asked for, and
//     those of a request that never ran once more within kGiveBackMs of being charged, so a window sees
//     nothing that was filled earlier than that;
//   - the carry: what all leases together may have saved up when the window begins;
//   - the excess: of one request above the burst, let through in debt;
//   - the ungranted: what routers let through of their own while no grantor answers, divided by their number.
//
// Nothing in this sum depends on how often a process starts, or on who grants, and only the ungranted part on
// the number of routers.
#ifndef BITTERNMUX_SRC_FLEET_QUOTA_QUOTA_BUDGET_H_
#define BITTERNMUX_SRC_FLEET_QUOTA_QUOTA_BUDGET_H_

#include "fleet/configuration/configuration.h"

namespace bitternmux::fleet {

constexpr double kTokenLifeMs = 250;  // granted tokens, from when they were asked for
constexpr double kGiveBackMs = 250;   // charged tokens may come back so long
constexpr double kLeaseMs = 1200;     // a lease, from when it was asked for

// The bounds that hold for the sum over all routers.
struct QuotaBounds {
  double window_ms = 8000;
  double overage = 0;
  double slack = 0;  // in tokens; nothing for tenants whose requests are counted
};

struct QuotaBudget {
  double rate_per_ms = 0;    // with which the bucket and the leases are filled, all together
  double leased_per_ms = 0;  // of that, to all leases together
  double burst = 0;          // the bucket's size
  double carry = 0;          // of all leases together
  double excess = 0;         // of a request above the burst
  double ungranted = 0;      // of all routers together, in a window
};

QuotaBudget DivideQuota(const Tenant& tenant, const QuotaBounds& bounds);

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_QUOTA_QUOTA_BUDGET_H_
