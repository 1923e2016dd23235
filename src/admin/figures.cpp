#include "admin/figures.h"

#include <nlohmann/json.hpp>

namespace bitternmux::admin {

std::string_view NameOf(cartspring::ServiceState state) {
  switch (state) {
    case cartspring::ServiceState::kRemembering:
      return "remembering";
    case cartspring::ServiceState::kListed:
      return "listed";
    case cartspring::ServiceState::kLearning:
      return "learning";
    case cartspring::ServiceState::kFull:
      break;
  }
  return "full";
}

std::string WriteFigures(const Stats& stats, const Standing& standing) {
  nlohmann::ordered_json out;
  for (const char* name : {"succeeded", "declined", "aborted"}) out[name] = nlohmann::ordered_json::object();
  for (const auto& [name, ends] : stats.classes) {
    out["succeeded"][name] = ends.succeeded;
    out["declined"][name] = ends.declined;
    out["aborted"][name] = ends.aborted;
  }
  out["forwards"] = stats.forwards;
  out["outstanding"] = standing.outstanding;
  out["discovered"] = standing.discovered;
  out["ejected"] = standing.ejected;
  out["sighup_applied"] = standing.sighup_applied;
  out["sighup_rejected"] = standing.sighup_rejected;
  out["state"] = standing.state;
  out["state_ms"] = static_cast<std::int64_t>(standing.state_ms);
  return out.dump() + "\n";
}

}  // namespace bitternmux::admin
