// The commands of bitternmux-lab, one file each. A command adds itself to the program's arguments; what it
// has run to leaves its exit code in `code`, which outlives the arguments.
#ifndef BITTERNMUX_LAB_APPS_COMMANDS_H_
#define BITTERNMUX_LAB_APPS_COMMANDS_H_

#include <string>

namespace CLI {
class App;
}

namespace bitternmux::lab {

// Bad arguments, or what a command was to read cannot be read.
constexpr int kExitUnusable = 2;

void AddCapacity(CLI::App& app, int& code);
void AddCheck(CLI::App& app, int& code);
void AddCheckScenario(CLI::App& app, int& code);
void AddDepth(CLI::App& app, int& code);
void AddRun(CLI::App& app, int& code);
void AddLoad(CLI::App& app, int& code);
void AddScale(CLI::App& app, int& code);
void AddReport(CLI::App& app, int& code);
void AddSweep(CLI::App& app, int& code);
void AddStand(CLI::App& app, int& code);
void AddUp(CLI::App& app, int& code);

// The built sidecar: the one beside this program, unless another is named.
std::string BesideThis(const std::string& named);

}  // namespace bitternmux::lab

#endif  // BITTERNMUX_LAB_APPS_COMMANDS_H_
