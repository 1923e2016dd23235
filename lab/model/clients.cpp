#include "lab/model/clients.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace bitternmux::lab::model {
namespace {

constexpr int kSidecarShift = 40;  // a wish's name: its sidecar's number and, below that, its own

// How far a burst has come at a time: 0 before and after it, 1 in its middle.
double Height(const Burst& burst, double at) {
  if (at < burst.from_ms || at >= burst.until_ms) return 0;
  const double rise = burst.rise_ms > 0 ? (at - burst.from_ms) / burst.rise_ms : 1;
  const double fall = burst.fall_ms > 0 ? (burst.until_ms - at) / burst.fall_ms : 1;
  return std::min({1.0, rise, fall});
}

}  // namespace

Clients::Clients(const Figures& figures, const Seeds& seeds)
    : figures_(figures),
      class_draws_(seeds.For("wish.class")),
      work_draws_(seeds.For("wish.work")),
      hint_draws_(seeds.For("wish.hint")),
      honour_draws_(seeds.For("wish.honour")),
      attempt_draws_(seeds.For("attempt.work")),
      leave_draws_(seeds.For("try.leave")),
      backoff_draws_(seeds.For("try.backoff")),
      wishes_(figures.sidecars.size()) {
  rate_most_ = 1 + std::abs(figures.clients.swing);
  for (const Burst& burst : figures.clients.bursts) rate_most_ *= std::max(1.0, burst.factor);
  for (std::size_t i = 0; i < figures.sidecars.size(); ++i) {
    arrival_streams_.push_back(seeds.Of("arrival", i));
    const int sidecar = static_cast<int>(i);
    const double at = NextArrival(sidecar, figures.first_ms);
    if (at < End()) arrivals_.push({at, sidecar});
  }
}

double Clients::Rate(double at) const {
  const ClientFigures& clients = figures_.clients;
  const double turns = (at - figures_.first_ms) / clients.wave_ms + clients.wave_phase;
  double rate = clients.swing == 0 ? 1 : 1 + clients.swing * std::sin(2 * std::numbers::pi * turns);
  for (const Burst& burst : clients.bursts) rate *= 1 + (burst.factor - 1) * Height(burst, at);
  return rate;
}

// By thinning (Lewis and Shedler, 1979): arrivals at the highest rate, of which a share stays.
double Clients::NextArrival(int sidecar, double after) {
  const SidecarFigures& own = figures_.sidecars[static_cast<std::size_t>(sidecar)];
  const double most = figures_.clients.rate * own.share * rate_most_;
  if (most <= 0) return kNever;
  Stream& stream = arrival_streams_[static_cast<std::size_t>(sidecar)];
  for (double at = after; at < End();) {
    at += stream.Exponential(1000 / most);
    if (stream.Chance(Rate(at) / rate_most_)) return at;
  }
  return kNever;
}

Try Clients::Wish(int sidecar, double at) {
  Try wish;
  wish.wish = (static_cast<std::uint64_t>(sidecar) + 1) << kSidecarShift |
              wishes_[static_cast<std::size_t>(sidecar)]++;
  wish.sidecar = sidecar;
  wish.due_ms = wish.wish_ms = at;
  double shares = 0;
  for (const ClassFigures& klass : figures_.classes) shares += klass.share;
  double drawn = class_draws_.At(wish.wish).Unit() * shares;
  while (wish.klass + 1 < static_cast<int>(figures_.classes.size()) && drawn >= ClassOf(wish).share) {
    drawn -= ClassOf(wish).share;
    ++wish.klass;
  }
  wish.work_ms = ClassOf(wish).work_ms * work_draws_.At(wish.wish).LogNormal(ClassOf(wish).work_cv);
  if (figures_.clients.hints) {
    wish.hint_ms = wish.work_ms * hint_draws_.At(wish.wish).LogNormal(figures_.clients.hint_cv);
  }
  return wish;
}

double Clients::NextMs() const {
  const double arrival = arrivals_.empty() ? kNever : arrivals_.top().at;
  return timers_.empty() ? arrival : std::min(arrival, timers_.top().at);
}

void Clients::Advance(double now, ClientActions& out) {
  while (NextMs() <= now) {
    if (timers_.empty() || (!arrivals_.empty() && arrivals_.top().at <= timers_.top().at)) {
      const Arrival arrival = arrivals_.top();
      arrivals_.pop();
      Send(now, Wish(arrival.sidecar, arrival.at), out);
      const double next = NextArrival(arrival.sidecar, arrival.at);
      if (next < End()) arrivals_.push({next, arrival.sidecar});
    } else {
      const Timer timer = timers_.top();
      timers_.pop();
      Ring(now, timer, out);
    }
  }
}

void Clients::Ring(double now, const Timer& timer, ClientActions& out) {
  if (timer.what == Timer::What::kSend) {
    const auto found = retries_.find(timer.of);
    Try again = found->second;
    retries_.erase(found);
    again.due_ms = timer.at;
    return Send(now, again, out);
  }
  const auto found = open_.find(timer.of);
  if (found == open_.end()) return;
  const bool left = timer.what == Timer::What::kLeave;
  const Try attempt = found->second;
  open_.erase(found);
  out.push_back({left ? ClientAction::What::kLeave : ClientAction::What::kLost, attempt});
  Retry(now, attempt, left ? TryEnd::kLeft : TryEnd::kLost, 0);
}

void Clients::Send(double now, Try attempt, ClientActions& out) {
  const ClassFigures& klass = ClassOf(attempt);
  const double left = attempt.wish_ms + klass.deadline_ms - now;
  attempt.patience_ms = std::floor(std::min(klass.try_share * klass.deadline_ms, left));
  if (attempt.patience_ms < 1) return;
  attempt.id = ++last_;
  if (attempt.first == 0) attempt.first = attempt.id;
  open_[attempt.id] = attempt;
  Add(now + attempt.patience_ms + figures_.rules.answer_slack_ms, Timer::What::kLost, attempt.id);
  Stream leave = leave_draws_.At(attempt.wish, static_cast<std::uint64_t>(attempt.number));
  if (leave.Chance(figures_.clients.impatient)) {
    Add(now + attempt.patience_ms * leave.Unit(), Timer::What::kLeave, attempt.id);
  }
  out.push_back({ClientAction::What::kSend, attempt});
}

void Clients::Ended(double now, TryId id, TryEnd end, double retry_after_ms) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  const Try attempt = found->second;
  open_.erase(found);
  Retry(now, attempt, end, retry_after_ms);
}

void Clients::Retry(double now, const Try& attempt, TryEnd end, double retry_after_ms) {
  const ClientFigures& clients = figures_.clients;
  if (end == TryEnd::kServed || end == TryEnd::kLeft || attempt.number >= clients.retries) return;
  const bool harmless = end == TryEnd::kRefused || end == TryEnd::kNotTaken;
  if (ClassOf(attempt).repeat == Repeat::kForbidden && !harmless) return;
  Try again = attempt;
  ++again.number;
  Stream backoff = backoff_draws_.At(attempt.wish, static_cast<std::uint64_t>(again.number));
  double wait =
      std::ldexp(clients.backoff_ms, attempt.number) * (1 - clients.backoff_jitter * backoff.Unit());
  if (retry_after_ms > 0 && honour_draws_.At(attempt.wish).Chance(clients.honour)) {
    wait = std::max(wait, std::min(retry_after_ms, figures_.rules.max_retry_after_ms));
  }
  if (now + wait >= attempt.wish_ms + ClassOf(attempt).deadline_ms) return;
  const std::uint64_t order = Add(now + wait, Timer::What::kSend, 0);
  retries_[order] = again;
}

std::uint64_t Clients::Add(double at, Timer::What what, TryId of) {
  const std::uint64_t order = ++timers_added_;
  timers_.push({at, order, what, what == Timer::What::kSend ? order : of});
  return order;
}

double Clients::AttemptWork(const Try& attempt, int number) const {
  return attempt.work_ms * attempt_draws_.At(attempt.wish, static_cast<std::uint64_t>(number))
                               .LogNormal(ClassOf(attempt).attempt_cv);
}

const Try* Clients::Find(TryId id) const {
  const auto found = open_.find(id);
  return found == open_.end() ? nullptr : &found->second;
}

}  // namespace bitternmux::lab::model
