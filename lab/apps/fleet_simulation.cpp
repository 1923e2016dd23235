// Plays days of the simulated control side and says which of them break an invariant.
#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include "lab/simulation/day.h"

DEFINE_uint64(seeds, 100, "how many days are played");
DEFINE_uint64(first, 1, "the seed of the first");
DEFINE_uint64(threads, 0, "that play; 0: one for each processor");
DEFINE_bool(history, false, "print the history of each day that breaks an invariant, for people");
DEFINE_bool(measure, false, "print what was measured");
DEFINE_bool(stop_at_first, false, "end at the first violation");

namespace {

using bitternmux::lab::simulation::History;

struct Totals {
  std::mutex mutex;
  std::uint64_t violations = 0, days = 0, calls = 0;
  std::map<std::string, std::vector<double>> measured;
};

void Print(std::uint64_t seed, const History& history) {
  for (const auto& violation : history.violations) {
    std::cout << "seed " << seed << ": invariant " << violation.invariant << ", at "
              << static_cast<std::int64_t>(violation.at_ms) << " ms: " << violation.what << '\n';
  }
  if (!FLAGS_history) return;
  for (const std::string& line : history.lines) std::cout << "  " << line << '\n';
  for (const auto& call : history.calls) {
    std::cout << "  " << call.began_ms << " to " << call.ended_ms << " ms  " << call.by << ' '
              << NameOf(call.kind) << ' ' << call.zone << call.version << " on " << call.builds_on << ": end "
              << static_cast<int>(call.end) << ", " << call.answered_by << '\n';
  }
}

void Add(Totals& totals, std::uint64_t seed, const History& history) {
  const std::lock_guard lock(totals.mutex);
  ++totals.days;
  totals.calls += history.calls.size();
  totals.violations += history.violations.size();
  const auto add = [&](const char* name, const std::vector<double>& values) {
    auto& all = totals.measured[name];
    all.insert(all.end(), values.begin(), values.end());
  };
  add("owner after trouble, ms", history.measure.owner_ms);
  add("group whole and caught up, ms", history.measure.caught_up_ms);
  add("list everywhere, ms", history.measure.list_ms);
  add("change everywhere, ms", history.measure.version_ms);
  add("most bytes under way for values", {history.measure.most_unanswered_bytes});
  if (!history.violations.empty()) Print(seed, history);
}

void PrintMeasured(Totals& totals) {
  for (auto& [name, values] : totals.measured) {
    if (values.empty()) continue;
    std::ranges::sort(values);
    const auto at = [&](double share) {
      return values[std::min(values.size() - 1,
                             static_cast<std::size_t>(share * static_cast<double>(values.size())))];
    };
    std::cout << name << ": p50 " << at(0.5) << ", p99 " << at(0.99) << ", most " << values.back() << " ("
              << values.size() << ")\n";
  }
}

}  // namespace

int main(int count, char** words) {
  gflags::SetUsageMessage("fleet-simulation: plays days of the control side in simulated time, from seeds.");
  gflags::ParseCommandLineFlags(&count, &words, /*remove_flags=*/true);
  Totals totals;
  std::atomic<std::uint64_t> next = FLAGS_first;
  std::atomic<bool> stop = false;
  const auto play = [&] {
    while (!stop) {
      const std::uint64_t seed = next++;
      if (seed >= FLAGS_first + FLAGS_seeds) return;
      const History history = bitternmux::lab::simulation::PlayDay(seed);
      Add(totals, seed, history);
      if (FLAGS_stop_at_first && !history.violations.empty()) stop = true;
    }
  };
  const std::uint64_t wanted = FLAGS_threads == 0 ? std::thread::hardware_concurrency() : FLAGS_threads;
  std::vector<std::thread> threads;
  for (std::uint64_t i = 0; i < std::max<std::uint64_t>(1, wanted); ++i) threads.emplace_back(play);
  for (std::thread& thread : threads) thread.join();
  if (FLAGS_measure) PrintMeasured(totals);
  std::cout << totals.calls << " calls of operators\n";
  std::cout << totals.days << " seeds, " << totals.violations << " violations\n";
  return totals.violations == 0 ? 0 : 1;
}
