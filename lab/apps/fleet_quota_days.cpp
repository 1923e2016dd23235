// Plays days of quota with trouble, from seeds, and says in which of them a window was over its limit.
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

#include "lab/quota_days/quota_days.h"

DEFINE_uint64(seeds, 100, "how many days are played, of ten sizes in turn");
DEFINE_uint64(first, 1, "the seed of the first");
DEFINE_uint64(threads, 0, "that play; 0: one for each processor");
DEFINE_bool(stop_at_first, false, "end at the first day over the limit");

namespace {

struct Size {
  std::size_t routers;
  double rate_per_s;  // tokens
};
constexpr std::array<Size, 10> kSizes = {{{3, 60'000},
                                          {8, 29'000},
                                          {8, 330'000},
                                          {20, 330'000},
                                          {5, 170'000},
                                          {12, 90'000},
                                          {3, 330'000},
                                          {20, 60'000},
                                          {40, 330'000},
                                          {6, 29'000}}};

bitternmux::lab::QuotaDayResult Play(std::uint64_t seed) {
  const Size& size = kSizes[seed % kSizes.size()];
  bitternmux::lab::QuotaDayOptions options;
  options.seed = static_cast<std::uint32_t>(seed);
  options.routers = size.routers;
  options.rate_per_s = size.rate_per_s;
  return bitternmux::lab::QuotaDay(options).Play();
}

}  // namespace

int main(int count, char** words) {
  gflags::SetUsageMessage("fleet-quota-days: plays days of quota in simulated time, from seeds.");
  gflags::ParseCommandLineFlags(&count, &words, /*remove_flags=*/true);
  std::mutex mutex;
  std::atomic<std::uint64_t> next = FLAGS_first, over = 0, played = 0;
  std::atomic<bool> stop = false;
  const auto play = [&] {
    while (!stop) {
      const std::uint64_t seed = next++;
      if (seed >= FLAGS_first + FLAGS_seeds) return;
      const auto result = Play(seed);
      ++played;
      if (result.most_over <= 0) continue;
      ++over;
      if (FLAGS_stop_at_first) stop = true;
      const std::lock_guard lock(mutex);
      std::cout << "seed " << seed << ": over the limit by " << 100 * result.most_over << " in 100, at "
                << static_cast<std::int64_t>(result.over_at_ms) << " ms\n";
    }
  };
  const std::uint64_t wanted = FLAGS_threads == 0 ? std::thread::hardware_concurrency() : FLAGS_threads;
  std::vector<std::thread> threads;
  for (std::uint64_t i = 0; i < std::max<std::uint64_t>(1, wanted); ++i) threads.emplace_back(play);
  for (std::thread& thread : threads) thread.join();
  std::cout << played << " days of quota, " << over << " over the limit\n";
  return over == 0 ? 0 : 1;
}
