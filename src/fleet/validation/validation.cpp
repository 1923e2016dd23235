#include "fleet/validation/validation.h"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "fleet/validation/schema.h"

namespace bitternmux::fleet {
namespace {

using Adapter = valijson::adapters::NlohmannJsonAdapter;

const valijson::Schema& TheSchema() {
  static const valijson::Schema* const schema = [] {
    const nlohmann::json text = nlohmann::json::parse(kConfigurationSchema);
    auto* made = new valijson::Schema;
    valijson::SchemaParser(valijson::SchemaParser::kDraft4).populateSchema(Adapter(text), *made);
    return made;
  }();
  return *schema;
}

void CheckSchema(const nlohmann::json& json) {
  valijson::Validator validator;
  valijson::ValidationResults results;
  if (validator.validate(TheSchema(), Adapter(json), &results)) return;
  std::string what = "the configuration does not fit its schema";
  valijson::ValidationResults::Error error;
  if (results.popError(error)) {
    what += " at ";
    for (const std::string& step : error.context) what += step;
    what += ": " + error.description;
  }
  throw ConfigurationError(what);
}

}  // namespace

Configuration ValidateConfiguration(std::string_view text) {
  try {
    CheckSchema(nlohmann::json::parse(text));
  } catch (const nlohmann::json::exception& error) {
    throw ConfigurationError(error.what());
  }
  return ReadConfiguration(text);
}

}  // namespace bitternmux::fleet
