#include "lab/report/report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <tuple>
#include <utility>
#include <vector>

#include "lab/report/analysis.h"
#include "lab/report/compare.h"
#include "lab/report/figure.h"
#include "lab/report/files.h"
#include "lab/report/page.h"
#include "lab/report/panels.h"

namespace bitternmux::lab::report {
namespace {

namespace fs = std::filesystem;
using nlohmann::ordered_json;
using Cells = std::vector<std::vector<std::string>>;

constexpr std::size_t kMostDays = 16;     // that a page shows in detail
constexpr std::size_t kMostListed = 100;  // breaches or events in a table
constexpr double kChance = 0.05;

// Four digits after the point for shares, fewer for what is larger.
std::string Shown(double value, bool sign = false) {
  if (!std::isfinite(value)) return "";
  const double size = std::abs(value);
  const int digits = size >= 1000 ? 0 : size >= 100 ? 1 : size >= 10 ? 2 : 4;
  char text[64];
  std::snprintf(text, sizeof(text), sign ? "%+.*f" : "%.*f", digits, value);
  return text;
}
std::string Shown(const ordered_json& value) {
  if (value.is_null()) return "";
  if (value.is_string()) return value.get<std::string>();
  if (value.is_number_float()) return Shown(value.get<double>());
  return value.dump();
}
std::string Joined(const ordered_json& list) {
  std::string out;
  for (const ordered_json& item : list) out += (out.empty() ? "" : ", ") + Shown(item);
  return out;
}

double MeasureOf(const ordered_json& result, const char* measure) {
  const ordered_json& value = result.at("figures").at(measure);
  return value.is_null() ? std::nan("") : value.get<double>();
}

void AddBreaches(Page& page, const ordered_json& result) {
  const ordered_json& breaches = result.at("breaches");
  Cells rows;
  for (std::size_t i = 0; i < std::min(kMostListed, breaches.size()); ++i) {
    const ordered_json& breach = breaches[i];
    rows.push_back({breach.at("rule"), Shown(breach.at("s")), Shown(breach.at("job")), breach.at("server"),
                    breach.at("detail")});
  }
  page.Rows({"rule", "at, s", "job", "server", "detail"}, rows,
            "What the checker found: " + result.at("counts").dump() +
                (breaches.size() > kMostListed ? ", the first " + std::to_string(kMostListed) : ""));
}

void AddBlame(Page& page, const ordered_json& result) {
  Cells rows;
  const ordered_json& blame = result.at("blame");
  for (std::size_t i = 0; i < std::min(kMostListed, blame.size()); ++i) {
    const ordered_json& one = blame[i];
    const ordered_json& turned = one.at("turned_away_at_s");
    rows.push_back({one.at("id"), one.at("what"), Shown(one.at("from_s")), Shown(one.at("until_s")),
                    Shown(one.at("claims")) + " of " + Shown(one.at("of_ended")),
                    Shown(one.at("claims_a_second_before")), Shown(one.at("claims_a_second_in_it")),
                    turned.is_null() ? "no" : Shown(turned),
                    one.at("scripted").empty() ? "-" : Joined(one.at("scripted"))});
  }
  page.Rows({"server", "was", "from, s", "until, s", "claims that ended so", "claims/s before",
             "claims/s in it", "sidecars turned away at, s", "by the script"},
            rows,
            "Who failed or was silent, and when the sidecars turned away from it (less than a tenth of the "
            "claims that it got before).");
  if (rows.empty()) page.Paragraph("No execute node failed or was silent for long enough to be blamed.");
}

void AddTroubles(Page& page, const ordered_json& result) {
  Cells rows;
  const ordered_json& machines = result.at("machines");
  for (const ordered_json& trouble : result.at("troubles")) {
    std::string on;
    for (const ordered_json& number : trouble.at("machines")) {
      const auto found = std::find_if(machines.begin(), machines.end(), [&](const ordered_json& machine) {
        return machine.at("machine") == number;
      });
      on += (on.empty() ? "" : ", ") +
            (found == machines.end() ? number.dump() : found->at("id").get<std::string>());
    }
    if (!trouble.at("sidecars").empty())
      on += (on.empty() ? "sidecars " : "; sidecars ") + Joined(trouble.at("sidecars"));
    rows.push_back({trouble.at("name"), Shown(trouble.at("from_s")), Shown(trouble.at("until_s")),
                    on.empty() ? "-" : on, trouble.at("detail")});
    if (rows.size() == kMostListed) break;
  }
  page.Rows({"trouble", "from, s", "until, s", "on", "detail"}, rows, "What the script did.");
}

void AddBack(Page& page, const ordered_json& result) {
  const ordered_json& back = result.at("back");
  Cells rows;
  for (const ordered_json& one : back.value("full_service", ordered_json::array())) {
    if (rows.size() == kMostListed) break;
    const ordered_json &after = one.at("after_s"), &looked = one.at("looked_s");
    rows.push_back({one.at("trouble"), Shown(one.at("from_s")),
                    looked == 0       ? "not told"
                    : after.is_null() ? "never"
                                      : Shown(after),
                    Shown(looked), one.at("before").is_null() ? "-" : Shown(one.at("before"))});
  }
  page.Rows({"trouble", "from, s", "full service after, s", "looked at, s", "up to"}, rows,
            "Coming back: a second has full service if the five from it on serve 0.95 of what the same day "
            "serves in them without its troubles.");
  rows.clear();
  for (const auto& [name, peak] : back.at("peaks").items()) {
    if (!peak.is_null()) rows.push_back({name, Shown(peak.at("count")), Shown(peak.at("second"))});
  }
  page.Rows({"most in a second", "count", "at, s"}, rows, "From the first trouble on.");
  const ordered_json& starts = back.at("starts");
  if (starts.at("count") == 0) return;
  rows.clear();
  for (const char* name : {"first_answer_ms", "first_binding_answer_ms", "full_ms"}) {
    if (!starts.contains(name)) continue;
    const ordered_json& times = starts.at(name);
    rows.push_back({name, Shown(times.at("p50")), Shown(times.at("most")), Shown(times.at("never")),
                    Shown(times.value("untold", ordered_json()))});
  }
  page.Rows({"from the start of a process", "half within", "the slowest", "never", "too few wishes to tell"},
            rows, "Sidecars that started after the first arrival: " + Shown(starts.at("count")) + ".");
}

// All that there is to say about one run.
void AddDay(Page& page, const ordered_json& result, const std::string& prefix) {
  if (result.contains("void")) {
    page.Paragraph("This run is void, and nothing may be concluded from it: " + Shown(result.at("void")));
  }
  std::vector<std::string> head, row;
  for (const Measure& measure : kMeasures) {
    if (measure.of_back) continue;
    head.emplace_back(measure.title);
    row.push_back(Shown(result.at("figures").at(measure.name)));
  }
  page.Rows(head, {row});
  head = {"class", "asked"};
  for (const char* outcome : kOutcomes) head.emplace_back(outcome);
  for (const char* more : {"worth", "p50, ms", "p90, ms", "p99, ms"}) head.emplace_back(more);
  Cells rows;
  for (const ordered_json& klass : result.at("classes")) {
    row = {klass.at("name"), Shown(klass.at("asked"))};
    for (const char* outcome : kOutcomes) row.push_back(Shown(klass.at(outcome)));
    for (const char* more : {"worth", "p50_ms", "p90_ms", "p99_ms"}) row.push_back(Shown(klass.at(more)));
    rows.push_back(row);
  }
  page.Rows(head, rows);
  AddBreaches(page, result);
  if (result.at("breaches").empty() && !result.contains("void")) {
    page.Paragraph("The checker found nothing: all rules hold.");
  }
  AddBlame(page, result);
  AddTroubles(page, result);
  AddBack(page, result);
  for (Figure& figure : PanelsOf(result, prefix)) page.Plot(std::move(figure));
}

std::string About(const ordered_json& result) {
  return "Scenario " + Shown(result.at("scenario")) + ", seed " + Shown(result.at("seed")) + ", " +
         Shown(result.at("mode")) + " mode, version " + Shown(result.at("build")) + ", " +
         Shown(result.at("asked")) + " wishes, " + Shown(result.at("entries")) +
         " entries. Seconds count from the first arrival; grey bands are troubles.";
}

// ---- Sweeps ----

// A setting and a build: what is held against another.
struct Arm {
  std::string setting, build, name;
};

struct Played {
  std::string scenario, setting, build;
  std::uint64_t seed = 0;
  ordered_json result;  // null if there is none
};

class SweepReport {
 public:
  explicit SweepReport(const std::string& folder) : folder_(folder), page_(Load()) {}

  std::string Write() {
    Summary();
    Missing();
    for (const std::string& scenario : scenarios_) AddScenario(scenario);
    if (scenarios_.size() > 1) {
      page_.Heading(2, "Over all scenarios");
      Comparisons("", "all");
    }
    Chance();
    Runs();
    const std::string file = (folder_ / "report.html").string();
    WriteFile((folder_ / "comparisons.json").string(), comparisons_.dump(1) + "\n");
    page_.Write(file);
    return file;
  }

 private:
  // Gives the page's title.
  std::string Load() {
    const std::string file = (folder_ / "experiment.json").string();
    plan_ = Parsed(file);
    try {
      scenarios_ = plan_.at("scenarios").get<std::vector<std::string>>();
      const auto settings = plan_.at("settings").get<std::vector<std::string>>();
      for (const std::string& setting : settings) {
        for (const ordered_json& build : plan_.at("builds")) {
          const std::string name = build.at("name");
          const bool many = plan_.at("builds").size() > 1;
          arms_.push_back({setting, name,
                           settings.size() == 1 && many ? name
                           : many                       ? setting + ", " + name
                                                        : setting});
        }
      }
      for (const ordered_json& run : plan_.at("runs")) {
        Played played{
            run.at("scenario"), run.at("setting"), run.at("build"), run.at("seed").get<std::uint64_t>(), {}};
        const fs::path path = folder_ / run.at("file").get<std::string>();
        if (fs::exists(path)) {
          ordered_json stored = Parsed(path.string());
          ordered_json identity = run;
          identity.erase("file");
          if (stored.at("run") == identity) played.result = std::move(stored.at("result"));
        }
        runs_.push_back(std::move(played));
      }
      return plan_.at("name").get<std::string>();
    } catch (const ordered_json::exception& error) {
      throw std::runtime_error(file + ": " + error.what());
    }
  }

  static ordered_json Parsed(const std::string& file) {
    ordered_json json = ordered_json::parse(ReadFile(file), nullptr, /*allow_exceptions=*/false);
    if (!json.is_object()) throw std::runtime_error(file + ": no JSON object");
    return json;
  }

  void Summary() {
    page_.Paragraph(Shown(plan_.at("about")));
    std::size_t there = 0, broken = 0, voided = 0;
    for (const Played& run : runs_) {
      if (run.result.is_null()) continue;
      ++there;
      broken += MeasureOf(run.result, "breaches") > 0;
      voided += run.result.contains("void");
    }
    page_.Paragraph(std::to_string(there) + " of " + std::to_string(runs_.size()) + " runs were played; " +
                    std::to_string(broken) + " broke rules, " + std::to_string(voided) +
                    " are void and compared with nothing.");
    Cells rows;
    for (std::size_t i = 0; i < arms_.size(); ++i) {
      if (const Arm* base = BaseOf(i)) rows.push_back({arms_[i].name, base->name});
    }
    page_.Rows({"this", "is compared with"}, rows);
  }

  void Missing() {
    Cells rows;
    for (const Played& run : runs_) {
      if (!run.result.is_null() || rows.size() == kMostListed) continue;
      rows.push_back({run.scenario, run.setting, run.build, std::to_string(run.seed)});
    }
    page_.Rows({"scenario", "setting", "build", "seed"}, rows, "Runs without a result.");
  }

  // Of the same setting the first build, else of the same build the first setting; null for the first of all.
  const Arm* BaseOf(std::size_t arm) const {
    const Arm& first = arms_.front();
    if (arm == 0) return nullptr;
    for (const Arm& other : arms_) {
      const bool by_build = arms_[arm].build != first.build && other.build == first.build &&
                            other.setting == arms_[arm].setting;
      const bool by_setting =
          arms_[arm].build == first.build && other.build == first.build && other.setting == first.setting;
      if (by_build || by_setting) return &other;
    }
    return nullptr;
  }

  // Those of an arm that count, by scenario and seed; of all scenarios if none is named.
  std::map<std::pair<std::string, std::uint64_t>, const ordered_json*> Results(
      const Arm& arm, const std::string& scenario) const {
    std::map<std::pair<std::string, std::uint64_t>, const ordered_json*> out;
    for (const Played& run : runs_) {
      if (run.setting != arm.setting || run.build != arm.build || run.result.is_null() ||
          run.result.contains("void") || (!scenario.empty() && run.scenario != scenario)) {
        continue;
      }
      out.emplace(std::pair(run.scenario, run.seed), &run.result);
    }
    return out;
  }

  void Comparisons(const std::string& scenario, const std::string& name) {
    for (std::size_t i = 0; i < arms_.size(); ++i) {
      const Arm* base = BaseOf(i);
      if (base == nullptr) continue;
      const auto from = Results(*base, scenario), to = Results(arms_[i], scenario);
      Cells rows;
      for (const Measure& measure : kMeasures) {
        std::vector<double> before, after;
        for (const auto& [key, result] : to) {
          const auto pair = from.find(key);
          if (pair == from.end()) continue;
          const double a = MeasureOf(*pair->second, measure.name), b = MeasureOf(*result, measure.name);
          if (!std::isfinite(a) || !std::isfinite(b)) continue;
          before.push_back(a);
          after.push_back(b);
        }
        if (before.empty()) continue;
        const Comparison compared = Compare(before, after);
        ++tests_;
        by_chance_ += compared.p < kChance;
        const std::size_t better = measure.more_is_better ? compared.more : compared.less;
        const std::size_t worse = measure.more_is_better ? compared.less : compared.more;
        const Spread& by = compared.difference;
        rows.push_back({measure.title, Range(compared.from), Range(compared.to), Shown(by.mean, true),
                        Shown(by.deviation), Shown(by.median, true),
                        Shown(by.least, true) + " to " + Shown(by.most, true), std::to_string(better),
                        std::to_string(worse), std::to_string(compared.same), Probability(compared.p)});
        comparisons_.push_back({{"scenario", name},
                                {"this", arms_[i].name},
                                {"with", base->name},
                                {"measure", measure.name},
                                {"pairs", compared.pairs},
                                {"with_mean", compared.from.mean},
                                {"this_mean", compared.to.mean},
                                {"difference_mean", by.mean},
                                {"difference_deviation", by.deviation},
                                {"difference_least", by.least},
                                {"difference_lower_quartile", by.lower},
                                {"difference_median", by.median},
                                {"difference_upper_quartile", by.upper},
                                {"difference_most", by.most},
                                {"better", better},
                                {"worse", worse},
                                {"same", compared.same},
                                {"sign_test_p", compared.p}});
      }
      page_.Rows({"", base->name, arms_[i].name, "difference, mean", "its deviation", "median",
                  "least to most", "better", "worse", "same", "sign test p"},
                 rows,
                 arms_[i].name + " beside " + base->name +
                     ", seed by seed: mean (least to most) of each, and the "
                     "difference.");
    }
  }
  static std::string Range(const Spread& spread) {
    return Shown(spread.mean) + " (" + Shown(spread.least) + " to " + Shown(spread.most) + ")";
  }
  static std::string Probability(double p) {
    char text[32];
    std::snprintf(text, sizeof(text), p < 0.001 ? "%.1e" : "%.3f", p);
    return text;
  }

  void Chance() {
    if (tests_ == 0) return;
    char text[16];
    std::snprintf(text, sizeof(text), "%.1f", kChance * static_cast<double>(tests_));
    page_.Paragraph("Sign test: two-sided and exact over the seeds that differ. " + std::to_string(tests_) +
                    " comparisons were made, and " + std::to_string(by_chance_) +
                    " have a p below 0.05; were "
                    "nothing different, up to about " +
                    text + " would by chance alone.");
  }

  // A column for each arm, each from the values that `of` gives for its results.
  template <class Of>
  Figure ByArm(const std::string& name, const std::string& title, ordered_json axis, const char* axis_name,
               Of of) {
    Figure figure;
    figure.name = name;
    figure.title = title;
    figure.height = 230;
    figure.data.Add(axis_name, std::move(axis));
    for (const Arm& arm : arms_) figure.data.Add(arm.name, of(arm));
    return figure;
  }

  void AddScenario(const std::string& scenario) {
    page_.Heading(2, scenario);
    const std::string prefix = scenario + "-";
    const auto seeds = plan_.at("seeds").get<std::vector<std::uint64_t>>();
    ordered_json axis = seeds;
    Figure worth = ByArm(prefix + "by-seed", "Worth served, by seed", axis, "seed", [&](const Arm& arm) {
      const auto results = Results(arm, scenario);
      ordered_json column = ordered_json::array();
      for (const std::uint64_t seed : seeds) {
        const auto found = results.find({scenario, seed});
        column.push_back(found == results.end() ? ordered_json() : found->second->at("figures").at("worth"));
      }
      return column;
    });
    worth.caption = "Share of the worth asked for that was served in each run.";
    worth.commands =
        "set xrange [" + std::to_string(seeds.front()) + " - 0.6:" + std::to_string(seeds.back()) +
        " + 0.6]\nset offsets 0,0,graph 0.05,graph 0.05\nset xlabel 'seed' offset 0,0.5\nset bmargin 3\n"
        "set ylabel 'worth' offset 1\n" +
        Curves(worth.data, 2, worth.data.names.size(), "points", " ps 1.1 lw 1.5");
    page_.Plot(std::move(worth));
    Median(scenario, "service-by-second", "worth", "Service by second",
           "Share of the worth asked for in each second that was served: the median over the seeds.",
           "set yrange [0:1.05]\n");
    Median(scenario, "p99-by-second", "p99_ms", "p99 by second, ms",
           "99th percentile of the latency of what was served: the median over the seeds; logarithmic.", "");
    Comparisons(scenario, scenario);
    for (const Arm& arm : arms_) WorstDay(scenario, arm);
  }

  // Without a setup, the axis is logarithmic.
  void Median(const std::string& scenario, const std::string& name, const char* column, const char* title,
              const char* caption, const std::string& setup) {
    std::size_t length = 0;
    for (const Arm& arm : arms_) {
      for (const auto& [key, result] : Results(arm, scenario)) {
        length = std::max(length, result->at("length_s").get<std::size_t>());
      }
    }
    if (length == 0) return;
    ordered_json axis = ordered_json::array();
    for (std::size_t s = 0; s < length; ++s) axis.push_back(s);
    Figure figure = ByArm(scenario + "-" + name, title, axis, "s", [&](const Arm& arm) {
      const auto results = Results(arm, scenario);
      ordered_json medians = ordered_json::array();
      for (std::size_t s = 0; s < length; ++s) {
        std::vector<double> values;
        for (const auto& [key, result] : results) {
          const ordered_json& all = result->at("seconds").at(column);
          if (s < all.size() && !all[s].is_null()) values.push_back(all[s].get<double>());
        }
        medians.push_back(values.empty() ? ordered_json() : ordered_json(SpreadOf(values).median));
      }
      return medians;
    });
    figure.caption = caption;
    figure.commands = "set xrange [0:" + std::to_string(length) +
                      "]\nset xlabel 'seconds since the first arrival' "
                      "offset 0,0.5\nset bmargin 3\nset ylabel " +
                      Quoted(title) + " offset 1\n" + (setup.empty() ? LogAxis(figure.data) : setup) +
                      Curves(figure.data, 2, figure.data.names.size(), "lines");
    page_.Plot(std::move(figure));
  }

  void WorstDay(const std::string& scenario, const Arm& arm) {
    const ordered_json* worst = nullptr;
    for (const auto& [key, result] : Results(arm, scenario)) {
      const auto rank = [](const ordered_json& of) {
        return std::pair(-MeasureOf(of, "breaches"), MeasureOf(of, "worth"));
      };
      if (worst == nullptr || rank(*result) < rank(*worst)) worst = result;
    }
    if (worst == nullptr) return;
    page_.Heading(3, scenario + ", " + arm.name + ": the worst day, seed " + Shown(worst->at("seed")));
    if (days_ == kMostDays) {
      page_.Paragraph("Left out, as this page shows " + std::to_string(kMostDays) +
                      " days already: its record, if it "
                      "is kept, makes a page of its own.");
      return;
    }
    page_.Paragraph(About(*worst));
    AddDay(page_, *worst, "day" + std::to_string(days_++) + "-");
  }

  void Runs() {
    page_.Heading(2, "All runs");
    Table table;
    std::vector<std::string> head = {"scenario", "setting", "build", "seed"};
    for (const Measure& measure : kMeasures) head.emplace_back(measure.name);
    head.emplace_back("void");
    std::vector<ordered_json> columns(head.size(), ordered_json::array());
    Cells rows;
    for (const Played& run : runs_) {
      if (run.result.is_null()) continue;
      std::vector<ordered_json> cells = {run.scenario, run.setting, run.build, run.seed};
      for (const Measure& measure : kMeasures) cells.push_back(run.result.at("figures").at(measure.name));
      cells.push_back(run.result.contains("void") ? run.result.at("void") : ordered_json(""));
      std::vector<std::string>& row = rows.emplace_back();
      for (std::size_t c = 0; c < cells.size(); ++c) {
        row.push_back(Shown(cells[c]));
        columns[c].push_back(cells[c]);
      }
    }
    for (std::size_t c = 0; c < head.size(); ++c) table.Add(head[c], columns[c]);
    WriteFile((folder_ / "runs.csv").string(), table.Csv());
    page_.Rows(head, rows, "Also in runs.csv.");
  }

  const fs::path folder_;
  ordered_json plan_;
  std::vector<std::string> scenarios_;
  std::vector<Arm> arms_;
  std::vector<Played> runs_;
  Page page_;
  ordered_json comparisons_ = ordered_json::array();
  std::size_t tests_ = 0, by_chance_ = 0, days_ = 0;
};

}  // namespace

std::string ReportRecord(const std::string& record, const std::string& folder, const std::string& calm) {
  record::FileSource source(record);
  std::optional<record::FileSource> calm_source;
  if (!calm.empty()) calm_source.emplace(calm);
  const ordered_json result = Analyse(source, calm_source ? &*calm_source : nullptr);
  fs::create_directories(folder);
  WriteFile((fs::path(folder) / "result.json").string(), result.dump(1) + "\n");
  Page page(Shown(result.at("scenario")) + ", seed " + Shown(result.at("seed")));
  page.Paragraph(About(result));
  AddDay(page, result, "day-");
  const std::string file = (fs::path(folder) / "report.html").string();
  page.Write(file);
  return file;
}

std::string ReportSweep(const std::string& folder) {
  try {
    return SweepReport(folder).Write();
  } catch (const ordered_json::exception& error) {
    throw std::runtime_error(folder + ": a result cannot be read: " + error.what());
  }
}

}  // namespace bitternmux::lab::report
