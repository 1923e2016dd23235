// The rules on the sidecars' processes: they do not end by themselves, and stay within memory and
// descriptors.
//
// State: a few figures for each sidecar in the header, and when it stood still.
#ifndef BITTERNMUX_LAB_RULES_SIDECARS_H_
#define BITTERNMUX_LAB_RULES_SIDECARS_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "lab/record/record.pb.h"
#include "lab/rules/breach.h"

namespace bitternmux::lab::rules {

class Sidecars {
 public:
  Sidecars(const record::Header& header, Report report);

  // Throws Untrusted for a sidecar that the header does not name.
  void Known(std::uint32_t sidecar) const;
  const std::string& NameOf(std::uint32_t sidecar) const { return names_[sidecar]; }

  void Changed(std::int64_t at_us, const record::Sidecar& entry);
  void Sampled(std::int64_t at_us, const record::Sample& entry);
  void Finish(std::int64_t at_us);

  // When the present life began; -1: none did.
  std::int64_t StartedUs(std::uint32_t sidecar) const { return lives_[sidecar].started_us; }
  // How many lives there were: what was told in an earlier one is forgotten.
  std::uint32_t LifeOf(std::uint32_t sidecar) const { return lives_[sidecar].number; }

  // Was what it had to do between these times cut off by an outright kill? That is the clients' to send
  // again. Its sockets take requests until the kernel has ended the process, so that the kill lasts until its
  // exit is told. A planned restart leaves a sidecar the time to answer all, and excuses nothing: a kill that
  // came the longest deadline (3 s at least) and 0.7 s after the SIGTERM, or later.
  bool CutOff(std::uint32_t sidecar, std::int64_t from_us, std::int64_t to_us) const;
  // For how long between these times the lab had it stopped. A stopped process can do nothing, and that time
  // counts against it nowhere.
  std::int64_t StoodUs(std::uint32_t sidecar, std::int64_t from_us, std::int64_t to_us) const;

 private:
  struct Life {
    std::uint32_t number = 0;
    bool running = false, killed = false;
    std::int64_t started_us = -1, term_us = -1;
    std::int64_t cut_us = -1;      // the last outright kill, of any life
    std::int64_t cut_end_us = -1;  // when the exit after it was told; below 0: not yet
    bool over_memory = false, over_descriptors = false;
    // Memory in the quarters of the run's second half.
    std::array<double, 4> sum{};
    std::array<std::uint32_t, 4> samples{};
  };

  struct Stop {
    std::int64_t from_us = 0, until_us = -1;  // below 0: it lasts
    std::int64_t before_us = 0;               // the sum of those before
  };

  void LetGo(std::int64_t at_us, std::uint32_t sidecar);
  std::int64_t StoodUntil(std::uint32_t sidecar, std::int64_t at_us) const;
  void JudgeGrowth(std::int64_t at_us, std::uint32_t sidecar) const;

  const Report report_;
  std::vector<std::string> names_;
  std::vector<Life> lives_;
  std::vector<std::vector<Stop>> stops_;  // by sidecar, of all its lives
  const std::int64_t length_us_, planned_kill_us_, memory_bytes_;
  const std::uint32_t descriptors_;
};

}  // namespace bitternmux::lab::rules

#endif  // BITTERNMUX_LAB_RULES_SIDECARS_H_
