// Real sidecars: the built program, each with a configuration file, an address and a door of its own, and
// what the system says of each of them.
#ifndef BITTERNMUX_LAB_SCALE_REAL_SIDECARS_H_
#define BITTERNMUX_LAB_SCALE_REAL_SIDECARS_H_

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "lab/scale/plan.h"

namespace bitternmux::lab::scale {

// Of one process, since it started; memory as it is now.
struct Usage {
  double cpu_ms = 0;           // by the process's own clock, which counts in ns
  std::int64_t wakeups = 0;    // voluntary context switches
  double resident_mb = 0;      // VmRSS
  double proportional_mb = 0;  // Pss: what it shares is divided by those that share it
};

class RealSidecars {
 public:
  // `program` is the built bitternmux. Starts the plan's real ones and returns when each answers GET /up.
  // Throws std::runtime_error if one does not, or cannot be run.
  RealSidecars(const Scenario& scenario, const Plan& plan, const std::string& program,
               const std::string& discovery);
  // Kills those that are left.
  ~RealSidecars();
  RealSidecars(const RealSidecars&) = delete;
  RealSidecars& operator=(const RealSidecars&) = delete;

  std::size_t count() const { return rows_.size(); }
  const std::string& address(std::size_t sidecar) const { return rows_[sidecar].listen; }
  Usage Use(std::size_t sidecar) const;
  std::vector<Usage> UseAll() const;
  // A number of the door's figures: "discovered", "sighup_applied". -1: no answer.
  std::int64_t Figure(std::size_t sidecar, const std::string& name) const;
  bool AllRun() const;
  // Replaces each one's configuration by the same with another worth for each class, and sends SIGHUP to all.
  void Reload(double late_worth);
  // SIGTERM to all, waits for their end, starts them anew and waits until each is up. How long each was away
  // from SIGTERM on, in ms.
  std::vector<double> Restart();

 private:
  struct Row {
    std::string listen, door;
    std::filesystem::path folder;
    pid_t pid = -1;
  };

  void Configure(std::size_t sidecar, double late_worth);
  void Start(Row& row) const;
  void AwaitUp(const Row& row) const;

  const Scenario& scenario_;
  const Plan& plan_;
  const std::string program_, discovery_;
  std::filesystem::path folder_;
  std::vector<Row> rows_;
};

}  // namespace bitternmux::lab::scale

#endif  // BITTERNMUX_LAB_SCALE_REAL_SIDECARS_H_
