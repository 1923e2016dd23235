#include "core/job_table.h"

#include <algorithm>
#include <vector>

#include "events/catalogue.h"

namespace bitternmux {

using cartspring::Outcome;

JobId JobTable::Take(double now_ms, Job job, Answerer answerer) {
  cartspring::Request request;
  request.id = ++last_id_;
  request.klass = job.klass;
  request.give_up_ms = now_ms + job.patience_ms;
  request.work_hint_ms = job.work_hint_ms;
  ++stats_.taken;
  Held& held = held_[request.id];
  held.job = std::move(job);
  open_.insert(held.job.request_id);
  held.answerer = std::move(answerer);
  held.give_up_ms = request.give_up_ms;
  Apply(now_ms, request.id, facade_.Pick(now_ms, request));
  Tick(now_ms);
  return request.id;
}

void JobTable::SubmitterLeft(double now_ms, JobId id) {
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  if (found->second.begun) {
    runner_->GiveUp(id, found->second.claims - 1);
  } else {
    const int last = found->second.claims - 1;
    facade_.SubmitterLeft(now_ms, id);
    Tick(now_ms);  // gives up the claim, where the settings allow it; may take on others
    runner_->Withdraw(id, last);
  }
  Release(id);
  ++stats_.left;
}

void JobTable::EndAll(double now_ms) {
  std::vector<JobId> waiting;
  for (const auto& [id, held] : held_) {
    if (!held.begun) waiting.push_back(id);
  }
  for (const JobId id : waiting) {
    facade_.SubmitterLeft(now_ms, id);
    runner_->Withdraw(id, held_.at(id).claims - 1);
    Finish(id, {Answer::Kind::kTimedOut, {}, {}, {}, 0, 0});
  }
  Tick(now_ms);
}

bool JobTable::ClaimBegan(double now_ms, const Claim& claim, ClaimEnd begun) {
  const auto found = held_.find(claim.job);
  if (found == held_.end()) return false;
  Held& held = found->second;
  held.begun = true;
  facade_.Report(
      now_ms, claim.job,
      {claim.number, Outcome::kServed, now_ms - held.claim_sent_ms, begun.load ? &*begun.load : nullptr});
  // The only answer: what is left to tell is whether its body came whole.
  const Answerer answerer = std::exchange(held.answerer, nullptr);
  answerer(
      {Answer::Kind::kServed, {}, std::move(begun.content_type), std::move(begun.flow), begun.length, 0});
  Tick(now_ms);
  return true;
}

void JobTable::ClaimEnded(double now_ms, const Claim& claim, ClaimEnd end) {
  const auto found = held_.find(claim.job);
  if (found == held_.end()) return;  // its submitter left
  Held& held = found->second;
  if (held.begun) {
    Count(held.job, end.outcome == Outcome::kServed ? Answer::Kind::kServed : Answer::Kind::kFailed);
    Release(claim.job);
    return;
  }
  held.last_timed_out = end.outcome == Outcome::kTimeout;
  const ClaimReport report{claim.number, end.outcome, now_ms - held.claim_sent_ms,
                           end.load ? &*end.load : nullptr};
  const Verdict verdict = facade_.Report(now_ms, claim.job, report);
  if (end.outcome == Outcome::kServed) {
    Finish(claim.job, {Answer::Kind::kServed, std::move(end.body), std::move(end.content_type), {}, 0, 0});
  } else {
    Apply(now_ms, claim.job, verdict);
  }
  Tick(now_ms);
}

void JobTable::NodeProbed(double now_ms, const std::string& node, bool answered, double took_ms,
                          const std::optional<cartspring::LoadReport>& load) {
  facade_.NodeProbed(now_ms, node, answered, took_ms, load ? &*load : nullptr);
  Tick(now_ms);
}

void JobTable::Tick(double now_ms) {
  const Errands errands = facade_.Tick(now_ms);
  // Cancels come first: a claim must be off its connection before its job can be sent elsewhere or answered.
  for (const auto& [id, number] : errands.cancels) {
    const auto found = held_.find(id);
    if (found != held_.end()) found->second.last_timed_out = true;
    runner_->GiveUp(id, number);
  }
  for (const auto& [id, verdict] : errands.verdicts) Apply(now_ms, id, verdict);
  for (const std::string& node : errands.probes) runner_->Probe(node, machines_.AddressOf(node));
  for (const std::string& line : errands.log) events_.Write(events::kModuleNote, {{"line", line}});
  if (errands.watch) watch_discovery_();
}

void JobTable::Apply(double now_ms, JobId id, const Verdict& verdict) {
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  switch (verdict.kind) {
    case Verdict::Kind::kHold:
      return;
    case Verdict::Kind::kSend:
      return Send(now_ms, id, found->second, verdict);
    case Verdict::Kind::kRefuse:
      return Finish(id, {Answer::Kind::kRefused, {}, {}, {}, 0, verdict.retry_after_ms});
    case Verdict::Kind::kFail:
      return Finish(
          id,
          {found->second.last_timed_out ? Answer::Kind::kTimedOut : Answer::Kind::kFailed, {}, {}, {}, 0, 0});
  }
}

void JobTable::Send(double now_ms, JobId id, Held& held, const Verdict& verdict) {
  held.claim_sent_ms = now_ms;
  const double until = verdict.until_ms > 0 ? std::min(verdict.until_ms, held.give_up_ms) : held.give_up_ms;
  runner_->Start(
      {id, held.claims++, verdict.node, machines_.AddressOf(verdict.node), until, verdict.out_by_ms},
      held.job);
}

// The only way to answer: the job leaves the table with its answerer, so there is no second answer to give.
void JobTable::Finish(JobId id, Answer answer) {
  Held held = Release(id);
  Count(held.job, answer.kind);
  held.answerer(std::move(answer));
}

void JobTable::Count(const Job& job, Answer::Kind kind) {
  Stats::Ends& ends = stats_.classes[settings_.classes[static_cast<std::size_t>(job.klass)].name];
  if (kind == Answer::Kind::kServed) {
    ++ends.succeeded;
  } else if (kind == Answer::Kind::kRefused) {
    ++ends.declined;
  } else {
    ++ends.aborted;
  }
}

bool JobTable::Holds(int klass) const {
  return std::any_of(held_.begin(), held_.end(),
                     [klass](const auto& held) { return held.second.job.klass == klass; });
}

void JobTable::ListClasses() {
  for (const cartspring::RequestClass& klass : settings_.classes) stats_.classes[klass.name];
}

JobTable::Held JobTable::Release(JobId id) {
  Held held = std::move(held_.extract(id).mapped());
  open_.erase(held.job.request_id);
  return held;
}

}  // namespace bitternmux
