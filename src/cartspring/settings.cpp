#include "cartspring/settings.h"

#include <array>

namespace cartspring {
namespace {

std::vector<std::string> Names(std::string_view list) {
  std::vector<std::string> out;
  while (!list.empty()) {
    const auto comma = list.find(',');
    out.emplace_back(list.substr(0, comma));
    list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
  }
  return out;
}

RequestClass ReadClass(const Fields& fields, const std::string& prefix) {
  RequestClass out;
  out.name = fields.Text(prefix + "name", "");
  out.aim_ms = fields.Number(prefix + "promiseMs");
  out.aim_stretch = fields.Number(prefix + "aimStretch", 0);
  out.deadline_ms = fields.Number(prefix + "deadlineMs");
  out.worth = fields.Number(prefix + "worth", 1);
  out.late_worth = fields.Number(prefix + "lateWorth", 0);
  constexpr std::array<std::pair<std::string_view, Effect>, 3> kEffects = {
      {{"free", Effect::kSafe}, {"guarded", Effect::kKeyed}, {"single_shot", Effect::kUnsafe}}};
  constexpr std::array<std::pair<std::string_view, RepeatGroup>, 3> kGroups = {
      {{"all", RepeatGroup::kAll}, {"zone", RepeatGroup::kZone}, {"cell", RepeatGroup::kCell}}};
  out.effect = Lookup(kEffects, fields.Text(prefix + "effect"), prefix + "effect");
  if (out.effect == Effect::kKeyed) {
    out.group = Lookup(kGroups, fields.Text(prefix + "group"), prefix + "group");
    out.repeat_window_ms = fields.Number(prefix + "windowMs");
  }
  out.streaming = fields.Flag(prefix + "streaming");
  return out;
}

}  // namespace

Settings ReadSettings(const Fields& fields) {
  Settings out;
  for (std::uint64_t i = 0, count = fields.Whole("services.count"); i < count; ++i) {
    out.classes.push_back(ReadClass(fields, "services." + std::to_string(i) + "."));
  }
  constexpr std::array<std::pair<std::string_view, Reporting>, 3> kReporting = {
      {{"answers", Reporting::kAnswers}, {"probe", Reporting::kProbe}, {"none", Reporting::kNone}}};
  out.reporting = Lookup(kReporting, fields.Text("feedback.via"), "feedback.via");
  out.own_zone = ToIndex(fields.Whole("az", 0), "az");
  out.balancers = ToIndex(fields.Whole("balancers", 1), "balancers");
  out.tick_ms = fields.Number("tickMs", 1);
  const auto weights = fields.Text("weights", "none");
  out.weights_known = weights == "nominal" || weights == "rough";
  out.may_probe = fields.Flag("bounds.probes");
  out.may_cancel = fields.Flag("bounds.mayCancel");
  out.may_duplicate = fields.Flag("bounds.mayDuplicate");
  out.may_advise_retry = fields.Flag("bounds.retryAfter");
  out.must_subscribe = fields.Text("discovery", "automatic") == "subscribe";
  out.max_attempts = ToIndex(fields.Whole("bounds.sendCap"), "bounds.sendCap");
  out.max_retry_after_ms = fields.Number("bounds.maxRetryAfterMs", 0);
  out.worth_by_work = fields.Text("worthBy", "request") == "work";
  out.ask_within_ms = fields.Number("contract.askWithinMs", 0);
  out.drain_grace_ms = fields.Number("contract.drainGraceMs", 0);
  out.cold_from = fields.Number("contract.coldFrom", 1);
  out.warm_within_ms = fields.Number("contract.warmWithinMs", 0);
  out.fall_multiple = fields.Number("contract.fallMultiple", 1);
  out.fall_ms = fields.Number("contract.fallMs", 0);
  out.probe_price = fields.Number("prices.probe", 0);
  out.handshake_price = fields.Number("prices.handshake", 0);
  out.connection_price = fields.Number("prices.connection", 0);
  out.connection_idle_ms = fields.Number("bounds.connIdleMs", 0);
  out.cross_zone_price = fields.Number("prices.crossZone", 0);
  out.dial_timeout_ms = fields.Number("bounds.dialTimeoutMs", 0);
  out.zones = Names(fields.Text("zones", ""));
  out.kinds = Names(fields.Text("models", ""));
  return out;
}

}  // namespace cartspring
