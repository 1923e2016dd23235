// Writes days of our own for the users' bench.
#include <gflags/gflags.h>

#include <fstream>
#include <iostream>

#include "lab/days/day_generator.h"

DEFINE_string(site, "", "the deployment's site file");
DEFINE_string(folder, ".", "where the days are written, as own-SEED.toml");
DEFINE_uint64(days, 1, "how many");
DEFINE_uint64(first, 1, "the seed of the first");

int main(int count, char** words) {
  gflags::SetUsageMessage(
      "fleet-days: writes days of troubles of the control side, from seeds, for the bench.");
  gflags::ParseCommandLineFlags(&count, &words, /*remove_flags=*/true);
  try {
    for (std::uint64_t seed = FLAGS_first; seed < FLAGS_first + FLAGS_days; ++seed) {
      const std::string path = FLAGS_folder + "/own-" + std::to_string(seed) + ".toml";
      std::ofstream file(path);
      file << bitternmux::lab::days::MakeDay(FLAGS_site, seed);
      if (!file.flush()) throw bitternmux::lab::days::SiteError("cannot write " + path);
    }
  } catch (const bitternmux::lab::days::SiteError& error) {
    std::cerr << error.what() << '\n';
    return 1;
  }
  return 0;
}
