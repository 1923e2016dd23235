#include "config/operator_schema.h"

#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <map>

#include "config/text_file.h"

namespace bitternmux::schema {
namespace {

std::string ShowValue(const Value& value) {
  if (const auto* flag = std::get_if<bool>(&value)) return *flag ? "true" : "false";
  if (const auto* whole = std::get_if<std::int64_t>(&value)) return std::to_string(*whole);
  if (const auto* number = std::get_if<double>(&value)) return ShowNumber(*number);
  if (const auto* text = std::get_if<std::string>(&value)) return "'" + *text + "'";
  return "a list, table or date";
}

Value ValueOf(const toml::node& node) {
  if (const auto* flag = node.as_boolean()) return flag->get();
  if (const auto* whole = node.as_integer()) return whole->get();
  if (const auto* number = node.as_floating_point()) return number->get();
  if (const auto* text = node.as_string()) return text->get();
  return {};
}

// Letters to insert, take out, put in the place of others or swap with their neighbours to make one word of
// the other (optimal string alignment; Damerau 1964, Wagner and Lowrance 1975).
std::size_t Distance(const std::string& one, const std::string& other) {
  std::vector<std::vector<std::size_t>> least(one.size() + 1, std::vector<std::size_t>(other.size() + 1));
  for (std::size_t i = 0; i <= one.size(); ++i) {
    for (std::size_t j = 0; j <= other.size(); ++j) {
      if (i == 0 || j == 0) {
        least[i][j] = i + j;
        continue;
      }
      const std::size_t replaced = least[i - 1][j - 1] + (one[i - 1] == other[j - 1] ? 0 : 1);
      least[i][j] = std::min({replaced, least[i - 1][j] + 1, least[i][j - 1] + 1});
      if (i > 1 && j > 1 && one[i - 1] == other[j - 2] && one[i - 2] == other[j - 1]) {
        least[i][j] = std::min(least[i][j], least[i - 2][j - 2] + 1);
      }
    }
  }
  return least[one.size()][other.size()];
}

template <class Named>
const Named* FindNamed(const std::vector<Named>& list, const std::string& name) {
  const auto found =
      std::find_if(list.begin(), list.end(), [&](const Named& one) { return one.name == name; });
  return found == list.end() ? nullptr : &*found;
}

// What else the name may have been meant to be.
template <class Named>
std::string Suggestion(const std::vector<Named>& list, const std::string& name) {
  const Named* nearest = nullptr;
  std::size_t least = std::max<std::size_t>(1, name.size() / 3) + 1;
  for (const Named& one : list) {
    const std::size_t distance = Distance(name, one.name);
    if (distance >= least) continue;
    least = distance;
    nearest = &one;
  }
  return nearest ? ", did you mean '" + nearest->name + "'?" : "";
}

class Reader {
 public:
  Reader(const std::vector<Table>& tables, const std::string& path) : tables_(tables), path_(path) {}

  void ReadFile() {
    const auto text = ReadTextFile(path_);
    if (!text) return Fault({}, "cannot be read");
    try {
      const toml::table root = toml::parse(*text, path_);
      for (const auto& [name, node] : root) {
        ReadTable(std::string(name.str()), name.source().begin, node);
      }
    } catch (const toml::parse_error& error) {
      Fault(error.source().begin, std::string(error.description()));
    }
  }

  void Take(const Override& given) {
    const Key& key = *FindNamed(FindNamed(tables_, given.table)->keys, given.key);
    if (!key.set(given.value)) {
      option_faults_.push_back(given.origin + ": must be " + key.form + ", not '" + given.value + "'");
      return;
    }
    origins_[given.table + "." + given.key] = given.origin;
  }

  Result Finish() {
    // The library gives keys by their names; people read a file from its top.
    std::stable_sort(faults_.begin(), faults_.end(), [](const auto& a, const auto& b) {
      return std::pair(a.first.line, a.first.column) < std::pair(b.first.line, b.first.column);
    });
    for (auto& fault : faults_) result_.faults.push_back(std::move(fault.second));
    for (std::string& fault : option_faults_) result_.faults.push_back(std::move(fault));
    for (const Table& table : tables_) {
      if (!table.is_on()) {
        result_.off.push_back(table.name);
        continue;
      }
      for (const Key& key : table.keys) {
        const std::string name = table.name + "." + key.name;
        const auto origin = origins_.find(name);
        result_.shown.push_back({name, key.show(), key.unit,
                                 origin == origins_.end() ? "default" : origin->second, key.form,
                                 key.purpose});
      }
    }
    return std::move(result_);
  }

 private:
  void Fault(const toml::source_position& place, const std::string& text) {
    const std::string at =
        place ? ":" + std::to_string(place.line) + ":" + std::to_string(place.column) : std::string();
    faults_.emplace_back(place, path_ + at + ": " + text);
  }

  void ReadTable(const std::string& name, const toml::source_position& place, const toml::node& node) {
    const Table* table = FindNamed(tables_, name);
    if (table == nullptr) return Fault(place, name + ": unknown table" + Suggestion(tables_, name));
    if (!node.is_table()) return Fault(place, name + ": must be a table, [" + name + "]");
    table->turn_on();
    for (const auto& [key, value] : *node.as_table()) {
      ReadKey(*table, std::string(key.str()), key.source().begin, value);
    }
    for (const Key& key : table->keys) {
      if (node.as_table()->contains(key.name) || key.good()) continue;
      Fault(place, name + "." + key.name + ": missing, must be " + key.form);
    }
  }

  void ReadKey(const Table& table, const std::string& word, const toml::source_position& place,
               const toml::node& node) {
    const std::string name = table.name + "." + word;
    const Key* key = FindNamed(table.keys, word);
    if (key == nullptr) return Fault(place, name + ": unknown key" + Suggestion(table.keys, word));
    const Value value = ValueOf(node);
    if (!key->set(value)) {
      return Fault(node.source().begin, name + ": must be " + key->form + ", not " + ShowValue(value));
    }
    origins_[name] = "line " + std::to_string(place.line);
  }

  const std::vector<Table>& tables_;
  const std::string& path_;
  std::map<std::string, std::string> origins_;
  std::vector<std::pair<toml::source_position, std::string>> faults_;
  std::vector<std::string> option_faults_;
  Result result_;
};

}  // namespace

std::string ShowNumber(double value) {
  char text[32];
  return {text, std::to_chars(text, text + sizeof text, value).ptr};
}

std::string Listed(const std::vector<std::string>& words) {
  std::string out;
  for (std::size_t i = 0; i < words.size(); ++i) {
    out.append(i == 0 ? "" : i + 1 < words.size() ? ", " : " or ").append(words[i]);
  }
  return out;
}

std::optional<int> ReadWhole(const Value& value) {
  const auto* whole = std::get_if<std::int64_t>(&value);
  if (whole == nullptr || *whole != static_cast<int>(*whole)) return std::nullopt;
  return static_cast<int>(*whole);
}

std::optional<double> ReadNumber(const Value& value) {
  const auto* whole = std::get_if<std::int64_t>(&value);
  return whole ? std::optional(static_cast<double>(*whole)) : ReadAs<double>(value);
}

Result Read(const std::vector<Table>& tables, const std::string& path,
            const std::vector<Override>& overrides) {
  Reader reader(tables, path);
  if (!path.empty()) reader.ReadFile();
  for (const Override& given : overrides) reader.Take(given);
  return reader.Finish();
}

}  // namespace bitternmux::schema
