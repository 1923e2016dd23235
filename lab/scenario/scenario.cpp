#include "lab/scenario/scenario.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include "lab/scenario/overrides.h"
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

std::string TextOf(const toml::table& table) {
  std::ostringstream text;
  text << table << "\n";
  return text.str();
}

// Of two keys that say the same in other words, the one that is set anew goes before the one that was there.
void GiveWay(toml::table& base, const toml::table& over) {
  toml::table* from = base["clients"].as_table();
  const toml::table* to = over["clients"].as_table();
  if (from == nullptr || to == nullptr) return;
  if (to->contains("load") && !to->contains("rate")) from->erase("rate");
  if (to->contains("rate") && !to->contains("load")) from->erase("load");
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

// The entry of a list of tables that is called so, or stands at that place; null if there is none.
toml::table* EntryOf(toml::array& list, std::string_view key) {
  for (std::size_t i = 0; i < list.size(); ++i) {
    toml::table* entry = list.get(i)->as_table();
    if (entry == nullptr) continue;
    const auto name = (*entry)["name"].value<std::string>();
    if (name.value_or(std::to_string(i)) == key) return entry;
  }
  return nullptr;
}

// What `set` says takes the place of what `base` says.
void Override(toml::table& base, toml::table&& set, const std::string& path, Faults& faults) {
  for (auto&& [key, node] : set) {
    const std::string full = path + std::string(key.str());
    toml::node* there = base.get(key);
    toml::table* into = there == nullptr ? nullptr : there->as_table();
    if (node.is_table() && into != nullptr) {
      Override(*into, std::move(*node.as_table()), full + ".", faults);
    } else if (node.is_table() && there != nullptr && there->is_array_of_tables()) {
      for (auto&& [entry, value] : *node.as_table()) {
        toml::table* found = EntryOf(*there->as_array(), entry.str());
        const std::string whole = full + "." + std::string(entry.str());
        if (found == nullptr || !value.is_table()) {
          faults.Add(&value, whole, found == nullptr ? "there is no such entry" : "must be a table");
        } else {
          Override(*found, std::move(*value.as_table()), whole + ".", faults);
        }
      }
    } else {
      node.visit([&](auto& value) { base.insert_or_assign(key, std::move(value)); });
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

Scenario::Scenario(std::string text, const std::string& file) : Scenario(std::move(text), file, nullptr) {}

Scenario::Scenario(std::string text, const std::string& file, toml::table* set)
    : text_(std::move(text)), file_(file) {
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
    GiveWay(base, whole);
    TakeOver(whole, std::move(base));
    text_ = TextOf(whole);
  }
  if (set != nullptr && !set->empty()) {
    Faults faults(file);
    GiveWay(whole, *set);
    Override(whole, std::move(*set), "", faults);
    if (!faults.empty()) throw ScenarioError(faults.Lines());
    text_ = TextOf(whole);
  }
  name_ = whole["name"].value_or(std::string());
  about_ = whole["about"].value_or(std::string());
  seed_ = static_cast<std::uint64_t>(whole["seed"].value_or(std::int64_t{0}));
  table_ = std::make_shared<Table>(Table{std::move(whole)});
  Draw();
}

Scenario Scenario::Read(const std::string& file) { return Scenario(Contents(file), file); }

Scenario ReadWith(const std::string& file, toml::table&& set) { return Scenario(Contents(file), file, &set); }

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
  ReadSettings(reader, figures);
  reader.Finish();
  if (!faults.empty()) throw ScenarioError(faults.Lines());
  return figures;
}

}  // namespace bitternmux::lab::scenario
