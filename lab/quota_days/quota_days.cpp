#include "lab/quota_days/quota_days.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bitternmux::lab {
namespace {

constexpr double kStepMs = 5, kTickMs = 50;
constexpr double kWindowMs = 8000, kOverage = 0.1, kSlack = 110'000;
constexpr fleet::QuotaBounds kBounds = {kWindowMs, kOverage, kSlack};
constexpr double kGrantContactMs = 500;  // for which an owner that is gone may have granted
constexpr double kSlowestCommitMs = 60;
constexpr double kLowerLimitBindsMs = 2 * kWindowMs;
constexpr double kTimesADay = 3;

}  // namespace

QuotaDayOptions QuotaDayOptions::Calm() {
  QuotaDayOptions options;
  options.hot = options.restarts = options.agents_away = options.cuts = options.owner_changes = false;
  options.quota_changes = options.returns = options.slow_links = false;
  return options;
}

QuotaDay::QuotaDay(const QuotaDayOptions& options) : options_(options), random_(options.seed) {
  tenant_.name = "tenant";
  tenant_.counts_tokens = true;
  tenant_.rate_per_s = tenant_.burst = options.rate_per_s;
  hot_routers_ = options.routers;
  routers_.resize(options.routers);
  for (std::size_t index = 0; index < options.routers; ++index) Boot(index);
  grantors_.push_back({std::make_unique<fleet::QuotaGrantor>(kBounds), options.length_ms});
  SetLimit(options.rate_per_s);
}

void QuotaDay::Boot(std::size_t index) {
  Router& router = routers_[index];
  router.ledger =
      std::make_unique<fleet::QuotaLedger>(fleet::QuotaLedger::Options{++last_holder_, now_ms_, kBounds});
  router.ledger->SetRouters(routers_.size());
  router.waiting.clear();
  ++router.life;
}

void QuotaDay::Stop(std::size_t index, double for_ms) {
  routers_[index].ledger.reset();
  ++routers_[index].life;
  At(now_ms_ + for_ms, [this, index] {
    if (!routers_[index].ledger) Boot(index);
  });
}

// The owner before answers for a while beside its successor, which begins to grant after `gap_ms`.
void QuotaDay::ChangeOwner(double gap_ms, double overlap_ms) {
  const double begins_ms = now_ms_ + gap_ms;
  grantors_.back().answers_until_ms = overlap_ms > 0 ? begins_ms + overlap_ms : now_ms_;
  owner_there_ = overlap_ms > 0;
  const double former_ends_ms = overlap_ms > 0 ? begins_ms + overlap_ms : now_ms_ + kGrantContactMs;
  At(begins_ms, [this, overlap_ms, former_ends_ms] {
    owner_there_ = true;
    for (Grantor& before : grantors_)
      before.answers_until_ms = std::min(before.answers_until_ms, now_ms_ + overlap_ms);
    grantors_.push_back({std::make_unique<fleet::QuotaGrantor>(kBounds), options_.length_ms});
    Configure(true);
    grantors_.back().decider->SetDrained(drained_);
    grantors_.back().decider->TakeOver(now_ms_, former_ends_ms);
    TellDrained();
  });
}

void QuotaDay::SetLimit(double rate_per_s) {
  tenant_.rate_per_s = tenant_.burst = rate_per_s;
  limits_.push_back({now_ms_, rate_per_s});
  Configure(true);
}

void QuotaDay::Configure(bool has_tenant) {
  fleet::Configuration configuration;
  if (has_tenant) configuration.tenants = {tenant_};
  grantors_.back().decider->Configure(now_ms_, configuration);
}

void QuotaDay::Sometimes(const std::function<void()>& what) {
  for (double at_ms = 0;;) {
    at_ms += -std::log(Between(1e-6, 1)) * options_.length_ms / kTimesADay;
    if (at_ms >= options_.length_ms) return;
    At(at_ms, what);
  }
}

void QuotaDay::Plan() {
  if (options_.hot) {
    Sometimes([this] {
      demand_ = Between(2, 8);
      hot_routers_ = Chance(0.3) ? 1 : routers_.size();
      At(now_ms_ + Between(2000, 10'000), [this] {
        demand_ = 1;
        hot_routers_ = routers_.size();
      });
    });
  }
  if (options_.restarts) {
    Sometimes([this] {  // one after the other, or many at once
      const double gap_ms = Chance(0.3) ? 0 : Between(100, 1500);
      for (std::size_t i = 0; i < routers_.size(); ++i) {
        if (Chance(0.5)) continue;
        At(now_ms_ + static_cast<double>(i) * gap_ms, [this, i] { Stop(i, Between(300, 2000)); });
      }
    });
  }
  if (options_.agents_away) {
    Sometimes([this] {
      const double gap_ms = Chance(0.3) ? 0 : Between(100, 1200);
      for (std::size_t i = 0; i < routers_.size(); ++i) {
        if (Chance(0.5)) continue;
        At(now_ms_ + static_cast<double>(i) * gap_ms,
           [this, i] { routers_[i].away_until_ms = now_ms_ + Between(200, 1000); });
      }
    });
  }
  if (options_.cuts) {
    Sometimes([this] {
      const double until_ms = now_ms_ + Between(500, 7000);
      const double share = Chance(0.3) ? 1 : Between(0.1, 0.6);
      for (Router& router : routers_) {
        if (Chance(share)) router.away_until_ms = until_ms;
      }
    });
  }
  if (options_.owner_changes) {
    Sometimes([this] { ChangeOwner(Between(200, 2500), Chance(0.3) ? Between(0, 350) : 0); });
    Sometimes([this] {  // all control machines are killed, more than once
      ChangeOwner(Between(200, 1500), 0);
      At(now_ms_ + Between(1500, 4000), [this] { ChangeOwner(Between(200, 1500), 0); });
    });
  }
  if (options_.slow_links) {
    Sometimes([this] {
      Router& router = routers_[AnyRouter()];
      router.delay_ms = Between(20, 600);
      At(now_ms_ + Between(1000, 6000), [&router] { router.delay_ms = 1; });
    });
  }
  if (options_.quota_changes) PlanLimits();
  if (options_.owner_gone_ms > 0) PlanLoss();
}

void QuotaDay::PlanLoss() {
  At(options_.length_ms / 2, [this] {
    ChangeOwner(options_.owner_gone_ms, 0);
    if (!options_.routers_restart_with_it) return;
    for (std::size_t i = 0; i < routers_.size(); ++i) Stop(i, options_.owner_gone_ms);
  });
}

bool QuotaDay::AfterLoss(double at_ms) const {
  const double since_ms = at_ms - options_.length_ms / 2;
  return since_ms >= 0 && since_ms < kAfterLossMs;
}

void QuotaDay::PlanLimits() {
  Sometimes([this] { SetLimit(options_.rate_per_s * Between(0.5, 1.5)); });
  Sometimes([this] {  // the tenant is taken out, and comes back
    Configure(false);
    At(now_ms_ + Between(100, 1500), [this] { Configure(true); });
  });
}

void QuotaDay::Admit(std::size_t index, double tokens) {
  uses_.push_back({now_ms_, tokens, true});
  if (!options_.returns || !Chance(0.15)) return;
  // It never runs, as no server takes it.
  const std::size_t use = uses_.size() - 1;
  const auto never_ran = [this, index, tokens, use, life = routers_[index].life, charged_ms = now_ms_] {
    uses_[use].counts = false;
    if (routers_[index].life == life)
      routers_[index].ledger->GiveBack(now_ms_, tenant_.name, charged_ms, tokens);
  };
  Chance(0.5) ? never_ran() : At(now_ms_ + Between(0, 600), never_ran);
}

void QuotaDay::Send(std::size_t index) {
  const double tokens = options_.mean_tokens * Between(0.05, 1.95);
  due_ -= tokens;
  asked_ += tokens;
  asked_after_loss_ += AfterLoss(now_ms_) ? tokens : 0;
  Router& router = routers_[index];
  if (!router.ledger) return;
  const std::uint64_t id = ++last_request_;
  const fleet::QuotaAnswer answer = router.ledger->Ask(now_ms_, id, tenant_, tokens);
  if (answer == fleet::QuotaAnswer::kAdmitted) Admit(index, tokens);
  if (answer == fleet::QuotaAnswer::kWait) router.waiting[id] = tokens;
}

void QuotaDay::Deliver(std::size_t index, std::uint64_t life, const fleet::QuotaRequest& request) {
  // Where an owner is not known to be gone yet it may be asked still.
  const bool asks_older = grantors_.size() > 1 && now_ms_ < grantors_[grantors_.size() - 2].answers_until_ms;
  Grantor& grantor = asks_older && Chance(0.5) ? grantors_[grantors_.size() - 2] : grantors_.back();
  if (now_ms_ > grantor.answers_until_ms || !owner_there_) return;
  const fleet::QuotaGrant grant = grantor.decider->Ask(now_ms_, request);
  if (&grantor == &grantors_.back()) TellDrained();
  Router& router = routers_[index];
  if (now_ms_ < router.away_until_ms) return;
  At(now_ms_ + router.delay_ms, [this, index, grant, life] {
    if (routers_[index].life != life) return;
    routers_[index].ledger->Granted(now_ms_, grant);
    Carry(index);
  });
}

// What is to be replicated is so a moment later, unless its owner has ended before.
void QuotaDay::TellDrained() {
  std::vector<std::string> wanted = grantors_.back().decider->WantedDrained(now_ms_);
  if (wanted == told_drained_) return;
  told_drained_ = wanted;
  At(now_ms_ + Between(1, kSlowestCommitMs), [this, wanted, owner = grantors_.size()] {
    if (owner != grantors_.size() || now_ms_ > grantors_.back().answers_until_ms) return;
    drained_ = wanted;
    grantors_.back().decider->SetDrained(drained_);
  });
}

void QuotaDay::Carry(std::size_t index) {
  Router& router = routers_[index];
  for (const fleet::QuotaRequest& request : router.ledger->TakeRequests()) {
    if (now_ms_ < router.away_until_ms) continue;
    At(now_ms_ + router.delay_ms,
       [this, index, request, life = router.life] { Deliver(index, life, request); });
  }
  for (const fleet::QuotaVerdict& verdict : router.ledger->TakeVerdicts()) {
    const auto found = router.waiting.find(verdict.request);
    const double tokens = found->second;
    router.waiting.erase(found);
    if (verdict.admitted) Admit(index, tokens);
  }
}

void QuotaDay::Step() {
  while (!events_.empty() && events_.begin()->first <= now_ms_) {
    const auto what = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    what();
  }
  due_ += options_.rate_per_s * options_.usual_share * demand_ * kStepMs / 1000;
  while (due_ > 0) Send(random_() % hot_routers_);
  const bool ticks = std::fmod(now_ms_, kTickMs) < kStepMs;
  for (std::size_t index = 0; index < routers_.size(); ++index) {
    if (!routers_[index].ledger) continue;
    if (ticks) routers_[index].ledger->Tick(now_ms_);
    Carry(index);
  }
}

QuotaDayResult QuotaDay::Play() {
  Plan();
  for (; now_ms_ < options_.length_ms; now_ms_ += kStepMs) Step();
  return Judge();
}

// A lower limit binds later than a higher one; in between the higher one does.
double QuotaDay::AllowedFrom(double from_ms) const {
  double rate_per_s = 0;
  for (std::size_t i = 0; i < limits_.size(); ++i) {
    const double replaced_ms = i + 1 < limits_.size() ? limits_[i + 1].from_ms : options_.length_ms;
    const bool begun = limits_[i].from_ms <= from_ms + kWindowMs;
    if (begun && replaced_ms + kLowerLimitBindsMs > from_ms)
      rate_per_s = std::max(rate_per_s, limits_[i].rate_per_s);
  }
  return (rate_per_s * kWindowMs / 1000 + rate_per_s) * (1 + kOverage) + kSlack;
}

QuotaDayResult QuotaDay::Judge() const {
  QuotaDayResult result;
  result.asked = asked_;
  result.asked_after_loss = asked_after_loss_;
  double sum = 0;
  std::size_t first = 0;
  for (const Use& use : uses_) {
    if (!use.counts) continue;
    sum += use.tokens;
    result.admitted += use.tokens;
    result.admitted_after_loss += AfterLoss(use.at_ms) ? use.tokens : 0;
    for (; uses_[first].at_ms < use.at_ms - kWindowMs; ++first)
      sum -= uses_[first].counts ? uses_[first].tokens : 0;
    const double over = sum / AllowedFrom(uses_[first].at_ms) - 1;
    if (over <= result.most_over) continue;
    result.most_over = over;
    result.over_at_ms = use.at_ms;
  }
  return result;
}

}  // namespace bitternmux::lab
