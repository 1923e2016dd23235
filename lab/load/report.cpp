#include "lab/load/report.h"

#include <array>
#include <cstdio>

namespace bitternmux::lab::load {
namespace {

constexpr std::array<std::pair<const char*, double>, 5> kPercentiles = {
    {{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p99.9", 0.999}, {"max", 1}}};

std::string Padded(const char* format, const std::string& first, const std::string& second,
                   unsigned long long count) {
  std::array<char, 160> text;
  const int size = std::snprintf(text.data(), text.size(), format, first.c_str(), second.c_str(), count);
  return {text.data(), std::min(static_cast<std::size_t>(size), text.size() - 1)};
}

std::string Number(const char* format, double value) {
  std::array<char, 64> text;
  const int size = std::snprintf(text.data(), text.size(), format, value);
  return {text.data(), static_cast<std::size_t>(size)};
}

template <class Each>
void ForEach(const Plan& plan, const Result& result, Each each) {
  for (std::size_t klass = 0; klass < plan.classes.size(); ++klass) {
    for (std::size_t i = 0; i < kOutcomes; ++i) {
      const Latencies& latencies = result.tally.Of(klass, static_cast<Outcome>(i));
      if (latencies.count() > 0) each(plan.classes[klass].name, std::string(kOutcomeNames[i]), latencies);
    }
  }
}

}  // namespace

std::string TextOf(const Plan& plan, const Result& result) {
  std::string text =
      "class             outcome         count      p50      p90      p99    p99.9      max  (ms, from when "
      "due)\n";
  ForEach(plan, result,
          [&](const std::string& klass, const std::string& outcome, const Latencies& latencies) {
            text += Padded("%-16.16s  %-11s  %8llu", klass, outcome, latencies.count());
            for (const auto& [name, share] : kPercentiles)
              text += Number(" %8.2f", latencies.Percentile(share));
            text += "\n";
          });
  const double seconds = result.lasted_ms / 1000;
  const auto served = static_cast<double>(result.tally.Count(Outcome::kServed));
  text += std::to_string(result.due) + " requests due in " + Number("%.3f s", seconds) + ", " +
          Number("%.1f", seconds > 0 ? served / seconds : 0) + " served a second, over " +
          std::to_string(result.connections) + " connections\n";
  if (result.interrupted) {
    text += "interrupted: " + std::to_string(result.planned - result.due) + " were not due yet, " +
            std::to_string(result.open) + " were open\n";
  }
  if (result.late > 0) {
    text += "late: the load itself came to " + std::to_string(result.late) + " requests more than " +
            Number("%.0f ms", Result::kLateMs) + " after they were due, at most " +
            Number("%.1f ms", result.worst_late_ms) + "\n";
  }
  if (result.Void()) {
    text += "VOID: that is more than " + Number("%.0f%%", Result::kVoidShare * 100) +
            " of them, so that these figures are about this machine and not about " + plan.to + "\n";
  }
  return text;
}

nlohmann::json JsonOf(const Plan& plan, const Result& result) {
  auto out = nlohmann::json::object();
  out["to"] = plan.to;
  out["seed"] = plan.seed;
  out["from_rate"] = plan.shape.from_rate;
  out["to_rate"] = plan.shape.to_rate;
  out["seconds"] = plan.shape.seconds;
  out["lasted_ms"] = result.lasted_ms;
  out["planned"] = result.planned;
  out["due"] = result.due;
  out["open"] = result.open;
  out["connections"] = result.connections;
  out["interrupted"] = result.interrupted;
  out["late"] = result.late;
  out["worst_late_ms"] = result.worst_late_ms;
  out["void"] = result.Void();
  auto& ended = out["ended"] = nlohmann::json::array();
  ForEach(plan, result,
          [&](const std::string& klass, const std::string& outcome, const Latencies& latencies) {
            auto& line = ended.emplace_back(nlohmann::json::object());
            line["class"] = klass;
            line["outcome"] = outcome;
            line["count"] = latencies.count();
            for (const auto& [name, share] : kPercentiles) {
              std::string key = std::string(name) + "_ms";
              std::erase(key, '.');  // p999_ms: a dot stands for a path in most tools that read JSON
              line[key] = latencies.Percentile(share);
            }
          });
  return out;
}

}  // namespace bitternmux::lab::load
