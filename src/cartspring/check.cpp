#include "cartspring/check.h"

#include <stdexcept>

namespace cartspring {

void Check(bool ok, const char* message) {
  if (!ok) throw std::invalid_argument(message);
}

void CheckSettings(const Settings& settings) {
  Check(!settings.classes.empty(), "settings without classes");
  for (const RequestClass& klass : settings.classes) {
    Check(klass.aim_ms > 0 && klass.deadline_ms > 0, "a class needs an aim and a deadline above 0");
    Check(klass.worth >= 0 && klass.late_worth >= 0 && klass.aim_stretch >= 0,
          "a class has a worth or stretch below 0");
    Check(klass.effect != Effect::kKeyed || klass.repeat_window_ms >= 0,
          "a keyed class has a window below 0");
  }
  Check(settings.max_attempts >= 1, "max_attempts below 1");
  Check(settings.tick_ms >= 0 && settings.balancers >= 1, "tick_ms below 0 or balancers below 1");
  Check(settings.cold_from > 0 && settings.cold_from <= 1 && settings.warm_within_ms >= 0,
        "cold_from or warm_within_ms out of range");
  Check(settings.fall_multiple > 0, "fall_multiple must be above 0");
  Check(!settings.must_subscribe || settings.ask_within_ms > 0, "must_subscribe needs ask_within_ms above 0");
}

}  // namespace cartspring
