#include "lab/scenario/scenario.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include "lab/scenario/sections.h"

namespace bitternmux::lab::scenario {
namespace {

std::string Joined(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) text.append(text.empty() ? "" : "\n").append(line);
  return text;
}

std::string Contents(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) throw ScenarioError({file + ":1: cannot be read"});
  return text.str();
}

toml::table Parsed(const std::string& text, const std::string& file) {
  try {
    return toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    throw ScenarioError({file + ":" + std::to_string(error.source().begin.line) +
                         ": no TOML: " + std::string(error.description())});
  }
}

// What `base` says and `own` does not, goes to `own`. Moved, since a copy would lose the line that it came
// from.
void TakeOver(toml::table& own, toml::table&& base) {
  for (auto&& [key, node] : base) {
    toml::node* there = own.get(key);
    if (there == nullptr) {
      node.visit([&](auto& value) { own.insert(key, std::move(value)); });
    } else if (there->is_table() && node.is_table()) {
      TakeOver(*there->as_table(), std::move(*node.as_table()));
    }
  }
}

}  // namespace

ScenarioError::ScenarioError(std::vector<std::string> faults)
    : std::runtime_error(Joined(faults)), faults_(std::move(faults)) {}

// Holds the parser's table, which is not to be in the header.
struct Scenario::Table {
  toml::table toml;
};

Scenario::Scenario(std::string text, const std::string& file) : text_(std::move(text)), file_(file) {
  toml::table whole = Parsed(text_, file);
  if (const toml::node* extends = whole.get("extends")) {
    const auto name = extends->value<std::string>();
    if (!name)
      throw ScenarioError({file + ":" + std::to_string(extends->source().begin.line) +
                           ": extends: must be a text, the name of a file"});
    const std::string base_file = (std::filesystem::path(file).parent_path() / *name).string();
    toml::table base = Parsed(Contents(base_file), base_file);
    if (base.contains("extends")) {
      throw ScenarioError({base_file + ":" + std::to_string(base.get("extends")->source().begin.line) +
                           ": extends: a file that others extend cannot extend one itself"});
    }
    whole.erase("extends");
    TakeOver(whole, std::move(base));
    std::ostringstream merged;
    merged << whole << "\n";
    text_ = merged.str();
  }
  name_ = whole["name"].value_or(std::string());
  about_ = whole["about"].value_or(std::string());
  seed_ = static_cast<std::uint64_t>(whole["seed"].value_or(std::int64_t{0}));
  table_ = std::make_shared<Table>(Table{std::move(whole)});
  Draw();
}

Scenario Scenario::Read(const std::string& file) { return Scenario(Contents(file), file); }

model::Figures Scenario::Draw(std::optional<std::uint64_t> seed) const {
  model::Figures figures;
  figures.name = name_;
  figures.seed = seed.value_or(seed_);
  Faults faults(file_);
  const model::Seeds seeds(figures.seed);
  Reader reader(&table_->toml, "", seeds, faults);
  if (reader.Text("name", "").empty()) reader.Fault("name", "must be there");
  reader.Text("about", "");
  reader.Whole("seed", 0, {0, 2'000'000'000});
  ReadDay(reader, figures);
  const auto lowest = [&](const char* table, std::size_t drawn) {
    return static_cast<int>(reader.Table(table).Lowest("count", static_cast<double>(drawn)));
  };
  const Sure sure{lowest("servers", figures.machines.size()), lowest("sidecars", figures.sidecars.size())};
  ReadTroubles(reader, sure, figures);
  reader.Finish();
  if (!faults.empty()) throw ScenarioError(faults.Lines());
  return figures;
}

}  // namespace bitternmux::lab::scenario
