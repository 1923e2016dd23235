// Sends a load to one address, open-loop: each request is due at its time whatever has become of the ones
// before, and its latency is counted from then. One that finds all connections busy waits, and its waiting
// counts; that is how a stall of the other side shows in the figures of all that were due meanwhile
// ("coordinated omission", Tene).
//
// One thread, one strand. Connections are kept, opened when all are busy and never more than told. A request
// whose kept connection was closed between requests is sent once more on a new one, as the platform's clients
// do.
#ifndef BITTERNMUX_LAB_LOAD_GENERATOR_H_
#define BITTERNMUX_LAB_LOAD_GENERATOR_H_

#include <cstdint>
#include <string>
#include <vector>

#include "lab/load/schedule.h"
#include "lab/load/tally.h"

namespace bitternmux::lab::load {

struct Plan {
  std::string to;  // ip:port
  std::vector<Class> classes;
  Shape shape;
  std::size_t connections = 64;
  std::uint64_t seed = 0;  // also makes the request ids: the same seed gives the same ones
};

struct Result {
  explicit Result(std::size_t classes) : tally(classes) {}

  // A request was late if the load itself came to it so much after it was due, and a run is void if more than
  // this share of them were: its figures are then about the load's own machine.
  static constexpr double kLateMs = 10;
  static constexpr double kVoidShare = 0.01;
  bool Void() const { return static_cast<double>(late) > kVoidShare * static_cast<double>(due); }

  Tally tally;
  std::uint64_t planned = 0, due = 0;  // requests; fewer were due than planned if it was interrupted
  std::uint64_t open = 0;              // had not ended when it was interrupted
  std::uint64_t late = 0;
  double worst_late_ms = 0;
  double lasted_ms = 0;
  std::uint64_t connections = 0;  // opened in all
  bool interrupted = false;       // by SIGINT or SIGTERM
};

// Waits until GET /up answers 200, then sends the load and waits for all that is open. Throws
// std::invalid_argument for a plan that cannot be, and std::runtime_error if nobody is there.
Result RunLoad(const Plan& plan);

}  // namespace bitternmux::lab::load

#endif  // BITTERNMUX_LAB_LOAD_GENERATOR_H_
