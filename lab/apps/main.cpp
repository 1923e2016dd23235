// bitternmux-lab: arguments and wiring.
#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>

#include "lab/apps/commands.h"

int main(int argc, char** argv) {
  using namespace bitternmux::lab;
  CLI::App app("Breaks bitternmux on purpose, and judges it.", "bitternmux-lab");
  app.set_version_flag("--version", BITTERNMUX_LAB_VERSION);
  app.require_subcommand(1);
  int code = 0;
  AddCapacity(app, code);
  AddCheck(app, code);
  AddCheckScenario(app, code);
  AddDepth(app, code);
  AddRun(app, code);
  AddLoad(app, code);
  AddSweep(app, code);
  AddScale(app, code);
  AddReport(app, code);
  AddStand(app, code);
  AddUp(app, code);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kExitUnusable;
  } catch (const std::exception& error) {
    std::cerr << "bitternmux-lab: " << error.what() << "\n";
    return kExitUnusable;
  }
  return code;
}
