// Days of quota in simulated time: grantors that take over from each other, routers with ledgers, one tenant,
// and trouble that is drawn from a seed. It drives the deciders only.
#ifndef BITTERNMUX_LAB_QUOTA_DAYS_QUOTA_DAYS_H_
#define BITTERNMUX_LAB_QUOTA_DAYS_QUOTA_DAYS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "fleet/quota/quota_grantor.h"
#include "fleet/quota/quota_ledger.h"

namespace bitternmux::lab {

struct QuotaDayOptions {
  std::uint32_t seed = 1;
  std::size_t routers = 8;
  double rate_per_s = 170'000;  // the burst is as many
  double mean_tokens = 9'000;   // of a request
  double usual_share = 0.77;    // of the limit that the tenant uses when nothing is the matter
  double length_ms = 40'000;
  // Which kinds of trouble come, each several times.
  bool hot = true, restarts = true, agents_away = true, cuts = true, owner_changes = true;
  bool quota_changes = true, returns = true, slow_links = true;
  // One loss in the middle of the day: of the owner for so long, and with it of all routers.
  double owner_gone_ms = 0;
  bool routers_restart_with_it = false;

  // Nothing is the matter, but for what is switched on afterwards.
  static QuotaDayOptions Calm();
};

struct QuotaDayResult {
  double most_over = 0;  // the largest share by which a window was over its limit; 0: none was
  double over_at_ms = 0;
  double asked = 0, admitted = 0;
  double asked_after_loss = 0, admitted_after_loss = 0;  // from the middle of the day on, for kAfterLossMs
};

class QuotaDay {
 public:
  static constexpr double kAfterLossMs = 6000;
  explicit QuotaDay(const QuotaDayOptions& options);
  QuotaDayResult Play();

 private:
  struct Router {
    std::unique_ptr<fleet::QuotaLedger> ledger;  // none: it is down
    std::uint64_t life = 0;
    double away_until_ms = 0;  // no message passes until then
    double delay_ms = 1;       // of a message, one way
    std::map<std::uint64_t, double> waiting;
  };
  struct Use {
    double at_ms, tokens;
    bool counts;
  };
  struct Limit {
    double from_ms, rate_per_s;
  };
  struct Grantor {
    std::unique_ptr<fleet::QuotaGrantor> decider;
    double answers_until_ms = 0;
  };

  double Between(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  bool Chance(double share) { return Between(0, 1) < share; }
  std::size_t AnyRouter() { return random_() % routers_.size(); }
  void At(double at_ms, std::function<void()> what) { events_.emplace(at_ms, std::move(what)); }
  // Calls `what` some three times in the day.
  void Sometimes(const std::function<void()>& what);

  void Plan();
  void PlanLimits();
  void PlanLoss();
  void Boot(std::size_t index);
  void Stop(std::size_t index, double for_ms);
  void ChangeOwner(double gap_ms, double overlap_ms);
  void SetLimit(double rate_per_s);
  void Configure(bool has_tenant);
  void Step();
  void Send(std::size_t index);
  void Admit(std::size_t index, double tokens);
  void TellDrained();
  void Carry(std::size_t index);
  void Deliver(std::size_t index, std::uint64_t life, const fleet::QuotaRequest& request);
  QuotaDayResult Judge() const;
  bool AfterLoss(double at_ms) const;
  double AllowedFrom(double from_ms) const;

  const QuotaDayOptions options_;
  std::mt19937 random_;
  fleet::Tenant tenant_;
  std::vector<Router> routers_;
  std::deque<Grantor> grantors_;                     // the newest last
  std::vector<std::string> drained_, told_drained_;  // as replicated; as wanted last
  bool owner_there_ = true;
  std::multimap<double, std::function<void()>> events_;
  std::vector<Use> uses_;
  std::vector<Limit> limits_;
  double now_ms_ = 0, due_ = 0, demand_ = 1, asked_ = 0, asked_after_loss_ = 0;
  std::size_t hot_routers_ = 0;
  std::uint64_t last_request_ = 0, last_holder_ = 0;
};

}  // namespace bitternmux::lab

#endif  // BITTERNMUX_LAB_QUOTA_DAYS_QUOTA_DAYS_H_
