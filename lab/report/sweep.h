// Plays an experiment: every run that has no result yet, over as many cores as it may have, each judged by
// the checker.
//
// In the folder: experiment.json (what is played, in its order), scenarios/ (each as it is run), runs/ (a
// result for each run, written whole or not at all, and records that are kept) and partial/ (what runs now).
// Where the experiment asks how the fleet comes back, each run is followed by the same one without its
// troubles, by the same build, and its result is made of both records; the calm one is not kept.
// A run that has its result is not played again; a changed scenario or build makes it another run. So a sweep
// that was stopped, at whatever moment, goes on where it was.
#ifndef BITTERNMUX_LAB_REPORT_SWEEP_H_
#define BITTERNMUX_LAB_REPORT_SWEEP_H_

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "lab/report/experiment.h"

namespace bitternmux::lab::report {

struct SweepOptions {
  std::string program;            // this program's own file: plays what has no build of its own, and loopback
  std::size_t jobs = 1;           // virtual runs at once
  std::size_t loopback_jobs = 1;  // and loopback runs, once the virtual ones are over
};

struct SweepState {
  std::size_t runs = 0;
  std::size_t there = 0;   // had their results from before
  std::size_t played = 0;  // now
  std::size_t broken = 0;  // of all results, those with breaches
  std::size_t voided = 0;  // of all results, those of which nothing may be concluded
  bool interrupted = false;
  std::vector<std::string> failed;  // a line for each run that came to no result: its name and why
};

// A run has ended; `line` says how, for people. Called by one thread at a time.
using SweepProgress = std::function<void(const SweepState& state, const std::string& line)>;

// SIGINT and SIGTERM end it early, and are blocked in the calling thread from then on. Throws
// std::runtime_error if the folder cannot be used or another sweep is at work in it.
SweepState Sweep(const Experiment& experiment, const std::string& folder, const SweepOptions& options,
                 const SweepProgress& progress);

}  // namespace bitternmux::lab::report

#endif  // BITTERNMUX_LAB_REPORT_SWEEP_H_
