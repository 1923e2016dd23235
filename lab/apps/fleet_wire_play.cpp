// Plays drawn requests through a router in this process, from seeds, and says which rules were broken. Exit
// codes: 0 none, 1 some.
#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <exception>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

#include "lab/wire_play/drawn_requests.h"

DEFINE_uint64(seeds, 500, "how many are played, of 60 requests each");
DEFINE_uint64(first, 1, "the first seed");
DEFINE_uint64(threads, 0, "that play; 0: one for each processor");
DEFINE_bool(stop_at_first, false, "end at the first seed with a finding");

namespace {

using bitternmux::lab::wire::DrawnResult;

DrawnResult Play(std::uint64_t seed) {
  try {
    return bitternmux::lab::wire::PlayDrawnRequests(seed);
  } catch (const std::exception& error) {
    DrawnResult failed;
    failed.findings.push_back({bitternmux::lab::wire::Rule::kLost, "", error.what()});
    return failed;
  }
}

void Print(std::uint64_t seed, const DrawnResult& result) {
  for (const auto& finding : result.findings)
    std::cout << "seed " << seed << ": " << NameOf(finding.rule) << " " << finding.request_id << ": "
              << finding.what << "\n";
  if (result.not_continued > 0)
    std::cout << "seed " << seed << ": " << result.not_continued
              << " streams were asked to go on at a wrong event\n";
}

}  // namespace

int main(int count, char** words) {
  gflags::SetUsageMessage(
      "fleet-wire-play: plays drawn requests through a router in one process, from seeds.");
  gflags::ParseCommandLineFlags(&count, &words, /*remove_flags=*/true);
  std::mutex mutex;
  std::atomic<std::uint64_t> next = FLAGS_first, played = 0, broken = 0;
  std::atomic<bool> stop = false;
  const auto play = [&] {
    while (!stop) {
      const std::uint64_t seed = next++;
      if (seed >= FLAGS_first + FLAGS_seeds) return;
      const DrawnResult result = Play(seed);
      ++played;
      if (result.Clean()) continue;
      ++broken;
      if (FLAGS_stop_at_first) stop = true;
      const std::lock_guard lock(mutex);
      Print(seed, result);
    }
  };
  const std::uint64_t wanted = FLAGS_threads == 0 ? std::thread::hardware_concurrency() : FLAGS_threads;
  std::vector<std::thread> threads;
  for (std::uint64_t i = 0; i < std::max<std::uint64_t>(1, wanted); ++i) threads.emplace_back(play);
  for (std::thread& thread : threads) thread.join();
  std::cout << played << " seeds, " << broken << " with a finding\n";
  return broken == 0 ? 0 : 1;
}
