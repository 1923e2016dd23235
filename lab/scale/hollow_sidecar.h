// A sidecar without a process: the program's own parts for what control costs (the watch with its calls and
// retries, the machine list, the decision module, the job table, the pool of connections to servers, the
// wheel), wired as src/sidecar wires them, hundreds of them on one thread.
//
// It leaves out: the submitters' server, the operators' door, the place that a successor takes over, the
// starts that are remembered, the look-out for a standstill, signals and the log. Its wheel is turned by
// whoever keeps it, and more seldom than the program's own: with hundreds on a core every 2 ms is too often,
// so that its time limits come up to that later.
#ifndef BITTERNMUX_LAB_SCALE_HOLLOW_SIDECAR_H_
#define BITTERNMUX_LAB_SCALE_HOLLOW_SIDECAR_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "config/config.h"
#include "lab/scale/plan.h"
#include "lab/scale/stand_thread.h"

namespace bitternmux::lab::scale {

class HollowSidecar {
 public:
  // `updated`: it goes by that version from now on. Everything runs in the reactor's one thread.
  HollowSidecar(boost::asio::io_context& io, Config config, double calls_per_s,
                std::function<void(std::int64_t revision)> updated);
  ~HollowSidecar();

  void Begin();
  void Turn();
  std::uint64_t answered() const;  // of the calls that it made itself

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// All hollow sidecars of a play, on a few threads.
class HollowFleet {
 public:
  HollowFleet(const Scenario& scenario, const Plan& plan, const std::string& discovery);
  ~HollowFleet();

  // How many go by that version or a later one; and when the last of them came to it, each one's time.
  std::vector<double> ReachedMs(std::int64_t revision) const;
  double CpuMs() const;
  double TakeWorstLateMs();
  std::uint64_t answered();

 private:
  struct Shard;
  std::vector<std::unique_ptr<Shard>> shards_;
};

}  // namespace bitternmux::lab::scale

#endif  // BITTERNMUX_LAB_SCALE_HOLLOW_SIDECAR_H_
