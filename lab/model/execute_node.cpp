#include "lab/model/execute_node.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bitternmux::lab::model {
namespace {

constexpr double kWorkDone = 1e-6;    // ms of work: what is left of a task that is done, but for rounding
constexpr double kWarmStepMs = 50;    // a cold process's capacity is reckoned anew this often
constexpr double kProbeBurst = 1000;  // ms over which the probes that it takes are counted

NodeAction Plain(NodeAction::What what, ConnectionId connection = 0, ClaimId claim = 0) {
  NodeAction action;
  action.what = what;
  action.connection = connection;
  action.claim = claim;
  return action;
}

}  // namespace

ExecuteNode::ExecuteNode(const NodeFigures& figures, const Seeds& seeds, int number, double started_ms)
    : figures_(figures),
      fails_draws_(seeds.For("node.fail")),
      error_draws_(seeds.For("node.error")),
      reset_draws_(seeds.For("node.reset")),
      spoil_draws_(seeds.For("node.spoil")),
      report_draws_(seeds.For("node.report")),
      number_(static_cast<std::uint64_t>(number)),
      started_(started_ms),
      now_(std::max(0.0, started_ms)),
      idle_keep_(figures.idle_ms) {
  if (figures.reports)
    next_report_ = now_ + seeds.Of("node.report.phase", number_).Unit() * figures.report_period_ms;
  probe_tokens_ = std::max(1.0, figures.probes_per_s * kProbeBurst / 1000);
  probe_tokens_at_ = now_;
}

double ExecuteNode::Warmth(double now) const {
  if (started_ < 0) return 1;
  const double cold = figures_.cold_from, age = now - started_;
  const double evenly = cold + (1 - cold) * age / figures_.warm_within_ms;
  // By work: such that a process that is busy all the time from its start rises evenly, and is warm after
  // `warm_ms`.
  const double by_work =
      std::sqrt(cold * cold + 2 * (1 - cold) * worked_ / (figures_.warm_ms * FullCapacity()));
  const double by_time = cold + (1 - cold) * age / figures_.warm_ms;
  return std::min(1.0, std::max(evenly, figures_.warm_by == WarmBy::kTime ? by_time : by_work));
}

double ExecuteNode::Capacity() const { return FullCapacity() * Warmth() * Efficiency(); }

double ExecuteNode::Efficiency() const {
  const double table = figures_.full_tax * open() / std::max(1, figures_.connections);
  const double beyond = std::max(0.0, held() / figures_.cores - figures_.thrash_at);
  const double crowd = crowded() ? figures_.crowd_slower : 1;
  return (1 - table) / (1 + figures_.thrash * beyond) / (slow_ * crowd);
}

double ExecuteNode::TaskRate() const {
  if (work_.empty() || hangs_) return 0;
  const double cores = figures_.cores - (overhead_ > 0 ? std::min(1.0, figures_.cores) : 0);
  return Capacity() / figures_.cores * std::min(1.0, cores / static_cast<double>(work_.size()));
}

double ExecuteNode::OverheadRate() const { return hangs_ ? 0 : Capacity() / std::max(1.0, figures_.cores); }

// The next time at which something happens that is seen from outside, or that changes how fast work goes on.
double ExecuteNode::NextMs() const {
  if (reach_ != Reach::kListens || hangs_) return kNever;
  double next = idle_.empty() ? kNever : connections_.at(idle_.front()).idle_since + idle_keep_;
  if (overhead_ > 0) next = std::min(next, now_ + overhead_ / OverheadRate());
  const double rate = TaskRate();
  for (const Task& task : work_) {
    if (rate > 0) next = std::min(next, now_ + task.left / rate);
    if (figures_.drops_overdue) next = std::min(next, task.until);
  }
  if ((!work_.empty() || overhead_ > 0) && started_ >= 0 && Warmth() < 1) {
    next = std::min(next, (std::floor(now_ / kWarmStepMs) + 1) * kWarmStepMs);
  }
  if (figures_.tips) {
    if (crowded()) {
      next = std::min({next, crowded_until_, rest_since_ + figures_.rest_ms});
    } else {
      next = std::min(next, crowd_since_ + figures_.crowd_ms);
    }
  }
  return std::max(next, now_);
}

void ExecuteNode::Advance(double now, NodeActions& out) {
  for (;;) {
    // Reports are taken on the way: nobody needs to be woken for them.
    const double next = std::min({now, NextMs(), std::max(now_, next_report_)});
    const bool last = next >= now;
    Run(next);
    if (reach_ != Reach::kListens) {
      now_ = std::max(now_, now);
      return;
    }
    Settle(out);
    if (last) return;
  }
}

void ExecuteNode::Run(double until) {
  const double dt = until - now_;
  if (dt <= 0) return;
  const double rate = TaskRate();
  const double overhead = overhead_ > 0 ? std::min(overhead_, OverheadRate() * dt) : 0;
  if (crowded() && !hangs_) {
    const double cores = static_cast<double>(work_.size()) + (overhead_ > 0 ? 1 : 0);
    rest_busy_ += dt * std::min(figures_.cores, cores);
  }
  overhead_ = overhead_ - overhead < kWorkDone ? 0 : overhead_ - overhead;
  for (Task& task : work_) {
    task.left -= rate * dt;
    task.done += rate * dt;
  }
  worked_ += overhead + rate * dt * static_cast<double>(work_.size());
  now_ = until;
}

// All that has ended by now, and what follows from it.
void ExecuteNode::Settle(NodeActions& out) {
  if (next_report_ <= now_) TakeReport();
  if (hangs_) return;
  std::vector<Task> ended;
  const auto stays = [&](const Task& task) {
    return task.left > kWorkDone && (!figures_.drops_overdue || task.until > now_);
  };
  const auto rest = std::stable_partition(work_.begin(), work_.end(), stays);
  ended.assign(rest, work_.end());
  work_.erase(rest, work_.end());
  for (const Task& task : ended) {
    if (task.left <= kWorkDone) {
      Finish(task, out);
    } else if (task.offered.claim > 0) {
      // Nothing is written: the sidecar waits no longer. Its connection is of no further use.
      out.push_back(Ended(task, ClaimEnd::kOverdue));
    }
  }
  FillSlots(out);
  WatchCrowd();
  while (!idle_.empty() && connections_.at(idle_.front()).idle_since + idle_keep_ <= now_) EndIdle(out);
}

void ExecuteNode::EndIdle(NodeActions& out) {
  const ConnectionId connection = idle_.front();
  Link& link = connections_.at(connection);
  switch (figures_.idle_end) {
    case IdleEnd::kClose:
    case IdleEnd::kReset:
      out.push_back(
          Plain(figures_.idle_end == IdleEnd::kClose ? NodeAction::What::kClose : NodeAction::What::kReset,
                connection));
      break;
    case IdleEnd::kForget:
      out.push_back(Plain(NodeAction::What::kForgot, connection));
      break;
  }
  idle_.erase(link.at);
  connections_.erase(connection);
}

NodeAction ExecuteNode::Ended(const Task& task, ClaimEnd end) const {
  NodeAction action;
  action.what = NodeAction::What::kEnded;
  action.connection = task.offered.connection;
  action.claim = task.offered.claim;
  action.end = end;
  action.worked_ms = task.done;
  return action;
}

void ExecuteNode::Finish(const Task& task, NodeActions& out) {
  const ClaimId claim = task.offered.claim;
  if (task.probe) return AnswerProbe(task.offered.connection, true, out);
  if (task.fate == Task::Fate::kBreakInside) return Break(task, out);
  out.push_back(Plain(NodeAction::What::kEffect, task.offered.connection, claim));
  if (task.offered.connection == 0)
    return;  // its sidecar has closed meanwhile, and has been counted as cancelled
  if (task.fate == Task::Fate::kBreakAfter) return Break(task, out);
  if (mute_) return out.push_back(Ended(task, ClaimEnd::kSilent));
  if (task.fate == Task::Fate::kError) return Answer(task, ClaimEnd::kError, Spoil::kNone, out);
  Spoil spoil = Spoil::kNone;
  if (spoilt_ > 0) {
    Stream draw = spoil_draws_.At(claim);
    if (draw.Chance(spoilt_)) spoil = static_cast<Spoil>(1 + draw.Below(kSpoils));
  }
  Answer(task, IsUsable(spoil) ? ClaimEnd::kServed : ClaimEnd::kSpoilt, spoil, out);
}

void ExecuteNode::Answer(const Task& task, ClaimEnd end, Spoil spoil, NodeActions& out) {
  NodeAction answer = Ended(task, end);
  answer.what = NodeAction::What::kAnswer;
  answer.spoil = spoil;
  answer.has_report = figures_.reports && spoil != Spoil::kBadReport && IsUsable(spoil);
  // What came behind the answer makes the connection useless, and an unusable one leaves it standing: either
  // way it is the sidecar that closes it.
  const bool clean = spoil == Spoil::kNone || spoil == Spoil::kBadReport || spoil == Spoil::kInterim;
  if (clean) Release(task.offered.connection);
  answer.report = Current();
  out.push_back(answer);
}

void ExecuteNode::AnswerProbe(ConnectionId connection, bool good, NodeActions& out) {
  Release(connection);
  NodeAction answer;
  answer.what = NodeAction::What::kProbeAnswer;
  answer.connection = connection;
  answer.end = good ? ClaimEnd::kServed : ClaimEnd::kDeclined;
  answer.has_report = good && figures_.reports;
  answer.report = Current();
  out.push_back(answer);
}

void ExecuteNode::Break(const Task& task, NodeActions& out) {
  out.push_back(Ended(task, ClaimEnd::kReset));
  const auto found = connections_.find(task.offered.connection);
  if (found == connections_.end()) return;
  busy_.erase(found->second.at);
  connections_.erase(found);
  out.push_back(Plain(NodeAction::What::kReset, task.offered.connection));
}

void ExecuteNode::Occupy(ConnectionId connection) {
  Link& link = connections_.at(connection);
  if (!link.busy) busy_.splice(busy_.end(), idle_, link.at);
  link.busy = true;
}

void ExecuteNode::Release(ConnectionId connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  Link& link = found->second;
  if (link.busy) idle_.splice(idle_.end(), busy_, link.at);
  link.busy = false;
  link.idle_since = now_;
}

bool ExecuteNode::Connect(double now, ConnectionId connection, NodeActions& out) {
  Advance(now, out);
  if (reach_ != Reach::kListens || open() >= figures_.connections) return false;
  overhead_ += figures_.handshake_work_ms;
  connections_[connection] = {false, now_, idle_.insert(idle_.end(), connection)};
  return true;
}

void ExecuteNode::Disconnect(double now, ConnectionId connection, NodeActions& out) {
  Advance(now, out);
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  (found->second.busy ? busy_ : idle_).erase(found->second.at);
  connections_.erase(found);
  const auto on_it = [&](const Task& task) { return task.offered.connection == connection; };
  const auto waits = std::find_if(waiting_.begin(), waiting_.end(), on_it);
  const auto works = std::find_if(work_.begin(), work_.end(), on_it);
  const auto froze = std::find_if(frozen_.begin(), frozen_.end(), on_it);
  const auto cancel = [&](auto& tasks, auto at, bool stops) {
    if (at == tasks.end()) return;
    if (!at->probe) out.push_back(Ended(*at, ClaimEnd::kCancelled));
    if (stops) {
      tasks.erase(at);
    } else {
      at->offered.connection = 0;
    }
  };
  cancel(waiting_, waits, figures_.stops_on_close != StopsOnClose::kNothing);
  cancel(work_, works, figures_.stops_on_close == StopsOnClose::kAll);
  cancel(frozen_, froze, figures_.stops_on_close != StopsOnClose::kNothing);
  FillSlots(out);
  WatchCrowd();
}

void ExecuteNode::Offer(double now, const Offered& offered, NodeActions& out) {
  Advance(now, out);
  Task task;
  task.offered = offered;
  task.left = std::max(offered.work_ms, 2 * kWorkDone);
  task.until = offered.wait_ms > 0 ? now + offered.wait_ms : kNever;
  if (reach_ == Reach::kSilent) return out.push_back(Ended(task, ClaimEnd::kSilent));
  const auto link = connections_.find(offered.connection);
  if (link == connections_.end()) {
    out.push_back(Ended(task, ClaimEnd::kReset));
    return out.push_back(Plain(NodeAction::What::kReset, offered.connection));
  }
  Occupy(offered.connection);
  if (Overdriven(offered.work_ms)) {
    out.push_back(Plain(NodeAction::What::kFell));
    frozen_.push_back(task);  // ends with the others
    return Down(Reach::kRefuses, out);
  }
  if (hangs_) return frozen_.push_back(task);
  Accept(task, out);
}

void ExecuteNode::Probe(double now, ConnectionId connection, NodeActions& out) {
  Advance(now, out);
  if (reach_ == Reach::kSilent) return;
  if (connections_.count(connection) == 0) return out.push_back(Plain(NodeAction::What::kReset, connection));
  Occupy(connection);
  Task task;
  task.offered.connection = connection;
  task.probe = true;
  task.left = std::max(figures_.probe_work_ms, 2 * kWorkDone);
  if (hangs_) return frozen_.push_back(task);
  Accept(task, out);
}

void ExecuteNode::Accept(const Task& task, NodeActions& out) {
  if (task.probe) {
    const double most = std::max(1.0, figures_.probes_per_s * kProbeBurst / 1000);
    probe_tokens_ = std::min(most, probe_tokens_ + figures_.probes_per_s * (now_ - probe_tokens_at_) / 1000);
    probe_tokens_at_ = now_;
    if (probe_tokens_ < 1) return AnswerProbe(task.offered.connection, false, out);
    probe_tokens_ -= 1;
    if (!figures_.deep_probes) {
      overhead_ += task.left;
      return AnswerProbe(task.offered.connection, true, out);
    }
  } else {
    if (fails_ > 0 && fails_draws_.At(task.offered.claim).Chance(fails_)) {
      return Answer(task, ClaimEnd::kError, Spoil::kNone, out);
    }
    if (draining_ || task.until <= now_) return Answer(task, ClaimEnd::kDeclined, Spoil::kNone, out);
  }
  if (waiting_.size() >= static_cast<std::size_t>(figures_.room) &&
      work_.size() >= static_cast<std::size_t>(figures_.slots)) {
    return task.probe ? AnswerProbe(task.offered.connection, false, out)
                      : Answer(task, ClaimEnd::kDeclined, Spoil::kNone, out);
  }
  waiting_.push_back(task);
  if (!task.probe) DrawFate(waiting_.back());
  FillSlots(out);
  WatchCrowd();
}

void ExecuteNode::DrawFate(Task& task) {
  if (figures_.error_rate > 0 && error_draws_.At(task.offered.claim).Chance(figures_.error_rate)) {
    task.fate = Task::Fate::kError;
  }
  if (resets_ <= 0) return;
  Stream draw = reset_draws_.At(task.offered.claim);
  if (!draw.Chance(resets_)) return;
  // Half of them while the work is on, the others when it is done but not answered yet.
  const double where = 2 * draw.Unit();
  task.fate = where < 1 ? Task::Fate::kBreakInside : Task::Fate::kBreakAfter;
  if (where < 1) task.left = std::max(task.left * where, 2 * kWorkDone);
}

void ExecuteNode::FillSlots(NodeActions& out) {
  while (!waiting_.empty() && !hangs_ && work_.size() < static_cast<std::size_t>(figures_.slots)) {
    const Task task = waiting_.front();
    waiting_.pop_front();
    if (figures_.drops_overdue && task.until <= now_) {
      if (task.offered.connection > 0) Answer(task, ClaimEnd::kDeclined, Spoil::kNone, out);
    } else {
      work_.push_back(task);
    }
  }
}

void ExecuteNode::WatchCrowd() {
  if (!figures_.tips) return;
  const bool crowd = static_cast<double>(waiting_.size()) >= figures_.crowd_at * figures_.cores;
  if (crowded()) {
    const double may_use = figures_.rest_below * figures_.rest_ms * figures_.cores;
    if (now_ >= crowded_until_ || (now_ >= rest_since_ + figures_.rest_ms && rest_busy_ <= may_use)) {
      crowded_until_ = kNever;
      crowd_since_ = crowd ? now_ : kNever;
    } else if (rest_busy_ > may_use) {
      rest_since_ = now_;
      rest_busy_ = 0;
    }
    return;
  }
  if (!crowd) {
    crowd_since_ = kNever;
  } else if (crowd_since_ == kNever) {
    crowd_since_ = now_;
  } else if (now_ >= crowd_since_ + figures_.crowd_ms) {
    crowded_until_ = now_ + figures_.crowd_most_ms;
    rest_since_ = now_;
    rest_busy_ = 0;
  }
}

void ExecuteNode::TakeReport() {
  Stream draw = report_draws_.At(number_, reports_taken_++);
  const auto blurred = [&](int figure) {
    const double noisy = figure * (1 + figures_.report_noise * draw.Normal());
    return static_cast<int>(std::lround(std::max(0.0, noisy)));
  };
  Snapshot taken{now_ + figures_.report_delay_ms, {}};
  taken.report.inflight = blurred(held());
  taken.report.queue = blurred(waiting());
  snapshots_.push_back(taken);
  next_report_ += figures_.report_period_ms;
}

Report ExecuteNode::Current() {
  while (!snapshots_.empty() && snapshots_.front().given_out <= now_) {
    given_out_ = snapshots_.front().report;
    snapshots_.pop_front();
  }
  return given_out_;
}

// Work that reaches it while it is cold counts, whatever becomes of it.
bool ExecuteNode::Overdriven(double work) {
  if (started_ < 0 || Warmth() >= 1) {
    received_.clear();
    return false;
  }
  received_.emplace_back(now_, work);
  while (received_.front().first <= now_ - figures_.fall_ms) received_.pop_front();
  double sum = 0;
  for (const auto& [at, amount] : received_) sum += amount;
  const double present = FullCapacity() * Warmth();
  return sum > figures_.fall_multiple * present * figures_.fall_ms * (1 + figures_.fall_slack);
}

void ExecuteNode::Down(Reach reach, NodeActions& out) {
  reach_ = reach;
  const ClaimEnd end = reach == Reach::kSilent ? ClaimEnd::kSilent : ClaimEnd::kReset;
  const auto drop = [&](auto& tasks) {
    for (const Task& task : tasks) {
      if (task.offered.connection > 0 && !task.probe) out.push_back(Ended(task, end));
    }
    tasks.clear();
  };
  drop(work_);
  drop(waiting_);
  drop(frozen_);
  if (reach == Reach::kRefuses) {
    std::vector<ConnectionId> open;
    for (const auto& [connection, link] : connections_) open.push_back(connection);
    std::sort(open.begin(), open.end());
    for (const ConnectionId connection : open) out.push_back(Plain(NodeAction::What::kReset, connection));
  }
  connections_.clear();
  idle_.clear();
  busy_.clear();
  received_.clear();
  snapshots_.clear();
}

void ExecuteNode::Apply(double now, Step::What what, double amount, NodeActions& out) {
  Advance(now, out);
  if (reach_ != Reach::kListens) return;
  switch (what) {
    case Step::What::kDrain:
      draining_ = true;
      return;
    case Step::What::kStop:
    case Step::What::kKill:
      return Down(Reach::kRefuses, out);
    case Step::What::kVanish:
      return Down(Reach::kSilent, out);
    case Step::What::kSlow:
      slow_ = amount;
      return;
    case Step::What::kHang: {
      hangs_ = amount != 0;
      if (hangs_) return;
      const auto frozen = std::exchange(frozen_, {});
      for (const Task& task : frozen) Accept(task, out);
      return Settle(out);
    }
    case Step::What::kMute:
      mute_ = amount != 0;
      return;
    case Step::What::kFail:
      fails_ = amount;
      return;
    case Step::What::kReset:
      resets_ = amount;
      return;
    case Step::What::kSpoil:
      spoilt_ = amount;
      return;
    case Step::What::kIdleKeep:
      idle_keep_ = amount > 0 ? amount : figures_.idle_ms;
      return Settle(out);
    default:
      return;
  }
}

}  // namespace bitternmux::lab::model
