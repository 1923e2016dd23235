#include "cartspring/check.h"

#include <stdexcept>

namespace cartspring {

void Check(bool ok, const char* message) {
  if (!ok) throw std::invalid_argument(message);
}

void CheckSettings(const Settings& s) {
  Check(!s.classes.empty(), "settings without classes");
  for (const RequestClass& c : s.classes) {
    Check(c.aim_ms > 0 && c.deadline_ms > 0, "a class needs an aim and a deadline above 0");
    Check(c.worth >= 0 && c.late_worth >= 0 && c.aim_stretch >= 0, "a class has a worth or stretch below 0");
    Check(c.effect != Effect::kKeyed || c.repeat_window_ms >= 0, "a keyed class has a window below 0");
  }
  Check(s.max_attempts >= 1, "max_attempts below 1");
  Check(s.tick_ms >= 0 && s.balancers >= 1, "tick_ms below 0 or balancers below 1");
  Check(s.cold_from > 0 && s.cold_from <= 1 && s.warm_within_ms >= 0,
        "cold_from or warm_within_ms out of range");
  Check(s.fall_multiple > 0, "fall_multiple must be above 0");
  Check(!s.must_subscribe || s.ask_within_ms > 0, "must_subscribe needs ask_within_ms above 0");
}

}  // namespace cartspring
