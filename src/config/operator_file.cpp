#include "config/operator_file.h"

namespace bitternmux {
namespace {

using schema::OneOf;
using schema::TableOf;
using schema::Text;

// Every table, every key: the one place where their names, bounds, units and purposes stand. Defaults are
// those of the structs.
std::vector<schema::Table> TablesOf(OperatorSettings& settings) {
  return {
      TableOf("log", settings.log, "what is written to standard error",
              {OneOf("format", &log::Settings::format,
                     {{"text", log::Format::kText}, {"json", log::Format::kJson}},
                     "lines for people, or one JSON object a line"),
               OneOf("level", &log::Settings::level,
                     {{"debug", Severity::kDebug},
                      {"info", Severity::kInfo},
                      {"warning", Severity::kWarning},
                      {"error", Severity::kError}},
                     "events below it are not written")}),
      TableOf("comeback", settings.comeback, "a crash loop steps back",
              {Text("folder", &ComebackSettings::folder, "the folder in which starts are kept")}),
  };
}

}  // namespace

OperatorFile ReadOperatorFile(const std::string& path, const std::vector<schema::Override>& overrides) {
  OperatorFile out;
  out.read = schema::Read(TablesOf(out.settings), path, overrides);
  return out;
}

std::string DescribeOperatorKey(const std::string& table, const std::string& name) {
  OperatorSettings settings;
  for (const schema::Table& one : TablesOf(settings)) {
    if (one.name != table) continue;
    for (const schema::Key& key : one.keys) {
      if (key.name == name) return key.purpose + ": " + key.form;
    }
  }
  return {};
}

}  // namespace bitternmux
