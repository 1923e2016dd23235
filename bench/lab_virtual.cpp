// How fast a virtual day is: a scenario's days, without a record and with one that is kept nowhere.
//
//   lab_virtual [SCENARIO [SEEDS]]     lab/scenarios/fleet.toml, 5 seeds
#include <sys/resource.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>

#include "lab/scenario/scenario.h"
#include "lab/virtual/day.h"
#include "lab/virtual/recorder.h"
#include "lab/virtual/summary.h"

namespace {

using namespace bitternmux::lab;

class NoSink : public record::Sink {
 public:
  void Write(std::string_view bytes) override { bytes_ += bytes.size(); }
  void Close() override {}
  std::uint64_t bytes() const { return bytes_; }

 private:
  std::uint64_t bytes_ = 0;
};

double Seconds(std::chrono::steady_clock::time_point since) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - since).count();
}

void Play(const model::Figures& figures, bool recorded) {
  Summary summary(figures);
  NoSink sink;
  record::Writer writer(sink, HeaderOf(figures, "virtual", "bench", ""));
  Recorder recorder(figures, writer);
  const auto since = std::chrono::steady_clock::now();
  std::vector<Observer*> observers = {&summary};
  if (recorded) observers.push_back(&recorder);
  Day day(figures, observers);
  day.Run();
  const double took = Seconds(since);
  std::cout << "seed " << figures.seed << (recorded ? ", recorded: " : ": ") << took << " s for "
            << figures.length_ms / 1000 << " s of day, " << summary.wishes() << " wishes, " << day.events()
            << " events, " << took * 1e6 / static_cast<double>(day.events()) << " us an event, worth "
            << summary.WorthShare();
  if (recorded) std::cout << ", " << writer.entries() << " entries of " << sink.bytes() << " bytes";
  std::cout << std::endl;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string file = argc > 1 ? argv[1] : "lab/scenarios/fleet.toml";
  const auto seeds = static_cast<std::uint64_t>(argc > 2 ? std::atoi(argv[2]) : 5);
  try {
    const auto scenario = scenario::Scenario::Read(file);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      Play(scenario.Draw(seed), false);
      Play(scenario.Draw(seed), true);
    }
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  std::cout << "most memory held: " << usage.ru_maxrss / 1024 << " MB\n";
  return 0;
}
