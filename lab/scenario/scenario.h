// A scenario: a TOML file that says what a day of the lab is like, in exact figures or in ranges to draw
// from.
//
// Reading checks all of it: keys that are not known, values of the wrong type or out of bounds, ranges the
// wrong way round, and troubles of machines, sites or sidecars that the day may not have. Drawing turns it
// into the exact figures of one day. Each figure is drawn from a random stream named after its key, so that a
// key that is added to a scenario moves no other figure of it.
//
// The keys are described in docs/operators/lab.md.
#ifndef BITTERNMUX_LAB_SCENARIO_SCENARIO_H_
#define BITTERNMUX_LAB_SCENARIO_SCENARIO_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "lab/model/figures.h"

namespace toml {
inline namespace v3 {
class table;
}
}  // namespace toml

namespace bitternmux::lab::scenario {

// What is wrong with a scenario: one line for each fault, of the form 'file:line: key: what is wrong'.
class ScenarioError : public std::runtime_error {
 public:
  explicit ScenarioError(std::vector<std::string> faults);
  const std::vector<std::string>& faults() const { return faults_; }

 private:
  std::vector<std::string> faults_;
};

class Scenario {
 public:
  // `text` is TOML; `file` is named in errors. A scenario may take over what another one says and it does
  // not: its key `extends` names that one, from the folder that `file` is in. Throws ScenarioError, with
  // every fault found.
  Scenario(std::string text, const std::string& file);
  static Scenario Read(const std::string& file);

  // With all that was taken over: it stands by itself.
  const std::string& text() const { return text_; }
  const std::string& name() const { return name_; }
  const std::string& about() const { return about_; }  // one sentence for people
  std::uint64_t seed() const { return seed_; }         // the file's own

  // The figures of the day with that seed; the file's own without one.
  model::Figures Draw(std::optional<std::uint64_t> seed = std::nullopt) const;

 private:
  struct Table;
  friend Scenario ReadWith(const std::string& file, toml::table&& set);
  // `set` may be null.
  Scenario(std::string text, const std::string& file, toml::table* set);

  std::string text_, file_, name_, about_;
  std::shared_ptr<const Table> table_;
  std::uint64_t seed_ = 0;
};

}  // namespace bitternmux::lab::scenario

#endif  // BITTERNMUX_LAB_SCENARIO_SCENARIO_H_
