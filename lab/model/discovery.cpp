#include "lab/model/discovery.h"

#include <algorithm>
#include <cmath>

namespace bitternmux::lab::model {
namespace {

// The revisions of a place begin somewhere below this: those of two places tell nothing of each other.
constexpr std::uint64_t kFirstRevisions = 5000;

}  // namespace

Discovery::Discovery(const Figures& figures, const Seeds& seeds)
    : figures_(figures),
      notices_(seeds.For("discovery.notice")),
      spreads_(seeds.For("discovery.spread")),
      places_(seeds.For("discovery.place")),
      first_publish_(seeds.Of("discovery.phase").Unit() * figures.discovery.period_ms) {
  revision_ = first_revision_ = 1 + static_cast<std::int64_t>(places_.At(0).Below(kFirstRevisions));
  std::map<std::string, int> row_by_id;
  for (std::size_t i = 0; i < figures.machines.size(); ++i) {
    const MachineFigures& machine = figures.machines[i];
    const auto [found, added] = row_by_id.emplace(machine.id, static_cast<int>(rows_.size()));
    if (added) rows_.emplace_back();
    row_of_.push_back(found->second);
    if (!machine.from_start) continue;
    Row& row = rows_[static_cast<std::size_t>(found->second)];
    row.entry.machine = static_cast<int>(i);
    row.known = true;
    row.changed = revision_;
  }
}

double Discovery::NextPublish() const {
  if (notes_.empty() || !up_) return kNever;
  const double period = figures_.discovery.period_ms;
  const double periods = std::ceil((notes_.front().known - first_publish_) / period);
  return first_publish_ + std::max(0.0, periods) * period;
}

double Discovery::NextMs() const {
  double next = std::min(served_at_, NextPublish());
  if (!waiting_.empty()) {
    next = std::min(next, calls_.at(waiting_.front()).came + figures_.discovery.timeout_ms);
  }
  if (!tellings_.empty()) next = std::min(next, tellings_.begin()->first);
  if (!lines_.empty()) next = std::min(next, lines_.begin()->first);
  if (!closing_.empty()) next = std::min(next, closing_.begin()->first);
  return next;
}

void Discovery::Advance(double now, DiscoveryActions& out) {
  if (NextPublish() <= now) Publish(now, out);
  while (!waiting_.empty()) {
    const auto first = calls_.find(waiting_.front());
    if (first->second.came + figures_.discovery.timeout_ms > now) break;
    out.push_back({DiscoveryAction::What::kFail, first->first, {}, {}, 0});
    Forget(first);
    waiting_.pop_front();
  }
  if (served_at_ <= now) {
    const CallId call = serving_;
    serving_ = 0;
    served_at_ = kNever;
    if (calls_.count(call) > 0) Tell(now, call, out);
  }
  if (serving_ == 0) ServeNext(now);
  while (!tellings_.empty() && tellings_.begin()->first <= now) {
    const CallId call = tellings_.begin()->second;
    tellings_.erase(tellings_.begin());
    const auto found = calls_.find(call);
    if (found != calls_.end() && found->second.since < revision_) Tell(now, call, out);
  }
  while (!lines_.empty() && lines_.begin()->first <= now) {
    const CallId call = lines_.begin()->second;
    out.push_back({DiscoveryAction::What::kLine, call, {}, {}, 0});
    LineDue(call, calls_[call], now + figures_.discovery.line_ms);
  }
  while (!closing_.empty() && closing_.begin()->first <= now) {
    out.push_back({DiscoveryAction::What::kEnd, closing_.begin()->second, {}, {}, 0});
    closing_.erase(closing_.begin());
  }
}

void Discovery::Changed(double now, int machine, Phase phase, double started_ms, bool announced) {
  const DiscoveryFigures& figures = figures_.discovery;
  Stream draw = notices_.At(notes_drawn_++);
  const double mean = phase == Phase::kServing ? figures.add_ms
                      : announced              ? figures.notice_ms
                                               : figures.silent_notice_ms;
  const Note note{now + mean * draw.Between(0.8, 1.2), {machine, phase, started_ms}};
  const auto later = std::upper_bound(notes_.begin(), notes_.end(), note,
                                      [](const Note& a, const Note& b) { return a.known < b.known; });
  notes_.insert(later, note);
}

void Discovery::Publish(double now, DiscoveryActions& out) {
  bool changed = false;
  while (!notes_.empty() && notes_.front().known <= now) {
    const ListEntry entry = notes_.front().entry;
    notes_.erase(notes_.begin());
    Row& row = rows_[static_cast<std::size_t>(RowOf(entry.machine))];
    // The end of a process that another has followed is no news; nor is one that drains after it has gone.
    const bool same = row.known && row.entry.machine == entry.machine;
    if (row.known && row.entry.machine > entry.machine) continue;
    if (same && row.entry.phase >= entry.phase) continue;
    if (!row.known && entry.phase == Phase::kGone) continue;
    row.entry = entry;
    row.known = true;
    row.changed = ++revision_;
    changed = true;
    out.push_back({DiscoveryAction::What::kListed, 0, {}, entry, revision_});
  }
  if (!changed) return;
  for (const auto& [id, call] : calls_) {
    if (!call.watch || !call.answered) continue;
    tellings_.emplace(now + spreads_.At(spreads_drawn_++).Unit() * figures_.discovery.spread_ms, id);
  }
}

void Discovery::Ask(double now, CallId call, bool watch, std::int64_t since) {
  calls_[call] = {watch, false, since, now, kNever};
  waiting_.push_back(call);
  if (serving_ == 0) ServeNext(now);
}

void Discovery::Leave(double now, CallId call) {
  const auto found = calls_.find(call);
  if (found != calls_.end()) Forget(found);
  std::erase_if(closing_, [&](const auto& closing) { return closing.second == call; });
  std::erase(waiting_, call);
  if (serving_ != call) return;
  serving_ = 0;
  served_at_ = kNever;
  ServeNext(now);
}

void Discovery::ServeNext(double now) {
  if (waiting_.empty()) return;
  const Call& call = calls_.at(waiting_.front());
  if (call.came + figures_.discovery.timeout_ms <= now) return;  // Advance fails it
  serving_ = waiting_.front();
  waiting_.pop_front();
  const std::size_t lines = call.watch ? Since(call.since).entries.size() : Whole().entries.size();
  served_at_ = now + 1000 * (figures_.discovery.call_lines + static_cast<double>(lines)) /
                         figures_.discovery.lines_per_s;
}

void Discovery::Tell(double now, CallId id, DiscoveryActions& out) {
  Call& call = calls_[id];
  out.push_back({DiscoveryAction::What::kTell, id, call.watch ? Since(call.since) : Whole(), {}, 0});
  call.answered = true;
  call.since = revision_;
  if (call.watch) {
    LineDue(id, call, now + figures_.discovery.line_ms);
  } else {
    Forget(calls_.find(id));
  }
}

void Discovery::LineDue(CallId id, Call& call, double at) {
  lines_.erase({call.line_due, id});
  call.line_due = at;
  lines_.emplace(at, id);
}

void Discovery::Forget(std::map<CallId, Call>::iterator call) {
  lines_.erase({call->second.line_due, call->first});
  calls_.erase(call);
}

Listing Discovery::Whole() const {
  Listing listing{revision_, true, {}};
  for (const Row& row : rows_) {
    if (row.known && row.entry.phase != Phase::kGone) listing.entries.push_back(row.entry);
  }
  return listing;
}

Listing Discovery::Since(std::int64_t since) const {
  if (since < first_revision_ || since > revision_ || revision_ - since > figures_.discovery.history) {
    return Whole();
  }
  Listing listing{revision_, false, {}};
  for (const Row& row : rows_) {
    if (row.known && row.changed > since) listing.entries.push_back(row.entry);
  }
  return listing;
}

void Discovery::Apply(double now, Step::What what, DiscoveryActions& out) {
  switch (what) {
    case Step::What::kDiscoveryDown:
      up_ = false;
      for (const auto& [id, call] : calls_) out.push_back({DiscoveryAction::What::kEnd, id, {}, {}, 0});
      break;
    case Step::What::kDiscoveryUp:
      up_ = true;
      return;
    case Step::What::kDiscoveryMove:
      ++place_;
      revision_ = first_revision_ =
          1 +
          static_cast<std::int64_t>(places_.At(static_cast<std::uint64_t>(place_)).Below(kFirstRevisions));
      for (Row& row : rows_) row.changed = revision_;
      for (const auto& [id, call] : calls_) closing_.emplace(now + figures_.discovery.old_open_ms, id);
      break;
    default:
      return;
  }
  calls_.clear();
  waiting_.clear();
  tellings_.clear();
  lines_.clear();
  serving_ = 0;
  served_at_ = kNever;
}

}  // namespace bitternmux::lab::model
