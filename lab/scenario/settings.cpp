#include "lab/scenario/settings.h"

namespace bitternmux::lab::scenario {

nlohmann::json SettingsOf(const model::Figures& figures, int sidecar) {
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
            {"handshake", rules.handshake_price}}}};
}

}  // namespace bitternmux::lab::scenario
