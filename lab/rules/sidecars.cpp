#include "lab/rules/sidecars.h"

#include <algorithm>
#include <utility>

namespace bitternmux::lab::rules {
namespace {

// PROTOCOL of the platform: a planned restart's SIGKILL comes no sooner after its SIGTERM than the longest
// deadline, counted as this where it is shorter, and this more.
constexpr std::int64_t kLeastLongestUs = 3'000'000;
constexpr std::int64_t kRestartUs = 700'000;

// Growth is judged where a run is this long, by as many samples in each part, and is one from this on: a
// program may still fill its tables and pools, and the allocator its free lists.
constexpr std::int64_t kLongRunUs = 60'000'000;
constexpr std::uint32_t kFewestSamples = 3;
constexpr double kGrowthBytes = 4.0 * 1024 * 1024;

std::int64_t LongestDeadline(const record::Header& header) {
  std::int64_t longest = kLeastLongestUs;
  for (const auto& klass : header.classes()) longest = std::max(longest, klass.deadline_us());
  return longest;
}

std::string Megabytes(double bytes) {
  const auto tenths = static_cast<std::int64_t>(bytes / (1024 * 1024) * 10);
  return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10) + " MB";
}

}  // namespace

Sidecars::Sidecars(const record::Header& header, Report report)
    : report_(std::move(report)),
      names_(header.sidecars().begin(), header.sidecars().end()),
      lives_(names_.size()),
      stops_(names_.size()),
      length_us_(header.length_us()),
      planned_kill_us_(LongestDeadline(header) + kRestartUs),
      memory_bytes_(header.rules().memory_bytes()),
      descriptors_(header.rules().descriptors()) {}

void Sidecars::Known(std::uint32_t sidecar) const {
  if (sidecar >= names_.size()) throw Untrusted("sidecar " + std::to_string(sidecar) + " is unknown");
}

void Sidecars::Changed(std::int64_t at_us, const record::Sidecar& entry) {
  Known(entry.sidecar());
  if (!record::Sidecar::What_IsValid(entry.what())) throw Untrusted("a sidecar's change of an unknown kind");
  Life& life = lives_[entry.sidecar()];
  const std::string& name = names_[entry.sidecar()];
  const std::string what = record::Sidecar::What_Name(entry.what());
  if (entry.what() == record::Sidecar::STARTED) {
    if (life.running) throw Untrusted(name + " started while it runs");
    const Life before = std::exchange(life, {});
    life.number = before.number + 1;
    life.cut_us = before.cut_us;
    life.cut_end_us = std::max(before.cut_us, before.cut_end_us);  // an end that was not told came at once
    life.running = true;
    life.started_us = at_us;
    return;
  }
  // How a killed process ended is told once more, by its exit.
  const bool ends = entry.what() == record::Sidecar::EXITED || entry.what() == record::Sidecar::CRASHED;
  if (life.killed && ends) {
    if (life.cut_us >= 0 && life.cut_end_us < 0) life.cut_end_us = at_us;
    return;
  }
  if (!life.running) throw Untrusted(name + ": " + what + " while it does not run");
  switch (entry.what()) {
    case record::Sidecar::TERM:
      if (life.term_us < 0) life.term_us = at_us;
      break;
    case record::Sidecar::KILLED:
      life.running = false;
      life.killed = true;
      LetGo(at_us, entry.sidecar());
      if (life.term_us < 0 || at_us < life.term_us + planned_kill_us_) {
        life.cut_us = at_us;
        life.cut_end_us = -1;
      }
      break;
    case record::Sidecar::EXITED:
      life.running = false;
      if (life.term_us < 0) {
        report_({Rule::kCrash, at_us, 0, "", name + " ended with " + std::to_string(entry.code())});
      }
      break;
    case record::Sidecar::CRASHED:
      life.running = false;
      report_({Rule::kCrash, at_us, 0, "", name + " was ended by signal " + std::to_string(entry.code())});
      break;
    case record::Sidecar::FROZEN: {
      std::vector<Stop>& stops = stops_[entry.sidecar()];
      if (!stops.empty() && stops.back().until_us < 0) throw Untrusted(name + " was stopped twice");
      stops.push_back({at_us, -1, StoodUntil(entry.sidecar(), at_us)});
      break;
    }
    case record::Sidecar::LET_GO:
      LetGo(at_us, entry.sidecar());
      break;
    default:
      break;
  }
}

void Sidecars::Sampled(std::int64_t at_us, const record::Sample& entry) {
  Known(entry.sidecar());
  Life& life = lives_[entry.sidecar()];
  const std::string& name = names_[entry.sidecar()];
  if (!life.running) throw Untrusted("a sample of " + name + ", which does not run");
  // Once in a life each: that a limit was broken is one fault, however often it is seen.
  if (memory_bytes_ > 0 && entry.memory_bytes() > memory_bytes_ && !std::exchange(life.over_memory, true)) {
    report_({Rule::kMemory, at_us, 0, "",
             name + " holds " + Megabytes(static_cast<double>(entry.memory_bytes())) + " of " +
                 Megabytes(static_cast<double>(memory_bytes_))});
  }
  if (descriptors_ > 0 && entry.descriptors() > descriptors_ && !std::exchange(life.over_descriptors, true)) {
    report_({Rule::kDescriptors, at_us, 0, "",
             name + " holds " + std::to_string(entry.descriptors()) + " descriptors of " +
                 std::to_string(descriptors_)});
  }
  const std::int64_t half = length_us_ / 2;
  if (length_us_ >= kLongRunUs && life.started_us < half && at_us >= half && at_us < length_us_) {
    const auto part = static_cast<std::size_t>((at_us - half) * 4 / (length_us_ - half));
    life.sum[part] += static_cast<double>(entry.memory_bytes());
    ++life.samples[part];
  }
}

// Keeps growing: each quarter of the run's second half held more than the one before.
void Sidecars::JudgeGrowth(std::int64_t at_us, std::uint32_t sidecar) const {
  const Life& life = lives_[sidecar];
  std::array<double, 4> mean;
  for (std::size_t i = 0; i < mean.size(); ++i) {
    if (life.samples[i] < kFewestSamples) return;
    mean[i] = life.sum[i] / life.samples[i];
    if (i > 0 && mean[i] <= mean[i - 1]) return;
  }
  if (mean[3] - mean[0] <= kGrowthBytes) return;
  report_({Rule::kGrowth, at_us, 0, "",
           names_[sidecar] + " grew from " + Megabytes(mean[0]) + " to " + Megabytes(mean[3]) +
               " in the run's second half"});
}

void Sidecars::Finish(std::int64_t at_us) {
  for (std::uint32_t i = 0; i < lives_.size(); ++i) JudgeGrowth(at_us, i);
}

void Sidecars::LetGo(std::int64_t at_us, std::uint32_t sidecar) {
  std::vector<Stop>& stops = stops_[sidecar];
  if (!stops.empty() && stops.back().until_us < 0) stops.back().until_us = at_us;
}

// In all, since the run began.
std::int64_t Sidecars::StoodUntil(std::uint32_t sidecar, std::int64_t at_us) const {
  const std::vector<Stop>& stops = stops_[sidecar];
  auto stop = std::upper_bound(stops.begin(), stops.end(), at_us,
                               [](std::int64_t at, const Stop& later) { return at < later.from_us; });
  if (stop == stops.begin()) return 0;
  --stop;
  const std::int64_t until = stop->until_us < 0 ? at_us : std::min(at_us, stop->until_us);
  return stop->before_us + until - stop->from_us;
}

std::int64_t Sidecars::StoodUs(std::uint32_t sidecar, std::int64_t from_us, std::int64_t to_us) const {
  return StoodUntil(sidecar, to_us) - StoodUntil(sidecar, from_us);
}

bool Sidecars::CutOff(std::uint32_t sidecar, std::int64_t from_us, std::int64_t to_us) const {
  const Life& life = lives_[sidecar];
  if (life.cut_us < 0 || life.cut_us > to_us) return false;
  return life.cut_us >= from_us || life.cut_end_us < 0 || life.cut_end_us >= from_us;
}

}  // namespace bitternmux::lab::rules
