#include "fleet/validation/validation.h"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "fleet/validation/bounded_json.h"
#include "fleet/validation/schema.h"

namespace bitternmux::fleet {
namespace {

using Json = nlohmann::json;
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

// The validator names every fault that it finds, and a text may have millions: only a small document is
// described.
constexpr std::size_t kMaxDescribedValues = 200;

// Values in it, the first `most` of them.
std::size_t CountValues(const Json& json, std::size_t most) {
  std::size_t count = 1;
  if (!json.is_structured()) return count;
  for (const Json& part : json) {
    if (count >= most) break;
    count += CountValues(part, most - count);
  }
  return count;
}

bool Fits(const Json& json, valijson::ValidationResults* results) {
  valijson::Validator validator;
  return validator.validate(TheSchema(), Adapter(json), results);
}

// What is wrong with a small document; empty: nothing, or it is not small.
std::string FaultOf(const Json& json) {
  if (CountValues(json, kMaxDescribedValues) >= kMaxDescribedValues) return "";
  valijson::ValidationResults results;
  valijson::ValidationResults::Error error;
  if (Fits(json, &results) || !results.popError(error)) return "";
  std::string fault = " at ";
  for (const std::string& step : error.context) fault += step;
  return fault + ": " + error.description;
}

// What is wrong with the first entry of its lists that does not fit alone; empty: that is not the fault.
std::string FaultOfEntry(const Json& json) {
  Json small = {{"version", 1}, {"routes", Json::array()}, {"services", Json::array()}};
  for (const char* list : {"routes", "services", "tenants"}) {
    const auto entries = json.find(list);
    if (entries == json.end() || !entries->is_array()) continue;
    for (const Json& entry : *entries) {
      if (CountValues(entry, kMaxDescribedValues) >= kMaxDescribedValues) return "";
      small[list] = Json::array({entry});
      if (!Fits(small, nullptr)) return FaultOf(small);
    }
    small[list] = Json::array();
  }
  return "";
}

void CheckSchema(const Json& json) {
  if (Fits(json, nullptr)) return;
  const std::string fault = FaultOf(json);
  throw ConfigurationError("the configuration does not fit its schema" +
                           (fault.empty() ? FaultOfEntry(json) : fault));
}

// By hand: a regular expression takes stack for each letter.
void CheckPathPrefixes(const Configuration& configuration) {
  for (const Route& route : configuration.routes) {
    const std::string& prefix = route.path_prefix;
    if (!prefix.starts_with('/') || !prefix.ends_with('/') || prefix.find_first_of("\r\n") != prefix.npos)
      throw ConfigurationError("route " + route.name + ": path_prefix has to begin and end with a slash");
  }
}

// A caller may have sent any length of text that a reason quotes.
std::string Bounded(const std::string& reason) {
  constexpr std::size_t kMaxReasonBytes = 1024;
  return reason.size() <= kMaxReasonBytes ? reason : reason.substr(0, kMaxReasonBytes) + "...";
}

}  // namespace

Configuration ValidateConfiguration(std::string_view text) {
  try {
    const Json json = ParseBounded(text);
    CheckSchema(json);
    Configuration configuration = ReadConfigurationDocument(json);
    CheckPathPrefixes(configuration);
    return configuration;
  } catch (const Json::exception& error) {
    throw ConfigurationError(Bounded(error.what()));
  } catch (const ConfigurationError& error) {
    throw ConfigurationError(Bounded(error.what()));
  }
}

}  // namespace bitternmux::fleet
