#include "limits/sessions.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace bitternmux::limits {
namespace {

// For the first byte, which usually comes right behind the connection: when silent ones crowd, and when
// nothing else is left to close.
constexpr double kNewMs = 250;
constexpr double kPressedMs = 50;
constexpr double kFreshMs = 100;  // one that idles no longer may well be asked on again at once
// One that asked once counts as idle for so many times as long as one that came back.
constexpr double kOnceAges = 4;
// A part of the places stays free, for those who come before a close has reached its submitter.
constexpr std::size_t kSpareParts = 4;
constexpr std::size_t kFewest = 16;   // that submitters are believed to be able to hold
constexpr int kArrivals = 16;         // at the same top, before it counts as what they can hold
constexpr int kMisses = 64;           // below it, before it is forgotten
constexpr std::size_t kTopBand = 32;  // parts of the top: so close below counts as at it
constexpr double kRaiseMs = 10'000;   // a lowered belief is raised by an eighth in such a time
constexpr std::size_t kRaiseParts = 8;
constexpr double kGapWeight = 1.0 / 16;
constexpr double kLullGaps = 20;  // so many usual times between two jobs without any is a lull
constexpr double kLullMs = 500;   // and so long at least

}  // namespace

Sessions::Sessions(const Bounds& bounds) : bounds_(bounds), can_hold_(bounds.clients_hold) {}

Sessions::Id Sessions::Opened(double now_ms) {
  Id id = static_cast<Id>(rows_.size());
  if (free_.empty()) {
    rows_.emplace_back();
  } else {
    id = free_.back();
    free_.pop_back();
  }
  ++open_;
  Move(now_ms, id, kSilent);
  return id;
}

void Sessions::Began(double now_ms, Id id) {
  const Place place = rows_[id].place;
  if (place == kBusy || place == kLeaving) return;
  Move(now_ms, id, place == kSilent || place == kHalf ? kHalf : kBusy);
}

void Sessions::Taken(double now_ms, Id id, Ask asked) {
  Row& row = rows_[id];
  if (row.asks < 2) ++row.asks;
  Move(now_ms, id, kBusy);
  if (asked != Ask::kJob) return;
  if (taken_ms_ > 0) {
    // A lull counts for four usual times, so that it does not make the next one hard to see.
    const double gap = now_ms - taken_ms_;
    gap_ms_ = gap_ms_ > 0 ? gap_ms_ + kGapWeight * (std::min(gap, 4 * gap_ms_) - gap_ms_) : gap;
  }
  taken_ms_ = now_ms;
  if (row.job) return;
  row.job = true;
  ++held_;
  Arrived(now_ms);
}

void Sessions::Rests(double now_ms, Id id) {
  const Row& row = rows_[id];
  if (row.job) {
    Move(now_ms, id, row.asks < 2 ? kAskedOnce : kAskedMore);
  } else {
    Move(now_ms, id, row.asks < 2 ? kProbedOnce : kProbedMore);
  }
}

void Sessions::Leaves(double now_ms, Id id) {
  if (rows_[id].place == kLeaving) return;
  if (rows_[id].job) --held_;
  Move(now_ms, id, kLeaving);
}

void Sessions::Closed(double, Id id) {
  if (rows_[id].job && rows_[id].place != kLeaving) --held_;
  Unlink(id);
  rows_[id] = Row();
  free_.push_back(id);
  --open_;
}

bool Sessions::MayStay(double now_ms, Id id) const {
  if (!rows_[id].job || held_ <= kept()) return true;
  // Rather one that idles than this one, whose submitter is here; but none that has idled for a moment only.
  return Idlest(now_ms, kAskedOnce, kFreshMs).has_value();
}

std::optional<Sessions::Id> Sessions::Retire(double now_ms) {
  if (Waited(now_ms, kSilent) >= PatienceMs()) {
    ++silent_gone_;
    return lists_[kSilent].front;
  }
  Doubt(now_ms);
  if (held_ <= kept()) return std::nullopt;
  const auto idlest = Idlest(now_ms, kAskedOnce, kFreshMs);
  if (idlest) ++idle_gone_;
  return idlest;
}

std::optional<Sessions::Id> Sessions::MakeRoom(double now_ms) {
  const auto least = Least(now_ms);
  if (!least) return least;
  ++crowded_gone_;
  if (rows_[*least].job) Forget();  // what is held is then no height of the submitters' making
  return least;
}

std::size_t Sessions::kept() const { return can_hold_ - can_hold_ / kSpareParts; }

double Sessions::PatienceMs() const {
  // All of it while they take an eighth of the places, and the least of it from a quarter on.
  const double quarters =
      4.0 * static_cast<double>(lists_[kSilent].count) / static_cast<double>(bounds_.most);
  return kNewMs + std::max(0.0, bounds_.silent_ms - kNewMs) * std::clamp(2 - 2 * quarters, 0.0, 1.0);
}

std::string Sessions::Describe() const {
  const auto count = [this](Place place) { return lists_[place].count; };
  std::ostringstream out;
  out << open_ << " of " << bounds_.most << " sessions: " << count(kBusy) << " busy, "
      << count(kAskedOnce) + count(kAskedMore) << " idle after jobs (" << count(kAskedOnce)
      << " asked once), " << count(kProbedOnce) + count(kProbedMore) << " idle after probes, "
      << count(kSilent) << " silent, " << count(kHalf) << " half a request, " << count(kLeaving)
      << " leaving; held for jobs " << held_ << ", kept " << kept() << " of " << can_hold_
      << " believed possible; silent ones have " << PatienceMs() << " ms; closed so far: " << silent_gone_
      << " silent, " << idle_gone_ << " idle, " << crowded_gone_ << " for room";
  return out.str();
}

void Sessions::Move(double now_ms, Id id, Place to) {
  Unlink(id);
  Row& row = rows_[id];
  List& list = lists_[to];
  row.place = to;
  row.since_ms = now_ms;
  row.before = list.back;
  row.after = kNone;
  (list.back == kNone ? list.front : rows_[list.back].after) = id;
  list.back = id;
  ++list.count;
}

void Sessions::Unlink(Id id) {
  const Row& row = rows_[id];
  if (row.place == kPlaces) return;
  List& list = lists_[row.place];
  (row.before == kNone ? list.front : rows_[row.before].after) = row.after;
  (row.after == kNone ? list.back : rows_[row.after].before) = row.before;
  --list.count;
}

// How long the first one there has waited; less than 0: there is none.
double Sessions::Waited(double now_ms, Place place) const {
  return lists_[place].count == 0 ? -1 : now_ms - rows_[lists_[place].front].since_ms;
}

// Of the idle places from `from` on, the session that has idled longest, by kOnceAges; `least_ms` at least.
std::optional<Sessions::Id> Sessions::Idlest(double now_ms, Place from, double least_ms) const {
  std::optional<Id> out;
  double longest = -1;
  for (int at = from; at <= kAskedMore; ++at) {
    const auto place = static_cast<Place>(at);
    const double waited = Waited(now_ms, place);
    const double aged = waited * (place == kProbedOnce || place == kAskedOnce ? kOnceAges : 1);
    if (waited < 0 || waited < least_ms || aged <= longest) continue;
    longest = aged;
    out = lists_[place].front;
  }
  return out;
}

// What is of least use: what is leaving, what has had the time to send a good request and never did, what
// idles, and only then what has just come.
std::optional<Sessions::Id> Sessions::Least(double now_ms) const {
  if (lists_[kLeaving].count > 0) return lists_[kLeaving].front;
  for (const Place place : {kSilent, kHalf}) {
    if (Waited(now_ms, place) >= kNewMs) return lists_[place].front;
  }
  if (const auto idlest = Idlest(now_ms, kProbedOnce, 0)) return idlest;
  if (Waited(now_ms, kSilent) >= kPressedMs) return lists_[kSilent].front;
  return std::nullopt;
}

// A session carries its first job. Where one comes only when another goes, again and again at the same height
// and while most of them idle, submitters can hold no more.
void Sessions::Arrived(double now_ms) {
  tried_ = 0;
  quiet_ = false;
  const std::size_t idle = lists_[kAskedOnce].count + lists_[kAskedMore].count;
  if (held_ > can_hold_) {
    Believe(now_ms, held_);
  } else if (held_ > kept()) {
    Forget();  // this height is of the sidecar's own making
  } else if (held_ > top_) {
    Forget();
    top_ = held_;
  } else if (held_ + top_ / kTopBand >= top_ && 2 * idle >= held_) {
    below_top_ = 0;
    if (++at_top_ >= kArrivals) Believe(now_ms, top_);
  } else {
    at_top_ = std::max(0, at_top_ - 1);
    if (++below_top_ >= kMisses) Forget();
  }
}

void Sessions::Believe(double now_ms, std::size_t can_hold) {
  can_hold_ = std::clamp(can_hold, std::min(kFewest, bounds_.clients_hold), bounds_.clients_hold);
  believed_ms_ = now_ms;
  Forget();
}

void Sessions::Forget() {
  top_ = 0;
  at_top_ = below_top_ = 0;
}

// Time alone tells two things. A lowered belief must not hold itself in place, as what is closed early cannot
// show how many there may be. And where no job comes while most of what is held has asked just once, either
// nobody asks or nobody can: believing that no more can be held makes some places, and shows which it was.
void Sessions::Doubt(double now_ms) {
  const double since_ms = now_ms - believed_ms_;
  if (tried_ > 0) {
    if (since_ms < kLullMs) return;
    Believe(now_ms, std::exchange(tried_, 0));
    quiet_ = true;
  } else if (can_hold_ < bounds_.clients_hold && since_ms >= kRaiseMs) {
    Believe(now_ms, can_hold_ + std::max<std::size_t>(1, can_hold_ / kRaiseParts));
  }
  const bool lull = now_ms - taken_ms_ >= std::max(kLullMs, kLullGaps * gap_ms_);
  if (quiet_ || !lull || held_ < kFewest || held_ > kept() || 2 * lists_[kAskedOnce].count < held_) return;
  tried_ = can_hold_;
  Believe(now_ms, held_);
}

}  // namespace bitternmux::limits
