// Quota: the grantor, the routers' ledgers, and both together in simulated time.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "fleet/quota/quota_grantor.h"
#include "fleet/quota/quota_ledger.h"

namespace bitternmux {
namespace {

using fleet::QuotaAnswer;
using fleet::QuotaGrantor;
using fleet::QuotaLedger;

constexpr double kSlack = 110'000;
constexpr double kWindowMs = 8000;

fleet::Tenant TenantOf(const std::string& name, double rate) {
  fleet::Tenant tenant;
  tenant.name = name;
  tenant.counts_tokens = true;
  tenant.rate_per_s = tenant.burst = rate;
  return tenant;
}

fleet::Configuration With(std::initializer_list<fleet::Tenant> tenants) {
  fleet::Configuration configuration;
  configuration.tenants = tenants;
  return configuration;
}

// Routers with ledgers before one grantor, which may be away. Requests of one tenant come at random.
class Fleet {
 public:
  Fleet(std::uint32_t seed, std::size_t routers, double rate) : random_(seed), tenant_(TenantOf("t", rate)) {
    grantor_->Configure(0, With({tenant_}));
    for (std::size_t i = 0; i < routers; ++i) {
      ledgers_.emplace_back(QuotaLedger::Options{kSlack, kWindowMs});
      ledgers_.back().SetRouters(routers);
    }
  }
  // `demand` tokens a second for `for_ms`, in requests of about `size`, all on routers below `on`.
  void Run(double for_ms, double demand, double size, std::size_t on, bool grantor_there = true) {
    const double end = now_ms_ + for_ms;
    for (; now_ms_ < end; now_ms_ += 5) {
      due_ += demand * 5 / 1000;
      while (due_ >= size) {
        due_ -= size;
        asked_ += size;
        QuotaLedger& ledger = ledgers_[random_() % on];
        const std::uint64_t id = ++last_;
        cost_[id] = size;
        const QuotaAnswer answer = ledger.Ask(now_ms_, id, tenant_, size);
        if (answer == QuotaAnswer::kAdmitted) Admit(size);
      }
      for (QuotaLedger& ledger : ledgers_) {
        for (const fleet::QuotaRequest& request : ledger.TakeRequests()) {
          if (grantor_there) ledger.Granted(now_ms_, grantor_->Ask(now_ms_, request));
        }
        ledger.Tick(now_ms_);
        for (const fleet::QuotaVerdict& verdict : ledger.TakeVerdicts()) {
          if (verdict.admitted) Admit(cost_[verdict.request]);
        }
      }
    }
  }
  void NewGrantor() {
    grantor_ = std::make_unique<QuotaGrantor>(kSlack);
    grantor_->Configure(now_ms_, With({tenant_}));
    grantor_->Begin(now_ms_, 0.35);
  }
  double asked() const { return asked_; }
  double admitted() const { return total_; }
  // The most that was admitted in any window.
  double Most() const {
    double most = 0;
    for (std::size_t begin = 0, end = 0; end < uses_.size(); ++end) {
      while (uses_[begin].first < uses_[end].first - kWindowMs) ++begin;
      double sum = 0;
      for (std::size_t i = begin; i <= end; ++i) sum += uses_[i].second;
      most = std::max(most, sum);
    }
    return most;
  }
  double Allowed() const { return (tenant_.rate_per_s * kWindowMs / 1000 + tenant_.burst) * 1.1 + kSlack; }

 private:
  void Admit(double size) {
    total_ += size;
    uses_.emplace_back(now_ms_, size);
  }
  std::mt19937 random_;
  const fleet::Tenant tenant_;
  std::unique_ptr<QuotaGrantor> grantor_ = std::make_unique<QuotaGrantor>(kSlack);
  std::vector<QuotaLedger> ledgers_;
  std::vector<std::pair<double, double>> uses_;
  std::map<std::uint64_t, double> cost_;
  double now_ms_ = 1, due_ = 0, asked_ = 0, total_ = 0;
  std::uint64_t last_ = 0;
};

}  // namespace

TEST_CASE("quota: below the limit nothing is refused, wherever it comes and however it jumps") {
  for (std::uint32_t seed = 1; seed <= 5; ++seed) {
    Fleet even(seed, 6, 170'000);
    even.Run(20'000, 130'000, 9'000, 6);
    CHECK(even.admitted() >= 0.98 * even.asked());
    Fleet one(seed, 6, 170'000);
    one.Run(6'000, 20'000, 9'000, 6);
    one.Run(10'000, 150'000, 9'000, 1);
    CHECK(one.admitted() >= 0.98 * one.asked());
    Fleet small(seed, 8, 29'000);
    small.Run(20'000, 22'000, 9'000, 8);
    CHECK(small.admitted() >= 0.95 * small.asked());
  }
}

TEST_CASE("quota: above the limit no window holds more than is allowed") {
  for (std::uint32_t seed = 1; seed <= 5; ++seed) {
    for (const double rate : {29'000.0, 170'000.0}) {
      Fleet fleet(seed, 6, rate);
      fleet.Run(5'000, 0.7 * rate, 9'000, 6);
      fleet.Run(15'000, 8 * rate, 9'000, 6);
      CHECK(fleet.Most() <= fleet.Allowed());
      CHECK(fleet.admitted() >= 0.8 * rate * 20);
    }
  }
}

TEST_CASE("quota: no window holds more than is allowed while the grantor is away and changes") {
  for (std::uint32_t seed = 1; seed <= 5; ++seed) {
    for (const double rate : {29'000.0, 170'000.0}) {
      Fleet fleet(seed, 8, rate);
      fleet.Run(9'000, 8 * rate, 9'000, 8);
      fleet.Run(3'000, 8 * rate, 9'000, 8, /*grantor_there=*/false);
      fleet.NewGrantor();
      fleet.Run(9'000, 8 * rate, 9'000, 8);
      fleet.Run(12'000, 8 * rate, 9'000, 8, /*grantor_there=*/false);
      CHECK(fleet.Most() <= fleet.Allowed());
    }
  }
}

TEST_CASE("quota: a tenant keeps most of its use while the grantor is away") {
  Fleet fleet(3, 6, 170'000);
  fleet.Run(10'000, 120'000, 9'000, 6);
  const double before = fleet.admitted(), asked = fleet.asked();
  fleet.Run(4'000, 120'000, 9'000, 6, /*grantor_there=*/false);
  CHECK(fleet.admitted() - before >= 0.6 * (fleet.asked() - asked));
}

TEST_CASE("quota: a request above the burst is let in once, in debt") {
  QuotaGrantor grantor(0);
  grantor.Configure(0, With({TenantOf("t", 1000)}));
  fleet::QuotaRequest request;
  request.tenant = "t";
  request.need = 5000;
  CHECK(grantor.Ask(1, request).tokens == 5000);
  const fleet::QuotaGrant refused = grantor.Ask(2, request);
  CHECK(refused.tokens == 0);
  CHECK(refused.retry_ms > 3000);
}

TEST_CASE("quota: what never ran is given back") {
  QuotaLedger ledger({0, kWindowMs});
  fleet::Tenant tenant = TenantOf("t", 1000);
  CHECK(ledger.Ask(0, 1, tenant, 100) == QuotaAnswer::kWait);
  const auto requests = ledger.TakeRequests();
  REQUIRE(requests.size() == 1);
  fleet::QuotaGrant grant;
  grant.id = requests[0].id;
  grant.tenant = "t";
  grant.tokens = 100;
  ledger.Granted(1, grant);
  REQUIRE(ledger.TakeVerdicts().size() == 1);
  ledger.GiveBack("t", 100);
  CHECK(ledger.Ask(2, 2, tenant, 100) == QuotaAnswer::kAdmitted);
}

namespace {

// Asks for `tokens` every 50 ms from one moment to another, with a grantor that is silent; how many get
// through.
double UseWithoutGrantor(QuotaLedger& ledger, const fleet::Tenant& tenant, double tokens, double from_ms,
                         double to_ms) {
  constexpr double kEveryMs = 50;
  double admitted = 0;
  std::uint64_t request = static_cast<std::uint64_t>(from_ms) * 1000;
  for (double now_ms = from_ms; now_ms < to_ms; now_ms += kEveryMs) {
    ledger.Tick(now_ms);
    if (ledger.Ask(now_ms, ++request, tenant, tokens) == QuotaAnswer::kAdmitted) admitted += tokens;
    for (const fleet::QuotaVerdict& verdict : ledger.TakeVerdicts())
      admitted += verdict.admitted ? tokens : 0;
    ledger.TakeRequests();
  }
  return admitted;
}

// Uses 1,000 tokens a second, each granted as it is asked for.
void UseWithGrants(QuotaLedger& ledger, const fleet::Tenant& tenant, double to_ms) {
  std::uint64_t request = 0;
  for (double now_ms = 0; now_ms < to_ms; now_ms += 100) {
    ledger.Ask(now_ms, ++request, tenant, 100);
    for (const fleet::QuotaRequest& asked : ledger.TakeRequests()) {
      ledger.Granted(now_ms, {asked.id, asked.tenant, asked.need + asked.reserve, 0, ""});
    }
    ledger.TakeVerdicts();
  }
}

}  // namespace

TEST_CASE("quota: without a grantor a router uses its share of the slack once in any window") {
  QuotaLedger ledger({10'000, kWindowMs});
  ledger.SetRouters(2);
  const fleet::Tenant tenant = TenantOf("t", 1000);
  const double first = UseWithoutGrantor(ledger, tenant, 100, 0, kWindowMs);
  CHECK(first > 0);
  CHECK(first <= 5'000);
  CHECK(UseWithoutGrantor(ledger, tenant, 100, 1.5 * kWindowMs, 2 * kWindowMs) <= 5'000);
}

TEST_CASE("quota: a router that is cut off stops within a window, as others are granted its rate") {
  QuotaLedger ledger({0, kWindowMs});
  const fleet::Tenant tenant = TenantOf("t", 1000);
  UseWithGrants(ledger, tenant, 20'000);
  const double in_window = UseWithoutGrantor(ledger, tenant, 100, 20'000, 20'000 + kWindowMs);
  CHECK(in_window >= 2'000);
  CHECK(in_window <= 4'500);
}

TEST_CASE("quota: a grant that comes late is offset by what was used without it") {
  QuotaLedger ledger({10'000, kWindowMs});
  const fleet::Tenant tenant = TenantOf("t", 1000);
  CHECK(ledger.Ask(0, 1, tenant, 100) == QuotaAnswer::kAdmitted);  // of the slack, before any grant
  const auto asked = ledger.TakeRequests();
  REQUIRE(asked.size() == 1);
  ledger.Tick(1000);  // it is given up
  CHECK(ledger.Ask(1000, 2, tenant, 100) == QuotaAnswer::kAdmitted);
  ledger.Granted(1010, {asked[0].id, "t", 150, 0, ""});
  ledger.TakeRequests();
  CHECK(ledger.Ask(1010, 3, tenant, 100) == QuotaAnswer::kWait);  // 150 less the 200 that were used
}

TEST_CASE("quota: a tenant without a limit is never asked for") {
  QuotaLedger ledger({0, kWindowMs});
  CHECK(ledger.Ask(0, 1, TenantOf("t", 0), 1e9) == QuotaAnswer::kAdmitted);
  CHECK(ledger.TakeRequests().empty());
}

}  // namespace bitternmux
