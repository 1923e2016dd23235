#include "sidecar/check.h"

#include "sidecar/sidecar.h"

namespace bitternmux {
namespace {

void Print(const ConfigReport& report, std::ostream& out) {
  out << "configuration: " << report.path << "\n";
  for (const auto& [key, value, origin] : report.values) {
    out << "  " << key << " = " << value << "  (" << origin << ")\n";
  }
  for (const std::string& key : report.unread) out << "  nothing reads " << key << "\n";
}

void Print(const schema::Result& read, const std::string& path, std::ostream& out) {
  out << "operator file: " << (path.empty() ? "none" : path) << "\n";
  for (const auto& shown : read.shown) {
    out << "  " << shown.key << " = " << shown.value << (shown.unit.empty() ? "" : " ") << shown.unit << "  ("
        << shown.origin << ")  # " << shown.purpose << ": " << shown.form << "\n";
  }
  for (const std::string& table : read.off) out << "  " << table << ": off\n";
}

}  // namespace

bool Check(const Environment& environment, const std::string& operator_path, const OperatorFile& file,
           std::ostream& out, std::ostream& faults) {
  bool good = true;
  ConfigReport report;
  try {
    const Config config = ReadConfig(environment, &report);
    const MachineUpdate known = Verify(config);
    report.values.push_back(
        {"known",
         std::to_string(known.machines.size()) + " execute nodes, revision " + std::to_string(known.revision),
         config.known.is_null() ? "default" : "file"});
    Print(report, out);
  } catch (const ConfigError& error) {
    good = false;
    for (const std::string& fault : error.faults()) faults << "configuration: " << fault << "\n";
  }
  if (file.read.faults.empty()) {
    Print(file.read, operator_path, out);
  } else {
    good = false;
    for (const std::string& fault : file.read.faults) faults << "operator file: " << fault << "\n";
  }
  return good;
}

}  // namespace bitternmux
