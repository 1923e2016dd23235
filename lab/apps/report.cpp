// bitternmux-lab report DIR|RECORD: one page about a sweep or a run.
#include "lab/report/report.h"

#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <string>

#include "lab/apps/commands.h"

namespace bitternmux::lab {
namespace {

struct Arguments {
  std::string of, out, calm;
};

int RunReport(const Arguments& arguments) {
  const bool sweep = std::filesystem::is_directory(arguments.of);
  if (sweep && !arguments.out.empty()) {
    throw std::invalid_argument("--out: the report of a sweep goes into its own folder");
  }
  if (sweep && !arguments.calm.empty()) {
    throw std::invalid_argument("--calm: a sweep has played what its experiment asks for");
  }
  const std::string folder = arguments.out.empty() ? arguments.of + ".report" : arguments.out;
  std::cout << (sweep ? report::ReportSweep(arguments.of)
                      : report::ReportRecord(arguments.of, folder, arguments.calm))
            << "\n";
  return 0;
}

}  // namespace

void AddReport(CLI::App& app, int& code) {
  auto arguments = std::make_shared<Arguments>();
  auto* command = app.add_subcommand("report", "Writes one page of HTML about a sweep or a run");
  command->add_option("OF", arguments->of, "The folder of a sweep, or the record of a run")->required();
  command->add_option("--out", arguments->out,
                      "The folder for the page of a record; RECORD.report if not given");
  command->add_option(
      "--calm", arguments->calm,
      "The record of the same day without its troubles (run --calm, or --back): tells how soon "
      "full service was there again");
  command->footer("Needs gnuplot. Exit code: 0 written, 2 it could not be.");
  command->callback([arguments, &code] { code = RunReport(*arguments); });
}

}  // namespace bitternmux::lab
