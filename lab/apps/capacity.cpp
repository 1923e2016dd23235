// bitternmux-lab capacity RESULT.json...: the tables of the page on capacity.
#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "lab/apps/commands.h"
#include "lab/capacity/page.h"
#include "lab/capacity/results.h"
#include "lab/capacity/rows.h"
#include "lab/capacity/worked.h"
#include "lab/scenario/scenario.h"

namespace bitternmux::lab {
namespace {

constexpr int kExitDiffers = 1;

struct Arguments {
  std::string rows = "docs/capacity/rows.toml";
  std::string page = "docs/CAPACITY.md";
  std::vector<std::string> files;
  bool write = false, check = false;
};

std::string Contents(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in) throw std::runtime_error(file + ": cannot be read");
  return text.str();
}

void Replace(const std::string& file, const std::string& text) {
  const std::string beside = file + ".new";
  std::ofstream out(beside, std::ios::binary | std::ios::trunc);
  out << text;
  out.close();
  if (!out) throw std::runtime_error(beside + ": cannot be written");
  std::filesystem::rename(beside, file);
}

int RunCapacity(const Arguments& arguments) try {
  const capacity::Rows rows = capacity::Rows::Read(arguments.rows);
  const std::string folder = (std::filesystem::path(arguments.rows).parent_path() / "results").string();
  const capacity::Results results =
      capacity::ReadResults(arguments.files.empty() ? capacity::ResultFiles(folder) : arguments.files);
  const auto tables = capacity::Tables(rows, results);
  if (!arguments.write && !arguments.check) {
    for (const auto& [name, table] : tables) std::cout << "## " << name << "\n\n" << table << "\n";
    for (const std::string& line : capacity::Unmatched(rows, results)) std::cerr << line << "\n";
    return 0;
  }
  const std::string page = Contents(arguments.page);
  const std::string wanted = capacity::Placed(page, tables);
  const auto difference = capacity::FirstDifference(page, wanted);
  if (arguments.check) {
    if (difference) std::cout << arguments.page << ": " << *difference << "\n";
    return difference ? kExitDiffers : 0;
  }
  if (difference) Replace(arguments.page, wanted);
  return 0;
} catch (const scenario::ScenarioError& error) {
  std::cerr << error.what() << "\n";
  return kExitUnusable;
} catch (const capacity::PageError& error) {
  throw std::runtime_error(arguments.page + ": " + error.what());
}

}  // namespace

void AddCapacity(CLI::App& app, int& code) {
  auto arguments = std::make_shared<Arguments>();
  auto* command = app.add_subcommand("capacity", "Works out the page on capacity from what was measured");
  command->add_option("RESULT", arguments->files,
                      "What `scale` and `depth` wrote, JSON; all in the folder `results` beside the rows if "
                      "none is given");
  command->add_option("--rows", arguments->rows, "The rows, TOML")->capture_default_str();
  command->add_option("--page", arguments->page, "The page")->capture_default_str();
  auto* write = command->add_flag("--write", arguments->write, "Puts the tables into the page");
  command->add_flag("--check", arguments->check, "Names the first line of the page that differs")
      ->excludes(write);
  command->footer(
      "Without --write and --check it prints the tables, and what rows and results have not in common on "
      "stderr.\nExit code: 0 well, 1 the page differs, 2 rows, results or page cannot be used.");
  command->callback([arguments, &code] { code = RunCapacity(*arguments); });
}

}  // namespace bitternmux::lab
