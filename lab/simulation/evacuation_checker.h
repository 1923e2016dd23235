// Checks the operators' orders about zones, and what became of them, against the bounds of the users' rules
// (LOST, EVAC; docs/design/apart.md):
//
// 21. The evacuated zones of a committed value differ from those of the one before it only by orders that had
//     been sent and not been acknowledged before; each acknowledged order had an effect between call and
//     answer. So what was acknowledged stands in all later values, until another order ends it.
// 22. The evacuated zones that a machine tells, in an answer or in its feed, are those of a committed value;
//     in an answer, of one that was the newest at some moment between call and answer.
// 23. A router in touch sends nothing to a server of a zone later than kEvacuationWithinMs after the zone's
//     evacuation was acknowledged, and before the zone is taken back.
//
// When a value was committed is known from above: the moment at which a machine was first seen to know it, or
// a later value. Whatever that leaves open counts as right.
#ifndef BITTERNMUX_LAB_SIMULATION_EVACUATION_CHECKER_H_
#define BITTERNMUX_LAB_SIMULATION_EVACUATION_CHECKER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lab/simulation/history.h"

namespace bitternmux::lab::simulation {

constexpr double kEvacuationWithinMs = 5000;
constexpr double kContactMs = 4000;  // without trouble, after which a machine is in touch

constexpr int kEvacuationLost = 21;
constexpr int kEvacuationsToldWrong = 22;
constexpr int kZoneChosen = 23;

class EvacuationChecker {
 public:
  using Report = std::function<void(int invariant, const std::string& what)>;

  EvacuationChecker(const History& history, Report report);

  void Check();

 private:
  // The evacuated zones of a committed value.
  struct Row {
    std::uint64_t sequence = 0;
    std::vector<std::string> zones;
    double committed_ms = 0;  // at the latest
    double replaced_ms = 0;   // by the next value, at the latest
  };
  void CheckChange(const Row& before, const Row& after);
  void CheckAcknowledged(const CallRecord& call);
  void CheckTold(const CallRecord& call);
  void CheckChoice(const ZoneChoice& choice);
  bool IsOrdered(const std::string& zone, bool begins, double committed_ms) const;
  // Whether some value that may have been the newest during the call is like that.
  bool MayHaveMet(const CallRecord& call, const std::function<bool(const Row&)>& is_met) const;
  // Whether all values of that time have the zone evacuated.
  bool StaysEvacuated(const std::string& zone, double from_ms, double until_ms) const;

  const History& history_;
  const Report report_;
  std::vector<Row> rows_;  // the state before the first value, and one for each
};

}  // namespace bitternmux::lab::simulation

#endif  // BITTERNMUX_LAB_SIMULATION_EVACUATION_CHECKER_H_
