#include "lab/report/analysis.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lab/back/comeback.h"
#include "lab/rules/checker.h"
#include "lab/scenario/scenario.h"

namespace bitternmux::lab::report {
namespace {

using nlohmann::ordered_json;
using record::ClaimEnded;
using record::Entry;

constexpr std::size_t kWindowS = 10;
// A machine is blamed for a second in which at least this share of its claims that ended did so badly, and
// for a span of such seconds, with gaps of no more than kBlameGapS, that has this many of them.
constexpr double kBlameShare = 0.25;
constexpr int kBlameCount = 3;
constexpr std::size_t kBlameGapS = 2;
// The sidecars have turned away from a machine when it gets less than this share of what it got before.
constexpr double kTurnedAway = 0.1;
constexpr std::size_t kBeforeS = 5;
// No run is longer: guards the columns' memory against a record whose times are noise.
constexpr std::size_t kMostSeconds = 200'000;

enum End : std::size_t { kInTime, kLate, kRefused, kFailed, kLost, kLeft, kNotTaken, kOpen };

double Share(double part, double whole) { return whole > 0 ? part / whole : 1; }

// To six digits after the point: more is noise.
ordered_json Number(double value) {
  if (!std::isfinite(value)) return nullptr;
  if (value == std::trunc(value) && std::abs(value) < 1e15) return static_cast<std::int64_t>(value);
  return std::round(value * 1e6) / 1e6;
}

// By the nearest rank; NaN of none.
double Percentile(std::vector<float>& values, double share) {
  if (values.empty()) return std::numeric_limits<double>::quiet_NaN();
  const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
  const auto at = values.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
  std::nth_element(values.begin(), at, values.end());
  return std::round(static_cast<double>(*at) * 1000) / 1000;  // of milliseconds
}

// A column by second that grows as it is counted in.
class Column {
 public:
  double& At(std::size_t second) {
    if (second >= values_.size()) values_.resize(second + 1);
    return values_[second];
  }
  double Get(std::size_t second) const { return second < values_.size() ? values_[second] : 0; }
  std::size_t size() const { return values_.size(); }
  double Sum() const {
    double sum = 0;
    for (const double value : values_) sum += value;
    return sum;
  }
  // The mean over [from, until).
  double Mean(std::size_t from, std::size_t until) const {
    double sum = 0;
    for (std::size_t s = from; s < until; ++s) sum += Get(s);
    return until > from ? sum / static_cast<double>(until - from) : 0;
  }
  ordered_json Json(std::size_t length) const {
    ordered_json out = ordered_json::array();
    for (std::size_t s = 0; s < length; ++s) out.push_back(Number(Get(s)));
    return out;
  }

 private:
  std::vector<double> values_;
};

struct Wish {
  std::size_t second = 0;  // in which it was first due
  std::int64_t due_us = 0;
  std::uint32_t klass = 0;
  double worth = 0;
  float took_ms = 0;
  std::size_t end = kOpen;
};

struct Tally {
  std::array<double, kOutcomes.size()> ends{};
  double asked = 0, worth = 0, earned = 0, with_late = 0;
  std::vector<float> took_ms;

  void Add(const Wish& wish, double late_worth) {
    ++asked;
    ++ends[wish.end];
    worth += wish.worth;
    if (wish.end == kInTime) earned += wish.worth;
    if (wish.end != kInTime && wish.end != kLate) return;
    with_late += wish.worth * (wish.end == kInTime ? 1 : late_worth);
    took_ms.push_back(wish.took_ms);
  }
};

struct Machine {
  std::string id;
  std::uint32_t zone = 0, kind = 0;
  double capacity = 0;
  record::MachineChanged::State state = record::MachineChanged::GONE;
  double warm = 1;  // share of its capacity
  Column claims, ended, failed, silent, declined;
  double worked_s = 0;
};

// A record that was not made from a scenario of this version has no goal, and its time is its own.
std::optional<model::Figures> FiguresOf(const record::Header& header) {
  try {
    return scenario::Scenario(header.scenario_text(), "scenario").Draw(header.seed());
  } catch (const scenario::ScenarioError&) {
    return std::nullopt;
  }
}

std::int64_t FirstUs(const std::optional<model::Figures>& figures) {
  return figures ? std::llround(figures->first_ms * 1000) : 0;
}

// The single numbers of how the fleet came back.
void AddBack(const ordered_json& back, ordered_json& figures) {
  for (const Measure& measure : kMeasures) {
    if (measure.of_back) figures[measure.name] = nullptr;
  }
  if (back.contains("full_service")) {
    std::size_t never = 0;
    for (const ordered_json& one : back["full_service"]) {
      if (one["looked_s"] == 0) continue;
      const bool is_never = one["after_s"].is_null();
      const double after = one[is_never ? "looked_s" : "after_s"].get<double>();
      never += is_never;
      ordered_json& longest = figures["full_service_s"];
      if (longest.is_null() || longest.get<double>() < after) longest = Number(after);
    }
    figures["never_full"] = never;
  }
  for (const auto& [name, peak] : back["peaks"].items()) {
    if (!peak.is_null()) figures["most_" + name] = peak["count"];
  }
  const ordered_json& starts = back["starts"];
  figures["first_answer_ms"] = starts["first_answer_ms"]["p50"];
  figures["first_binding_answer_ms"] = starts["first_binding_answer_ms"]["p50"];
  if (!starts.contains("full_ms")) return;
  figures["full_ms"] = starts["full_ms"]["p50"];
  figures["full_most_ms"] = starts["full_ms"]["most"];
  figures["instances_never_full"] = starts["full_ms"]["never"];
}

class Analysis {
 public:
  explicit Analysis(const record::Header& header)
      : header_(header),
        checker_(header),
        figures_(FiguresOf(header)),
        first_us_(FirstUs(figures_)),
        length_us_(static_cast<std::int64_t>(header.length_us())),
        back_(header, first_us_) {}

  void Take(const Entry& entry);
  // `calm` may be null.
  ordered_json Result(const record::Trailer& trailer, const back::Comeback* calm);

 private:
  struct Try {
    std::size_t wish = 0;
    bool left = false;
  };
  struct Claim {
    std::uint32_t machine = 0;
    std::uint64_t attempt = 0;
  };
  struct Held {  // what a sidecar's last sample said
    double jobs = 0, memory_mb = 0;
  };
  struct Trouble {
    std::string name, detail;
    double from_s = 0, until_s = std::numeric_limits<double>::quiet_NaN();
    std::vector<std::uint32_t> machines, sidecars;
  };

  std::size_t Second(std::int64_t at_us) const {
    const std::int64_t since = std::max<std::int64_t>(0, at_us - first_us_);
    return std::min(static_cast<std::size_t>(since / 1'000'000), kMostSeconds - 1);
  }
  double Since(std::int64_t at_us) const { return static_cast<double>(at_us - first_us_) / 1e6; }
  std::string SidecarName(std::uint32_t sidecar) const {
    const auto index = static_cast<int>(sidecar);
    return index < header_.sidecars_size() ? header_.sidecars(index) : std::to_string(sidecar);
  }
  double LateWorth(std::uint32_t klass) const {
    const auto index = static_cast<int>(klass);
    return index < header_.classes_size() ? header_.classes(index).late_worth() : 0;
  }

  void Sent(std::int64_t at, const record::TrySent& sent);
  void Ended(std::int64_t at, const record::TryEnded& ended);
  void ClaimOver(std::int64_t at, const ClaimEnded& ended);
  void Changed(std::int64_t at, const record::MachineChanged& changed);
  void TakeTrouble(std::int64_t at, const record::Trouble& trouble);
  void Event(std::int64_t at, const std::string& what, const std::string& whom, const std::string& detail);
  // Levels hold until they change: those of all seconds before this one are settled.
  void Level(std::int64_t at);
  std::vector<Tally> BySecond(std::size_t length) const;
  ordered_json SecondsJson(std::size_t length) const;
  ordered_json MachinesJson(std::size_t length) const;
  ordered_json Blame(std::size_t length) const;
  void BlameOf(std::uint32_t number, const Machine& machine, const Column& bad, const char* what,
               std::size_t length, ordered_json& out) const;

  const record::Header& header_;
  rules::Checker checker_;
  std::optional<model::Figures> figures_;
  std::int64_t first_us_ = 0, length_us_ = 0;
  back::Comeback back_;
  std::uint64_t entries_ = 1;
  std::vector<Wish> wishes_;
  std::unordered_map<std::uint64_t, Try> tries_;  // looked up only
  std::unordered_map<std::uint64_t, Claim> claims_;
  std::map<std::uint32_t, Machine> machines_;
  std::map<std::uint32_t, Held> held_;
  std::array<double, ClaimEnded::How_ARRAYSIZE> claim_ends_{};
  Column tries_sent_, claims_sent_, probes_, dials_, refusals_, retry_afters_;
  Column jobs_, memory_mb_, connections_, up_, cold_, draining_;
  std::size_t levels_until_ = 0;
  double open_ = 0;  // connections
  double fallen_ = 0;
  std::vector<Trouble> troubles_;
  ordered_json events_ = ordered_json::array();
  std::size_t events_seen_ = 0;
};

void Analysis::Level(std::int64_t at) {
  const std::size_t now = Second(at);
  if (levels_until_ >= now) return;
  double jobs = 0, memory_mb = 0, up = 0, cold = 0, draining = 0;
  for (const auto& [number, sidecar] : held_) {
    jobs += sidecar.jobs;
    memory_mb += sidecar.memory_mb;
  }
  for (const auto& [number, machine] : machines_) {
    up += machine.state == record::MachineChanged::UP;
    cold += machine.state == record::MachineChanged::UP && machine.warm < 1;
    draining += machine.state == record::MachineChanged::DRAINING;
  }
  for (; levels_until_ < now; ++levels_until_) {
    jobs_.At(levels_until_) = jobs;
    memory_mb_.At(levels_until_) = memory_mb;
    connections_.At(levels_until_) = open_;
    up_.At(levels_until_) = up;
    cold_.At(levels_until_) = cold;
    draining_.At(levels_until_) = draining;
  }
}

void Analysis::Take(const Entry& entry) {
  checker_.Take(entry);  // throws for what contradicts itself, so that the numbers below are known ones
  back_.Take(entry);
  ++entries_;
  const std::int64_t at = entry.at_us();
  Level(at);
  switch (entry.what_case()) {
    case Entry::kTrySent:
      return Sent(at, entry.try_sent());
    case Entry::kTryEnded:
      return Ended(at, entry.try_ended());
    case Entry::kClaimBegun: {
      const auto& begun = entry.claim_begun();
      claims_[begun.claim_id()] = {begun.machine(), begun.try_id()};
      ++claims_sent_.At(Second(at));
      ++machines_[begun.machine()].claims.At(Second(at));
      return;
    }
    case Entry::kClaimEnded:
      return ClaimOver(at, entry.claim_ended());
    case Entry::kProbed:
      ++probes_.At(Second(at));
      return;
    case Entry::kConnection:
      if (entry.connection().opened()) ++dials_.At(Second(at));
      open_ += entry.connection().opened() ? 1 : -1;
      return;
    case Entry::kMachineChanged:
      return Changed(at, entry.machine_changed());
    case Entry::kWarmed:
      machines_[entry.warmed().machine()].warm = entry.warmed().share();
      return;
    case Entry::kListed: {
      const auto& listed = entry.listed();
      return Event(at, "listed", machines_[listed.machine()].id,
                   record::MachineChanged::State_Name(listed.state()));
    }
    case Entry::kSidecar: {
      const auto& sidecar = entry.sidecar();
      using record::Sidecar;
      if (sidecar.what() == Sidecar::KILLED || sidecar.what() == Sidecar::EXITED ||
          sidecar.what() == Sidecar::CRASHED) {
        held_.erase(sidecar.sidecar());
      }
      // Shown as troubles; one that is starved stops many times a second.
      if (sidecar.what() == Sidecar::FROZEN || sidecar.what() == Sidecar::LET_GO) return;
      return Event(at, "sidecar", SidecarName(sidecar.sidecar()), Sidecar::What_Name(sidecar.what()));
    }
    case Entry::kSample:
      held_[entry.sample().sidecar()] = {static_cast<double>(entry.sample().held()),
                                         static_cast<double>(entry.sample().memory_bytes()) / (1 << 20)};
      return;
    case Entry::kTrouble:
      return TakeTrouble(at, entry.trouble());
    case Entry::kNote:
      return Event(at, "note", "", entry.note().text());
    default:
      return;
  }
}

void Analysis::Event(std::int64_t at, const std::string& what, const std::string& whom,
                     const std::string& detail) {
  // What comes before the first arrival is how everything starts.
  if (at < first_us_ || ++events_seen_ > kMostLines) return;
  events_.push_back({{"s", Number(Since(at))}, {"what", what}, {"whom", whom}, {"detail", detail}});
}

void Analysis::Sent(std::int64_t at, const record::TrySent& sent) {
  ++tries_sent_.At(Second(at));
  const auto first = tries_.find(sent.first_id());
  if (first != tries_.end()) {
    const std::size_t wish = first->second.wish;
    tries_[sent.try_id()] = {wish, false};
    wishes_[wish].end = kOpen;
    return;
  }
  Wish wish;
  wish.due_us = sent.due_us() > 0 ? sent.due_us() : at;
  wish.second = Second(wish.due_us);
  wish.klass = sent.class_();
  const auto klass = static_cast<int>(sent.class_());
  wish.worth = klass < header_.classes_size() ? header_.classes(klass).worth() : 1;
  if (header_.rules().worth_by_work()) wish.worth *= static_cast<double>(sent.work_us()) / 1000;
  tries_[sent.try_id()] = {wishes_.size(), false};
  wishes_.push_back(wish);
}

void Analysis::Ended(std::int64_t at, const record::TryEnded& ended) {
  using record::TryEnded;
  const auto found = tries_.find(ended.try_id());
  if (found == tries_.end()) return;
  Wish& wish = wishes_[found->second.wish];
  switch (ended.how()) {
    case TryEnded::SERVED: {
      wish.took_ms = static_cast<float>(static_cast<double>(at - wish.due_us) / 1000);
      const auto klass = static_cast<int>(wish.klass);
      const std::int64_t aim = klass < header_.classes_size() ? header_.classes(klass).aim_us() : 0;
      wish.end = at - wish.due_us <= aim ? kInTime : kLate;
      return;
    }
    case TryEnded::REFUSED:
      ++refusals_.At(Second(at));
      if (ended.retry_after_us() > 0) ++retry_afters_.At(Second(at));
      wish.end = kRefused;
      return;
    case TryEnded::LEFT:
      found->second.left = true;
      wish.end = kLeft;
      return;
    case TryEnded::LOST:
      wish.end = kLost;
      return;
    case TryEnded::NOT_TAKEN:
      wish.end = kNotTaken;
      return;
    default:
      wish.end = kFailed;
      return;
  }
}

void Analysis::ClaimOver(std::int64_t at, const ClaimEnded& ended) {
  const auto claim = claims_.find(ended.claim_id());
  if (claim == claims_.end()) return;
  Machine& machine = machines_[claim->second.machine];
  const auto attempt = tries_.find(claim->second.attempt);
  const bool left = attempt != tries_.end() && attempt->second.left;
  claims_.erase(claim);
  ++claim_ends_[static_cast<std::size_t>(ended.how())];
  machine.worked_s += static_cast<double>(ended.worked_us()) / 1e6;
  const std::size_t second = Second(at);
  ++machine.ended.At(second);
  switch (ended.how()) {
    case ClaimEnded::ERROR:
    case ClaimEnded::SPOILT:
    case ClaimEnded::RESET:
      ++machine.failed.At(second);
      return;
    case ClaimEnded::CANCELLED:
      // As its client left, it says nothing of the machine.
      if (!left) ++machine.silent.At(second);
      return;
    case ClaimEnded::OVERDUE:
    case ClaimEnded::SILENT:
      ++machine.silent.At(second);
      return;
    case ClaimEnded::DECLINED:
      ++machine.declined.At(second);
      return;
    default:
      return;
  }
}

void Analysis::Changed(std::int64_t at, const record::MachineChanged& changed) {
  Machine& machine = machines_[changed.machine()];
  machine.id = changed.id();
  machine.zone = changed.zone();
  machine.kind = changed.kind();
  machine.capacity = changed.capacity();
  machine.state = changed.state();
  // A cold start is told by the shares that follow.
  fallen_ += changed.state() == record::MachineChanged::FELL;
  Event(at, "server", changed.id(), record::MachineChanged::State_Name(changed.state()));
}

void Analysis::TakeTrouble(std::int64_t at, const record::Trouble& trouble) {
  if (trouble.begins()) {
    Trouble& begun = troubles_.emplace_back();
    begun.name = trouble.name();
    begun.detail = trouble.detail();
    begun.from_s = Since(at);
    begun.machines.assign(trouble.machines().begin(), trouble.machines().end());
    begun.sidecars.assign(trouble.on_sidecars().begin(), trouble.on_sidecars().end());
    return;
  }
  for (Trouble& begun : troubles_) {
    if (begun.name != trouble.name() || std::isfinite(begun.until_s)) continue;
    begun.until_s = Since(at);
    return;
  }
}

std::vector<Tally> Analysis::BySecond(std::size_t length) const {
  std::vector<Tally> tallies(length);
  for (const Wish& wish : wishes_) tallies[wish.second].Add(wish, LateWorth(wish.klass));
  return tallies;
}

ordered_json Analysis::SecondsJson(std::size_t length) const {
  const std::vector<Tally> seconds = BySecond(length);
  ordered_json out;
  const auto column = [&](const char* name, auto value) {
    ordered_json& list = out[name] = ordered_json::array();
    for (const Tally& tally : seconds) list.push_back(value(tally));
  };
  column("asked", [](const Tally& tally) { return Number(tally.asked); });
  for (std::size_t end = 0; end < kOutcomes.size(); ++end) {
    column(kOutcomes[end], [end](const Tally& tally) { return Number(tally.ends[end]); });
  }
  const auto share = [](double part, double whole) {
    return whole > 0 ? Number(part / whole) : ordered_json();
  };
  column("worth", [&](const Tally& tally) { return share(tally.with_late, tally.worth); });
  column("worth_in_time", [&](const Tally& tally) { return share(tally.earned, tally.worth); });
  const std::pair<const char*, double> percentiles[] = {{"p50_ms", 0.5}, {"p90_ms", 0.9}, {"p99_ms", 0.99}};
  for (const auto& [name, at] : percentiles) {
    column(name, [at = at](const Tally& tally) {
      std::vector<float> took = tally.took_ms;
      return Number(Percentile(took, at));
    });
  }
  const std::pair<const char*, const Column*> counted[] = {
      {"tries", &tries_sent_}, {"claims", &claims_sent_},      {"probes", &probes_},
      {"dials", &dials_},      {"refusals", &refusals_},       {"refusals_with_time", &retry_afters_},
      {"jobs_held", &jobs_},   {"connections", &connections_}, {"memory_mb", &memory_mb_},
      {"servers_up", &up_},    {"servers_cold", &cold_},       {"servers_draining", &draining_}};
  for (const auto& [name, values] : counted) out[name] = values->Json(length);
  return out;
}

ordered_json Analysis::MachinesJson(std::size_t length) const {
  ordered_json out = ordered_json::array();
  for (const auto& [number, machine] : machines_) {
    const auto named = [](const auto& names, std::uint32_t index) {
      return static_cast<int>(index) < names.size() ? names[static_cast<int>(index)] : std::to_string(index);
    };
    out.push_back({{"machine", number},
                   {"id", machine.id},
                   {"zone", named(header_.zones(), machine.zone)},
                   {"kind", named(header_.kinds(), machine.kind)},
                   {"capacity", Number(machine.capacity)},
                   {"worked_s", Number(machine.worked_s)},
                   {"claims", machine.claims.Json(length)},
                   {"failed", machine.failed.Json(length)},
                   {"silent", machine.silent.Json(length)},
                   {"declined", machine.declined.Json(length)}});
  }
  return out;
}

void Analysis::BlameOf(std::uint32_t number, const Machine& machine, const Column& bad, const char* what,
                       std::size_t length, ordered_json& out) const {
  for (std::size_t s = 0; s < length; ++s) {
    const auto blamed = [&](std::size_t at) {
      return bad.Get(at) > 0 && bad.Get(at) >= kBlameShare * machine.ended.Get(at);
    };
    if (!blamed(s)) continue;
    const std::size_t from = s;
    std::size_t until = s + 1;
    for (std::size_t next = until; next < length && next <= until + kBlameGapS; ++next) {
      if (blamed(next)) until = next + 1;
    }
    s = until;
    double count = 0, ended = 0;
    for (std::size_t at = from; at < until; ++at) {
      count += bad.Get(at);
      ended += machine.ended.Get(at);
    }
    if (count < kBlameCount) continue;
    const double before = machine.claims.Mean(from > kBeforeS ? from - kBeforeS : 0, from);
    ordered_json turned;  // null: they did not
    for (std::size_t at = from; before > 0 && at < until + kBeforeS && at < length && turned.is_null();
         ++at) {
      if (machine.claims.Get(at) < kTurnedAway * before) turned = at;
    }
    ordered_json scripted = ordered_json::array();
    for (const Trouble& trouble : troubles_) {
      const double end = std::isfinite(trouble.until_s) ? trouble.until_s : static_cast<double>(length);
      const auto& hit = trouble.machines;
      if (trouble.from_s < static_cast<double>(until) && end + 1 > static_cast<double>(from) &&
          std::find(hit.begin(), hit.end(), number) != hit.end()) {
        scripted.push_back(trouble.name);
      }
    }
    out.push_back({{"machine", number},
                   {"id", machine.id},
                   {"what", what},
                   {"from_s", from},
                   {"until_s", until},
                   {"claims", Number(count)},
                   {"of_ended", Number(ended)},
                   {"claims_a_second_before", Number(before)},
                   {"claims_a_second_in_it", Number(machine.claims.Mean(from, until))},
                   {"turned_away_at_s", turned},
                   {"scripted", scripted}});
  }
}

ordered_json Analysis::Blame(std::size_t length) const {
  ordered_json out = ordered_json::array();
  for (const auto& [number, machine] : machines_) {
    BlameOf(number, machine, machine.failed, "failed", length, out);
    BlameOf(number, machine, machine.silent, "silent", length, out);
  }
  std::stable_sort(out.begin(), out.end(), [](const ordered_json& a, const ordered_json& b) {
    return a["from_s"].get<std::size_t>() < b["from_s"].get<std::size_t>();
  });
  return out;
}

ordered_json Analysis::Result(const record::Trailer& trailer, const back::Comeback* calm) {
  checker_.Finish();
  std::size_t length = Second(std::max<std::int64_t>(length_us_ - 1, first_us_)) + 1;
  for (const Wish& wish : wishes_) length = std::max(length, wish.second + 1);
  for (const Column* column : {&tries_sent_, &claims_sent_}) length = std::max(length, column->size());
  Level(first_us_ + static_cast<std::int64_t>(length) * 1'000'000);

  ordered_json out;
  out["format"] = kResultFormat;
  out["scenario"] = header_.scenario();
  out["mode"] = header_.mode();
  out["seed"] = header_.seed();
  out["build"] = header_.build();
  out["length_s"] = length;
  out["entries"] = entries_ + 1;
  if (trailer.void_()) out["void"] = trailer.reason();

  Tally all;
  std::vector<Tally> classes(static_cast<std::size_t>(header_.classes_size()));
  for (const Wish& wish : wishes_) {
    all.Add(wish, LateWorth(wish.klass));
    if (wish.klass < classes.size()) classes[wish.klass].Add(wish, LateWorth(wish.klass));
  }
  // Of the seconds in which wishes were due.
  std::size_t arrivals = 0;
  for (const Wish& wish : wishes_) arrivals = std::max(arrivals, wish.second + 1);
  const std::vector<Tally> seconds = BySecond(length);
  const std::size_t window = std::min(kWindowS, arrivals);
  std::size_t worst_from = 0;
  double worst_window = 1;
  for (std::size_t from = 0; from + window <= arrivals; ++from) {
    double worth = 0, got = 0;
    for (std::size_t at = from; at < from + window; ++at) {
      worth += seconds[at].worth;
      got += seconds[at].with_late;
    }
    if (Share(got, worth) < worst_window) {
      worst_window = Share(got, worth);
      worst_from = from;
    }
  }
  std::size_t worst_class = 0;
  double worst_class_share = 1;
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const double share = Share(classes[i].with_late, classes[i].worth);
    if (share >= worst_class_share) continue;
    worst_class_share = share;
    worst_class = i;
  }

  const double worth = Share(all.with_late, all.worth);
  double goal = std::numeric_limits<double>::quiet_NaN();
  if (figures_) {
    const model::RuleFigures& rules = figures_->rules;
    const double weights = rules.goal_whole + rules.goal_worst_window + rules.goal_worst_class;
    goal = weights > 0 ? (rules.goal_whole * worth + rules.goal_worst_window * worst_window +
                          rules.goal_worst_class * worst_class_share) /
                             weights
                       : worth;
  }
  const double wishes = std::max(1.0, all.asked);
  out["figures"] = {{"goal", Number(goal)},
                    {"worth", Number(worth)},
                    {"in_time", Number(Share(all.earned, all.worth))},
                    {"worst_window", Number(worst_window)},
                    {"worst_class", Number(worst_class_share)},
                    {"p50_ms", Number(Percentile(all.took_ms, 0.5))},
                    {"p99_ms", Number(Percentile(all.took_ms, 0.99))},
                    {"refused", Number(all.ends[kRefused] / wishes)},
                    {"tries", Number(tries_sent_.Sum() / wishes)},
                    {"claims", Number(claims_sent_.Sum() / wishes)},
                    {"dials", Number(dials_.Sum() / wishes)},
                    {"breaches", checker_.found()}};
  out["back"] = back_.ToJson(calm);
  AddBack(out["back"], out["figures"]);
  out["worst_window"] = {{"from_s", worst_from}, {"seconds", window}};
  if (!classes.empty()) out["worst_class"] = header_.classes(static_cast<int>(worst_class)).name();
  out["asked"] = Number(all.asked);
  out["servers_fallen"] = Number(fallen_);
  for (std::size_t end = 0; end < kOutcomes.size(); ++end)
    out["outcomes"][kOutcomes[end]] = Number(all.ends[end]);
  out["claim_ends"] = ordered_json::object();
  for (std::size_t i = 0; i < claim_ends_.size(); ++i) {
    if (claim_ends_[i] == 0) continue;
    out["claim_ends"][ClaimEnded::How_Name(static_cast<ClaimEnded::How>(i))] = Number(claim_ends_[i]);
  }
  out["classes"] = ordered_json::array();
  for (std::size_t i = 0; i < classes.size(); ++i) {
    Tally& klass = classes[i];
    ordered_json one{{"name", header_.classes(static_cast<int>(i)).name()}, {"asked", Number(klass.asked)}};
    for (std::size_t end = 0; end < kOutcomes.size(); ++end) one[kOutcomes[end]] = Number(klass.ends[end]);
    one["worth"] = Number(Share(klass.with_late, klass.worth));
    one["p50_ms"] = Number(Percentile(klass.took_ms, 0.5));
    one["p90_ms"] = Number(Percentile(klass.took_ms, 0.9));
    one["p99_ms"] = Number(Percentile(klass.took_ms, 0.99));
    out["classes"].push_back(one);
  }
  out["seconds"] = SecondsJson(length);
  out["seconds"].update(back_.Columns(length, calm));
  out["machines"] = MachinesJson(length);
  out["blame"] = Blame(length);
  out["troubles"] = ordered_json::array();
  for (const Trouble& trouble : troubles_) {
    out["troubles"].push_back({{"name", trouble.name},
                               {"from_s", Number(trouble.from_s)},
                               {"until_s", Number(trouble.until_s)},
                               {"machines", trouble.machines},
                               {"sidecars", trouble.sidecars},
                               {"detail", trouble.detail}});
  }
  out["events"] = events_;
  out["events_left_out"] = events_seen_ - events_.size();
  out["counts"] = ordered_json::object();
  for (std::size_t i = 0; i < rules::kRules; ++i) {
    const std::uint64_t count = checker_.counts()[i];
    if (count > 0) out["counts"][std::string(rules::kRuleNames[i])] = count;
  }
  out["breaches"] = ordered_json::array();
  for (const rules::Breach& breach : checker_.Breaches()) {
    if (out["breaches"].size() == kMostLines) break;
    out["breaches"].push_back({{"rule", rules::NameOf(breach.rule)},
                               {"s", Number(Since(breach.at_us))},
                               {"job", breach.job},
                               {"server", breach.server},
                               {"detail", breach.detail}});
  }
  return out;
}

}  // namespace

ordered_json Analyse(record::Source& source, record::Source* calm) {
  record::Reader reader(source);
  try {
    Analysis analysis(reader.header());
    while (const Entry* entry = reader.Next()) analysis.Take(*entry);
    if (calm == nullptr) return analysis.Result(reader.trailer(), nullptr);
    record::Reader calm_reader(*calm);
    back::Comeback beside(calm_reader.header(), FirstUs(FiguresOf(calm_reader.header())));
    while (const Entry* entry = calm_reader.Next()) beside.Take(*entry);
    return analysis.Result(reader.trailer(), &beside);
  } catch (const std::invalid_argument& fault) {
    throw record::ReadError(0, fault.what());
  } catch (const rules::Untrusted& fault) {
    throw record::ReadError(reader.offset(), fault.what());
  }
}

}  // namespace bitternmux::lab::report
