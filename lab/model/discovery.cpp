#include "lab/model/discovery.h"

#include <algorithm>
#include <cmath>
#include <numeric>

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
      hits_(seeds.For("discovery.hit")),
      forgets_(seeds.For("discovery.forget")),
      orders_(seeds.For("discovery.order")),
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
  const auto& troubles = figures.discovery.troubles;
  for (std::size_t i = 0; i < troubles.size(); ++i) {
    if (troubles[i].fault == DiscoveryFault::kForgets) marks_.push_back({troubles[i].from_ms, i, true});
    if (troubles[i].fault == DiscoveryFault::kForgets || troubles[i].fault == DiscoveryFault::kStale) {
      marks_.push_back({troubles[i].until_ms, i, false});
    }
    oldest_ms_ = std::max(oldest_ms_, troubles[i].age_ms);
  }
  std::stable_sort(marks_.begin(), marks_.end(), [](const Mark& a, const Mark& b) { return a.at < b.at; });
}

double Discovery::NextPublish() const {
  if (notes_.empty() || !up_) return kNever;
  const double period = figures_.discovery.period_ms;
  const double periods = std::ceil((notes_.front().known - first_publish_) / period);
  return first_publish_ + std::max(0.0, periods) * period;
}

double Discovery::NextMs() const {
  double next = std::min(served_at_, NextPublish());
  if (!refused_.empty()) next = std::min(next, calls_.at(refused_.front()).came);
  if (next_mark_ < marks_.size()) next = std::min(next, marks_[next_mark_].at);
  if (!waiting_.empty()) {
    next = std::min(next, calls_.at(waiting_.front()).came + figures_.discovery.timeout_ms);
  }
  if (!tellings_.empty()) next = std::min(next, tellings_.begin()->first);
  if (!lines_.empty()) next = std::min(next, lines_.begin()->first);
  if (!closing_.empty()) next = std::min(next, closing_.begin()->first);
  return next;
}

void Discovery::Advance(double now, DiscoveryActions& out) {
  while (next_mark_ < marks_.size() && marks_[next_mark_].at <= now) Carry(now, marks_[next_mark_++], out);
  for (const CallId call : std::exchange(refused_, {})) {
    out.push_back({DiscoveryAction::What::kFail, call, {}, {}, 0});
    Forget(calls_.find(call));
  }
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
    if (found == calls_.end()) continue;
    Rows old;
    const DiscoveryTrouble* stale = Trouble(now, DiscoveryFault::kStale, found->second.sidecar);
    const std::int64_t seen = Seen(stale == nullptr ? now : now - stale->age_ms, old).second;
    if (found->second.since < seen) Tell(now, call, out);
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
    if (row.forgotten && same) {
      row.entry = entry;  // it is told, if it still is to be, when all is remembered
      continue;
    }
    Change(now, static_cast<std::size_t>(RowOf(entry.machine)), entry, out);
    changed = true;
  }
  if (changed) TellWatches(now);
}

void Discovery::Change(double now, std::size_t at, const ListEntry& entry, DiscoveryActions& out) {
  Row& row = rows_[at];
  if (oldest_ms_ > 0) {
    while (!past_.empty() && past_.front().at < now - oldest_ms_) past_.pop_front();
    past_.push_back({now, at, row, revision_});
  }
  row = {entry, true, ++revision_, false};
  out.push_back({DiscoveryAction::What::kListed, 0, {}, entry, revision_});
}

void Discovery::TellWatches(double now) {
  for (const auto& [id, call] : calls_) {
    if (!call.watch || !call.answered) continue;
    const DiscoveryTrouble* stale = Trouble(now, DiscoveryFault::kStale, call.sidecar);
    const double at = now + (stale == nullptr ? 0 : stale->age_ms);
    tellings_.emplace(at + spreads_.At(spreads_drawn_++).Unit() * figures_.discovery.spread_ms, id);
  }
}

const DiscoveryTrouble* Discovery::Trouble(double now, DiscoveryFault fault, int sidecar) const {
  for (const DiscoveryTrouble& trouble : figures_.discovery.troubles) {
    if (trouble.fault != fault || now < trouble.from_ms || now >= trouble.until_ms) continue;
    const auto& named = trouble.sidecars;
    if (named.empty() || std::find(named.begin(), named.end(), sidecar) != named.end()) return &trouble;
  }
  return nullptr;
}

bool Discovery::Hit(double now, DiscoveryFault fault, int sidecar, CallId call) const {
  const DiscoveryTrouble* trouble = Trouble(now, fault, sidecar);
  return trouble != nullptr && hits_.At(call, static_cast<std::uint64_t>(fault)).Unit() < trouble->share;
}

std::pair<const Discovery::Rows*, std::int64_t> Discovery::Seen(double at, Rows& old) const {
  if (past_.empty() || past_.back().at <= at) return {&rows_, revision_};
  old = rows_;
  std::int64_t revision = revision_;
  for (auto past = past_.rbegin(); past != past_.rend() && past->at > at; ++past) {
    old[past->row] = past->before;
    revision = past->revision;
  }
  return {&old, revision};
}

void Discovery::Carry(double now, const Mark& mark, DiscoveryActions& out) {
  const DiscoveryTrouble& trouble = figures_.discovery.troubles[mark.trouble];
  if (mark.begins) {
    for (const auto& [id, call] : calls_) out.push_back({DiscoveryAction::What::kEnd, id, {}, {}, 0});
    DropCalls();
    revision_ = first_revision_ = trouble.revision;
    past_.clear();
    std::vector<std::size_t> order(rows_.size());
    std::iota(order.begin(), order.end(), 0);
    Stream stream = forgets_.At(mark.trouble);
    for (std::size_t i = order.size(); i > 1; --i) std::swap(order[i - 1], order[stream.Below(i)]);
    const auto kept = std::lround(trouble.share * static_cast<double>(order.size()));
    for (std::size_t i = 0; i < order.size(); ++i) {
      Row& row = rows_[order[i]];
      row.changed = revision_;
      row.forgotten = row.known && static_cast<long>(i) >= kept;
    }
    return;
  }
  if (trouble.fault == DiscoveryFault::kForgets) {
    for (std::size_t i = 0; i < rows_.size(); ++i) {
      if (rows_[i].forgotten) Change(now, i, ListEntry(rows_[i].entry), out);
    }
  }
  // All that is told otherwise from now on, after a stale view or because it is remembered.
  TellWatches(now);
}

void Discovery::Ask(double now, CallId call, bool watch, std::int64_t since, int sidecar) {
  calls_[call] = {watch, false, since, sidecar, now, kNever};
  if (Hit(now, DiscoveryFault::kIgnores, sidecar, call)) return;
  if (Hit(now, DiscoveryFault::kRefuses, sidecar, call)) return refused_.push_back(call);
  waiting_.push_back(call);
  if (serving_ == 0) ServeNext(now);
}

void Discovery::Leave(double now, CallId call) {
  const auto found = calls_.find(call);
  if (found != calls_.end()) Forget(found);
  std::erase_if(closing_, [&](const auto& closing) { return closing.second == call; });
  std::erase(waiting_, call);
  std::erase(refused_, call);
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
  const std::size_t lines =
      call.watch ? SinceOf(rows_, revision_, call.since).entries.size() : Whole().entries.size();
  served_at_ = now + 1000 * (figures_.discovery.call_lines + static_cast<double>(lines)) /
                         figures_.discovery.lines_per_s;
}

void Discovery::Tell(double now, CallId id, DiscoveryActions& out) {
  Call& call = calls_[id];
  const DiscoveryTrouble* stale = Trouble(now, DiscoveryFault::kStale, call.sidecar);
  const double view = stale == nullptr ? now : now - stale->age_ms;
  Rows old;
  const auto [rows, revision] = Seen(view, old);
  Listing listing = call.watch ? SinceOf(*rows, revision, call.since) : WholeOf(*rows, revision);
  listing.old = rows != &rows_;
  if (Trouble(now, DiscoveryFault::kReorders, call.sidecar) != nullptr) {
    Stream stream = orders_.At(orders_drawn_++);
    auto& entries = listing.entries;
    for (std::size_t i = entries.size(); i > 1; --i) std::swap(entries[i - 1], entries[stream.Below(i)]);
  }
  const bool twice = call.watch && Trouble(now, DiscoveryFault::kDoubles, call.sidecar) != nullptr;
  if (twice) out.push_back({DiscoveryAction::What::kTell, id, listing, {}, 0});
  out.push_back({DiscoveryAction::What::kTell, id, std::move(listing), {}, 0});
  call.answered = true;
  call.since = revision;
  // What an old view leaves out comes when it is as old.
  const auto next =
      std::find_if(past_.begin(), past_.end(), [&](const Past& past) { return past.at > view; });
  if (call.watch && next != past_.end()) tellings_.emplace(next->at + now - view, id);
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

Listing Discovery::WholeOf(const Rows& rows, std::int64_t revision) {
  Listing listing{revision, true, {}};
  for (const Row& row : rows) {
    if (row.known && !row.forgotten && row.entry.phase != Phase::kGone) listing.entries.push_back(row.entry);
  }
  return listing;
}

Listing Discovery::SinceOf(const Rows& rows, std::int64_t revision, std::int64_t since) const {
  if (since < first_revision_ || since > revision || revision - since > figures_.discovery.history) {
    return WholeOf(rows, revision);
  }
  Listing listing{revision, false, {}};
  for (const Row& row : rows) {
    if (row.known && !row.forgotten && row.changed > since) listing.entries.push_back(row.entry);
  }
  return listing;
}

bool Discovery::Serves(int machine) const {
  const Row& row = rows_[static_cast<std::size_t>(RowOf(machine))];
  return row.known && row.entry.machine == machine && row.entry.phase == Phase::kServing;
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
      past_.clear();
      for (const auto& [id, call] : calls_) closing_.emplace(now + figures_.discovery.old_open_ms, id);
      break;
    default:
      return;
  }
  DropCalls();
}

void Discovery::DropCalls() {
  calls_.clear();
  waiting_.clear();
  refused_.clear();
  tellings_.clear();
  lines_.clear();
  serving_ = 0;
  served_at_ = kNever;
}

}  // namespace bitternmux::lab::model
