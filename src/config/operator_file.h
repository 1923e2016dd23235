// The operator file: what this installation switches on beyond the platform's configuration, in TOML. One
// table for each subsystem, and one list of all tables in operator_file.cpp. The platform gives none, and
// then all is as its documents say.
#ifndef BITTERNMUX_SRC_CONFIG_OPERATOR_FILE_H_
#define BITTERNMUX_SRC_CONFIG_OPERATOR_FILE_H_

#include <optional>
#include <string>
#include <vector>

#include "config/operator_schema.h"
#include "log/log.h"

namespace bitternmux {

// That a start after a start after a start is told from one start.
struct ComebackSettings {
  std::string folder;  // where this is kept from one process to the next
};

// A member for each table. One that is std::optional is off while its table is absent.
struct OperatorSettings {
  log::Settings log;
  std::optional<ComebackSettings> comeback;
};

struct OperatorFile {
  OperatorSettings settings;
  schema::Result read;  // the settings count only where it has no faults
};

// `path`: empty for no file.
OperatorFile ReadOperatorFile(const std::string& path, const std::vector<schema::Override>& overrides);

// What the key `name` of `table` is for and what it must be, as the command line's help says it.
std::string DescribeOperatorKey(const std::string& table, const std::string& name);

}  // namespace bitternmux

#endif  // BITTERNMUX_SRC_CONFIG_OPERATOR_FILE_H_
