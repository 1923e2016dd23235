#include "core/facade.h"

namespace bitternmux {

Verdict Facade::Pick(double now_ms, const cartspring::Request& job) {
  asked_ = job.id;
  verdict_ = {};
  balancer_.OnRequest(now_ms, job);
  asked_ = 0;
  return std::move(verdict_);
}

Verdict Facade::Report(double now_ms, JobId job, const ClaimReport& report) {
  asked_ = job;
  verdict_ = {};
  const bool over = report.outcome == cartspring::Outcome::kServed;
  balancer_.OnOutcome(now_ms, job, report.claim, report.outcome, over, report.took_ms, report.load);
  asked_ = 0;
  return std::move(verdict_);
}

Errands Facade::Tick(double now_ms) {
  // Only what is due on entry rings: a timer that sets itself anew waits for the next call.
  std::vector<std::uint64_t> due;
  while (!timers_.empty() && timers_.top().first <= now_ms) {
    due.push_back(timers_.top().second);
    timers_.pop();
  }
  for (const std::uint64_t token : due) balancer_.OnTimer(now_ms, token);
  return std::exchange(errands_, {});
}

void Facade::Send(JobId id, const std::string& host, double give_up_ms, double out_by_ms) {
  Decide(id, {Verdict::Kind::kSend, host, give_up_ms, 0, out_by_ms});
}

void Facade::Refuse(JobId id, double retry_after_ms) {
  Decide(id, {Verdict::Kind::kRefuse, {}, 0, retry_after_ms, 0});
}

void Facade::Fail(JobId id) { Decide(id, {Verdict::Kind::kFail, {}, 0, 0, 0}); }

void Facade::SetTimer(double at_ms, std::uint64_t token) {
  timers_.emplace(at_ms, token);
  if (timer_set_) timer_set_(at_ms);
}

void Facade::Decide(JobId id, Verdict verdict) {
  if (id == asked_) {
    verdict_ = std::move(verdict);
  } else {
    errands_.verdicts.emplace_back(id, std::move(verdict));
  }
}

}  // namespace bitternmux
