// How a fleet comes back after a trouble: the time to full service, the peaks that make a stampede, and how
// soon a started sidecar serves.
//
// Full service is told beside the same day without its troubles, played with the same seed, so that what the
// servers lack anyway is not counted. A second is full if the worth served of the wishes due in it and in the
// four after it is at least 0.95 of what is served of the same wishes there. The time to full service after a
// trouble is from its beginning to the end of the last second that was not full, of those whose window is
// over when the next trouble begins: 0 if none was, and none if the last of them was not. Chance moves a
// window too, by up to 0.011 where it was measured (docs/operators/comeback.md).
#ifndef BITTERNMUX_LAB_BACK_COMEBACK_H_
#define BITTERNMUX_LAB_BACK_COMEBACK_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lab/model/figures.h"
#include "lab/virtual/observer.h"

namespace bitternmux::lab {

// The same day, and nothing goes wrong in it. Load that rises and falls stays as it is.
model::Figures WithoutTroubles(model::Figures figures);

class Comeback : public Observer {
 public:
  // `figures` must outlive it.
  explicit Comeback(const model::Figures& figures) : figures_(figures) {}

  void TrySent(std::int64_t at, const model::Try& attempt) override;
  void TryEnded(std::int64_t at, const model::Try& attempt, const TryOutcome& outcome) override;
  void Connection(std::int64_t at, const ConnectionChange& change) override;
  void Asked(std::int64_t at, int sidecar, bool watch, bool failed) override;
  void SidecarChanged(std::int64_t at, int sidecar, record::Sidecar::What what) override;

  // Once both runs are over. `calm`: what was seen of the day without its troubles.
  nlohmann::ordered_json ToJson(const Comeback& calm) const;
  std::string Text(const Comeback& calm) const;

 private:
  struct Second {
    double worth = 0, earned = 0;  // of the wishes due in it
    std::uint64_t tries = 0, dials = 0, first_contacts = 0, list_calls = 0;
    std::map<int, std::uint64_t> dials_of;  // by machine
  };
  struct Life {  // of a sidecar's process
    std::int64_t started = 0;
    std::optional<std::int64_t> served, bound;  // its first answer, and its first to a request that may not
                                                // be run twice
    std::set<int> met;                          // machines
  };
  struct Back {
    std::string trouble;
    double from_s = 0;
    std::optional<double> full_s;  // none: not before the next trouble, or the end
  };
  struct Peak {
    std::uint64_t count = 0;
    std::size_t second = 0;
  };

  Second& At(double since_first_ms);
  Second& Seen(std::int64_t at) { return At(static_cast<double>(at) / 1000 - figures_.first_ms); }
  std::vector<Back> Backs(const Comeback& calm) const;
  // Since the first trouble began.
  template <class Count>
  Peak PeakOf(const Count& count) const;
  std::vector<std::pair<const char*, Peak>> Peaks() const;
  // Milliseconds from a start after the first arrival to the first answer: of half of these lives, and of the
  // slowest; -1 where there is none.
  std::pair<double, double> UntilFirst(std::optional<std::int64_t> Life::*answer) const;

  const model::Figures& figures_;
  std::vector<Second> seconds_;
  std::map<int, Life> lives_;  // the present one, by sidecar
  std::vector<Life> ended_;
};

}  // namespace bitternmux::lab

#endif  // BITTERNMUX_LAB_BACK_COMEBACK_H_
