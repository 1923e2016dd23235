// Tells operators how many connections had to go so that the process stays within its settings.
#ifndef BITTERNMUX_SRC_BUDGET_RELIEF_LOG_H_
#define BITTERNMUX_SRC_BUDGET_RELIEF_LOG_H_

#include "budget/client_budget.h"
#include "events/event.h"

namespace bitternmux::budget {

class ReliefLog {
 public:
  explicit ReliefLog(EventSink& events) : events_(events) {}

  // To be called now and then, with the time in milliseconds. Writes what has happened since the last event,
  // at most one event in each kIntervalMs, and none if nothing has.
  void Tick(double now_ms, const ClientBudget& budget);

  static constexpr double kIntervalMs = 4000;

 private:
  EventSink& events_;
  double written_ms_ = 0;
  ClientBudget::Relieved written_;
};

}  // namespace bitternmux::budget

#endif  // BITTERNMUX_SRC_BUDGET_RELIEF_LOG_H_
