#include "lab/report/panels.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace bitternmux::lab::report {
namespace {

using nlohmann::ordered_json;

// More rows or columns than these cannot be told apart on a page; the files have all of them.
constexpr std::size_t kMostRows = 24;
constexpr std::size_t kMostBins = 120;
constexpr std::size_t kMostTroubles = 16;
constexpr double kBarHeight = 0.8;  // of a row
constexpr double kInstantS = 0.5;   // what is shorter is drawn as a line

std::string Text(double value) { return ordered_json(value).dump(); }

ordered_json SecondsUpTo(std::size_t length) {
  ordered_json seconds = ordered_json::array();
  for (std::size_t s = 0; s < length; ++s) seconds.push_back(s);
  return seconds;
}

bool AllZero(const ordered_json& column) {
  return std::all_of(column.begin(), column.end(), [](const ordered_json& value) {
    return value.is_null() || (value.is_number() && value.get<double>() == 0);
  });
}

double Sum(const ordered_json& column) {
  double sum = 0;
  for (const ordered_json& value : column) sum += value.is_number() ? value.get<double>() : 0;
  return sum;
}

class Panels {
 public:
  Panels(const ordered_json& result, std::string prefix)
      : result_(result),
        seconds_(result.at("seconds")),
        prefix_(std::move(prefix)),
        length_(result.at("length_s").get<std::size_t>()) {
    for (const ordered_json& trouble : result_.at("troubles")) {
      const double from = trouble.at("from_s").get<double>();
      const double until = trouble.at("until_s").is_null() ? static_cast<double>(length_)
                                                           : trouble.at("until_s").get<double>();
      troubles_.push_back({trouble.at("name").get<std::string>(), from, until});
    }
    // The machines that tell the most: those that were blamed, and then those with the most claims.
    const ordered_json& machines = result_.at("machines");
    std::vector<std::pair<double, std::size_t>> order;
    for (std::size_t i = 0; i < machines.size(); ++i) {
      const double bad = Sum(machines[i].at("failed")) + Sum(machines[i].at("silent"));
      order.emplace_back(-1e9 * bad - Sum(machines[i].at("claims")), i);
    }
    std::sort(order.begin(), order.end());
    for (std::size_t i = 0; i < std::min(kMostRows, order.size()); ++i) rows_.push_back(order[i].second);
    std::sort(rows_.begin(), rows_.end());
  }

  std::vector<Figure> All() {
    Columns("service", "Service",
            "Share of the worth asked for in each second that was served, and served in time.",
            {{"worth", "served"}, {"worth_in_time", "in time"}}, "set yrange [0:1.05]\n", "lines");
    if (seconds_.contains("worth_calm")) {
      Columns(
          "back", "Coming back",
          "Share of the worth asked for in each second that was served, and that the same day serves without "
          "its troubles.",
          {{"worth", "served"}, {"worth_calm", "without troubles"}}, "set yrange [0:1.05]\n", "lines");
    }
    Columns("stampede", "At once, 1/s",
            "Dials, those that came to nothing, those of the server that got the most, first contacts of a "
            "sidecar's process with a server, and calls for the list; logarithmic.",
            {{"dials", "dials"},
             {"failed_dials", "failed"},
             {"dials_of_one_server", "of one server"},
             {"first_contacts", "first contacts"},
             {"list_calls", "list calls"}},
            "", "linespoints");
    Columns("latency", "Latency, ms", "Of what was served, by the second in which it was due; logarithmic.",
            {{"p50_ms", "p50"}, {"p90_ms", "p90"}, {"p99_ms", "p99"}}, "", "lines");
    Columns("outcomes", "Not served in time",
            "Wishes by how they ended, by the second in which they were due.",
            {{"late", "late"},
             {"refused", "refused"},
             {"failed", "failed"},
             {"lost", "lost"},
             {"left", "client left"},
             {"not_taken", "not taken"},
             {"open", "open"}},
            "set yrange [0:*]\n", "linespoints");
    Columns("traffic", "Traffic, 1/s", "What was asked for, and what became of it on the way.",
            {{"asked", "wishes"},
             {"tries", "tries"},
             {"claims", "claims"},
             {"dials", "dials"},
             {"probes", "probes"}},
            "set yrange [0:*]\n", "lines");
    Columns("refusals", "Refusals, 1/s",
            "Tries that were refused, and those of them that were told when to ask again.",
            {{"refusals", "refused"}, {"refusals_with_time", "Retry-After"}}, "set yrange [0:*]\n", "steps");
    Columns("levels", "Levels", "Over all sidecars, at each second's end.",
            {{"jobs_held", "jobs held"}, {"connections", "connections"}, {"memory_mb", "memory, MB"}},
            "set yrange [0:*]\n", "lines");
    Columns("servers", "Servers", "In which state how many execute nodes were, in truth.",
            {{"servers_up", "up"}, {"servers_cold", "of these cold"}, {"servers_draining", "draining"}},
            "set yrange [0:*]\n", "steps");
    Load();
    Blame();
    Events();
    return std::move(figures_);
  }

 private:
  struct Trouble {
    std::string name;
    double from, until;
  };
  using Shown = std::vector<std::pair<const char*, const char*>>;  // a column and its name for people

  // The axis of time, with the troubles behind all else; where that would be taken for something, as lines.
  std::string Axis(bool lines = false) const {
    std::string out = "set xrange [0:" + std::to_string(length_) + "]\n";
    for (std::size_t i = 0; i < std::min(troubles_.size(), kMostTroubles); ++i) {
      const Trouble& trouble = troubles_[i];
      const std::string from = Text(trouble.from), until = Text(std::max(trouble.until, trouble.from));
      const bool instant = trouble.until - trouble.from < kInstantS;
      if (instant || lines) out += Line(from);
      if (!instant && lines) out += Line(until);
      if (!instant && !lines) {
        out += "set object rectangle from " + from + ",graph 0 to " + until +
               ",graph 1 behind fc rgb '#e6e6e6' fs solid noborder\n";
      }
    }
    return out;
  }

  static std::string Line(const std::string& at) {
    return "set arrow from " + at + ",graph 0 to " + at + ",graph 1 nohead front lc rgb '#707070' dt 3\n";
  }

  // Without a setup, the axis is logarithmic.
  void Columns(const char* name, const char* title, const char* caption, const Shown& shown,
               const std::string& setup, const std::string& with) {
    Figure figure;
    figure.name = prefix_ + name;
    figure.title = title;
    figure.caption = caption;
    figure.data.Add("s", SecondsUpTo(length_));
    for (const auto& [column, label] : shown) figure.data.Add(label, seconds_.at(column));
    figure.commands = Axis() + (setup.empty() ? LogAxis(figure.data) : setup) + "set ylabel " +
                      Quoted(title) + " offset 1\n" + Curves(figure.data, 2, figure.data.names.size(), with);
    figures_.push_back(std::move(figure));
  }

  std::string RowLabel(const ordered_json& machine) const {
    const std::string id = machine.at("id").get<std::string>();
    return (id.empty() ? std::to_string(machine.at("machine").get<int>()) : id) + " " +
           machine.at("kind").get<std::string>();
  }

  // One row for each of the machines shown, the first on top.
  std::string RowAxis() const {
    std::string ticks;
    for (std::size_t row = 0; row < rows_.size(); ++row) {
      ticks += (row == 0 ? "" : ", ") + Quoted(RowLabel(result_.at("machines")[rows_[row]])) + " " +
               std::to_string(row);
    }
    return "unset grid\nset ytics (" + ticks + ") font ',9'\nset yrange [" + std::to_string(rows_.size()) +
           " - 0.4:-0.6]\n";
  }
  int RowsHeight() const { return 60 + 17 * static_cast<int>(rows_.size()); }
  std::string LeftOut() const {
    const std::size_t all = result_.at("machines").size();
    return all > rows_.size() ? " Shown are " + std::to_string(rows_.size()) + " of " + std::to_string(all) +
                                    ": those that failed or were silent most, and then the busiest."
                              : "";
  }
  std::size_t BinS() const { return (length_ + kMostBins - 1) / kMostBins; }

  void Load() {
    Figure figure;
    figure.name = prefix_ + "load";
    figure.title = "Load over execute nodes";
    figure.caption = "Claims a second, the darker the more." + LeftOut();
    figure.height = RowsHeight();
    ordered_json s = ordered_json::array(), row = s, machine = s, claims = s;
    const std::size_t bin = BinS();
    for (std::size_t r = 0; r < rows_.size(); ++r) {
      const ordered_json& one = result_.at("machines")[rows_[r]];
      for (std::size_t from = 0; from < length_; from += bin) {
        const std::size_t until = std::min(from + bin, length_);
        double sum = 0;
        for (std::size_t at = from; at < until; ++at) sum += one.at("claims")[at].get<double>();
        s.push_back(from);
        row.push_back(r);
        machine.push_back(one.at("id"));
        claims.push_back(std::round(sum / static_cast<double>(until - from) * 100) / 100);
      }
    }
    figure.data.Add("s", s).Add("row", row).Add("machine", machine).Add("claims", claims);
    const std::string width = std::to_string(bin);
    figure.commands =
        Axis(true) + RowAxis() +
        "set palette defined (0 '#ffffff', 0.04 '#e0e0e0', 0.3 '#909090', 1 '#000000')\nset cbrange [0:*]\n"
        "set colorbox user origin 0.86,0.25 size 0.015,0.6\nset cblabel 'claims/s'\nunset key\n"
        "plot csv using ($4 > 0 ? $1 + 0.5 * " +
        width + " : NaN):2:1:($1 + " + width + "):($2 - " + Text(kBarHeight / 2) + "):($2 + " +
        Text(kBarHeight / 2) + "):4 with boxxyerror fs solid noborder fc palette";
    if (rows_.empty() || Sum(figure.data.columns[3]) == 0) return;
    figures_.push_back(std::move(figure));
  }

  void Blame() {
    Figure figure;
    figure.name = prefix_ + "blame";
    figure.title = "Who failed, was silent or declined";
    figure.caption =
        "Claims that ended so in a second, the larger the more: failed (an error, a spoilt answer, a reset), "
        "silent "
        "(given up by the sidecar or overdue), declined unseen." +
        LeftOut();
    figure.height = RowsHeight();
    ordered_json s = ordered_json::array(), row = s, machine = s, failed = s, silent = s, declined = s;
    for (std::size_t r = 0; r < rows_.size(); ++r) {
      const ordered_json& one = result_.at("machines")[rows_[r]];
      for (std::size_t at = 0; at < length_; ++at) {
        const ordered_json &f = one.at("failed")[at], &q = one.at("silent")[at], &d = one.at("declined")[at];
        if (f == 0 && q == 0 && d == 0) continue;
        s.push_back(at);
        row.push_back(r);
        machine.push_back(one.at("id"));
        failed.push_back(f);
        silent.push_back(q);
        declined.push_back(d);
      }
    }
    if (s.empty()) return;
    figure.data.Add("s", s).Add("row", row).Add("machine", machine);
    figure.data.Add("failed", failed).Add("silent", silent).Add("declined", declined);
    // Area grows with the count, up to what still lets the next second be seen.
    const auto points = [](int column, const char* style, const char* title) {
      const std::string value = "$" + std::to_string(column);
      return "csv using ($1 + 0.5):(" + value + " > 0 ? $2 : NaN):(" + value + " > 9 ? 1.2 : 0.4 * sqrt(" +
             value + ")) with points ps variable " + style + " title '" + title + "'";
    };
    figure.commands = Axis() + RowAxis() + "plot " + points(6, "pt 1 lc rgb '#808080'", "declined") + ", " +
                      points(4, "pt 2 lw 1.5 lc rgb '#000000'", "failed") + ", " +
                      points(5, "pt 6 lw 1.5 lc rgb '#b5460f'", "silent");
    figures_.push_back(std::move(figure));
  }

  void Events() {
    Figure figure;
    figure.name = prefix_ + "events";
    figure.title = "Events";
    figure.caption =
        "Troubles as bars; below them what happened to servers and sidecars, what discovery had to tell "
        "(list), "
        "and breaches. The file of numbers says whom each is about.";
    ordered_json from = ordered_json::array(), until = from, row = from, what = from, whom = from,
                 detail = from;
    const auto add = [&](double at, double end, std::size_t in, const std::string& kind,
                         const std::string& of, const std::string& more) {
      from.push_back(at);
      until.push_back(end);
      row.push_back(in);
      what.push_back(kind);
      whom.push_back(of);
      detail.push_back(more);
    };
    std::vector<std::string> labels;
    std::map<std::string, std::size_t> trouble_rows;
    for (const Trouble& trouble : troubles_) {
      if (trouble_rows.count(trouble.name) == 0) {
        if (trouble_rows.size() == kMostTroubles) continue;
        trouble_rows.emplace(trouble.name, labels.size());
        labels.push_back(trouble.name);
      }
      add(trouble.from, std::max(trouble.until, trouble.from + 0.3), trouble_rows[trouble.name], "trouble",
          trouble.name, "");
    }
    const std::size_t bars = from.size();
    const std::pair<const char*, const char*> kinds[] = {
        {"server", "servers"}, {"listed", "list"}, {"sidecar", "sidecars"}, {"note", "notes"}};
    for (const auto& [kind, label] : kinds) {
      bool any = false;
      for (const ordered_json& event : result_.at("events")) {
        if (event.at("what") != kind) continue;
        any = true;
        const double at = event.at("s").get<double>();
        add(at, at, labels.size(), kind, event.at("whom").get<std::string>(),
            event.at("detail").get<std::string>());
      }
      if (any) labels.emplace_back(label);
    }
    for (const ordered_json& breach : result_.at("breaches")) {
      const double at = breach.at("s").get<double>();
      add(at, at, labels.size(), "breach", breach.at("server").get<std::string>(),
          breach.at("rule").get<std::string>());
    }
    if (!result_.at("breaches").empty()) labels.emplace_back("breaches");
    if (labels.empty()) return;
    figure.data.Add("from_s", from).Add("until_s", until).Add("row", row);
    figure.data.Add("what", what).Add("whom", whom).Add("detail", detail);
    std::string ticks;
    for (std::size_t i = 0; i < labels.size(); ++i) {
      ticks += (i == 0 ? "" : ", ") + Quoted(labels[i]) + " " + std::to_string(i);
    }
    figure.height = 80 + 20 * static_cast<int>(labels.size());
    const std::string point = "$0 >= " + std::to_string(bars) + " && ";
    const auto marks = [&](const std::string& which, const char* style, const char* title) {
      return ", csv using (" + point + which + " ? $1 : NaN):3 with points lw 1.2 lc rgb '#000000' " + style +
             " title '" + title + "'";
    };
    figure.commands =
        "set xrange [0:" + std::to_string(length_) + "]\nset ytics (" + ticks + ") font ',10'\nset yrange [" +
        std::to_string(labels.size()) +
        " - 0.4:-0.6]\nset xlabel 'seconds since the first arrival' offset 0,0.5\nset bmargin 3\n"
        "up(what) = what eq 'UP' || what eq 'STARTED' || what eq 'READY'\n"
        "told(what) = what eq 'DRAINING' || what eq 'TERM' || what eq 'HUP'\n"
        "plot csv using ($0 < " +
        std::to_string(bars) +
        " ? $1 : NaN):3:($2 - $1):(0) with vectors nohead lw 9 lc rgb '#a0a0a0' title 'trouble'" +
        marks("up(strcol(6))", "pt 8 ps 0.8", "up") +
        marks("told(strcol(6))", "pt 4 ps 0.6", "drains, signal") +
        marks("!up(strcol(6)) && !told(strcol(6))", "pt 2 ps 0.6", "over, breach");
    figures_.push_back(std::move(figure));
  }

  const ordered_json& result_;
  const ordered_json& seconds_;
  const std::string prefix_;
  const std::size_t length_;
  std::vector<Trouble> troubles_;
  std::vector<std::size_t> rows_;  // of the machines
  std::vector<Figure> figures_;
};

}  // namespace

std::string Curves(const Table& table, std::size_t from, std::size_t until, const std::string& with,
                   const std::string& more) {
  std::vector<std::size_t> shown;
  for (std::size_t c = from; c <= until; ++c) {
    if (!AllZero(table.columns[c - 1])) shown.push_back(c);
  }
  if (shown.empty()) shown.push_back(from);
  std::string out = "plot ";
  for (const std::size_t c : shown) {
    out += (c == shown.front() ? "" : ", \\\n  ") + std::string("csv using 1:") + std::to_string(c) +
           " with " + with + " ls " + std::to_string((c - from) % kStyles + 1) + more + " title " +
           Quoted(table.names[c - 1]);
  }
  return out;
}

std::string LogAxis(const Table& table) {
  double least = 1e9, most = 0;
  for (std::size_t c = 1; c < table.columns.size(); ++c) {
    for (const ordered_json& value : table.columns[c]) {
      const double number = value.is_number() ? value.get<double>() : 0;
      if (number <= 0) continue;
      least = std::min(least, number);
      most = std::max(most, number);
    }
  }
  const int from = most > 0 ? static_cast<int>(std::floor(std::log10(least))) : 0;
  const int until = most > 0 ? static_cast<int>(std::ceil(std::log10(most))) : 1;
  return "set logscale y\nset yrange [1e" + std::to_string(from) + ":1e" +
         std::to_string(std::max(until, from + 1)) + "]\n";
}

std::vector<Figure> PanelsOf(const ordered_json& result, const std::string& prefix) {
  return Panels(result, prefix).All();
}

}  // namespace bitternmux::lab::report
