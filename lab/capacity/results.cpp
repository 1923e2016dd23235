#include "lab/capacity/results.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace bitternmux::lab::capacity {
namespace {

using nlohmann::json;

// One value of a file, with its key for errors.
class Value {
 public:
  Value(const std::string& file, const json& value, std::string key)
      : file_(file), value_(value), key_(std::move(key)) {}

  [[noreturn]] void Fail(const std::string& what) const {
    throw ResultsError(file_ + ": " + key_ + ": " + what);
  }

  Value operator[](const std::string& key) const {
    if (!value_.is_object()) Fail("must be an object");
    const auto found = value_.find(key);
    if (found == value_.end()) Below(value_, key).Fail("is absent");
    return Below(*found, key);
  }
  std::vector<Value> Items() const {
    if (!value_.is_array()) Fail("must be a list");
    std::vector<Value> items;
    for (const json& item : value_) {
      items.emplace_back(file_, item, key_ + "[" + std::to_string(items.size()) + "]");
    }
    return items;
  }
  std::string Text() const {
    if (!value_.is_string() || value_.get<std::string>().empty()) Fail("must be a text");
    return value_.get<std::string>();
  }
  double Number() const {
    if (!value_.is_number() || !std::isfinite(value_.get<double>())) Fail("must be a number");
    return value_.get<double>();
  }
  std::uint64_t Whole() const {
    if (!value_.is_number_unsigned()) Fail("must be a whole number from 0 on");
    return value_.get<std::uint64_t>();
  }
  std::map<std::string, double> Numbers() const {
    if (!value_.is_object()) Fail("must be an object");
    std::map<std::string, double> numbers;
    for (const auto& item : value_.items()) numbers[item.key()] = Below(item.value(), item.key()).Number();
    return numbers;
  }
  bool IsNull() const { return value_.is_null(); }

 private:
  Value Below(const json& value, const std::string& key) const {
    return Value(file_, value, key_.empty() ? key : key_ + "." + key);
  }

  const std::string& file_;
  const json& value_;
  const std::string key_;
};

std::string Contents(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in) throw ResultsError(file + ": cannot be read");
  return text.str();
}

}  // namespace

void Results::Add(const std::string& file, const std::string& text) {
  const json parsed = json::parse(text, nullptr, false);
  if (parsed.is_discarded()) throw ResultsError(file + ": is no JSON");
  const Value all(file, parsed, "");
  if (all["format"].Whole() != kResultsFormat) {
    all["format"].Fail("must be " + std::to_string(kResultsFormat));
  }
  if (!all["void"].IsNull()) {
    all["void"].Fail("the run is void and gives no figures: " + all["void"].Text());
  }
  Source source;
  source.file = std::filesystem::path(file).filename().string();
  source.command = all["command"].Text();
  source.commit = all["commit"].Text();
  source.cores = static_cast<int>(all["machine"]["cores"].Whole());
  for (const Value& value : all["plays"].Items()) {
    Play play;
    play.source = sources.size();
    play.part = value["part"].Text();
    play.at = value["at"].Numbers();
    play.seed = value["seed"].Whole();
    play.figures = value["figures"].Numbers();
    for (const Play& other : plays) {
      if (other.part != play.part || other.at != play.at || other.seed != play.seed) continue;
      const auto again = std::find_if(play.figures.begin(), play.figures.end(), [&](const auto& figure) {
        return other.figures.count(figure.first) > 0;
      });
      if (again == play.figures.end()) continue;
      value.Fail("'" + again->first + "' was already given for this part, at and seed, in " +
                 (other.source < sources.size() ? sources[other.source].file : source.file));
    }
    plays.push_back(std::move(play));
    ++source.plays;
  }
  sources.push_back(std::move(source));
}

std::vector<const Play*> Results::Find(const std::string& part,
                                       const std::map<std::string, double>& where) const {
  std::vector<const Play*> found;
  for (const Play& play : plays) {
    const bool fits = play.part == part && std::all_of(where.begin(), where.end(), [&](const auto& wanted) {
                        const auto at = play.at.find(wanted.first);
                        return at != play.at.end() && at->second == wanted.second;
                      });
    if (fits) found.push_back(&play);
  }
  return found;
}

Results ReadResults(std::vector<std::string> files) {
  const auto name = [](const std::string& file) { return std::filesystem::path(file).filename(); };
  std::sort(files.begin(), files.end(),
            [&](const std::string& a, const std::string& b) { return name(a) < name(b); });
  Results results;
  for (const std::string& file : files) results.Add(file, Contents(file));
  return results;
}

std::vector<std::string> ResultFiles(const std::string& folder) {
  std::vector<std::string> files;
  if (!std::filesystem::is_directory(folder)) return files;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (entry.path().extension() == ".json") files.push_back(entry.path().string());
  }
  return files;
}

}  // namespace bitternmux::lab::capacity
