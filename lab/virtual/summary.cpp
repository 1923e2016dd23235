#include "lab/virtual/summary.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace bitternmux::lab {
namespace {

using nlohmann::ordered_json;

constexpr std::size_t kWindowS = 10;
constexpr std::array<const char*, 8> kEndNames = {"in_time", "late", "refused",   "failed",
                                                  "lost",    "left", "not_taken", "open"};

double Share(double part, double whole) { return whole > 0 ? part / whole : 1; }

// Shares and times to four digits: more is noise, and would make the file long.
double Rounded(double value) { return std::round(value * 1e4) / 1e4; }

// By the nearest rank; 0 of none.
double Percentile(std::vector<float>& values, double share) {
  if (values.empty()) return 0;
  const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
  const auto at = values.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
  std::nth_element(values.begin(), at, values.end());
  return Rounded(*at);
}

}  // namespace

Summary::Summary(const model::Figures& figures, std::string mode)
    : figures_(figures),
      mode_(std::move(mode)),
      claims_of_(figures.machines.size()),
      worked_ms_(figures.machines.size()) {}

std::size_t Summary::Seconds() const {
  return static_cast<std::size_t>(std::ceil(figures_.length_ms / 1000));
}

Summary::Second& Summary::At(std::int64_t at) {
  const double since = static_cast<double>(at) / 1000 - figures_.first_ms;
  const auto second = static_cast<std::size_t>(std::max(0.0, since / 1000));
  if (second >= seconds_.size()) seconds_.resize(second + 1);
  return seconds_[second];
}

void Summary::TrySent(std::int64_t at, const model::Try& attempt) {
  ++tries_;
  ++At(at).tries;
  if (wish_of_.size() <= attempt.id) wish_of_.resize(attempt.id + 1);
  if (attempt.first != attempt.id) {
    wish_of_[attempt.id] = wish_of_[attempt.first];
    return;
  }
  wish_of_[attempt.id] = static_cast<std::uint32_t>(wishes_.size());
  const model::ClassFigures& klass = figures_.classes[static_cast<std::size_t>(attempt.klass)];
  Wish wish;
  wish.due_s = static_cast<float>((attempt.wish_ms - figures_.first_ms) / 1000);
  wish.worth = static_cast<float>(klass.worth * (figures_.rules.worth_by_work ? attempt.work_ms : 1));
  wish.klass = static_cast<std::uint8_t>(attempt.klass);
  wishes_.push_back(wish);
}

void Summary::TryEnded(std::int64_t at, const model::Try& attempt, const TryOutcome& outcome) {
  Wish& wish = wishes_[wish_of_[attempt.id]];
  switch (outcome.how) {
    case record::TryEnded::SERVED: {
      const double took = static_cast<double>(at) / 1000 - attempt.wish_ms;
      wish.took_ms = static_cast<float>(took);
      const bool in_time = took <= figures_.classes[wish.klass].aim_ms;
      wish.end = in_time ? End::kInTime : End::kLate;
      break;
    }
    case record::TryEnded::REFUSED:
      wish.end = End::kRefused;
      break;
    case record::TryEnded::LEFT:
      wish.end = End::kLeft;
      break;
    case record::TryEnded::LOST:
      wish.end = End::kLost;
      break;
    case record::TryEnded::NOT_TAKEN:
      wish.end = End::kNotTaken;
      break;
    default:
      wish.end = End::kFailed;
      break;
  }
}

void Summary::ClaimSent(std::int64_t at, const ClaimStart& claim) {
  Second& second = At(at);
  ++second.claims;
  const auto machine = static_cast<std::size_t>(claim.machine);
  std::vector<std::uint32_t>& claims = claims_of_[machine];
  const auto index = static_cast<std::size_t>(&second - seconds_.data());
  if (claims.size() <= index) claims.resize(index + 1);
  ++claims[index];
  if (machine_of_.size() <= claim.claim) machine_of_.resize(claim.claim + 1);
  machine_of_[claim.claim] = claim.machine;
  const int zone = figures_.machines[machine].zone;
  if (zone != figures_.sidecars[static_cast<std::size_t>(claim.sidecar)].zone) ++crossings_;
}

void Summary::ClaimEnded(std::int64_t, std::uint64_t claim, record::ClaimEnded::How how, double worked_ms) {
  ++claim_ends_[static_cast<std::size_t>(how)];
  worked_ms_[static_cast<std::size_t>(machine_of_[claim])] += worked_ms;
}

void Summary::Probed(std::int64_t at, int, int) { ++At(at).probes; }

void Summary::Connection(std::int64_t at, const ConnectionChange& change) {
  if (change.opened) ++At(at).dials;
}

void Summary::MachineChanged(std::int64_t, int, model::MachineState state, double) {
  if (state == model::MachineState::kFell) ++fell_;
}

void Summary::Add(Tally& tally, const Wish& wish) const {
  ++tally.asked;
  ++tally.ends[static_cast<std::size_t>(wish.end)];
  tally.worth += wish.worth;
  if (wish.end == End::kInTime) tally.earned += wish.worth;
  if (wish.end != End::kInTime && wish.end != End::kLate) return;
  tally.with_late += wish.worth * (wish.end == End::kInTime ? 1 : figures_.classes[wish.klass].late_worth);
  tally.took_ms.push_back(wish.took_ms);
}

std::vector<Summary::Tally> Summary::BySecond() const {
  std::vector<Tally> tallies(Seconds());
  for (const Wish& wish : wishes_) {
    Add(tallies[std::min(tallies.size() - 1, static_cast<std::size_t>(wish.due_s))], wish);
  }
  return tallies;
}

std::vector<Summary::Tally> Summary::ByClass() const {
  std::vector<Tally> tallies(figures_.classes.size());
  for (const Wish& wish : wishes_) Add(tallies[wish.klass], wish);
  return tallies;
}

Summary::Tally Summary::All() const {
  Tally tally;
  for (const Wish& wish : wishes_) Add(tally, wish);
  return tally;
}

double Summary::WorthShare() const {
  const Tally all = All();
  return Share(all.with_late, all.worth);
}

Summary::Window Summary::WorstWindow() const {
  const std::vector<Tally> seconds = BySecond();
  const std::size_t length = std::min(kWindowS, seconds.size());
  Window worst{0, 2};
  for (std::size_t from = 0; from + length <= seconds.size(); ++from) {
    double worth = 0, earned = 0;
    for (std::size_t at = from; at < from + length; ++at) {
      worth += seconds[at].worth;
      earned += seconds[at].with_late;
    }
    if (Share(earned, worth) < worst.share) worst = {from, Share(earned, worth)};
  }
  return worst;
}

std::pair<std::size_t, double> Summary::WorstClass() const {
  const std::vector<Tally> classes = ByClass();
  std::pair<std::size_t, double> worst{0, 2};
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const double share = Share(classes[i].with_late, classes[i].worth);
    if (share < worst.second) worst = {i, share};
  }
  return worst;
}

double Summary::Goal() const {
  const model::RuleFigures& rules = figures_.rules;
  const double weights = rules.goal_whole + rules.goal_worst_window + rules.goal_worst_class;
  if (weights <= 0) return WorthShare();
  return (rules.goal_whole * WorthShare() + rules.goal_worst_window * WorstWindow().share +
          rules.goal_worst_class * WorstClass().second) /
         weights;
}

ordered_json Summary::JsonOf(const Tally& tally) const {
  ordered_json out;
  out["asked"] = tally.asked;
  for (std::size_t i = 0; i < kEnds; ++i) {
    if (tally.ends[i] > 0) out[kEndNames[i]] = tally.ends[i];
  }
  out["worth_share"] = Rounded(Share(tally.with_late, tally.worth));
  out["in_time_share"] = Rounded(Share(tally.earned, tally.worth));
  std::vector<float> took = tally.took_ms;
  out["p50_ms"] = Percentile(took, 0.5);
  out["p99_ms"] = Percentile(took, 0.99);
  return out;
}

ordered_json Summary::ToJson() const {
  ordered_json out;
  out["scenario"] = figures_.name;
  out["seed"] = figures_.seed;
  out["mode"] = mode_;
  out["length_s"] = figures_.length_ms / 1000;
  out["servers"] = std::count_if(figures_.machines.begin(), figures_.machines.end(),
                                 [](const model::MachineFigures& machine) { return machine.from_start; });
  out["sidecars"] = figures_.sidecars.size();
  out["goal"] = Rounded(Goal());
  out["all"] = JsonOf(All());
  const Window window = WorstWindow();
  out["worst_window"] = {{"from_s", window.from_s}, {"worth_share", Rounded(window.share)}};
  const auto [worst, share] = WorstClass();
  out["worst_class"] = {{"name", figures_.classes[worst].name}, {"worth_share", Rounded(share)}};

  Second sum;
  for (const Second& second : seconds_) {
    sum.claims += second.claims;
    sum.probes += second.probes;
    sum.dials += second.dials;
  }
  const double wishes = std::max<double>(1, static_cast<double>(wishes_.size()));
  const auto per_wish = [&](std::uint64_t count) { return Rounded(static_cast<double>(count) / wishes); };
  out["per_wish"] = {{"tries", per_wish(tries_)},
                     {"claims", per_wish(sum.claims)},
                     {"probes", per_wish(sum.probes)},
                     {"dials", per_wish(sum.dials)},
                     {"crossings", per_wish(crossings_)}};
  ordered_json ends = ordered_json::object();
  for (std::size_t i = 0; i < claim_ends_.size(); ++i) {
    if (claim_ends_[i] == 0) continue;
    ends[record::ClaimEnded::How_Name(static_cast<record::ClaimEnded::How>(i))] = claim_ends_[i];
  }
  out["claim_ends"] = ends;
  out["servers_fallen"] = fell_;

  const std::vector<Tally> classes = ByClass();
  for (std::size_t i = 0; i < classes.size(); ++i) {
    ordered_json one{{"name", figures_.classes[i].name}};
    one.update(JsonOf(classes[i]));
    out["classes"].push_back(one);
  }
  std::vector<std::vector<Tally>> cells(Seconds(), std::vector<Tally>(figures_.classes.size()));
  for (const Wish& wish : wishes_) {
    Add(cells[std::min(cells.size() - 1, static_cast<std::size_t>(wish.due_s))][wish.klass], wish);
  }
  const std::vector<Tally> seconds = BySecond();
  for (std::size_t i = 0; i < seconds.size(); ++i) {
    ordered_json one{{"s", i}};
    one.update(JsonOf(seconds[i]));
    const Second counts = i < seconds_.size() ? seconds_[i] : Second{};
    one["tries"] = counts.tries;
    one["claims"] = counts.claims;
    one["dials"] = counts.dials;
    for (const Tally& cell : cells[i]) one["classes"].push_back(JsonOf(cell));
    out["seconds"].push_back(one);
  }
  for (std::size_t i = 0; i < figures_.machines.size(); ++i) {
    const model::MachineFigures& machine = figures_.machines[i];
    std::uint64_t claims = 0;
    for (const std::uint32_t count : claims_of_[i]) claims += count;
    out["machines"].push_back({{"machine", i},
                               {"id", machine.id},
                               {"zone", figures_.network.zones[static_cast<std::size_t>(machine.zone)]},
                               {"kind", figures_.kinds[static_cast<std::size_t>(machine.kind)]},
                               {"cores", Rounded(machine.node.cores * machine.node.speed)},
                               {"claims", claims},
                               {"worked_s", Rounded(worked_ms_[i] / 1000)},
                               {"claims_by_second", claims_of_[i]}});
  }
  for (const model::TroubleFigures& trouble : figures_.troubles) {
    out["troubles"].push_back({{"name", trouble.name},
                               {"from_s", Rounded((trouble.from_ms - figures_.first_ms) / 1000)},
                               {"until_s", Rounded((trouble.until_ms - figures_.first_ms) / 1000)},
                               {"machines", trouble.machines},
                               {"sidecars", trouble.sidecars},
                               {"detail", trouble.detail}});
  }
  return out;
}

std::string Summary::Text() const {
  std::ostringstream out;
  out << std::fixed << std::setprecision(3);
  const Window window = WorstWindow();
  const auto [worst, share] = WorstClass();
  const double wishes = std::max<double>(1, static_cast<double>(wishes_.size()));
  out << figures_.name << ", seed " << figures_.seed << ": goal " << Goal() << ", worth " << WorthShare()
      << ", worst " << kWindowS << " s from " << window.from_s << " s " << window.share << ", worst class "
      << figures_.classes[worst].name << " " << share << "\n";
  out << wishes_.size() << " wishes, " << static_cast<double>(tries_) / wishes << " tries each, " << fell_
      << " servers fallen\n";
  const std::vector<Tally> classes = ByClass();
  for (std::size_t i = 0; i < classes.size(); ++i) {
    std::vector<float> took = classes[i].took_ms;
    out << "  " << std::left << std::setw(16) << figures_.classes[i].name << std::right << std::setw(8)
        << classes[i].asked << " asked, p50 " << std::setprecision(1) << Percentile(took, 0.5) << " ms, p99 "
        << Percentile(took, 0.99) << " ms" << std::setprecision(3);
    for (std::size_t end = 0; end < kEnds; ++end) {
      if (classes[i].ends[end] > 0) out << ", " << kEndNames[end] << " " << classes[i].ends[end];
    }
    out << "\n";
  }
  return out.str();
}

}  // namespace bitternmux::lab
