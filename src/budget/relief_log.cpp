#include "budget/relief_log.h"

#include "events/fleet_catalogue.h"

namespace bitternmux::budget {

void ReliefLog::Tick(double now_ms, const ClientBudget& budget) {
  if (now_ms - written_ms_ < kIntervalMs) return;
  const ClientBudget::Relieved now = budget.relieved();
  if (now == written_) return;
  events_.Write(fleet_events::kClientsRelieved,
                {{"for_memory", now.for_memory - written_.for_memory},
                 {"for_connections", now.for_connections - written_.for_connections},
                 {"overdue", now.overdue - written_.overdue},
                 {"turned_away", now.turned_away - written_.turned_away},
                 {"refused_work", now.refused_work - written_.refused_work},
                 {"held_bytes", budget.bytes()},
                 {"connections", budget.connections()}});
  written_ms_ = now_ms;
  written_ = now;
}

}  // namespace bitternmux::budget
