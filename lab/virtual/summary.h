// What a run came to, in figures: by second, by class, by machine and in all.
//
// Worth is counted as the platform counts it: a wish is worth its class's worth (times its work, where the
// day says so), in full if it is served within its aim of when it was first due, and the class's late share
// after that. What a client asks again belongs to its wish.
#ifndef BITTERNMUX_LAB_VIRTUAL_SUMMARY_H_
#define BITTERNMUX_LAB_VIRTUAL_SUMMARY_H_

#include <array>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/model/figures.h"
#include "lab/virtual/observer.h"

namespace bitternmux::lab {

class Summary : public Observer {
 public:
  // `mode` is told in the JSON. `figures` must outlive it.
  explicit Summary(const model::Figures& figures, std::string mode = "virtual");

  void TrySent(std::int64_t at, const model::Try& attempt) override;
  void TryEnded(std::int64_t at, const model::Try& attempt, const TryOutcome& outcome) override;
  void ClaimSent(std::int64_t at, const ClaimStart& claim) override;
  void ClaimEnded(std::int64_t at, std::uint64_t claim, record::ClaimEnded::How how,
                  double worked_ms) override;
  void Probed(std::int64_t at, int sidecar, int machine) override;
  void Connection(std::int64_t at, const ConnectionChange& change) override;
  void MachineChanged(std::int64_t at, int machine, model::MachineState state, double started_ms) override;

  // Once the run is over. Seconds count from the first arrival on, as they do in the scenario.
  nlohmann::ordered_json ToJson() const;
  // A few lines for people.
  std::string Text() const;

  // The day's goal: the whole's, the worst ten seconds' and the worst class's shares, as the scenario weighs
  // them.
  double Goal() const;
  double WorthShare() const;
  std::uint64_t wishes() const { return wishes_.size(); }

 private:
  // How a wish ended; it is what its last try came to.
  enum class End { kInTime, kLate, kRefused, kFailed, kLost, kLeft, kNotTaken, kOpen };
  static constexpr std::size_t kEnds = 8;
  struct Wish {
    float due_s = 0;  // from the first arrival on
    float took_ms = 0;
    float worth = 0;
    std::uint8_t klass = 0;
    End end = End::kOpen;
  };
  struct Tally {
    std::array<std::uint64_t, kEnds> ends{};
    std::uint64_t asked = 0;
    double worth = 0;   // asked for
    double earned = 0;  // within the aim
    double with_late = 0;
    std::vector<float> took_ms;  // of those served
  };
  struct Second {
    std::uint64_t tries = 0, claims = 0, probes = 0, dials = 0;
  };

  void Add(Tally& tally, const Wish& wish) const;
  nlohmann::ordered_json JsonOf(const Tally& tally) const;
  Second& At(std::int64_t at);
  std::size_t Seconds() const;
  // By the second in which wishes were due, and by class.
  std::vector<Tally> BySecond() const;
  std::vector<Tally> ByClass() const;
  Tally All() const;
  struct Window {
    std::size_t from_s = 0;
    double share = 1;
  };
  Window WorstWindow() const;
  std::pair<std::size_t, double> WorstClass() const;

  const model::Figures& figures_;
  const std::string mode_;
  std::vector<Wish> wishes_;
  std::vector<std::uint32_t> wish_of_;  // by try
  std::vector<Second> seconds_;
  std::vector<std::vector<std::uint32_t>> claims_of_;  // by machine and second
  std::vector<double> worked_ms_;                      // by machine, for claims that were answered
  std::vector<int> machine_of_;                        // by claim
  std::array<std::uint64_t, 16> claim_ends_{};
  std::uint64_t tries_ = 0, crossings_ = 0;
  int fell_ = 0;
};

}  // namespace bitternmux::lab

#endif  // BITTERNMUX_LAB_VIRTUAL_SUMMARY_H_
