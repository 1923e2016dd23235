// Grants the tokens of tenants' quotas to routers: a decider, one for the whole fleet at a time (the owner of
// the shard). What is not granted is not sent, so that the sum over all routers holds whatever becomes of any
// of them.
//
// Each tenant has a bucket with its `burst` that fills at its rate. A grantor that takes over knows nothing
// of what was granted before it, so its buckets begin nearly empty.
//
// Bounds: a row for each tenant of the configuration.
#ifndef BITTERNMUX_SRC_FLEET_QUOTA_QUOTA_GRANTOR_H_
#define BITTERNMUX_SRC_FLEET_QUOTA_QUOTA_GRANTOR_H_

#include <map>
#include <string>

#include "fleet/configuration/configuration.h"
#include "fleet/messages/messages.h"

namespace bitternmux::fleet {

class QuotaGrantor {
 public:
  // `slack`: tokens that may be granted beyond the limits.
  explicit QuotaGrantor(double slack) : slack_(slack) {}

  // The limits in force. Buckets of tenants that stay keep what they hold.
  void Configure(double now_ms, const Configuration& configuration);
  // Takes the role over: every bucket begins with `share` of its burst.
  void Begin(double now_ms, double share);
  QuotaGrant Ask(double now_ms, const QuotaRequest& request);

 private:
  struct Bucket {
    double rate_per_ms = 0, capacity = 0;
    double tokens = 0;
    double filled_ms = 0;
  };
  static void Fill(double now_ms, Bucket& bucket);

  const double slack_;
  std::map<std::string, Bucket> buckets_;
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_QUOTA_QUOTA_GRANTOR_H_
