#include "lab/depth/chain.h"

#include <algorithm>
#include <cmath>

#include "lab/model/random.h"
#include "lab/scenario/settings.h"

namespace bitternmux::lab::depth {

nlohmann::json SettingsOf(const Chain& chain, int hop) {
  model::Figures figures;
  figures.kinds = {"one"};
  figures.network.zones = {"here"};
  model::ClassFigures& klass = figures.classes.emplace_back();
  klass.name = kClass;
  klass.aim_ms = chain.aim_ms;
  klass.deadline_ms = chain.deadline_ms;
  klass.late_worth = 0.5;
  figures.rules.max_attempts = chain.max_attempts;
  figures.rules.may_cancel = chain.may_cancel;
  figures.rules.may_probe = false;
  figures.sidecars.resize(static_cast<std::size_t>(chain.SidecarsOf(hop)));
  return scenario::SettingsOf(figures, 0);
}

std::vector<double> DueTimes(const Calls& calls, std::uint64_t seed) {
  model::Stream stream = model::Seeds(seed).Of("depth.due");
  const double gap_ms = 1000 / calls.rate;
  std::vector<double> due;
  for (int i = 0; i < calls.count; ++i) due.push_back((i + stream.Between(0, 0.5)) * gap_ms);
  return due;
}

double NaiveAttempts(const Chain& chain) {
  double failed = chain.failing, attempts = 1;
  for (int hop = chain.FailingHop(); hop > 0; --hop) {
    double tries = 0;
    for (int i = 0; i < chain.max_attempts; ++i) tries += std::pow(failed, i);
    attempts *= tries;
    failed = std::pow(failed, chain.max_attempts);
  }
  return attempts;
}

double Quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const double rank = std::ceil(share * static_cast<double>(values.size()));
  return values[static_cast<std::size_t>(std::max(1.0, rank)) - 1];
}

}  // namespace bitternmux::lab::depth
