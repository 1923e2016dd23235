#include "lab/back/comeback.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace bitternmux::lab {
namespace {

constexpr std::size_t kAheadS = 5;
constexpr double kFullShare = 0.95;

double Rounded(double value) { return std::round(value * 1e4) / 1e4; }

}  // namespace

model::Figures WithoutTroubles(model::Figures figures) {
  figures.troubles.clear();
  figures.network.troubles.clear();
  figures.steps.clear();
  return figures;
}

Comeback::Second& Comeback::At(double since_first_ms) {
  const auto second = static_cast<std::size_t>(std::max(0.0, since_first_ms / 1000));
  if (second >= seconds_.size()) seconds_.resize(second + 1);
  return seconds_[second];
}

void Comeback::TrySent(std::int64_t at, const model::Try& attempt) {
  ++Seen(at).tries;
  if (attempt.first != attempt.id) return;
  const model::ClassFigures& klass = figures_.classes[static_cast<std::size_t>(attempt.klass)];
  At(attempt.wish_ms - figures_.first_ms).worth +=
      klass.worth * (figures_.rules.worth_by_work ? attempt.work_ms : 1);
}

void Comeback::TryEnded(std::int64_t at, const model::Try& attempt, const TryOutcome& outcome) {
  if (outcome.how != record::TryEnded::SERVED) return;
  const model::ClassFigures& klass = figures_.classes[static_cast<std::size_t>(attempt.klass)];
  const double took_ms = static_cast<double>(at) / 1000 - attempt.wish_ms;
  At(attempt.wish_ms - figures_.first_ms).earned += klass.worth *
                                                    (figures_.rules.worth_by_work ? attempt.work_ms : 1) *
                                                    (took_ms <= klass.aim_ms ? 1 : klass.late_worth);
  Life& life = lives_[attempt.sidecar];
  if (!life.served) life.served = at;
  if (klass.repeat != model::Repeat::kSafe && !life.bound) life.bound = at;
}

void Comeback::Connection(std::int64_t at, const ConnectionChange& change) {
  if (!change.opened) return;
  Second& second = Seen(at);
  ++second.dials;
  ++second.dials_of[change.machine];
  if (lives_[change.sidecar].met.insert(change.machine).second) ++second.first_contacts;
}

void Comeback::Asked(std::int64_t at, int, bool, bool failed) {
  if (!failed) ++Seen(at).list_calls;
}

void Comeback::SidecarChanged(std::int64_t at, int sidecar, record::Sidecar::What what) {
  if (what != record::Sidecar::STARTED) return;
  const auto found = lives_.find(sidecar);
  if (found != lives_.end()) ended_.push_back(std::move(found->second));
  lives_[sidecar] = {at, {}, {}, {}};
}

std::vector<Comeback::Back> Comeback::Backs(const Comeback& calm) const {
  const auto length = static_cast<std::size_t>(std::floor(figures_.length_ms / 1000));
  std::vector<bool> full;  // by second, as far as there are five to look at
  for (std::size_t from = 0; from + kAheadS <= length; ++from) {
    double asked = 0, earned = 0, calm_asked = 0, calm_earned = 0;
    for (std::size_t at = from; at < from + kAheadS; ++at) {
      if (at >= seconds_.size() || at >= calm.seconds_.size()) break;
      asked += seconds_[at].worth;
      earned += seconds_[at].earned;
      calm_asked += calm.seconds_[at].worth;
      calm_earned += calm.seconds_[at].earned;
    }
    full.push_back(earned * calm_asked >= kFullShare * calm_earned * asked);
  }
  std::vector<const model::TroubleFigures*> troubles;
  for (const model::TroubleFigures& trouble : figures_.troubles) troubles.push_back(&trouble);
  std::stable_sort(troubles.begin(), troubles.end(),
                   [](const auto* a, const auto* b) { return a->from_ms < b->from_ms; });
  std::vector<Back> backs;
  for (std::size_t i = 0; i < troubles.size(); ++i) {
    const double from_s = (troubles[i]->from_ms - figures_.first_ms) / 1000;
    // Seconds whose windows are over before the next trouble begins.
    const double next_s =
        i + 1 < troubles.size()
            ? std::floor((troubles[i + 1]->from_ms - figures_.first_ms) / 1000) - (kAheadS - 1)
            : static_cast<double>(full.size());
    const auto begin = static_cast<std::size_t>(std::max(0.0, std::floor(from_s)));
    const auto end = std::min(full.size(), static_cast<std::size_t>(std::max(0.0, next_s)));
    Back back{troubles[i]->name, from_s, 0};
    if (begin >= end) {
      back.full_s.reset();  // too near to the end, or to the next, to be told
    } else {
      for (std::size_t at = begin; at < end; ++at) {
        if (!full[at]) back.full_s = static_cast<double>(at) + 1 - from_s;
      }
      if (!full[end - 1]) back.full_s.reset();
    }
    backs.push_back(back);
  }
  return backs;
}

template <class Count>
Comeback::Peak Comeback::PeakOf(const Count& count) const {
  double from_s = figures_.troubles.empty() ? 0 : model::kNever;
  for (const model::TroubleFigures& trouble : figures_.troubles) {
    from_s = std::min(from_s, std::max(0.0, (trouble.from_ms - figures_.first_ms) / 1000));
  }
  Peak peak;
  for (auto i = static_cast<std::size_t>(from_s); i < seconds_.size(); ++i) {
    if (count(seconds_[i]) > peak.count) peak = {count(seconds_[i]), i};
  }
  return peak;
}

std::vector<std::pair<const char*, Comeback::Peak>> Comeback::Peaks() const {
  return {{"tries", PeakOf([](const Second& s) { return s.tries; })},
          {"dials", PeakOf([](const Second& s) { return s.dials; })},
          {"dials_of_one_server", PeakOf([](const Second& s) {
             std::uint64_t most = 0;
             for (const auto& [machine, dials] : s.dials_of) most = std::max(most, dials);
             return most;
           })},
          {"first_contacts", PeakOf([](const Second& s) { return s.first_contacts; })},
          {"list_calls", PeakOf([](const Second& s) { return s.list_calls; })}};
}

std::pair<double, double> Comeback::UntilFirst(std::optional<std::int64_t> Life::*answer) const {
  std::vector<double> took;
  const auto add = [&](const Life& life) {
    if (static_cast<double>(life.started) / 1000 <= figures_.first_ms || !(life.*answer)) return;
    took.push_back(static_cast<double>(*(life.*answer) - life.started) / 1000);
  };
  for (const Life& life : ended_) add(life);
  for (const auto& [sidecar, life] : lives_) add(life);
  if (took.empty()) return {-1, -1};
  std::sort(took.begin(), took.end());
  return {Rounded(took[(took.size() - 1) / 2]), Rounded(took.back())};
}

nlohmann::ordered_json Comeback::ToJson(const Comeback& calm) const {
  nlohmann::ordered_json out;
  out["full_service"] = nlohmann::ordered_json::array();
  for (const Back& back : Backs(calm)) {
    nlohmann::ordered_json one{{"trouble", back.trouble}, {"from_s", Rounded(back.from_s)}};
    one["after_s"] = back.full_s ? nlohmann::ordered_json(Rounded(*back.full_s)) : nullptr;
    out["full_service"].push_back(one);
  }
  for (const auto& [name, peak] : Peaks()) {
    out["peaks"][name] = {{"count", peak.count}, {"second", peak.second}};
  }
  const auto [served, served_last] = UntilFirst(&Life::served);
  const auto [bound, bound_last] = UntilFirst(&Life::bound);
  out["starts"] = {{"first_answer_ms", {{"p50", served}, {"most", served_last}}},
                   {"first_binding_answer_ms", {{"p50", bound}, {"most", bound_last}}}};
  return out;
}

std::string Comeback::Text(const Comeback& calm) const {
  std::ostringstream out;
  out << std::fixed << std::setprecision(1);
  for (const Back& back : Backs(calm)) {
    out << "full service after " << back.trouble << " (" << back.from_s << " s): ";
    back.full_s ? out << "within " << *back.full_s << " s\n" : out << "not in the time that was played\n";
  }
  out << "most in a second:";
  for (const auto& [name, peak] : Peaks()) {
    std::string words = name;
    std::replace(words.begin(), words.end(), '_', ' ');
    out << " " << words << " " << peak.count << " (" << peak.second << " s)";
  }
  const auto [served, served_last] = UntilFirst(&Life::served);
  const auto [bound, bound_last] = UntilFirst(&Life::bound);
  out << "\n";
  if (served >= 0) {
    out << "sidecars that started: first answer after " << served << " ms, the last " << served_last
        << " ms; first binding one " << bound << " ms, the last " << bound_last << " ms\n";
  }
  return out.str();
}

}  // namespace bitternmux::lab
