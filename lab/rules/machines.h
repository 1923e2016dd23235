// The rules on machines: nothing new to one that was known to drain or to be gone, no cold one overdriven, no
// more connections than one takes.
//
// State: a few figures for each machine, and for each pair of a sidecar and a machine that discovery has told
// it of; and for a cold machine what reached it within the last fall_us.
#ifndef BITTERNMUX_LAB_RULES_MACHINES_H_
#define BITTERNMUX_LAB_RULES_MACHINES_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lab/record/record.pb.h"
#include "lab/rules/breach.h"
#include "lab/rules/sidecars.h"

namespace bitternmux::lab::rules {

class Machines {
 public:
  // The sidecars must outlive it.
  Machines(const record::Header& header, const Sidecars& sidecars, Report report);

  // Throw Untrusted for a machine that no MachineChanged has introduced.
  void Known(std::uint32_t machine) const { Find(machine); }
  const std::string& IdOf(std::uint32_t machine) const { return Find(machine).id; }

  void Changed(std::int64_t at_us, const record::MachineChanged& entry);
  void Told(std::int64_t at_us, const record::Told& entry);
  void Listed(std::int64_t at_us, const record::Listed& entry);
  void Warmed(const record::Warmed& entry);
  // A trouble that keeps discovery's list from some sidecars begins or ends.
  void Hidden(std::int64_t at_us, const record::Trouble& entry);
  void Connection(std::int64_t at_us, const record::Connection& entry);

  // The first byte of a claim for the try `job`.
  void Begun(std::int64_t at_us, std::uint32_t sidecar, std::uint32_t machine, std::uint64_t job);
  // The claim's last byte, with the work that it asks for.
  void Reached(std::int64_t at_us, std::uint32_t sidecar, std::uint32_t machine, std::uint64_t job,
               std::int64_t work_us);

 private:
  // What there is to know, and since when: -1 for not at all.
  struct Knowledge {
    std::int64_t up_us = -1, down_us = -1;
    record::MachineChanged::State state = record::MachineChanged::UP;
    void Learn(std::int64_t at_us, record::MachineChanged::State now);
  };
  struct KnowledgeOfLife : Knowledge {
    std::uint32_t life = 0;
    bool deemed = false;
  };
  struct Deafness {  // of a sidecar: nothing that it was not told can count as told meanwhile
    int open = 0;
    std::int64_t from_us = -1, until_us = -1;  // the last
  };
  struct Arrival {
    std::int64_t at_us, work_us;
    std::uint32_t sidecar;
    std::int64_t told_us;  // since when its sidecar had known of the start; -1: it did not
  };
  struct Machine {
    std::string id;
    record::MachineChanged::State state = record::MachineChanged::UP;
    std::int64_t started_us = 0;
    double capacity = 0;
    double warmed = 0;  // as last said; 0: not said
    Knowledge listed;
    std::deque<Arrival> window;
    std::int64_t window_work_us = 0;
    bool overdriven = false;  // has been reported
    std::int64_t connections = 0;
    bool over_connections = false;  // likewise
  };

  const Machine& Find(std::uint32_t machine) const;
  Machine& Find(std::uint32_t machine) { return const_cast<Machine&>(std::as_const(*this).Find(machine)); }
  // Since when the sidecar has known, in its present life, and whether it is only deemed to.
  std::pair<std::int64_t, bool> KnownSince(std::uint32_t sidecar, std::uint32_t number,
                                           const Machine& machine, std::int64_t at_us,
                                           std::int64_t Knowledge::*what) const;
  double ShareOf(const Machine& machine, std::int64_t at_us) const;
  bool IsCold(const Machine& machine, std::int64_t at_us) const;
  void DropOld(Machine& machine, std::int64_t at_us) const;
  void JudgeOverdriven(std::int64_t at_us, std::uint64_t job, Machine& machine, bool fell);
  std::string Shares(const Machine& machine, std::int64_t at_us) const;

  const record::Rules rules_;
  const Sidecars& sidecars_;
  const Report report_;
  std::unordered_map<std::uint32_t, Machine> machines_;
  std::unordered_map<std::uint64_t, KnowledgeOfLife> told_;  // by sidecar and machine
  std::vector<Deafness> deaf_;                               // by sidecar
};

}  // namespace bitternmux::lab::rules

#endif  // BITTERNMUX_LAB_RULES_MACHINES_H_
