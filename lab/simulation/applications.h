// Applications that work with tallies through a day: some in each zone, which call the control machines of
// their own zone first. They turn to the next one after a failure, a refusal or a second without an answer,
// with the same id until it is acknowledged; some send an id to two machines at once, some give up when they
// are refused.
#ifndef BITTERNMUX_LAB_SIMULATION_APPLICATIONS_H_
#define BITTERNMUX_LAB_SIMULATION_APPLICATIONS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "lab/simulation/world.h"

namespace bitternmux::lab::simulation {

constexpr std::size_t kTallies = 3;
std::string TallyName(std::size_t number);

class Applications {
 public:
  explicit Applications(World& world) : world_(world) {}

  void Begin();
  void End() { working_ = false; }

 private:
  struct Attempt {
    std::size_t zone = 0;
    std::size_t add = 0;                // its row in the history
    std::vector<std::size_t> machines;  // the nearest first
    std::size_t next = 0;
    double until_ms = 0;
    bool gives_up_when_refused = false;
  };
  void Work(std::size_t zone);
  void Add(std::size_t zone);
  void Read(std::size_t zone);
  void Send(Attempt attempt);
  // Control machines in the order in which an application of the zone calls them.
  std::vector<std::size_t> Nearest(std::size_t zone);

  World& world_;
  bool working_ = false;
  std::uint64_t ids_ = 0;
};

}  // namespace bitternmux::lab::simulation

#endif  // BITTERNMUX_LAB_SIMULATION_APPLICATIONS_H_
