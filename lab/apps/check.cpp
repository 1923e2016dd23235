// bitternmux-lab check RECORD: were the rules kept?
#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "lab/apps/commands.h"
#include "lab/rules/checker.h"

namespace bitternmux::lab {
namespace {

using rules::Breach;
using rules::Verdict;

struct Arguments {
  std::string record;
  bool json = false;
};

void PrintLines(const Verdict& verdict) {
  for (const Breach& breach : verdict.breaches) std::cout << rules::LineOf(breach) << "\n";
  std::cout.flush();
  if (verdict.found() > verdict.breaches.size()) {
    std::cerr << "the first " << verdict.breaches.size() << " of " << verdict.found() << " are shown\n";
  }
  std::cerr << verdict.entries << " entries over " << rules::Seconds(verdict.end_us) << " s: "
            << (verdict.found() == 0 ? "all rules hold" : std::to_string(verdict.found()) + " breaches")
            << "\n";
}

void PrintJson(const Verdict& verdict) {
  nlohmann::json out = nlohmann::json::object();
  out["exit"] = verdict.ExitCode();
  if (!verdict.unreadable.empty()) {
    out["unreadable"] = verdict.unreadable;
  } else {
    out["entries"] = verdict.entries;
    out["end_us"] = verdict.end_us;
    auto& counts = out["counts"] = nlohmann::json::object();
    for (std::size_t i = 0; i < rules::kRules; ++i) {
      if (verdict.counts[i] > 0) counts[std::string(rules::kRuleNames[i])] = verdict.counts[i];
    }
    auto& breaches = out["breaches"] = nlohmann::json::array();
    for (const Breach& breach : verdict.breaches) {
      auto& line = breaches.emplace_back(nlohmann::json::object());
      line["rule"] = rules::NameOf(breach.rule);
      line["at_us"] = breach.at_us;
      if (breach.job != 0) line["job"] = breach.job;
      if (!breach.server.empty()) line["server"] = breach.server;
      line["detail"] = breach.detail;
    }
  }
  std::cout << out.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << std::endl;
}

int RunCheck(const Arguments& arguments) {
  record::FileSource source(arguments.record);
  const Verdict verdict = rules::Check(source);
  if (arguments.json) {
    PrintJson(verdict);
  } else if (verdict.unreadable.empty()) {
    PrintLines(verdict);
  }
  if (!verdict.unreadable.empty()) std::cerr << arguments.record << ": " << verdict.unreadable << "\n";
  return verdict.ExitCode();
}

}  // namespace

void AddCheck(CLI::App& app, int& code) {
  auto arguments = std::make_shared<Arguments>();
  auto* command = app.add_subcommand("check", "Says which rules a run has broken, from its record alone");
  command->add_option("RECORD", arguments->record, "The file that a run wrote; - reads standard input")
      ->required();
  command->add_flag("--json", arguments->json, "One JSON object instead of a line for each breach");
  command->footer("Exit code: 0 all rules hold, 1 some were broken, 2 the record cannot be read or is void.");
  command->callback([arguments, &code] { code = RunCheck(*arguments); });
}

}  // namespace bitternmux::lab
