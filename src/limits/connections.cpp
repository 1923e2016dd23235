#include "limits/connections.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>
#include <utility>

#include "limits/duplicate_answers.h"

namespace bitternmux::limits {
namespace {

using cartspring::Effect;

constexpr double kNodeMemory = 16, kKindMemory = 32, kFleetMemory = 64;  // draws
constexpr double kPromised = 0.002;   // chance of a drop until anything is known
constexpr double kIdleShare = 0.5;    // of the time after which the settings say that idle ones are closed
constexpr double kLimit = 0.5;        // share closed at an age from which on the node keeps a limit there
constexpr double kRepeatShare = 0.5;  // of its worth: what a repeat costs a claim that may run again
constexpr double kDialWorkMs = 4;     // a node's work and time for a new one: 2.2 to 6 (BRIEF 3.3)
constexpr double kBusyShare = 0.5;    // of the time; a node at its capacity then serves so much less
constexpr double kWorkMs = 130;       // a claim's work (BRIEF 4) until hints tell
constexpr double kMeanWeight = 1.0 / 256;
constexpr double kDialWeight = 1.0 / 8;
constexpr double kNeedWeight = 1.0 / 16;
constexpr double kAtOnceMs = 3;          // and the round trips: what breaks later had been taken up
constexpr std::uint64_t kOvertaken = 4;  // claims by later ones: then it was forgotten, and not just slow
constexpr double kTrips = 2;   // dials: one and some to spare for the other side's reset to come back
constexpr int kTryEvery = 16;  // claims that may be repeated
constexpr double kReach = 2;   // times the longest safe age: where the next one is looked for
constexpr double kLeastReachMs = 16;
constexpr double kRateMs = 10'000;
constexpr double kForever = std::numeric_limits<double>::infinity();

void Follow(double& mean, double value, double weight) {
  mean = mean > 0 ? mean + weight * (value - mean) : value;
}

std::string Text(double ms) { return ms < kForever ? std::to_string(std::lround(ms)) + " ms" : "any"; }

}  // namespace

Connections::Connections(const cartspring::Settings& settings)
    : settings_(settings),
      fleet_(kFleetMemory),
      kinds_(settings.kinds.size() + 1, IdleAges(kKindMemory)),
      mean_work_ms_(kWorkMs) {
  const double idle_ms =
      settings.connection_idle_ms > 0 ? kIdleShare * settings.connection_idle_ms : kForever;
  promised_.fresh = kPromised;
  promised_.silences.fill(kPromised);
  for (std::size_t i = 0; i < kAgeBins; ++i) promised_.breaks[i] = AgeBinEnd(i) <= idle_ms ? kPromised : 1;
  Retuned();
}

void Connections::Retuned() {
  while (kinds_.size() < settings_.kinds.size() + 1) kinds_.emplace_back(kKindMemory);
  const double classes = static_cast<double>(settings_.classes.size());
  mean_worth_ = haste_ = 0;
  for (const auto& klass : settings_.classes) mean_worth_ += klass.worth / classes;
  for (int i = 0; i < static_cast<int>(classes); ++i) haste_ += StakeOf(i).per_ms / classes;
}

// ---- What happens ----

void Connections::Opened(double now_ms, Id id, const std::string& node, int kind, double dial_ms) {
  links_[id] = {node, kind, now_ms};
  Follow(NodeOf(node, kind).dial_ms, dial_ms, kDialWeight);
  Follow(dial_ms_, dial_ms, kDialWeight);
}

void Connections::Begun(Id id) {
  const auto found = links_.find(id);
  if (found == links_.end()) return;
  Node* const node = Find(found->second.node);
  found->second.claim = node != nullptr ? ++node->begun : 1;
}

void Connections::Ended(double now_ms, Id id, const Use& use) {
  const auto found = links_.find(id);
  if (found == links_.end()) return;
  const Link& link = found->second;
  Node* const node = Find(link.node);
  auto what = IdleAges::Use::kHeld;
  if (use.answered) {
    if (node != nullptr) node->answered = std::max(node->answered, link.claim);
  } else if (use.broke) {
    if (use.waited_ms <= kAtOnceMs + kTrips * DialMs(node)) what = IdleAges::Use::kBroke;
  } else if (link.age_ms >= 0 && node != nullptr && node->answered >= link.claim + kOvertaken) {
    what = IdleAges::Use::kSilent;
  } else {
    return;  // out of time or given up: the node may just be slow
  }
  const bool broke = what == IdleAges::Use::kBroke;
  const auto note = [&](IdleAges& ages) {
    link.age_ms < 0 ? ages.UsedFresh(now_ms, broke) : ages.Used(now_ms, link.age_ms, what);
  };
  if (node != nullptr) note(node->ages);
  note(KindOf(link.kind));
  note(fleet_);
}

void Connections::Idles(double now_ms, Id id) {
  const auto found = links_.find(id);
  if (found == links_.end()) return;
  Link& link = found->second;
  Node& node = NodeOf(link.node, link.kind);
  if (link.claim > 0 && std::exchange(node.emptied, false)) node.need -= kNeedWeight * node.need;
  link.idle_since_ms = now_ms;
  link.idles = true;
  node.idle.push_back(id);
}

bool Connections::ClosedByNode(double now_ms, Id id) {
  const auto found = links_.find(id);
  if (found == links_.end()) return false;
  const std::string name = found->second.node;
  StopIdling(now_ms, id, found->second, /*closed_by_node=*/true);
  links_.erase(found);
  Node* const node = Find(name);
  if (node == nullptr || !node->idle.empty()) return false;
  node->emptied = true;
  return node->need * haste_ * (DialMs(node) + kDialWorkMs) > (1 - node->need) * DialCost();
}

void Connections::Closed(Id id) {
  const auto found = links_.find(id);
  if (found == links_.end()) return;
  Node* const node = Find(found->second.node);
  if (found->second.idles && node != nullptr) std::erase(node->idle, id);
  links_.erase(found);
}

std::vector<Connections::Id> Connections::Serving(std::vector<std::string> nodes) {
  std::sort(nodes.begin(), nodes.end());
  serving_ = std::max(1.0, static_cast<double>(nodes.size()));
  std::vector<Id> closing;
  for (auto at = nodes_.begin(); at != nodes_.end();) {
    if (std::binary_search(nodes.begin(), nodes.end(), at->first)) {
      ++at;
      continue;
    }
    closing.insert(closing.end(), at->second.idle.begin(), at->second.idle.end());
    at = nodes_.erase(at);
  }
  return closing;
}

// ---- What to do ----

Connections::Id Connections::Take(double now_ms, const std::string& name, int kind, int klass, double work_ms,
                                  bool rests) {
  Node& node = NodeOf(name, kind);
  const AgeView view = ViewOf(&node, kind);
  const double safe_ms = SafeAge(view, StakeOf(klass), DialMs(&node));
  const bool binding = StakeOf(klass).binding;
  double least_ms = safe_ms, most_ms = safe_ms;  // of any class
  for (int i = 0; i < static_cast<int>(settings_.classes.size()); ++i) {
    if (i == klass) continue;
    const double other_ms = SafeAge(view, StakeOf(i), DialMs(&node));
    least_ms = std::min(least_ms, other_ms);
    most_ms = std::max(most_ms, other_ms);
  }
  node.reach_ms = ReachMs(most_ms);
  Count(now_ms, klass, work_ms);
  if (std::exchange(node.emptied, false)) node.need += kNeedWeight * (1 - node.need);
  if (node.idle.empty()) return 0;

  const auto take = [&](std::size_t at) {
    const Id id = node.idle[at];
    StopIdling(now_ms, id, links_.at(id), /*closed_by_node=*/false);
    return id;
  };
  const auto age = [&](std::size_t at) { return now_ms - links_.at(node.idle[at]).idle_since_ms; };
  // Guards against a belief that holds itself in place: what is thought unsafe is tried now and then, at the
  // least age, by a job that can be repeated.
  if (klass >= 0 && !binding && ++node.untried >= kTryEvery) {
    for (std::size_t at = node.idle.size(); at-- > 0 && age(at) < node.reach_ms;) {
      if (age(at) < least_ms) continue;
      node.untried = 0;
      return take(at);
    }
  }
  if (rests) {
    for (std::size_t at = node.idle.size(); at-- > 0 && age(at) < safe_ms;) {
      if (age(at) >= kRestMs || links_.at(node.idle[at]).claim == 0) return take(at);
    }
  }
  const std::size_t youngest = node.idle.size() - 1;
  return age(youngest) < safe_ms ? take(youngest) : 0;
}

std::vector<Connections::Id> Connections::Retire(double now_ms) {
  std::vector<Id> out;
  for (auto& [name, node] : nodes_) {
    while (!node.idle.empty()) {
      const Id id = node.idle.front();
      Link& link = links_.at(id);
      if (now_ms - link.idle_since_ms < node.reach_ms) break;
      StopIdling(now_ms, id, link, /*closed_by_node=*/false);
      out.push_back(id);
    }
  }
  return out;
}

Connections::Id Connections::Oldest() const {
  Id oldest = 0;
  double since_ms = kForever;
  for (const auto& [name, node] : nodes_) {
    if (node.idle.empty() || links_.at(node.idle.front()).idle_since_ms >= since_ms) continue;
    oldest = node.idle.front();
    since_ms = links_.at(oldest).idle_since_ms;
  }
  return oldest;
}

double Connections::SafeAgeMs(const std::string& name, int kind, int klass) const {
  const auto found = nodes_.find(name);
  const Node* const node = found == nodes_.end() ? nullptr : &found->second;
  return SafeAge(ViewOf(node, kind), StakeOf(klass), DialMs(node));
}

std::string Connections::Describe() const {
  const auto line = [this](const std::string& who, const AgeView& view, double dial_ms) {
    std::string out = who + ": safe";
    for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
      const Stake stake = StakeOf(static_cast<int>(i));
      out += " " + settings_.classes[i].name + " " + Text(SafeAge(view, stake, dial_ms));
    }
    char fresh[64];
    std::snprintf(fresh, sizeof fresh, ", new dropped %.3f, dial %.2f ms", view.fresh, dial_ms);
    return out + fresh;
  };
  char cost[32];
  std::snprintf(cost, sizeof cost, ", dial cost %.3f\n", DialCost());
  std::string out = line("fleet", fleet_.View(promised_), dial_ms_) + cost;
  for (const auto& [name, node] : nodes_) {
    out += line(name, ViewOf(&node, node.kind), DialMs(&node)) + ", idle " +
           std::to_string(node.idle.size()) + ", kept " + Text(node.reach_ms) + "\n";
  }
  return out;
}

// ---- What is known ----

Connections::Node& Connections::NodeOf(const std::string& name, int kind) {
  const auto [found, is_new] = nodes_.try_emplace(name, kind, kNodeMemory);
  if (is_new) found->second.reach_ms = ReachMs(kForever);
  return found->second;
}

Connections::Node* Connections::Find(const std::string& name) {
  const auto found = nodes_.find(name);
  return found == nodes_.end() ? nullptr : &found->second;
}

std::size_t Connections::KindIndex(int kind) const {
  return std::min(kinds_.size() - 1, static_cast<std::size_t>(std::max(0, kind)));
}

AgeView Connections::ViewOf(const Node* node, int kind) const {
  const AgeView view = kinds_[KindIndex(kind)].View(fleet_.View(promised_));
  return node != nullptr ? node->ages.View(view) : view;
}

double Connections::DialMs(const Node* node) const {
  return node != nullptr && node->dial_ms > 0 ? node->dial_ms : dial_ms_;
}

void Connections::Count(double now_ms, int klass, double work_ms) {
  rate_ = rate_ * std::exp(-(now_ms - counted_ms_) / kRateMs) + 1 / kRateMs;
  counted_ms_ = now_ms;
  if (klass >= 0) Follow(mean_worth_, settings_.classes[static_cast<std::size_t>(klass)].worth, kMeanWeight);
  if (work_ms > 0) Follow(mean_work_ms_, work_ms, kMeanWeight);
  Follow(haste_, StakeOf(klass).per_ms, kMeanWeight);
}

void Connections::StopIdling(double now_ms, Id id, Link& link, bool closed_by_node) {
  Node* const node = Find(link.node);
  link.idles = false;
  link.age_ms = now_ms - link.idle_since_ms;
  if (node != nullptr) {
    std::erase(node->idle, id);
    node->ages.Idled(now_ms, link.age_ms, closed_by_node);
  }
  KindOf(link.kind).Idled(now_ms, link.age_ms, closed_by_node);
  fleet_.Idled(now_ms, link.age_ms, closed_by_node);
}

// ---- What it is worth ----

Connections::Stake Connections::StakeOf(int klass) const {
  if (klass < 0) return {kRepeatShare + DialCost(), haste_, false};
  const auto& of = settings_.classes[static_cast<std::size_t>(klass)];
  const double worth = mean_worth_ > 0 ? of.worth / mean_worth_ : 1;
  const bool binding = of.effect == Effect::kUnsafe ||
                       (of.effect == Effect::kKeyed && of.group != cartspring::RepeatGroup::kAll);
  return {binding ? worth : kRepeatShare * worth + DialCost(), worth / std::max(1.0, of.deadline_ms),
          binding};
}

// The settings' price, and what the node cannot do meanwhile.
double Connections::DialCost() const {
  return settings_.handshake_price + kBusyShare * kDialWorkMs / mean_work_ms_;
}

double Connections::SafeAge(const AgeView& view, const Stake& stake, double dial_ms) const {
  const double fresh = DialCost() + stake.per_ms * (dial_ms + kDialWorkMs) + view.fresh * stake.lost;
  double safe = 0;
  for (std::size_t i = 0; i < kAgeBins; ++i) {
    if (view.Drops(i) * stake.lost > fresh || view.closes[i] > kLimit) break;
    safe = AgeBinEnd(i);
  }
  return safe;
}

// A connection is kept while it may be of use: to twice the longest safe age, so that a longer one can be
// found; and no longer than until it has cost as much as a new one (the ski-rental rule: at most twice the
// least cost whatever comes; Karlin et al., "Competitive snoopy caching", 1988).
double Connections::ReachMs(double safe_ms) const {
  double reach = std::max(kLeastReachMs, kReach * safe_ms);
  if (settings_.connection_idle_ms > 0) reach = std::min(reach, kIdleShare * settings_.connection_idle_ms);
  if (settings_.connection_price > 0 && rate_ > 0) {
    const double claims_of_all = rate_ * settings_.balancers;
    reach = std::min(reach, DialCost() / settings_.connection_price * 100 * serving_ / claims_of_all);
  }
  return reach;
}

}  // namespace bitternmux::limits
