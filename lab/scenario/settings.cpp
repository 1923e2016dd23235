#include "lab/scenario/settings.h"

#include <algorithm>

#include "lab/scenario/sections.h"

namespace bitternmux::lab::scenario {
namespace {

using nlohmann::json;

json::json_pointer PointerTo(std::string name) {
  std::replace(name.begin(), name.end(), '.', '/');
  return json::json_pointer("/" + name);
}

// Null for what no setting can be.
json JsonOf(const toml::node& node) {
  if (node.is_boolean()) return node.value<bool>().value();
  if (node.is_integer()) return node.value<std::int64_t>().value();
  if (node.is_floating_point()) return node.value<double>().value();
  if (node.is_string()) return node.value<std::string>().value();
  json list = nullptr;
  if (const toml::array* array = node.as_array()) {
    list = json::array();
    for (const toml::node& item : *array) list.push_back(JsonOf(item));
  }
  return list;
}

json FromDay(const model::Figures& figures, int sidecar) {
  const model::RuleFigures& rules = figures.rules;
  nlohmann::json services = nlohmann::json::array();
  for (const model::ClassFigures& klass : figures.classes) {
    services.push_back({{"name", klass.name},
                        {"promiseMs", klass.aim_ms},
                        {"deadlineMs", klass.deadline_ms},
                        {"worth", klass.worth},
                        {"lateWorth", klass.late_worth},
                        {"effect", klass.repeat == model::Repeat::kSafe ? "free" : "single_shot"},
                        {"group", "all"},
                        {"windowMs", klass.deadline_ms},
                        {"streaming", false}});
  }
  const bool reports = !figures.machines.empty() && figures.machines.front().node.reports;
  return {{"az", figures.sidecars[static_cast<std::size_t>(sidecar)].zone},
          {"balancers", figures.sidecars.size()},
          {"rank", sidecar},
          {"tickMs", 5},
          {"services", services},
          {"tenants", nlohmann::json::array()},
          {"zones", figures.network.zones},
          {"models", figures.kinds},
          {"weights", rules.weights_known ? "rough" : "none"},
          {"worthBy", rules.worth_by_work ? "work" : "request"},
          {"discovery", "subscribe"},
          {"feedback", {{"via", reports ? "answers" : "none"}, {"columns", {"active", "waiting"}}}},
          {"bounds",
           {{"probes", rules.may_probe},
            {"mayCancel", rules.may_cancel},
            {"mayDuplicate", rules.may_duplicate},
            {"retryAfter", rules.may_advise_retry},
            {"sendCap", rules.max_attempts},
            {"maxRetryAfterMs", rules.max_retry_after_ms},
            {"connIdleMs", rules.idle_ms},
            {"dialTimeoutMs", rules.dial_timeout_ms}}},
          {"contract",
           {{"askWithinMs", rules.ask_within_ms},
            {"drainGraceMs", rules.drain_grace_ms},
            {"coldFrom", rules.cold_from},
            {"warmWithinMs", rules.warm_within_ms},
            {"fallMultiple", rules.fall_multiple},
            {"fallMs", rules.fall_ms}}},
          {"prices",
           {{"probe", rules.probe_price},
            {"crossZone", rules.cross_zone_price},
            {"handshake", rules.handshake_price},
            {"connection", rules.connection_price}}}};
}

}  // namespace

void ReadSettings(Reader& whole, model::Figures& figures) {
  const auto leaves = whole.Leaves("settings");
  if (leaves.empty()) return;
  const json day = FromDay(figures, 0);
  for (const auto& [name, node] : leaves) {
    const std::string key = "settings." + name;
    const json value = JsonOf(*node);
    const auto pointer = PointerTo(name);
    if (name.find_first_of("/~") != std::string::npos || !day.contains(pointer)) {
      whole.faults().Add(node, key, "is not known");
    } else if (const json& there = day.at(pointer);
               !(there.is_number() && value.is_number()) && there.type() != value.type()) {
      whole.faults().Add(node, key, "must be like " + there.dump());
    } else {
      figures.settings.push_back({name, value.dump()});
    }
  }
}

nlohmann::json SettingsOf(const model::Figures& figures, int sidecar) {
  json settings = FromDay(figures, sidecar);
  for (const model::SettingFigure& setting : figures.settings) {
    settings[PointerTo(setting.name)] = json::parse(setting.json);
  }
  return settings;
}

}  // namespace bitternmux::lab::scenario
