#include "lab/scenario/reader.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace bitternmux::lab::scenario {
namespace {

std::string Shown(double number) {
  std::ostringstream out;
  out << number;
  return out.str();
}

std::uint32_t LineOf(const toml::node* node) { return node == nullptr ? 1 : node->source().begin.line; }

using Found = std::vector<std::pair<std::string, const toml::node*>>;

void AddLeaves(const toml::table& table, const std::string& path, Found& leaves) {
  for (const auto& [key, node] : table) {
    const std::string name = path + std::string(key.str());
    if (const toml::table* below = node.as_table()) {
      AddLeaves(*below, name + ".", leaves);
    } else {
      leaves.emplace_back(name, &node);
    }
  }
}

}  // namespace

void Faults::Add(const toml::node* at, const std::string& key, const std::string& what) {
  const std::uint32_t line = LineOf(at);
  // A scenario that extends another holds nodes of two files.
  const std::string& file = at != nullptr && at->source().path ? *at->source().path : file_;
  faults_.emplace_back(line, file + ":" + std::to_string(line) + ": " + key + ": " + what);
}

std::vector<std::string> Faults::Lines() const {
  auto sorted = faults_;
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<std::string> lines;
  for (auto& [line, text] : sorted) lines.push_back(std::move(text));
  lines.erase(std::unique(lines.begin(), lines.end()), lines.end());
  return lines;
}

Reader::Reader(const toml::table* table, std::string path, const model::Seeds& seeds, Faults& faults)
    : table_(table), path_(std::move(path)), seeds_(&seeds), faults_(&faults) {}

std::string Reader::Path(std::string_view key) const {
  std::string path = path_;
  if (!path.empty() && !key.empty()) path += '.';
  return path.append(key);
}

const toml::node* Reader::Take(std::string_view key) {
  asked_.emplace(key);
  return table_ == nullptr ? nullptr : table_->get(key);
}

void Reader::Fault(std::string_view key, const std::string& what) {
  const toml::node* at = table_ == nullptr ? nullptr : table_->get(key);
  faults_->Add(at == nullptr ? table_ : at, Path(key), what);
}

bool Reader::Range(const toml::node& node, std::string_view key, Bounds bounds, bool whole, double& low,
                   double& high) {
  const auto number = [&](const toml::node& value, double& into) {
    const auto read = whole ? value.is_integer() : value.is_number();
    if (read) into = value.value<double>().value_or(NAN);
    return read && std::isfinite(into);
  };
  const toml::array* pair = node.as_array();
  const bool good = pair != nullptr
                        ? pair->size() == 2 && number(*pair->get(0), low) && number(*pair->get(1), high)
                        : number(node, low) && number(node, high);
  const std::string kind = whole ? "a whole number" : "a number";
  if (!good) {
    Fault(key, "must be " + kind + " or a range [low, high] of such");
  } else if (low > high) {
    Fault(key, "the range is the wrong way round: " + Shown(low) + " is above " + Shown(high));
  } else if (low < bounds.least || high > bounds.most) {
    Fault(key, "must be from " + Shown(bounds.least) + " to " + Shown(bounds.most));
  } else {
    return true;
  }
  return false;
}

double Reader::Number(std::string_view key, double absent, Bounds bounds) {
  const toml::node* node = Take(key);
  double low = 0, high = 0;
  if (node == nullptr || !Range(*node, key, bounds, false, low, high)) return absent;
  return seeds_->Of("scenario." + Path(key)).Between(low, high);
}

int Reader::Whole(std::string_view key, int absent, Bounds bounds) {
  const toml::node* node = Take(key);
  double low = 0, high = 0;
  if (node == nullptr || !Range(*node, key, bounds, true, low, high)) return absent;
  const auto values = static_cast<std::uint64_t>(high - low) + 1;
  return static_cast<int>(low) + static_cast<int>(seeds_->Of("scenario." + Path(key)).Below(values));
}

double Reader::Lowest(std::string_view key, double absent) const {
  const toml::node* node = table_ == nullptr ? nullptr : table_->get(key);
  if (node == nullptr) return absent;
  if (const toml::array* pair = node->as_array()) node = pair->empty() ? nullptr : pair->get(0);
  return node == nullptr ? absent : node->value<double>().value_or(absent);
}

bool Reader::Flag(std::string_view key, bool absent) {
  const toml::node* node = Take(key);
  if (node == nullptr) return absent;
  if (!node->is_boolean()) Fault(key, "must be true or false");
  return node->value<bool>().value_or(absent);
}

std::string Reader::Text(std::string_view key, std::string_view absent) {
  const toml::node* node = Take(key);
  if (node == nullptr) return std::string(absent);
  if (!node->is_string()) Fault(key, "must be a text");
  return node->value<std::string>().value_or(std::string(absent));
}

std::size_t Reader::Word(std::string_view key, const std::vector<std::string_view>& words,
                         std::size_t absent) {
  const toml::node* node = Take(key);
  if (node == nullptr) return absent;
  const auto found = std::find(words.begin(), words.end(), node->value<std::string_view>().value_or(""));
  if (found != words.end()) return static_cast<std::size_t>(found - words.begin());
  std::string list;
  for (const std::string_view word : words) list.append(list.empty() ? "" : ", ").append(word);
  Fault(key, "must be one of " + list);
  return absent;
}

std::vector<int> Reader::Numbers(std::string_view key, int count, std::string_view of_what) {
  const toml::node* node = Take(key);
  std::vector<int> numbers;
  if (node == nullptr) return numbers;
  const toml::array* list = node->as_array();
  if (list == nullptr || list->empty()) {
    Fault(key, "must be a list of whole numbers");
    return numbers;
  }
  for (const toml::node& item : *list) {
    const auto number = item.is_integer() ? item.value<std::int64_t>() : std::nullopt;
    if (!number) {
      Fault(key, "must be a list of whole numbers");
    } else if (*number < 0 || *number >= count) {
      Fault(key, "there is no " + std::string(of_what) + " " + std::to_string(*number) +
                     ": the day may have " + std::to_string(count) + " only, counted from 0");
    } else if (std::find(numbers.begin(), numbers.end(), *number) != numbers.end()) {
      Fault(key, std::to_string(*number) + " is there twice");
    } else {
      numbers.push_back(static_cast<int>(*number));
    }
  }
  return numbers;
}

std::vector<std::string> Reader::Texts(std::string_view key, std::vector<std::string> absent) {
  const toml::node* node = Take(key);
  if (node == nullptr) return absent;
  std::vector<std::string> texts;
  if (const toml::array* list = node->as_array()) {
    for (const toml::node& item : *list) {
      if (const auto text = item.value<std::string>(); text && item.is_string()) texts.push_back(*text);
    }
    if (!texts.empty() && texts.size() == list->size()) return texts;
  }
  Fault(key, "must be a list of texts");
  return absent;
}

std::vector<std::pair<std::string, const toml::node*>> Reader::Leaves(std::string_view key) {
  const toml::node* node = Take(key);
  Found leaves;
  if (node == nullptr) return leaves;
  if (const toml::table* table = node->as_table()) {
    AddLeaves(*table, "", leaves);
  } else {
    Fault(key, "must be a table");
  }
  return leaves;
}

Reader Reader::Table(std::string_view key) {
  const toml::node* node = Take(key);
  if (node != nullptr && !node->is_table()) Fault(key, "must be a table");
  return Reader(node == nullptr ? nullptr : node->as_table(), Path(key), *seeds_, *faults_);
}

std::vector<Reader> Reader::Tables(std::string_view key) {
  const toml::node* node = Take(key);
  std::vector<Reader> tables;
  if (node == nullptr) return tables;
  const toml::array* list = node->as_array();
  if (list == nullptr) {
    Fault(key, "must be a list of tables");
    return tables;
  }
  for (const toml::node& item : *list) {
    const toml::table* table = item.as_table();
    if (table == nullptr) {
      Fault(key, "must be a list of tables");
      continue;
    }
    const auto name = (*table)["name"].value<std::string>();
    tables.emplace_back(table, Path(key) + "." + name.value_or(std::to_string(tables.size())), *seeds_,
                        *faults_);
  }
  return tables;
}

Reader Reader::Again(int time) const {
  Reader again = *this;
  if (time > 0) again.path_ += "#" + std::to_string(time);
  return again;
}

void Reader::Finish() {
  if (table_ == nullptr) return;
  for (const auto& [key, node] : *table_) {
    if (asked_.count(key.str()) == 0) faults_->Add(&node, Path(key.str()), "is not known");
  }
}

}  // namespace bitternmux::lab::scenario
