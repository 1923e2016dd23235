#include "lab/capacity/rows.h"

#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include "lab/scenario/reader.h"
#include "lab/scenario/scenario.h"

namespace bitternmux::lab::capacity {
namespace {

using scenario::Faults;
using scenario::Reader;
using scenario::ScenarioError;

constexpr double kLargest = 1e15;
constexpr const char* kNoMechanism = "none";

std::vector<std::string_view> Views(const std::vector<std::string>& words) {
  return {words.begin(), words.end()};
}

bool IsSizeKey(const std::string& name) {
  const auto& keys = SizeKeys();
  return std::any_of(keys.begin(), keys.end(), [&](const SizeKey& key) { return key.name == name; });
}

class Parser {
 public:
  Parser(const toml::table& table, const std::string& file)
      : table_(table), faults_(file), reader_(&table_, "", seeds_, faults_) {}

  Rows All() {
    Size();
    const toml::array* list = table_["row"].as_array();
    std::vector<Reader> readers = reader_.Tables("row");
    if (readers.empty()) reader_.Fault("row", "there must be rows");
    if (readers.size() > kMostRows) reader_.Fault("row", "more than " + std::to_string(kMostRows));
    for (std::size_t i = 0; list != nullptr && i < readers.size(); ++i) {
      const toml::table* table = (*list)[i].as_table();
      if (table == nullptr) break;  // told by Tables
      OneRow(readers[i], *table);
    }
    reader_.Finish();
    if (!faults_.empty()) throw ScenarioError(faults_.Lines());
    return std::move(out_);
  }

 private:
  void Size() {
    Reader size = reader_.Table("size");
    const toml::table* table = table_["size"].as_table();
    if (table == nullptr) {
      if (!reader_.Has("size")) reader_.Fault("size", "must be there");
      return;
    }
    for (const SizeKey& key : SizeKeys()) {
      if (!size.Has(key.name)) size.Fault(key.name, "must be there");
      out_.size[key.name] = Exact(size, *table, key.name, 0, {0, kLargest});
    }
    size.Finish();
  }

  // The reader would draw from a range.
  double Exact(Reader& reader, const toml::table& table, std::string_view key, double absent,
               scenario::Bounds bounds) {
    if (const toml::node* node = table.get(key); node != nullptr && node->is_array()) {
      reader.Keep({key});
      reader.Fault(key, "must be a number");
      return absent;
    }
    return reader.Number(key, absent, bounds);
  }

  std::string Needed(Reader& reader, std::string_view key) {
    const std::string text = reader.Text(key, "");
    if (text.empty()) reader.Fault(key, "must be there, a text");
    return text;
  }

  // A number or a size key; rows above too, where these are `allowed`.
  Term OneTerm(Reader& reader, const std::string& key, const std::string& shown, const toml::node* node,
               bool rows_allowed) {
    Term term;
    if (node == nullptr) {
      reader.Fault(key, "must be there");
    } else if (node->is_number()) {
      term.number = node->value<double>().value_or(NAN);
      if (!std::isfinite(term.number)) reader.Fault(key, shown + "must be a finite number");
    } else if (node->is_string()) {
      term.name = node->value<std::string>().value_or("");
      const bool above = rows_allowed && out_.Find(term.name) != nullptr;
      if (!above && !IsSizeKey(term.name)) {
        reader.Fault(
            key, shown + "'" + term.name + "' is no key of size" + (rows_allowed ? " and no row above" : ""));
      }
    } else {
      reader.Fault(key, shown + "must be a number or a name");
    }
    return term;
  }

  std::vector<Term> Terms(Reader& reader, const toml::table& table, const std::string& key) {
    reader.Keep({key});
    std::vector<Term> terms;
    const toml::array* list = table[key].as_array();
    if (list == nullptr || list->empty()) {
      reader.Fault(key, "must be a list of numbers and names");
      return terms;
    }
    for (const toml::node& node : *list) terms.push_back(OneTerm(reader, key, "", &node, true));
    const bool of_size = std::all_of(terms.begin(), terms.end(), [](const Term& term) {
      return term.name.empty() || IsSizeKey(term.name);
    });
    if (key != "per" && of_size) {
      reader.Fault(key, "must name a row above: what comes of the size alone was not measured");
    }
    return terms;
  }

  void OneRow(Reader& reader, const toml::table& table) {
    Row row;
    row.name = Needed(reader, "name");
    if (out_.Find(row.name) != nullptr) reader.Fault("name", "is there twice");
    if (IsSizeKey(row.name)) reader.Fault("name", "is a key of size");
    if (!reader.Has("role")) reader.Fault("role", "must be there");
    row.role = Roles()[reader.Word("role", Views(Roles()), 0)];
    if (reader.Has("section")) row.section = Sections()[reader.Word("section", Views(Sections()), 0)];
    if (!reader.Has("quantity")) reader.Fault("quantity", "must be there");
    row.quantity = Quantities()[reader.Word("quantity", Views(Quantities()), 0)];
    row.what = Needed(reader, "what");
    row.mechanism = Needed(reader, "mechanism");
    if (reader.Has("rests_on")) {
      reader.Word("rests_on", {"stand-in"}, 0);
      row.stand_in = true;
    }
    Figure(reader, table, row);
    if (reader.Has("line")) {
      reader.Keep({"line"});
      row.line = OneTerm(reader, "line", "", table.get("line"), false);
      row.line_factor = Exact(reader, table, "line_factor", 1, {0, kLargest});
      row.line_is_least = reader.Word("line_is", {"most", "least"}, 0) == 1;
    }
    reader.Finish();
    out_.rows.push_back(std::move(row));
  }

  void Figure(Reader& reader, const toml::table& table, Row& row) {
    const bool measured = reader.Flag("measured", false);
    const int ways = (reader.Has("figure") ? 1 : 0) + (reader.Has("product") ? 1 : 0) +
                     (reader.Has("sum") ? 1 : 0) + (reader.Has("not_measured") ? 1 : 0);
    if (ways != 1) {
      reader.Fault("figure", "one of figure, product, sum and not_measured must be there, and only one");
      reader.Keep({"figure", "part", "where", "over", "at", "product", "per", "sum", "not_measured", "unit",
                   "factor"});
      return;
    }
    if (reader.Has("not_measured")) {
      row.not_measured = Needed(reader, "not_measured");
      row.unit = reader.Text("unit", "");
      return;
    }
    row.unit = Needed(reader, "unit");
    row.factor = Exact(reader, table, "factor", 1, {0, kLargest});
    if (reader.Has("product")) {
      row.way = Way::kProduct;
      row.product = Terms(reader, table, "product");
      if (reader.Has("per")) row.per = Terms(reader, table, "per");
    } else if (reader.Has("sum")) {
      row.way = Way::kSum;
      row.product = Terms(reader, table, "sum");
    } else {
      row.way = measured ? Way::kMeasured : Way::kFitted;
      row.figure = Needed(reader, "figure");
      row.part = Needed(reader, "part");
      for (const auto& [key, node] : reader.Leaves("where")) {
        row.where[key] = OneTerm(reader, "where", key + ": ", node, false);
      }
      if (measured) return;
      row.over = Needed(reader, "over");
      reader.Keep({"at"});
      row.at = OneTerm(reader, "at", "", table.get("at"), false);
    }
  }

  const toml::table& table_;
  const model::Seeds seeds_{0};
  Faults faults_;
  Reader reader_;
  Rows out_;
};

}  // namespace

const std::vector<SizeKey>& SizeKeys() {
  static const std::vector<SizeKey> keys = {
      {"servers", "quote servers, each with a sidecar of its own", true},
      {"services", "services", true},
      {"calls_per_s", "calls a second, in all", true},
      {"depth", "how deep a call goes, at most", false},
      {"regions", "regions", false},
      {"zones", "zones", false},
      {"changes_per_day", "changes of configuration a day", true},
      {"change_in_force_s", "a change in force everywhere, s at most", false},
      {"added_p99_ms", "time added to a call, ms for 99 in 100", false},
      {"control_core_share", "a sidecar's control: share of a core at most", false},
      {"control_mb", "a sidecar's control: MB at most", false},
      {"control_bytes_per_s", "a sidecar's control: bytes a second at most", false},
      {"control_machines", "machines set aside for control", false},
      {"machines_failing_per_day", "machines that fail on an ordinary day", true},
      {"machines_replaced_per_day", "machines restarted or replaced on an ordinary day", true},
  };
  return keys;
}

const std::vector<std::string>& Roles() {
  static const std::vector<std::string> roles = {"sidecar", "quote server", "discovery", "operators' door",
                                                 "control machines"};
  return roles;
}

const std::vector<std::string>& Sections() {
  static const std::vector<std::string> sections = {"added", "in-force", "days"};
  return sections;
}

const std::vector<std::string>& Quantities() {
  static const std::vector<std::string> quantities = {"state", "messages", "processor time", "memory",
                                                      "time"};
  return quantities;
}

Rows Rows::Parse(const std::string& text, const std::string& file) {
  toml::table table;
  try {
    table = toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    throw ScenarioError({file + ":" + std::to_string(error.source().begin.line) +
                         ": no TOML: " + std::string(error.description())});
  }
  return Parser(table, file).All();
}

Rows Rows::Read(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in) throw ScenarioError({file + ":1: cannot be read"});
  return Parse(text.str(), file);
}

const Row* Rows::Find(const std::string& name) const {
  const auto found = std::find_if(rows.begin(), rows.end(), [&](const Row& row) { return row.name == name; });
  return found == rows.end() ? nullptr : &*found;
}

double Rows::Of(const Term& term, double growth) const {
  if (term.name.empty()) return term.number;
  const auto& keys = SizeKeys();
  const auto key =
      std::find_if(keys.begin(), keys.end(), [&](const SizeKey& one) { return one.name == term.name; });
  return size.at(term.name) * (key != keys.end() && key->grows ? growth : 1);
}

std::vector<std::string> Rows::MissingMechanisms(const std::string& root) const {
  std::vector<std::string> missing;
  for (const Row& row : rows) {
    if (row.mechanism == kNoMechanism) continue;
    if (!std::filesystem::is_regular_file(std::filesystem::path(root) / row.mechanism)) {
      missing.push_back(row.name + ": " + row.mechanism);
    }
  }
  return missing;
}

}  // namespace bitternmux::lab::capacity
