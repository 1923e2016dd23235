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
#include "lab/report/blame.h"
#include "lab/report/columns.h"
#include "lab/report/service_tally.h"
#include "lab/rules/checker.h"
#include "lab/scenario/scenario.h"

namespace bitternmux::lab::report {
namespace {

using nlohmann::ordered_json;
using record::ClaimEnded;
using record::Entry;

constexpr std::size_t kWindowS = 10;
// No run is longer: guards the columns' memory against a record whose times are noise.
constexpr std::size_t kMostSeconds = 200'000;

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
    std::size_t request = 0;  // in requests_
    bool left = false;
  };
  struct Claim {
    std::uint32_t machine = 0;
    std::uint64_t attempt = 0;
  };
  struct Held {  // what a sidecar's last sample said
    double jobs = 0, memory_mb = 0;
  };
  // The kWindowS seconds in which the smallest share of the worth was earned.
  struct Window {
    std::size_t from = 0, seconds = 0;
    double share = 1;
  };
  struct Served {
    ServiceTally all;
    std::vector<ServiceTally> classes;
    std::size_t worst_class = 0;
    double worst_class_share = 1;
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
  // The run's length, with the seconds behind it in which something was still sent.
  std::size_t LengthS() const;
  std::vector<ServiceTally> BySecond(std::size_t length) const;
  Served CountServed() const;
  Window WorstWindow(std::size_t length) const;
  double Goal(double worth, double worst_window, double worst_class) const;
  // Percentiles reorder the times that were counted.
  ordered_json FiguresJson(Served& served, const Window& worst_window) const;
  ordered_json ClassesJson(Served& served) const;
  void AddEnds(const ServiceTally& tally, ordered_json& out) const;
  ordered_json ClaimEndsJson() const;
  ordered_json TroublesJson() const;
  ordered_json CountsJson() const;
  ordered_json BreachesJson();
  ordered_json SecondsJson(std::size_t length) const;
  ordered_json MachinesJson(std::size_t length) const;

  const record::Header& header_;
  rules::Checker checker_;
  std::optional<model::Figures> figures_;
  std::int64_t first_us_ = 0, length_us_ = 0;
  back::Comeback back_;
  std::uint64_t entries_ = 1;
  std::vector<RequestRecord> requests_;
  std::unordered_map<std::uint64_t, Try> tries_;  // looked up only
  std::unordered_map<std::uint64_t, Claim> claims_;
  std::map<std::uint32_t, ServerRecord> machines_;
  std::map<std::uint32_t, Held> held_;
  std::array<double, ClaimEnded::How_ARRAYSIZE> claim_ends_{};
  Column tries_sent_, claims_sent_, probes_, dials_, refusals_, retry_afters_;
  Column jobs_, memory_mb_, connections_, up_, cold_, draining_;
  std::size_t levels_until_ = 0;
  double open_ = 0;  // connections
  double fallen_ = 0;
  std::vector<TroubleSpan> troubles_;
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
    const std::size_t request = first->second.request;
    tries_[sent.try_id()] = {request, false};
    requests_[request].end = kOpen;
    return;
  }
  RequestRecord request;
  request.due_us = sent.due_us() > 0 ? sent.due_us() : at;
  request.second = Second(request.due_us);
  request.klass = sent.class_();
  const auto klass = static_cast<int>(sent.class_());
  request.worth = klass < header_.classes_size() ? header_.classes(klass).worth() : 1;
  if (header_.rules().worth_by_work()) request.worth *= static_cast<double>(sent.work_us()) / 1000;
  tries_[sent.try_id()] = {requests_.size(), false};
  requests_.push_back(request);
}

void Analysis::Ended(std::int64_t at, const record::TryEnded& ended) {
  using record::TryEnded;
  const auto found = tries_.find(ended.try_id());
  if (found == tries_.end()) return;
  RequestRecord& request = requests_[found->second.request];
  switch (ended.how()) {
    case TryEnded::SERVED: {
      request.took_ms = static_cast<float>(static_cast<double>(at - request.due_us) / 1000);
      const auto klass = static_cast<int>(request.klass);
      const std::int64_t aim = klass < header_.classes_size() ? header_.classes(klass).aim_us() : 0;
      request.end = at - request.due_us <= aim ? kInTime : kLate;
      return;
    }
    case TryEnded::REFUSED:
      ++refusals_.At(Second(at));
      if (ended.retry_after_us() > 0) ++retry_afters_.At(Second(at));
      request.end = kRefused;
      return;
    case TryEnded::LEFT:
      found->second.left = true;
      request.end = kLeft;
      return;
    case TryEnded::LOST:
      request.end = kLost;
      return;
    case TryEnded::NOT_TAKEN:
      request.end = kNotTaken;
      return;
    default:
      request.end = kFailed;
      return;
  }
}

void Analysis::ClaimOver(std::int64_t at, const ClaimEnded& ended) {
  const auto claim = claims_.find(ended.claim_id());
  if (claim == claims_.end()) return;
  ServerRecord& machine = machines_[claim->second.machine];
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
  ServerRecord& machine = machines_[changed.machine()];
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
    TroubleSpan& begun = troubles_.emplace_back();
    begun.name = trouble.name();
    begun.detail = trouble.detail();
    begun.from_s = Since(at);
    begun.machines.assign(trouble.machines().begin(), trouble.machines().end());
    begun.sidecars.assign(trouble.on_sidecars().begin(), trouble.on_sidecars().end());
    return;
  }
  for (TroubleSpan& begun : troubles_) {
    if (begun.name != trouble.name() || std::isfinite(begun.until_s)) continue;
    begun.until_s = Since(at);
    return;
  }
}

std::vector<ServiceTally> Analysis::BySecond(std::size_t length) const {
  std::vector<ServiceTally> tallies(length);
  for (const RequestRecord& request : requests_)
    tallies[request.second].Add(request, LateWorth(request.klass));
  return tallies;
}

ordered_json Analysis::SecondsJson(std::size_t length) const {
  const std::vector<ServiceTally> seconds = BySecond(length);
  ordered_json out;
  const auto column = [&](const char* name, auto value) {
    ordered_json& list = out[name] = ordered_json::array();
    for (const ServiceTally& tally : seconds) list.push_back(value(tally));
  };
  column("asked", [](const ServiceTally& tally) { return Number(tally.asked); });
  for (std::size_t end = 0; end < kOutcomes.size(); ++end) {
    column(kOutcomes[end], [end](const ServiceTally& tally) { return Number(tally.ends[end]); });
  }
  const auto share = [](double part, double whole) {
    return whole > 0 ? Number(part / whole) : ordered_json();
  };
  column("worth", [&](const ServiceTally& tally) { return share(tally.with_late, tally.worth); });
  column("worth_in_time", [&](const ServiceTally& tally) { return share(tally.earned, tally.worth); });
  const std::pair<const char*, double> percentiles[] = {{"p50_ms", 0.5}, {"p90_ms", 0.9}, {"p99_ms", 0.99}};
  for (const auto& [name, at] : percentiles) {
    column(name, [at = at](const ServiceTally& tally) {
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

std::size_t Analysis::LengthS() const {
  std::size_t length = Second(std::max<std::int64_t>(length_us_ - 1, first_us_)) + 1;
  for (const RequestRecord& request : requests_) length = std::max(length, request.second + 1);
  for (const Column* column : {&tries_sent_, &claims_sent_}) length = std::max(length, column->size());
  return length;
}

// Of the seconds in which requests were due.
Analysis::Window Analysis::WorstWindow(std::size_t length) const {
  std::size_t arrivals = 0;
  for (const RequestRecord& request : requests_) arrivals = std::max(arrivals, request.second + 1);
  const std::vector<ServiceTally> seconds = BySecond(length);
  Window worst;
  worst.seconds = std::min(kWindowS, arrivals);
  for (std::size_t from = 0; from + worst.seconds <= arrivals; ++from) {
    double worth = 0, got = 0;
    for (std::size_t at = from; at < from + worst.seconds; ++at) {
      worth += seconds[at].worth;
      got += seconds[at].with_late;
    }
    if (Share(got, worth) >= worst.share) continue;
    worst.share = Share(got, worth);
    worst.from = from;
  }
  return worst;
}

Analysis::Served Analysis::CountServed() const {
  Served served;
  served.classes.resize(static_cast<std::size_t>(header_.classes_size()));
  for (const RequestRecord& request : requests_) {
    served.all.Add(request, LateWorth(request.klass));
    if (request.klass < served.classes.size())
      served.classes[request.klass].Add(request, LateWorth(request.klass));
  }
  for (std::size_t i = 0; i < served.classes.size(); ++i) {
    const double share = Share(served.classes[i].with_late, served.classes[i].worth);
    if (share >= served.worst_class_share) continue;
    served.worst_class_share = share;
    served.worst_class = i;
  }
  return served;
}

// NaN where the scenario states no goal.
double Analysis::Goal(double worth, double worst_window, double worst_class) const {
  if (!figures_) return std::numeric_limits<double>::quiet_NaN();
  const model::RuleFigures& rules = figures_->rules;
  const double weights = rules.goal_whole + rules.goal_worst_window + rules.goal_worst_class;
  if (weights <= 0) return worth;
  return (rules.goal_whole * worth + rules.goal_worst_window * worst_window +
          rules.goal_worst_class * worst_class) /
         weights;
}

ordered_json Analysis::FiguresJson(Served& served, const Window& worst_window) const {
  const ServiceTally& all = served.all;
  const double worth = Share(all.with_late, all.worth);
  const double requests = std::max(1.0, all.asked);
  return {{"goal", Number(Goal(worth, worst_window.share, served.worst_class_share))},
          {"worth", Number(worth)},
          {"in_time", Number(Share(all.earned, all.worth))},
          {"worst_window", Number(worst_window.share)},
          {"worst_class", Number(served.worst_class_share)},
          {"p50_ms", Number(Percentile(served.all.took_ms, 0.5))},
          {"p99_ms", Number(Percentile(served.all.took_ms, 0.99))},
          {"refused", Number(all.ends[kRefused] / requests)},
          {"tries", Number(tries_sent_.Sum() / requests)},
          {"claims", Number(claims_sent_.Sum() / requests)},
          {"dials", Number(dials_.Sum() / requests)},
          {"breaches", checker_.found()}};
}

void Analysis::AddEnds(const ServiceTally& tally, ordered_json& out) const {
  for (std::size_t end = 0; end < kOutcomes.size(); ++end) out[kOutcomes[end]] = Number(tally.ends[end]);
}

ordered_json Analysis::ClaimEndsJson() const {
  ordered_json out = ordered_json::object();
  for (std::size_t i = 0; i < claim_ends_.size(); ++i) {
    if (claim_ends_[i] == 0) continue;
    out[ClaimEnded::How_Name(static_cast<ClaimEnded::How>(i))] = Number(claim_ends_[i]);
  }
  return out;
}

ordered_json Analysis::ClassesJson(Served& served) const {
  ordered_json out = ordered_json::array();
  for (std::size_t i = 0; i < served.classes.size(); ++i) {
    ServiceTally& klass = served.classes[i];
    ordered_json one{{"name", header_.classes(static_cast<int>(i)).name()}, {"asked", Number(klass.asked)}};
    AddEnds(klass, one);
    one["worth"] = Number(Share(klass.with_late, klass.worth));
    one["p50_ms"] = Number(Percentile(klass.took_ms, 0.5));
    one["p90_ms"] = Number(Percentile(klass.took_ms, 0.9));
    one["p99_ms"] = Number(Percentile(klass.took_ms, 0.99));
    out.push_back(one);
  }
  return out;
}

ordered_json Analysis::TroublesJson() const {
  ordered_json out = ordered_json::array();
  for (const TroubleSpan& trouble : troubles_) {
    out.push_back({{"name", trouble.name},
                   {"from_s", Number(trouble.from_s)},
                   {"until_s", Number(trouble.until_s)},
                   {"machines", trouble.machines},
                   {"sidecars", trouble.sidecars},
                   {"detail", trouble.detail}});
  }
  return out;
}

ordered_json Analysis::CountsJson() const {
  ordered_json out = ordered_json::object();
  for (std::size_t i = 0; i < rules::kRules; ++i) {
    const std::uint64_t count = checker_.counts()[i];
    if (count > 0) out[std::string(rules::kRuleNames[i])] = count;
  }
  return out;
}

ordered_json Analysis::BreachesJson() {
  ordered_json out = ordered_json::array();
  for (const rules::Breach& breach : checker_.Breaches()) {
    if (out.size() == kMostLines) break;
    out.push_back({{"rule", rules::NameOf(breach.rule)},
                   {"s", Number(Since(breach.at_us))},
                   {"job", breach.job},
                   {"server", breach.server},
                   {"detail", breach.detail}});
  }
  return out;
}

ordered_json Analysis::Result(const record::Trailer& trailer, const back::Comeback* calm) {
  checker_.Finish();
  const std::size_t length = LengthS();
  Level(first_us_ + static_cast<std::int64_t>(length) * 1'000'000);
  Served served = CountServed();
  const Window worst_window = WorstWindow(length);

  ordered_json out;
  out["format"] = kResultFormat;
  out["scenario"] = header_.scenario();
  out["mode"] = header_.mode();
  out["seed"] = header_.seed();
  out["build"] = header_.build();
  out["length_s"] = length;
  out["entries"] = entries_ + 1;
  if (trailer.void_()) out["void"] = trailer.reason();
  out["figures"] = FiguresJson(served, worst_window);
  out["back"] = back_.ToJson(calm);
  AddBack(out["back"], out["figures"]);
  out["worst_window"] = {{"from_s", worst_window.from}, {"seconds", worst_window.seconds}};
  if (!served.classes.empty())
    out["worst_class"] = header_.classes(static_cast<int>(served.worst_class)).name();
  out["asked"] = Number(served.all.asked);
  out["servers_fallen"] = Number(fallen_);
  AddEnds(served.all, out["outcomes"]);
  out["claim_ends"] = ClaimEndsJson();
  out["classes"] = ClassesJson(served);
  out["seconds"] = SecondsJson(length);
  out["seconds"].update(back_.Columns(length, calm));
  out["machines"] = MachinesJson(length);
  out["blame"] = BlameServers(machines_, troubles_, length);
  out["troubles"] = TroublesJson();
  out["events"] = events_;
  out["events_left_out"] = events_seen_ - events_.size();
  out["counts"] = CountsJson();
  out["breaches"] = BreachesJson();
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
