// Checks what applications were answered about tallies against the bounds of the users' rules (STALE, TWICE,
// LOST; docs/design/apart.md):
//
// 17. A total holds at least every add that the same life of the same machine had acknowledged before the
//     read was sent, and every add that any machine had acknowledged before a span of kMergeMs without fault
//     which ended before the read was sent.
// 18. A total holds at most the adds that had been sent when its answer came, without those that were only
//     ever refused.
// 19. After all trouble each machine answers reads, and every acknowledged add that is owed is in its totals.
//
// 20. An add that an application sends to a machine of its own zone is acknowledged on either side of a cut,
//     where no control machine has been in trouble for kSteadyMs and no cut has begun since.
//
// An add is not owed where a machine acknowledged it while it was not in connection with as many others as
// may be lost at once, and lost its disk before it was (trouble of a disk is no lack of
// connection); nor where more disks were lost at once than may be.
// A loss lasts until kCaughtUpMs after the machine is back and free of faults.
#ifndef BITTERNMUX_LAB_SIMULATION_TALLY_CHECKER_H_
#define BITTERNMUX_LAB_SIMULATION_TALLY_CHECKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lab/simulation/tally_history.h"

namespace bitternmux::lab::simulation {

constexpr double kMergeMs = 3000;
constexpr double kCaughtUpMs = 4000;
constexpr double kSteadyMs = 1500;  // for machines that cannot be reached to be known as such

constexpr int kTallyMissesAdd = 17;
constexpr int kTallyHoldsTooMuch = 18;
constexpr int kTallyLost = 19;
constexpr int kTallyNotServed = 20;

class TallyChecker {
 public:
  using Report = std::function<void(int invariant, const std::string& what)>;

  TallyChecker(TallyHistory& history, Report report);

  void Check();

 private:
  // What one add means for the bounds of a read.
  struct Add {
    const TallyAddRecord* record = nullptr;
    bool owed = true;
  };
  struct Loss {  // of a disk, until the machine has caught up
    std::string machine;
    double from_ms = 0, back_ms = 0, until_ms = 0;
  };
  struct Span {
    double from_ms = 0, until_ms = 0;
  };

  void FindCalm();
  void FindLosses();
  void CheckServed(const TallyTry& call, const std::string& id);
  bool IsSteady(const TallyTry& call) const;
  void CheckRead(const TallyReadRecord& read);
  bool MustBeIn(const Add& add, const TallyReadRecord& read, double merged_before_ms) const;
  // The start of the newest span of kMergeMs without fault that was over by then; below 0: there was none.
  double MergedBefore(double at_ms) const;
  bool Owed(const TallyAddRecord& add) const;
  bool Owed(const TallyTry& acknowledged) const;
  bool TooManyLost(double since_ms) const;
  bool WellConnected(const std::string& machine, double at_ms) const;
  bool MachineWell(const std::string& machine, double at_ms) const;
  bool LinkWhole(const std::string& one, const std::string& other, double at_ms) const;
  double CaughtUpAt(const std::string& machine, double back_ms) const;

  TallyHistory& history_;
  const Report report_;
  std::map<std::string, std::vector<Add>> adds_;  // by tally
  std::vector<Span> calm_;                        // without any fault, by rising time
  std::vector<Loss> losses_;                      // by rising time
};

}  // namespace bitternmux::lab::simulation

#endif  // BITTERNMUX_LAB_SIMULATION_TALLY_CHECKER_H_
